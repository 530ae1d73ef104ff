package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Guards against more retries in any window than the fleet is allowed, when callers retry eagerly and routers
// do not coordinate.
func TestWindowRetryBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		const (
			ratio   = 0.2
			extra   = 58.0
			length  = 10 * time.Second
			routers = 3
		)
		budgets := make([]*WindowRetryBudget, routers)
		for i := range budgets {
			budgets[i] = NewWindowRetryBudget(WindowConfig{
				Ratio: ratio, Extra: extra, Length: length, Routers: func() int { return routers }, Now: func() time.Time { return now },
			})
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(50, 400).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(rt, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
				b.RecordRequest()
				events = append(events, event{now, false})
			} else if b.TryRetry() {
				events = append(events, event{now, true})
			}
		}
		for i, end := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events[:i+1] {
				if end.at.Sub(e.at) >= length {
					continue
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			if retries > ratio*requests+extra {
				rt.Fatalf("%.0f retries for %.0f requests", retries, requests)
			}
		}
	})
}

// newRouters returns n routers with the same upstreams and no other shared state.
func newRouters(n, upstreams int) []*Router {
	var list []catalogue.Upstream
	for i := range upstreams {
		list = append(list, catalogue.Upstream{
			Name: fmt.Sprintf("u%d", i), Kind: catalogue.KindEngine, Models: []string{"m"}, Concurrency: 16,
		})
	}
	snapshot := catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil)
	routers := make([]*Router, n)
	for i := range routers {
		routers[i] = New(Config{Routers: func() int { return n }})
		routers[i].Update(snapshot)
	}
	return routers
}

// promptRequest returns a request for a prompt of three parts: one that all requests have in common, one that
// all requests with the same subject have in common, and one of its own.
func promptRequest(subject, own string) Request {
	hashes, shared := PartHashes([]PromptPart{{"common", 500}, {subject, 5000}, {own, 2000}})
	return Request{Model: "m", PrefixHashes: hashes, SharedBlocks: shared}
}

// Guards against routers that send requests with the same shared prompt to different engines, which then each
// compute it.
func TestRoutersPreferTheSameUpstreamForASharedPrompt(t *testing.T) {
	is := is.New(t)
	routers := newRouters(9, 18)
	for subject := range 20 {
		preferred := make(map[string]bool)
		for i, r := range routers {
			a, err := r.Pick(promptRequest(fmt.Sprint("subject", subject), fmt.Sprint("own", i)))
			is.NoErr(err)
			preferred[a.Upstream().Name] = true
			a.Started()
			a.Done(ResultOK)
		}
		is.Equal(len(preferred), 1)
	}
}

// Guards against a hot spot: an engine that gets all requests with a popular shared prompt.
func TestPopularSharedPromptSpreads(t *testing.T) {
	is := is.New(t)
	r := newRouters(1, 6)[0]
	used := make(map[string]int)
	for i := range 40 {
		a, err := r.Pick(promptRequest("hot", fmt.Sprint("own", i)))
		is.NoErr(err)
		used[a.Upstream().Name]++
	}
	is.True(len(used) >= 4)
	for name, n := range used {
		if n > 20 {
			t.Errorf("%s got %d of 40 requests", name, n)
		}
	}
}

// Guards against grey failures: an upstream that appears healthy but fails its requests keeps getting its
// full number of requests. Also guards against an upstream that gets no requests after it has recovered.
func TestFailingUpstreamGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New(Config{Now: func() time.Time { return now }})
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
		{Name: "good", Kind: catalogue.KindService, Service: "s", Concurrency: 8},
		{Name: "grey", Kind: catalogue.KindService, Service: "s", Concurrency: 8},
	}}, nil))
	serve := func(n int, grey Result) (got int) {
		for range n {
			a, err := r.Pick(Request{Service: "s"})
			is.NoErr(err)
			if a.Upstream().Name == "grey" {
				got++
				a.Done(grey)
			} else {
				a.Done(ResultOK)
			}
			now = now.Add(20 * time.Millisecond)
		}
		return got
	}
	serve(40, ResultError)
	is.True(serve(100, ResultError) < 20)
	now = now.Add(20 * time.Second)
	is.True(serve(100, ResultOK) > 20)
}

// Guards against requests that are sent to an upstream that accepts no connections.
func TestUnreachableUpstreamIsLeftOut(t *testing.T) {
	is := is.New(t)
	r := newRouters(1, 4)[0]
	req := promptRequest("s", "o")
	a, err := r.Pick(req)
	is.NoErr(err)
	unreachable := a.Upstream().Name
	a.Done(ResultUnreachable)
	for range 20 {
		a, err := r.Pick(req)
		is.NoErr(err)
		is.True(a.Upstream().Name != unreachable)
		a.Done(ResultOK)
	}
}
