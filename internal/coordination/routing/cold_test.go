package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// coldRouters is the number of routers of the deployment with cold starts, coldPerS and coldLength its settings.
	coldRouters = 59
	coldPerS    = 8.7
	coldLength  = 3 * time.Second
	// renewal is the time between two records of an upstream, and readEvery that between two reads of a router.
	renewal   = 1200 * time.Millisecond
	readEvery = 590 * time.Millisecond
	// evacuationRead is the longest time until a router in touch knows of an evacuation or its end.
	evacuationRead = 1200 * time.Millisecond
	// maxSkewMillis is by how much clocks differ at most.
	maxSkewMillis = 2000
)

// coldFleet simulates routers and upstreams that turn cold. Time advances in steps.
type coldFleet struct {
	now       time.Time
	routers   []*coldRouter
	upstreams []*coldUpstream
	// evacuated is true while the records say that the first zone is evacuated.
	evacuated bool
}

type coldRouter struct {
	*Router
	position Position
	skew     time.Duration
	// readAt is the time of the last read, and read the revisions that it had. configAt is when the configuration is read next.
	readAt, configAt time.Time
	read             map[string]uint64
	cut, stopped     bool
	startedAt        time.Time
}

type coldUpstream struct {
	catalogue.Upstream
	coldUntil time.Time
	renewAt   time.Time
	revision  uint64
	remaining time.Duration
	// arrivals are the requests that reached it while it was cold.
	arrivals []time.Time
}

func newColdFleet(upstreams int, perSecond float64, skew func(i int) time.Duration) *coldFleet {
	f := &coldFleet{now: time.UnixMilli(1_700_000_000_000)}
	for i := range upstreams {
		u := &coldUpstream{Upstream: catalogue.Upstream{
			Name: strconv.Itoa(i), Kind: catalogue.KindEngine, Models: []string{"m"}, Zone: []string{"z1", "z2", "z3"}[i%3],
			Concurrency: 1000, ColdStart: coldLength, ColdPerSecond: perSecond,
		}, revision: 1}
		u.renewAt = f.now.Add(time.Duration(i) * renewal / time.Duration(upstreams))
		f.upstreams = append(f.upstreams, u)
	}
	for i := range coldRouters {
		f.routers = append(f.routers, &coldRouter{skew: skew(i)})
		f.start(i, Position{Index: i, Routers: coldRouters, Known: true})
	}
	return f
}

// start starts the process of a router anew.
func (f *coldFleet) start(i int, p Position) {
	r := f.routers[i]
	r.position, r.stopped, r.read = p, false, make(map[string]uint64)
	r.Router = New(Config{
		Now: func() time.Time { return f.now.Add(r.skew) }, Routers: func() int { return r.position.Routers },
		Position: func() Position { return r.position }, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		Zone: "z1", // so that all routers prefer the upstreams that turn cold
	})
	r.readAt, r.startedAt = time.Time{}, f.now
	f.readRecords(r)
	f.readConfig(r)
}

func (f *coldFleet) readConfig(r *coldRouter) {
	var list []catalogue.Upstream
	for _, u := range f.upstreams {
		list = append(list, u.Upstream)
	}
	zones := make(map[string]struct{})
	if f.evacuated {
		zones["z1"] = struct{}{}
	}
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil).WithEvacuated(zones))
	r.configAt = f.now.Add(evacuationRead)
}

func (f *coldFleet) readRecords(r *coldRouter) {
	var records []ColdRecord
	after := r.readAt
	if !after.IsZero() {
		after = after.Add(r.skew)
	}
	for _, u := range f.upstreams {
		if r.read[u.Name] != u.revision {
			r.read[u.Name] = u.revision
			records = append(records, ColdRecord{
				Upstream: u.Name, Revision: u.revision, Remaining: u.remaining, WrittenAfter: after, ReadAt: f.now.Add(r.skew),
			})
		}
	}
	r.ApplyColdRecords(records)
	r.readAt = f.now
}

