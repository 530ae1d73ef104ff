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

// TestRepeatsRunOnce guards against a repeated key that runs or bills twice,
// whether it comes during the request or after it, and against a key that
// answers for another body or entry.
func TestRepeatsRunOnce(t *testing.T) {
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

	for _, r := range []reply{
		f.chat(false, "other body", HeaderIdempotencyKey, "k"),
		f.chat(false, "a b", HeaderIdempotencyKey, "k", "Authorization", "Bearer "+otherSecret),
	} {
		is.Equal(r.status, 422)
		is.Equal(r.problem().Code, CodeKeyConflict)
	}
}

// TestRequestIsFoundByItsEntryOnly guards against a caller who reads the
// requests of another entry.
func TestRequestIsFoundByItsEntryOnly(t *testing.T) {
	is := is.New(t)
	_, handler := engineAndHandler()
	f := newFixture(t, handler)
	id := f.chat(false, "a").header.Get(chat.HeaderRequestID)
	own := f.call(http.MethodGet, "/v1/requests/"+id, "")
	is.Equal(own.status, 200)
	is.True(strings.Contains(own.body, `"state":"settled"`) && strings.Contains(own.body, `"charged"`))
	other := f.call(http.MethodGet, "/v1/requests/"+id, "", "Authorization", "Bearer "+otherSecret)
	is.Equal(other.status, 404)
}

const orderPath = "/v1/services/orders/post"

// TestOrderRunsAtMostOnce guards against an order that is posted twice, or is
// called "not run" after it was posted: with a lost answer and repeats of it,
// and with a claim of another router.
func TestOrderRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	service, second := &standin.Service{}, &standin.Service{}
	f := newFixture(t, service, second)
	f.retry.left = 10
	noKey := f.call(http.MethodPost, orderPath, "o1")
	is.Equal(noKey.problem().Code, CodeKeyRequired)

	service.SetFaults(standin.ServiceFaults{ResetAfter: 1})
	for range 3 {
		r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
		is.Equal(r.status, 502)
		is.True(!r.problem().NotRun)
	}
	is.Equal(service.Calls("POST", "/post", "o1")+second.Calls("POST", "/post", "o1"), 1)

	f.claims.first["k2"] = record.Claim{RequestID: "elsewhere"}
	conflict := f.call(http.MethodPost, orderPath, "o2", HeaderIdempotencyKey, "k2")
	is.Equal(conflict.problem().Code, CodeKeyConflict)
	won := f.call(http.MethodPost, orderPath, "o3", HeaderIdempotencyKey, "k3")
	is.Equal(won.body, "ran POST /post o3")
	is.Equal(won.header.Get(HeaderBillTokens), "7")

	claim := f.claims.first["k3"]
	f.claims.first["k4"] = record.Claim{RequestID: "elsewhere", BodyHash: claim.BodyHash}
	lost := f.call(http.MethodPost, orderPath, "o3", HeaderIdempotencyKey, "k4")
	is.Equal(lost.problem().Code, CodeClaimed)
	is.True(!lost.problem().NotRun)
	is.Equal(service.Calls("POST", "/post", "o3")+second.Calls("POST", "/post", "o3"), 1)
	open, _, _ := f.budget.state()
	is.Equal(open, 1) // the lost answer
}

// TestRefusedOrderCanBeRepeated guards against an order that is lost because its
// key was used up by an attempt that did not run.
func TestRefusedOrderCanBeRepeated(t *testing.T) {
	is := is.New(t)
	service := &standin.Service{}
	f := newFixture(t, service)
	service.SetFaults(standin.ServiceFaults{Refuse: 1})
	r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
	is.Equal(r.status, 503)
	is.True(r.problem().NotRun)
	r = f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
	is.Equal(r.body, "ran POST /post o1")
	is.Equal(service.Calls("POST", "/post", "o1"), 1)
}

// TestRepeatOfRefusedRequestRuns guards against a repeat that gets the refusal of
// another call although it could run itself.
func TestRepeatOfRefusedRequestRuns(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	engine.SetFaults(standin.EngineFaults{Refuse: 1})
	arrived, proceed := make(chan struct{}, 10), make(chan struct{})
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		<-proceed
		handler.ServeHTTP(w, req)
	}))
	replies := make([]reply, 2)
	var callers sync.WaitGroup
	callers.Go(func() { replies[0] = f.chat(false, "a b", HeaderIdempotencyKey, "k") })
	<-arrived
	callers.Go(func() { replies[1] = f.chat(false, "a b", HeaderIdempotencyKey, "k") })
	for f.api.InProgress() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	callers.Wait()
	is.Equal(replies[0].problem().Code, CodeUpstreamUnavailable)
	is.Equal(replies[1].status, 200)
	is.Equal(engine.Runs.Load(), int64(1))
}
