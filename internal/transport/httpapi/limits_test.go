package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/testheap"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Guards against a run that continues after the caller's timeout, a request to an upstream without the
// remaining time, and a bill for more than was used.
func TestDeadlineCancelsRun(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		engine := &standin.Engine{TokenInterval: 40 * time.Millisecond}
		handler := engine.Handler()
		var remainingMS int
		f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost {
				remainingMS, _ = strconv.Atoi(req.Header.Get(chat.HeaderDeadline))
			}
			handler.ServeHTTP(w, req)
		}))
		r := f.chat(stream, "a b c", HeaderTimeout, "200")
		is.Equal(r.apiError().Code, CodeDeadlineExceeded)
		is.True(!r.apiError().NotRun)
		is.True(remainingMS > 0 && remainingMS <= 200)
		_, _, charges := f.budget.state()
		is.Equal(charges, []int64{engine.Tokens.Load()})
	}
}

// Guards against a router that accepts more requests than it has memory for, or that reserves budget for those
// that it refuses.
func TestOpenRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	_, handler := newEngine()
	f := newFixture(t, handler)
	f.api.Limits.MaxOpenRequests = 0
	r := f.chat(false, "a")
	is.Equal(r.status, 503)
	is.Equal(r.apiError().Code, CodeOverloaded)
	is.True(r.apiError().NotRun && r.header.Get("Retry-After") != "")
	_, reserved, _ := f.budget.state()
	is.Equal(reserved, 0)
}

// Guards against requests that are served with a configuration that may have been replaced.
func TestExpiredConfigLeaseRefusesRequests(t *testing.T) {
	is := is.New(t)
	engine, handler := newEngine()
	f := newFixture(t, handler)
	f.api.CheckConfigLease = func() error { return errors.New("ended") }
	r := f.chat(false, "a")
	is.Equal(r.apiError().Code, CodeConfigurationUnavailable)
	is.True(r.apiError().NotRun)
	is.Equal(engine.Runs.Load(), int64(0))
}

// panickingRouter panics when it picks an upstream or when the attempt ends.
type panickingRouter struct {
	*firstFitRouter
	onPick bool
}

func (p *panickingRouter) Pick(req routing.Request) (Attempt, error) {
	if p.onPick {
		panic("pick")
	}
	attempt, err := p.firstFitRouter.Pick(req)
	return panickingAttempt{attempt}, err
}

type panickingAttempt struct{ Attempt }

func (panickingAttempt) Done(routing.Result) { panic("done") }

// Guards against a panic in one request that loses the reservation, or releases it although the request may
// have run.
func TestPanicKeepsReservationConsistent(t *testing.T) {
	for _, onPick := range []bool{true, false} {
		is := is.New(t)
		engine, handler := newEngine()
		engine.SetFaults(standin.EngineFaults{ResetAfter: 1})
		f := newFixture(t, handler)
		f.api.Admission = f.api.Routing.(*firstFitRouter)
		f.api.Config = fixedConfiguration{f.Current()}
		f.api.Routing = &panickingRouter{firstFitRouter: f.api.Routing.(*firstFitRouter), onPick: onPick}
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

// Guards against a healthy upstream that gets no requests because its callers disconnected or it refused one
// request, against a canceled run that clears a request suspected of crashing upstreams, and against treating
// every transition error as a stale attempt.
func TestRoutingResult(t *testing.T) {
	is := is.New(t)
	is.Equal(routingResult(nil), routing.ResultOK)
	is.Equal(routingResult(errors.Mark(io.ErrClosedPipe, errCallerWriteFailed)), routing.ResultAbandoned)
	is.Equal(routingResult(errors.Wrap(context.Canceled, "send")), routing.ResultAbandoned)
	is.Equal(routingResult(&upstream.RefusedError{Status: 503}), routing.ResultRefused)
	is.Equal(routingResult(&upstream.RefusedError{Status: 503, Draining: true}), routing.ResultDraining)
	is.Equal(routingResult(errors.Mark(io.EOF, upstream.ErrNotSent)), routing.ResultFailed)
	is.Equal(routingResult(errors.Mark(context.Canceled, errAttemptTimeout)), routing.ResultFailed)
	is.Equal(routingResult(errors.Mark(io.EOF, upstream.ErrIncomplete)), routing.ResultCrashed)
	is.Equal(routingResult(errors.Mark(errors.Mark(io.EOF, upstream.ErrUnmarked), upstream.ErrIncomplete)), routing.ResultFailed)
	is.True(!errors.Is(request.ErrTransition, request.ErrStaleAttempt))
}

// Guards against a caller that waits for "100 Continue" on a connection that was idle for longer than the write timeout, and
// gets neither that nor the response, although its request runs.
func TestContinueAfterIdleConnection(t *testing.T) {
	is := is.New(t)
	_, handler := newEngine()
	f := newFixture(t, handler)
	f.api.Limits.WriteTimeout = 100 * time.Millisecond
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	reader := bufio.NewReader(c)
	_, body := chatRequest(false, "a b")
	for range 2 {
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
			secret, len(body))
		is.NoErr(err)
		status, err := reader.ReadString('\n')
		is.NoErr(err)
		is.Equal(status, "HTTP/1.1 100 Continue\r\n")
		_, err = reader.ReadString('\n')
		is.NoErr(err)
		_, err = io.WriteString(c, body)
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(2 * f.api.Limits.WriteTimeout)
	}
}

// Guards against an upstream of the own fleet that sends to many callers at once without end: a body, an event of a
// stream, or the response of a plain service. The router must not run out of memory.
func TestResponsesWithoutEndStayWithinMemory(t *testing.T) {
	const (
		callers = 60
		held    = 6 << 20
		memory  = 64 << 20
	)
	endless := func(w http.ResponseWriter, r *http.Request, begin string) {
		w.Header().Set(chat.HeaderRequestID, r.Header.Get(chat.HeaderRequestID))
		w.Header().Set(chat.HeaderAttempt, r.Header.Get(chat.HeaderAttempt))
		_, err := io.WriteString(w, begin)
		filler := strings.Repeat("x", 64<<10)
		for sent := 0; err == nil; sent += len(filler) {
			if sent >= held {
				time.Sleep(100 * time.Millisecond)
			}
			_, err = io.WriteString(w, filler)
		}
	}
	for name, stream := range map[string]bool{"body": false, "event": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limiter := membuf.NewLimiter(memory)
			f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { endless(w, r, "data: ") }))
			f.api.Engines = upstream.New(limiter)
			f.api.Limits.RequestTimeout = time.Second
			peak := testheap.Peak(func() {
				var requests sync.WaitGroup
				for range callers {
					requests.Go(func() {
						if r := f.chat(stream, "a"); r.status == http.StatusOK {
							t.Errorf("a response without end became %d", r.status)
						}
					})
				}
				requests.Wait()
			})
			t.Logf("%d MB in use", peak>>20)
			is.True(peak < 3*memory) // the garbage collector lets the heap double
			is.Equal(limiter.Used(), int64(0))
		})
	}
}
