package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// limitFleet simulates routers that share upstreams. Time advances in steps.
type limitFleet struct {
	now     time.Time
	routers []*limitRouter
	// arrivals are the times at which the limited upstream got requests.
	arrivals []time.Time
	// named is the limit that the upstream names, and reports the messages between routers by their time of delivery.
	named   float64
	reports []limitMessage
}

type limitRouter struct {
	*Router
	position Position
	skew     time.Duration
	// cut is true while no messages reach the router or come from it, stopped while it sends no requests.
	cut, stopped bool
}

type limitMessage struct {
	at   time.Time
	to   int
	body LimitReports
}

func newLimitFleet(n int, skew func(i int) time.Duration, upstreams ...string) *limitFleet {
	f := &limitFleet{now: time.UnixMilli(1_700_000_000_000)}
	var list []catalogue.Upstream
	for _, name := range upstreams {
		list = append(list, catalogue.Upstream{Name: name, Kind: catalogue.KindService, Service: "s", Concurrency: 10000})
	}
	snapshot := catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil)
	for i := range n {
		r := &limitRouter{position: Position{Index: i, Routers: n, Known: true}, skew: skew(i)}
		r.Router = New(Config{
			Now: func() time.Time { return f.now.Add(r.skew) }, Routers: func() int { return n },
			Position: func() Position { return r.position }, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		r.Update(snapshot)
		f.routers = append(f.routers, r)
	}
	return f
}

// send sends a request through a router and reports whether an upstream took it.
func (f *limitFleet) send(i int) bool {
	a, err := f.routers[i].Pick(Request{Service: "s"})
	if err != nil {
		return false
	}
	limit := 0.0
	if a.Upstream().Name == "limited" {
		f.arrivals = append(f.arrivals, f.now)
		limit = f.named
	}
	a.RequestLimit(limit, true)
	a.Done(ResultOK)
	return true
}

// step advances the time and exchanges reports, which are delivered after delay.
func (f *limitFleet) step(d, delay time.Duration) {
	f.now = f.now.Add(d)
	for i, r := range f.routers {
		body := r.TakeLimitReports()
		if body.Empty() || r.cut {
			continue
		}
		for to := range f.routers {
			if to != i {
				f.reports = append(f.reports, limitMessage{f.now.Add(delay), to, body})
			}
		}
	}
	f.reports = slices.DeleteFunc(f.reports, func(m limitMessage) bool {
		if f.now.Before(m.at) {
			return false
		}
		if !f.routers[m.to].cut {
			f.routers[m.to].MergeLimits(m.body)
		}
		return true
	})
}

// mostIn returns the largest number of arrivals in any 4 s from a time on.
func (f *limitFleet) mostIn(from time.Time) int {
	most, last := 0, 0
	for i, at := range f.arrivals {
		for last < len(f.arrivals) && f.arrivals[last].Sub(at) < 4*time.Second {
			last++
		}
		if !at.Before(from) {
			most = max(most, last-i)
		}
	}
	return most
}

func allowed(perSecond float64) int { return int(1.5*4*perSecond + 5) }

// TestRequestLimitHoldsForTheFleet guards against a fleet that sends an upstream more than the limit that it names, while
// all routers have requests all the time, clocks differ, routers stop and start, and some are cut off from the others. It
// also guards against refusals while another upstream has room.
func TestRequestLimitHoldsForTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(t, "routers")
		perSecond := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		skews := rapid.IntRange(0, 40).Draw(t, "skew_ms")
		f := newLimitFleet(n, func(i int) time.Duration { return time.Duration(i*7%(skews+1)) * time.Millisecond }, "limited", "other")
		f.named = perSecond
		named := f.now
		for range 400 {
			f.step(25*time.Millisecond, 30*time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0: // a router stops, and the others notice it at different times
				r := f.routers[rapid.IntRange(0, n-1).Draw(t, "router")]
				r.stopped = !r.stopped
			case 1:
				r := f.routers[rapid.IntRange(0, n-1).Draw(t, "router")]
				r.cut = !r.cut
			}
			for i, r := range f.routers {
				if !r.stopped && !f.send(i) {
					t.Fatalf("router %d refused a request while another upstream has room", i)
				}
			}
		}
		if most := f.mostIn(named.Add(3 * time.Second)); most > allowed(perSecond) {
			t.Fatalf("%d requests in 4 s at a limit of %g a second; allowed %d", most, perSecond, allowed(perSecond))
		}
	})
}

