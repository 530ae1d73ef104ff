package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/orders"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Guards against a pause that is not read, and against one from a malformed or absurd text.
func TestParsePause(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"": 0, "0": 0, "2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "3600": time.Hour,
	} {
		got, err := ParsePause(text)
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, text := range []string{"-1", "NaN", "Inf", "-Inf", "1e300", "3601", "Sat, 05 Dec 2026 14:00:00 GMT", "soon", "1,5"} {
		got, err := ParsePause(text)
		is.True(err != nil)
		is.Equal(got, time.Duration(0))
	}
}

// Guards against an engine's notice that the product's own fleet does not read: that it leaves, in a complete answer, and
// a pause, in a refusal.
func TestReportsNoticesOfEngines(t *testing.T) {
	is := is.New(t)
	engine := &standin.Engine{}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	var got []Notice
	call := Call{
		Address: server.URL, RequestID: "r1", Attempt: "a1", OnNotice: func(n Notice) { got = append(got, n) },
		Body: []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`),
	}
	engine.SetFaults(standin.EngineFaults{Draining: true})
	_, err := New(nil).Complete(context.Background(), call)
	is.NoErr(err)
	engine.SetFaults(standin.EngineFaults{Refuse: 2, RefuseRetryAfter: "1.5"})
	_, err = New(nil).Complete(context.Background(), call)
	is.True(errors.Is(err, ErrRefused))
	engine.SetFaults(standin.EngineFaults{Refuse: 1, RefuseRetryAfter: "1e300"})
	_, err = New(nil).Complete(context.Background(), call)
	is.True(errors.Is(err, ErrRefused))
	is.Equal(len(got), 3)
	is.Equal(got[0], Notice{Ran: true, Leaving: true})
	is.Equal(got[1], Notice{Pause: 1500 * time.Millisecond})
	is.True(got[2].PauseErr != nil && got[2].Pause == 0)
}

// Guards against a holder of the order lease that does not step down because it does not recognise an engine's refusal of
// a stale fencing token.
func TestStaleFencingTokenIsRecognised(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
	defer server.Close()
	err := NewControl(New(nil)).Apply(context.Background(), &catalogue.Upstream{Address: server.URL}, orders.Order{})
	is.True(errors.Is(err, orders.ErrStaleFencingToken))
}