// turnCold begins a cold start of the upstreams of a zone.
func (f *coldFleet) turnCold(zone string) {
	for _, u := range f.upstreams {
		if u.Zone == zone {
			u.coldUntil = f.now.Add(coldLength)
		}
	}
}

// step advances the time. Upstreams write their records, and routers read them.
func (f *coldFleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, u := range f.upstreams {
		if !f.now.Before(u.renewAt) {
			u.renewAt = u.renewAt.Add(renewal)
			u.revision, u.remaining = u.revision+1, max(0, u.coldUntil.Sub(f.now))
		}
	}
	for _, r := range f.routers {
		if r.cut || r.stopped {
			continue
		}
		if f.now.Sub(r.readAt) >= readEvery {
			f.readRecords(r)
		}
		if !f.now.Before(r.configAt) {
			f.readConfig(r)
		}
	}
}

// send sends a request through a router and returns its upstream.
func (f *coldFleet) send(i int, req Request) (*coldUpstream, *Attempt, error) {
	a, err := f.routers[i].Pick(req)
	if err != nil {
		return nil, nil, err
	}
	n, err := strconv.Atoi(a.Upstream().Name)
	if err != nil {
		return nil, nil, err
	}
	u := f.upstreams[n]
	if f.now.Before(u.coldUntil) {
		u.arrivals = append(u.arrivals, f.now)
	}
	return u, a, nil
}

// mostInSecond returns the largest number of requests in one second that reached an upstream while it was cold.
func (u *coldUpstream) mostInSecond() (most int) {
	last := 0
	for i, at := range u.arrivals {
		for last < len(u.arrivals) && u.arrivals[last].Sub(at) < time.Second {
			last++
		}
		most = max(most, last-i)
	}
	return most
}

// TestColdUpstreamsOfAnEvacuatedZone guards against a fleet of 59 routers that sends an upstream which turned cold as the
// evacuation of its zone was taken back more than cold_per_s x 1.5 + 5 requests in a second, while routers restart, are cut
// off from the store, join late and count different numbers of routers, and clocks differ. It also guards against refusals
// while other zones serve.
func TestColdUpstreamsOfAnEvacuatedZone(t *testing.T) {
	highest, upstreams := 0.0, 30 // highest is a part of the bound
	if testing.Short() {
		upstreams = 9
	}
	rapid.Check(t, func(t *rapid.T) {
		skews := rapid.IntRange(0, maxSkewMillis).Draw(t, "skew_ms")
		every := rapid.IntRange(2, 16).Draw(t, "steps_between_requests")
		perSecond := rapid.Float64Range(2, 30).Draw(t, "cold_per_s")
		f := newColdFleet(upstreams, perSecond, func(i int) time.Duration { return time.Duration(i*37%(skews+1)) * time.Millisecond })
		f.evacuated = true
		for range 60 {
			f.step(25 * time.Millisecond)
		}
		// Some neighbouring routers, such as those of a zone, have sent no heartbeats, which a group of the others has noticed.
		lost, lostSize := rapid.IntRange(0, coldRouters-1).Draw(t, "lost"), rapid.IntRange(0, 20).Draw(t, "lost_size")
		first, size := rapid.IntRange(0, coldRouters-1).Draw(t, "first"), rapid.IntRange(0, coldRouters).Draw(t, "size")
		end := min(coldRouters, lost+lostSize)
		for i := first; i < min(coldRouters, first+size); i++ {
			switch {
			case i < lost:
				f.routers[i].position = Position{Index: i, Routers: coldRouters - (end - lost), Known: true}
			case i >= end:
				f.routers[i].position = Position{Index: i - (end - lost), Routers: coldRouters - (end - lost), Known: true}
			}
		}
		f.evacuated = false
		f.turnCold("z1")
		for step := range 130 {
			f.step(25 * time.Millisecond)
			i := rapid.IntRange(0, coldRouters-1).Draw(t, "router")
			r := f.routers[i]
			switch rapid.IntRange(0, 15).Draw(t, "event") {
			case 0:
				r.cut = !r.cut
			case 1: // restarts, and joins once it knows the others
				if !r.cut {
					f.start(i, Position{Index: i, Routers: coldRouters, Known: rapid.Bool().Draw(t, "known")})
				}
			case 2:
				r.position = Position{Index: i, Routers: coldRouters, Known: true}
			case 3:
				r.stopped = !r.stopped
			}
			for i, r := range f.routers {
				if r.stopped || (i+step)%every != 0 {
					continue
				}
				_, a, err := f.send(i, Request{Model: "m"})
				if err != nil && (!r.position.Known || f.now.Sub(r.startedAt) < coldLength) {
					continue
				}
				if err != nil {
					t.Fatalf("router %d refused a request while other zones serve: %v", i, err)
				}
				a.Done(ResultOK)
			}
		}
		for _, u := range f.upstreams {
			most := u.mostInSecond()
			bound := perSecond*DefaultColdOvershoot + DefaultColdSlack
			highest = max(highest, float64(most)/bound)
			if float64(most) >= bound {
				t.Fatalf("%d requests in a second reached %s, which is cold and bears %.1f; the bound is %.1f", most, u.Name, perSecond, bound)
			}
		}
	})
	t.Logf("most requests in a second: %.2f of the bound", highest)
}

