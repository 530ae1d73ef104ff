package httpapi

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// stalledService runs calls and does not respond until the router leaves.
type stalledService struct {
	standin.Service
	running chan struct{}
	runs    atomic.Int64
}

func (s *stalledService) ServeHTTP(_ http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body) // only then does the server notice that the router leaves
	s.runs.Add(1)
	s.running <- struct{}{}
	<-req.Context().Done()
}

// stalledClaimer decides no claim.
type stalledClaimer struct{ claiming chan struct{} }

func (c stalledClaimer) Claim(ctx context.Context, _ record.Claim) (record.Claim, bool, error) {
	c.claiming <- struct{}{}
	<-ctx.Done()
	return record.Claim{}, false, ctx.Err()
}

// Guards against a call that is refused as not run because the router stops while an upstream runs it, also after another
// upstream has refused it, and against one that was not sent and is reported as possibly run.
func TestStopRefusesOnlyWhatWasNotSent(t *testing.T) {
	for _, c := range []struct {
		name, method   string
		refused, claim bool
		notRun         bool
	}{
		{"running", http.MethodPost, false, false, false},
		{"running after a refusal", http.MethodGet, true, false, false},
		{"waiting for its claim", http.MethodPost, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			busy, stalled := &standin.Service{}, &stalledService{running: make(chan struct{}, 1)}
			stopped := stalled.running
			f := newFixture(t, stalled)
			if c.refused {
				busy.SetFaults(standin.ServiceFaults{Refuse: 1})
				f = newFixture(t, busy, stalled)
				f.retryBudget.remaining = 1
			}
			if c.claim {
				claimer := stalledClaimer{make(chan struct{}, 1)}
				f.api.Claimer, stopped = claimer, claimer.claiming
			}
			response := make(chan callerResponse, 1)
			go func() { response <- f.call(c.method, orderPath, "", HeaderIdempotencyKey, "k") }()
			<-stopped
			f.api.EndRequests()
			r := <-response
			is.Equal(r.apiError().NotRun, c.notRun)
			is.Equal(stalled.runs.Load() == 0, c.notRun)
		})
	}
}
