package routing

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// updateWithout lists the engines of newRouter again, without the given one.
func updateWithout(r *Router, n int, removed string) {
	var c catalogue.Catalogue
	for u := range engines(n).Upstreams {
		if u.Name != removed {
			c.Upstreams = append(c.Upstreams, *u)
		}
	}
	r.Update(catalogue.NewSnapshot(2, c, nil))
}

// Guards against requests to a process that has said in an answer that it leaves, when an older listing, a listing of a
// restored log or a later refusal shows it as ready. Pattern: release and scale_in behind a cut from the store.
func TestLeavingProcessGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(3)
	first := pick(t, r, Request{})
	leaving := first.Upstream().Name
	first.Leaving()
	first.Done(ResultOK)
	check := func() {
		t.Helper()
		for range 200 {
			a := pick(t, r, Request{})
			is.True(a.Upstream().Name != leaving)
			a.Done(ResultOK)
		}
	}
	check()
	r.Update(engines(3)) // the same listing
	check()
	updateWithout(r, 3, leaving)
	check()
	clock.advance(2 * time.Minute) // a lapsed and renewed registration, beyond the time of a draining response
	r.Update(engines(3))
	check()
	r.MarkDraining(leaving)
	check()
}

// Guards against a new process that gets no requests because an earlier one at its place has left.
func TestNewProcessOfLeavingUpstreamIsUsed(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)}
	r := New(Config{Now: clock.Now, Zone: "z0", Region: "r"})
	list := func(name string) {
		r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
			{Name: name, Kind: catalogue.KindEngine, Models: []string{testModel}, Concurrency: 8},
		}}, nil))
	}
	list("e@1")
	a := pick(t, r, Request{})
	a.Leaving()
	a.Done(ResultOK)
	_, err := r.Pick(Request{Model: testModel})
	is.True(err != nil)
	list("e@2")
	is.Equal(pick(t, r, Request{}).Upstream().Name, "e@2")
}

// Guards against requests to an upstream that has asked for a pause, and against a pause that never ends or that a
// shorter one ends. Pattern: workers that shed load under a burst.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(3)
	first := pick(t, r, Request{})
	paused := first.Upstream().Name
	first.Pause(3 * time.Second)
	first.Pause(500 * time.Millisecond)
	first.Done(ResultRefused)
	got := 0
	count := func() (n int) {
		for range 300 {
			a := pick(t, r, Request{})
			if a.Upstream().Name == paused {
				n++
			}
			a.Done(ResultOK)
		}
		return n
	}
	for range 29 {
		got += count()
		clock.advance(100 * time.Millisecond)
	}
	is.Equal(got, 0)
	clock.advance(200 * time.Millisecond)
	is.True(count() > 0)
}

// Guards against a caller that waits, or is told to come back too early, when all upstreams have asked for a pause.
func TestRefusesUntilFirstPauseEnds(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(2)
	a := pick(t, r, Request{})
	b := pick(t, r, Request{Exclude: []string{a.Upstream().Name}})
	a.Pause(9 * time.Second)
	b.Pause(4 * time.Second)
	a.Done(ResultRefused)
	b.Done(ResultRefused)
	_, err := r.Pick(Request{Model: testModel})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.Equal(none.RetryAfter, 4*time.Second)
	is.Equal(r.Capacity(testModel, ""), 0)
}

// Guards against a pause of absurd length that takes an upstream out of use.
func TestAbsurdPauseIsIgnored(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(1)
	a := pick(t, r, Request{})
	a.Pause(-time.Second)
	a.Pause(MaxPause + 1)
	a.Done(ResultRefused)
	is.Equal(pick(t, r, Request{}).Upstream().Name, a.Upstream().Name)
}