// TestOnlyColdUpstreamsUsePermitsInFull guards against a fleet that refuses more than it must when all upstreams of a service
// are cold, and against refusals that name no time of a permit.
func TestOnlyColdUpstreamsUsePermitsInFull(t *testing.T) {
	is := is.New(t)
	f := newColdFleet(6, coldPerS, func(int) time.Duration { return 0 })
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.turnCold(zone)
	}
	for _, u := range f.upstreams {
		u.coldUntil, u.renewAt = f.now.Add(time.Minute), f.now
	}
	for range 40 {
		f.step(25 * time.Millisecond)
	}
	is.Equal(f.routers[0].Capacity("m", ""), 53) // 6 x 8.7
	f.routers[0].position.Known = false
	_, _, err := f.send(0, Request{Model: "m"})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.Equal(none.RetryAfter, coldPositionRetryAfter)
	f.routers[0].position.Known = true
	sent := 0
	const steps = 400
	for range steps {
		f.step(25 * time.Millisecond)
		for i := range f.routers {
			_, a, err := f.send(i, Request{Model: "m"})
			if err == nil {
				sent++
				a.Done(ResultOK)
				continue
			}
			var none *NoUpstreamError
			is.True(errors.As(err, &none))
			is.True(none.RetryAfter >= minLimitRetryAfter && none.RetryAfter <= noUpstreamRetryAfter)
		}
	}
	perUpstream := float64(sent) / (steps * 0.025) / float64(len(f.upstreams))
	if perUpstream < 0.9*coldPerS || perUpstream > 1.1*coldPerS {
		t.Errorf("each cold upstream got %.2f requests a second of %.1f", perUpstream, coldPerS)
	}
	for _, u := range f.upstreams {
		is.True(float64(u.mostInSecond()) < coldPerS*DefaultColdOvershoot+DefaultColdSlack)
	}
}

