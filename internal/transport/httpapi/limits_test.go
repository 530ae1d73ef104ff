package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// TestDeadlineStopsTheRun guards against a run that goes on after the caller's
// time, an upstream that is not told the time left, and a bill for more than was
// used.
func TestDeadlineStopsTheRun(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		engine := &standin.Engine{TokenInterval: 40 * time.Millisecond}
		handler := engine.Handler()
		var left int
		f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost {
				left, _ = strconv.Atoi(req.Header.Get(chat.HeaderDeadline))
			}
			handler.ServeHTTP(w, req)
		}))
		r := f.chat(stream, "a b c", HeaderTimeout, "200")
		is.Equal(r.problem().Code, CodeDeadlineExceeded)
		is.True(!r.problem().NotRun)
		is.True(left > 0 && left <= 200)
		_, _, charges := f.budget.state()
		is.Equal(charges, []int64{engine.Tokens.Load()})
	}
}

// TestOpenRequestsAreBounded guards against a router that takes more requests
// than it has memory for, or reserves budget for those that it refuses.
func TestOpenRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	_, handler := engineAndHandler()
	f := newFixture(t, handler)
	f.api.Limits.MaxOpenRequests = 0
	r := f.chat(false, "a")
	is.Equal(r.status, 503)
	is.Equal(r.problem().Code, CodeOverloaded)
	is.True(r.problem().NotRun && r.header.Get("Retry-After") != "")
	_, reserved, _ := f.budget.state()
	is.Equal(reserved, 0)
}

// TestNoServiceWithoutConfiguration guards against requests served by a
// configuration that may have been replaced.
func TestNoServiceWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	f := newFixture(t, handler)
	f.api.CheckConfigLease = func() error { return errors.New("ended") }
	r := f.chat(false, "a")
	is.Equal(r.problem().Code, CodeConfigurationUnavailable)
	is.True(r.problem().NotRun)
	is.Equal(engine.Runs.Load(), int64(0))
}

// panicking fails at the given step of a request.
type panicking struct {
	*firstFit
	onPick bool
}

func (p *panicking) Pick(req routing.Request) (Attempt, error) {
	if p.onPick {
		panic("pick")
	}
	attempt, err := p.firstFit.Pick(req)
	return panickingAttempt{attempt}, err
}

type panickingAttempt struct{ Attempt }

func (panickingAttempt) Done(routing.Result) { panic("done") }

// TestPanicKeepsTheBudgetRight guards against a defect in one request that loses
// its reservation, or releases it although the request may have run.
func TestPanicKeepsTheBudgetRight(t *testing.T) {
	for _, onPick := range []bool{true, false} {
		is := is.New(t)
		engine, handler := engineAndHandler()
		engine.SetFaults(standin.EngineFaults{ResetAfter: 1})
		f := newFixture(t, handler)
		f.api.Admission = f.api.Routing.(*firstFit)
		f.api.Config = fixedSnapshot{f.Current()}
		f.api.Routing = &panicking{firstFit: f.api.Routing.(*firstFit), onPick: onPick}
		is.True(f.chat(false, "a").err != nil)
		for f.api.InProgress() > 0 {
			time.Sleep(time.Millisecond)
		}
		open, _, charges := f.budget.state()
		is.Equal(len(charges), 0)
		is.Equal(open == 0, onPick)
		is.Equal(f.api.UnknownOutcomes.Len() == 0, onPick)
	}
}

// TestResultsForRouting guards against a healthy upstream that gets no work
// because its callers left or it refused one request, and against a cancelled
// run that clears a request suspected of crashing upstreams.
func TestResultsForRouting(t *testing.T) {
	is := is.New(t)
	is.Equal(result(nil), routing.ResultOK)
	is.Equal(result(errors.Mark(io.ErrClosedPipe, errCallerGone)), routing.ResultAbandoned)
	is.Equal(result(errors.Wrap(context.Canceled, "send")), routing.ResultAbandoned)
	is.Equal(result(&upstream.RefusedError{Status: 503}), routing.ResultRefused)
	is.Equal(result(&upstream.RefusedError{Status: 503, Draining: true}), routing.ResultDraining)
	is.Equal(result(errors.Mark(io.EOF, upstream.ErrNotSent)), routing.ResultFailed)
	is.Equal(result(errors.Mark(context.Canceled, errReplaced)), routing.ResultFailed)
	is.Equal(result(errors.Mark(io.EOF, upstream.ErrIncomplete)), routing.ResultCrashed)
	is.True(!errors.Is(request.ErrTransition, request.ErrStaleAttempt))
}
