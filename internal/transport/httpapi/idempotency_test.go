package httpapi

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// Guards against a request that runs or is billed twice when it is repeated with the same key, while the first
// one runs or after it, and against a key that is accepted for another body or entry.
func TestRepeatedRequestsRunOnce(t *testing.T) {
	is := is.New(t)
	engine := &standin.Engine{FirstToken: 50 * time.Millisecond}
	f := newFixture(t, engine.Handler())
	bodies := make([]string, 4)
	var callers sync.WaitGroup
	for i := range bodies {
		callers.Go(func() { bodies[i] = f.chat(false, "a b", HeaderIdempotencyKey, "k").body })
	}
	callers.Wait()
	after := f.chat(false, "a b", HeaderIdempotencyKey, "k")
	is.Equal(after.header.Get(HeaderReplayed), "true")
	for _, body := range bodies {
		is.Equal(body, after.body)
	}
	is.Equal(engine.Runs.Load(), int64(1))
	_, _, charges := f.budget.state()
	is.Equal(len(charges), 1)

	for _, r := range []callerResponse{
		f.chat(false, "other body", HeaderIdempotencyKey, "k"),
		f.chat(false, "a b", HeaderIdempotencyKey, "k", "Authorization", "Bearer "+otherSecret),
	} {
		is.Equal(r.status, 422)
		is.Equal(r.apiError().Code, CodeKeyConflict)
	}
}

// Guards against a caller that can look up the requests of another entry.
func TestRequestIsFoundByItsEntryOnly(t *testing.T) {
	is := is.New(t)
	_, handler := newEngine()
	f := newFixture(t, handler)
	id := f.chat(false, "a").header.Get(chat.HeaderRequestID)
	own := f.call(http.MethodGet, "/v1/requests/"+id, "")
	is.Equal(own.status, 200)
	is.True(strings.Contains(own.body, `"state":"settled"`) && strings.Contains(own.body, `"charged"`))
	other := f.call(http.MethodGet, "/v1/requests/"+id, "", "Authorization", "Bearer "+otherSecret)
	is.Equal(other.status, 404)
}

// orderPath is the path of a call of the plain service "orders", which is not idempotent. The orders of these
// tests are such calls, not engine orders.
const orderPath = "/v1/services/orders/post"

// Guards against an order that is posted twice, or reported as "not run" after it was posted. It covers a lost
// response with repeated requests, and a key that another router has claimed.
func TestOrderRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	service, second := &standin.Service{}, &standin.Service{}
	f := newFixture(t, service, second)
	f.retryBudget.remaining = 10
	noKey := f.call(http.MethodPost, orderPath, "o1")
	is.Equal(noKey.apiError().Code, CodeKeyRequired)

	service.SetFaults(standin.ServiceFaults{ResetAfter: 1})
	for range 3 {
		r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
		is.Equal(r.status, 502)
		is.True(!r.apiError().NotRun)
	}
	is.Equal(service.Calls("POST", "/post", "o1")+second.Calls("POST", "/post", "o1"), 1)

	f.claimer.first["k2"] = record.Claim{RequestID: "elsewhere"}
	conflict := f.call(http.MethodPost, orderPath, "o2", HeaderIdempotencyKey, "k2")
	is.Equal(conflict.apiError().Code, CodeKeyConflict)
	executed := f.call(http.MethodPost, orderPath, "o3", HeaderIdempotencyKey, "k3")
	is.Equal(executed.body, "ran POST /post o3")
	is.Equal(executed.header.Get(HeaderBillTokens), "7")

	claim := f.claimer.first["k3"]
	f.claimer.first["k4"] = record.Claim{RequestID: "elsewhere", BodyHash: claim.BodyHash}
	claimedElsewhere := f.call(http.MethodPost, orderPath, "o3", HeaderIdempotencyKey, "k4")
	is.Equal(claimedElsewhere.apiError().Code, CodeClaimed)
	is.True(!claimedElsewhere.apiError().NotRun)
	is.Equal(service.Calls("POST", "/post", "o3")+second.Calls("POST", "/post", "o3"), 1)
	open, _, _ := f.budget.state()
	is.Equal(open, 1) // the order whose response was lost
}

// Guards against an order that can never run because its key stays in use after an attempt that did not run.
func TestRefusedOrderCanBeRepeated(t *testing.T) {
	is := is.New(t)
	service := &standin.Service{}
	f := newFixture(t, service)
	service.SetFaults(standin.ServiceFaults{Refuse: 1})
	r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
	is.Equal(r.status, 503)
	is.True(r.apiError().NotRun)
	r = f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
	is.Equal(r.body, "ran POST /post o1")
	is.Equal(service.Calls("POST", "/post", "o1"), 1)
}

// Guards against a repeated request that gets the refusal of the first one although it could run itself.
func TestRepeatOfRefusedRequestRuns(t *testing.T) {
	is := is.New(t)
	engine, handler := newEngine()
	engine.SetFaults(standin.EngineFaults{Refuse: 1})
	arrived, proceed := make(chan struct{}, 10), make(chan struct{})
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		<-proceed
		handler.ServeHTTP(w, req)
	}))
	replies := make([]callerResponse, 2)
	var callers sync.WaitGroup
	callers.Go(func() { replies[0] = f.chat(false, "a b", HeaderIdempotencyKey, "k") })
	<-arrived
	callers.Go(func() { replies[1] = f.chat(false, "a b", HeaderIdempotencyKey, "k") })
	for f.api.InProgress() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	callers.Wait()
	is.Equal(replies[0].apiError().Code, CodeUpstreamUnavailable)
	is.Equal(replies[1].status, 200)
	is.Equal(engine.Runs.Load(), int64(1))
}