// TestLostUpstreamIsColdUntilALaterRecord guards against an upstream that counts as warm because of a record that was written
// before its connections were refused but read afterwards, against one that stays cold, and against the use of a record that
// a restored log lists again.
func TestLostUpstreamIsColdUntilALaterRecord(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	r := New(Config{Now: func() time.Time { return now }})
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
		{Name: "a", Kind: catalogue.KindEngine, Models: []string{"m"}, Concurrency: 100, ColdPerSecond: coldPerS},
		{Name: "b", Kind: catalogue.KindEngine, Models: []string{"m"}, Concurrency: 100},
	}}, nil))
	read := func(revision uint64, remaining time.Duration, after time.Time) {
		r.ApplyColdRecords([]ColdRecord{{Upstream: "a", Revision: revision, Remaining: remaining, WrittenAfter: after, ReadAt: now}})
	}
	isCold := func() bool { return r.byName["a"].isCold(now) }
	read(1, 0, now)
	is.True(!isCold())
	is.Equal(r.Capacity("m", ""), 200)
	for _, result := range []Result{ResultUnreachable, ResultLost, ResultCrashed} {
		before := now
		now = now.Add(time.Second)
		a, err := r.Pick(Request{Model: "m", Exclude: []string{"b"}})
		is.NoErr(err)
		a.Done(result)
		is.True(isCold())
		revision := r.cold["a"].revision
		read(revision+1, 0, before) // may have been written before
		is.True(isCold())
		now = now.Add(time.Second)
		read(revision+2, 500*time.Millisecond, now.Add(-100*time.Millisecond))
		is.True(isCold())
		now = now.Add(600 * time.Millisecond)
		is.True(!isCold())
		read(revision, time.Hour, now) // an older record
		is.True(!isCold())
		now = now.Add(10 * time.Second)
	}
	a, err := r.Pick(Request{Model: "m", Exclude: []string{"a"}})
	is.NoErr(err)
	a.Done(ResultLost)
	is.True(!r.byName["b"].isCold(now)) // its service has no cold starts
}

// TestLowerOfTwoLimitsCounts guards against an upstream that gets more than the limit it names because it is cold, and the
// other way round.
func TestLowerOfTwoLimitsCounts(t *testing.T) {
	for _, c := range []struct{ named, cold, want float64 }{{2, 8, 2}, {20, 8, 8}, {0, 8, 8}, {20, 0, 20}} {
		f := newLimitFleet(9, func(int) time.Duration { return 0 })
		sent := 0
		for _, r := range f.routers {
			r.Update(catalogue.NewSnapshot(2, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
				{Name: "limited", Kind: catalogue.KindService, Service: "s", Concurrency: 10000, ColdPerSecond: c.cold},
			}}, nil))
			r.MergeLimits(LimitReports{{Upstream: "limited", PerSecond: c.named}})
			r.ApplyColdRecords([]ColdRecord{{Upstream: "limited", Revision: 1, Remaining: time.Hour, ReadAt: f.now}})
		}
		for range 400 {
			f.step(25*time.Millisecond, 0)
			for _, r := range f.routers {
				if a, err := r.Pick(Request{Service: "s"}); err == nil {
					sent++
					a.Done(ResultOK)
				}
			}
		}
		if got := float64(sent) / 10; got > 1.1*c.want+0.2 || got < 0.85*c.want {
			t.Errorf("%.1f requests a second with a named limit of %g and a cold one of %g", got, c.named, c.cold)
		}
	}
}

// TestColdBrittleUpstreamCountsWithItsPermits guards against a router that admits more requests than it has permits for when
// the upstreams are brittle and cold, and against one that admits none.
func TestColdBrittleUpstreamCountsWithItsPermits(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	r := New(Config{Now: func() time.Time { return now }, Position: func() Position { return Position{Routers: 2, Known: true} }})
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
		{Name: "a", Kind: catalogue.KindEngine, Models: []string{"m"}, Concurrency: 100, ColdPerSecond: coldPerS},
	}}, nil))
	r.MergeBrittle(BrittleReports{{Upstream: "a", Named: true, Limit: 5, Shown: 100}})
	warm, brittle := r.OwnCapacity("m", "")
	is.True(brittle && warm > 40)
	r.ApplyColdRecords([]ColdRecord{{Upstream: "a", Revision: 1, Remaining: time.Second, ReadAt: now}})
	cold, brittle := r.OwnCapacity("m", "")
	is.True(brittle)
	is.Equal(cold, 5) // half of 8.7
}