// TestRequestLimitHoldsWhileViewsDiffer guards against routers that exceed a limit together because they count
// different numbers of routers, as at the start and the loss of routers, and because their clocks differ by seconds.
func TestRequestLimitHoldsWhileViewsDiffer(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := newLimitFleet(9, func(i int) time.Duration {
			if i%3 == 0 {
				return 2 * time.Second // a third of the clocks is ahead
			}
			return 0
		}, "limited", "other")
		f.named = 1 + rng.Float64()
		named := f.now
		for step := range 400 {
			f.step(25*time.Millisecond, 30*time.Millisecond)
			if step%80 == 40 {
				// Half of the routers see one router less for 0.6 s.
				for i := range f.routers {
					f.routers[i].position = Position{Index: max(0, i-i%2), Routers: 9 - i%2, Known: true}
				}
			} else if step%80 == 64 {
				for i := range f.routers {
					f.routers[i].position = Position{Index: i, Routers: 9, Known: true}
				}
			}
			for i := range f.routers {
				f.send(i)
			}
		}
		if most := f.mostIn(named.Add(3 * time.Second)); most > allowed(f.named) {
			t.Errorf("seed %d: %d requests in 4 s at a limit of %g a second; allowed %d", seed, most, f.named, allowed(f.named))
		}
	}
}

// TestSavedPermitsExpire guards against many idle routers that use saved permits at the same moment.
func TestSavedPermitsExpire(t *testing.T) {
	f := newLimitFleet(80, func(int) time.Duration { return 0 }, "limited")
	f.named = 1
	f.send(0)
	f.step(50*time.Millisecond, 0)
	f.step(3*time.Minute, 0) // every router has owned slots
	f.arrivals = nil
	for i := range f.routers {
		f.send(i)
	}
	is.New(t).Equal(len(f.arrivals), 1)
}

// TestRequestLimitIsUsedInFull guards against a fleet that refuses requests although the upstreams accept more: with
// all upstreams limited, the fleet uses nearly all that they accept.
func TestRequestLimitIsUsedInFull(t *testing.T) {
	for _, perSecond := range []float64{1, 7, 40} {
		f := newLimitFleet(9, func(int) time.Duration { return 0 }, "limited")
		f.named = perSecond
		for range 60 * 40 {
			f.step(25*time.Millisecond, 30*time.Millisecond)
			for i := range f.routers {
				f.send(i)
			}
		}
		if got := float64(len(f.arrivals)) / 60; got < 0.9*perSecond || got > 1.1*perSecond+0.2 {
			t.Errorf("%.2f requests a second at a limit of %g", got, perSecond)
		}
	}
}

// TestLimitEndsWhenTheUpstreamNamesNone guards against a limit that stays in force, also at routers that send the
// upstream nothing themselves, and against one that is ended by a response to an older request.
func TestLimitEndsWhenTheUpstreamNamesNone(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(3, func(int) time.Duration { return 0 }, "limited")
	early, err := f.routers[0].Pick(Request{Service: "s"})
	is.NoErr(err)
	f.step(10*time.Millisecond, 0)
	f.named = 2
	is.True(f.send(0))
	f.step(10*time.Millisecond, 0)
	early.RequestLimit(0, true)
	for _, r := range f.routers {
		is.Equal(r.limits["limited"].perSecond, 2.0) // the request of the response was sent before
	}
	f.named = 0
	for range 400 {
		f.step(25*time.Millisecond, 30*time.Millisecond)
		f.send(1)
	}
	for _, r := range f.routers {
		is.Equal(r.limits["limited"].perSecond, 0.0)
	}
}

// TestLimitOutlivesRegistration guards against a limit that is forgotten because the upstream was not registered for some
// seconds, as during an outage of the log.
func TestLimitOutlivesRegistration(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(1, func(int) time.Duration { return 0 }, "limited", "other")
	r, f2 := f.routers[0], catalogue.Catalogue{Upstreams: []catalogue.Upstream{{Name: "other", Kind: catalogue.KindService, Service: "s"}}}
	full := catalogue.Catalogue{Upstreams: append([]catalogue.Upstream{{Name: "limited", Kind: catalogue.KindService, Service: "s"}}, f2.Upstreams...)}
	f.named = 1
	for range 100 {
		f.send(0)
	}
	r.Update(catalogue.NewSnapshot(2, f2, nil))
	f.step(10*time.Second, 0)
	r.Update(catalogue.NewSnapshot(3, full, nil))
	is.Equal(r.byName["limited"].limit.perSecond, 1.0)
	r.Update(catalogue.NewSnapshot(4, f2, nil))
	f.step(2*time.Minute, 0)
	r.Update(catalogue.NewSnapshot(5, full, nil))
	is.Equal(r.byName["limited"].limit.perSecond, 0.0)
}

// TestUnknownPositionSendsNothing guards against a router that takes itself for the only one because it has not learned
// of the others yet.
func TestUnknownPositionSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(1, func(int) time.Duration { return 0 }, "limited")
	f.routers[0].position.Known = false
	f.named = 5
	is.True(f.send(0))
	f.step(5*time.Second, 0)
	_, err := f.routers[0].Pick(Request{Service: "s"})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.Equal(none.RetryAfter, noUpstreamRetryAfter)
}
