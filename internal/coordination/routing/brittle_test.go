package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// brittleStep is the step of the simulated time, and also the time from the choice of an upstream to the arrival.
	brittleStep = 5 * time.Millisecond
	// brittleGrace is the time from the first statement of a limit to its effect.
	brittleGrace = 3 * time.Second
	// brittleRestart is the mean time until an upstream that fell over is back.
	brittleRestart = 4 * time.Second
	// brittleReportDelay is the time until a message of a router reaches the others.
	brittleReportDelay = 130 * time.Millisecond
)

// brittleScenario is a service whose upstreams are brittle for a time, in which it gets more requests than it can run.
type brittleScenario struct {
	name                      string
	routers, upstreams, slots int
	// limit is the number of rejections in a second above which an upstream falls over.
	limit float64
	// duration is the mean duration of a request. The load of a streamed response is stated at its beginning.
	duration time.Duration
	streamed bool
	// normal and overload are the loads in multiples of the capacity, burst that of short bursts within the overload.
	normal, overload, burst float64
	// memory is the fraction of the slots that the upstream can use at a time, for lack of another resource; 0 means 1.
	memory float64
	// left is the fraction of requests whose callers leave halfway, although the upstream runs them to their end.
	left float64
	// cut is the number of routers that reach no others.
	cut int
}

// brittleFleet simulates routers that share brittle upstreams. Time advances in steps.
type brittleFleet struct {
	brittleScenario
	now       time.Time
	rng       *rand.Rand
	routers   []*Router
	weights   []float64
	retries   []*WindowRetryBudget
	upstreams map[string]*brittleUpstream
	names     []string
	// namedAt and endedAt are when the upstreams begin to name a limit and when they name none any more.
	namedAt, endedAt time.Time
	events           map[time.Time][]func()
	reports          []brittleMessage

	// possible is the number of requests that the upstreams could run if they arrived evenly.
	possible                                                        float64
	offered, served, refusedByRouters, rejected, unreachable, falls int
}

type brittleUpstream struct {
	running    int
	waiting    []*Attempt
	rejections []time.Time
	downUntil  time.Time
	epoch      int
}

func newBrittleFleet(s brittleScenario, seed uint64) *brittleFleet {
	f := &brittleFleet{
		brittleScenario: s, now: time.UnixMilli(1_700_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)),
		upstreams: make(map[string]*brittleUpstream), events: make(map[time.Time][]func()),
	}
	var list []catalogue.Upstream
	for i := range s.upstreams {
		name := fmt.Sprintf("u%03d", i)
		f.names = append(f.names, name)
		f.upstreams[name] = &brittleUpstream{}
		list = append(list, catalogue.Upstream{Name: name, Kind: catalogue.KindService, Service: "s", Concurrency: s.slots})
	}
	snapshot := catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil)
	total := 0.0
	for i := range s.routers {
		r := New(Config{
			Now: func() time.Time { return f.now }, Routers: func() int { return s.routers },
			Position: func() Position { return Position{Index: i, Routers: s.routers, Known: true} },
			Rand:     rand.New(rand.NewPCG(seed, uint64(i)+2)),
		})
		r.Update(snapshot)
		f.routers = append(f.routers, r)
		f.retries = append(f.retries, NewWindowRetryBudget(WindowConfig{
			Ratio: 0.2, Extra: 58, Length: 10 * time.Second, Routers: func() int { return s.routers }, Now: func() time.Time { return f.now },
		}))
		// Load balancers do not distribute callers evenly.
		f.weights = append(f.weights, 0.5+1.5*f.rng.Float64())
		total += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	return f
}

func (f *brittleFleet) after(d time.Duration, run func()) {
	at := f.now.Add(max(d, brittleStep)).Truncate(brittleStep)
	f.events[at] = append(f.events[at], run)
}

// limitNow returns the limit that the upstreams name, and whether they name one.
func (f *brittleFleet) limitNow() (limit float64, named bool) {
	return f.limit, !f.now.Before(f.namedAt) && f.now.Before(f.endedAt)
}

// usable returns how many requests an upstream can run.
func (f *brittleFleet) usable() int {
	if f.memory > 0 {
		return int(f.memory * float64(f.slots))
	}
	return f.slots
}

// queueSize returns how many requests may wait at an upstream.
func (f *brittleFleet) queueSize() int {
	if _, named := f.limitNow(); named && f.now.Sub(f.namedAt) >= brittleGrace {
		return f.slots / 6
	}
	return f.slots / 2
}

// call is a request of a caller, which tries once more at another router if the first one refuses.
func (f *brittleFleet) call(router, tries int) {
	f.retries[router].RecordRequest()
	f.attempt(router, tries, Request{Service: "s"}, 0, 0)
}

func (f *brittleFleet) refuse(tries int, retryAfter time.Duration) {
	f.refusedByRouters++
	if tries < 1 {
		f.after(retryAfter, func() { f.call(f.rng.IntN(len(f.routers)), tries+1) })
	}
}

func (f *brittleFleet) attempt(router, tries int, req Request, unsent, rejected int) {
	r := f.routers[router]
	a, err := r.Pick(req)
	if err != nil {
		var none *NoUpstreamError
		retryAfter := 300 * time.Millisecond
		if errors.As(err, &none) {
			retryAfter = none.RetryAfter
		}
		f.refuse(tries, retryAfter)
		return
	}
	name := a.Upstream().Name
	u := f.upstreams[name]
	next := req
	next.Exclude = append(slices.Clone(req.Exclude), name)
	f.after(0, func() {
		switch {
		case f.now.Before(u.downUntil):
			f.unreachable++
			a.Done(ResultUnreachable)
			if unsent < 3 {
				f.attempt(router, tries, next, unsent+1, rejected)
			} else {
				f.refuse(tries, noUpstreamRetryAfter)
			}
		case u.running < f.usable():
			f.run(u, a)
		case len(u.waiting) < f.queueSize():
			u.waiting = append(u.waiting, a)
		default:
			f.rejected++
			f.state(a, u, true)
			a.Done(ResultRefused)
			f.reject(u)
			if rejected+1 < 3 && f.retries[router].TryRetry() {
				f.attempt(router, tries, next, unsent, rejected+1)
			} else {
				f.refuse(tries, 300*time.Millisecond)
			}
		}
	})
}

func (f *brittleFleet) run(u *brittleUpstream, a *Attempt) {
	u.running++
	if f.streamed {
		f.state(a, u, false)
	}
	epoch, duration, hasLeft := u.epoch, time.Duration((0.5+f.rng.Float64())*float64(f.duration)), f.rng.Float64() < f.left
	if hasLeft {
		f.after(duration/2, func() { a.Done(ResultAbandoned) })
	}
	f.after(duration, func() {
		if epoch != u.epoch {
			a.Done(ResultFailed) // the upstream has fallen over
			return
		}
		u.running--
		if !hasLeft {
			f.served++
			f.state(a, u, false)
			a.Done(ResultOK)
		}
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			f.run(u, next)
		}
	})
}

// reject counts a rejection; an upstream with too many of them in a second falls over.
func (f *brittleFleet) reject(u *brittleUpstream) {
	limit, named := f.limitNow()
	if !named || f.now.Sub(f.namedAt) < brittleGrace {
		return
	}
	u.rejections = slices.DeleteFunc(u.rejections, func(at time.Time) bool { return f.now.Sub(at) >= time.Second })
	if u.rejections = append(u.rejections, f.now); float64(len(u.rejections)) <= limit {
		return
	}
	f.falls++
	for _, a := range u.waiting {
		a.Done(ResultFailed)
	}
	*u = brittleUpstream{downUntil: f.now.Add(time.Duration((0.75 + 0.5*f.rng.Float64()) * float64(brittleRestart))), epoch: u.epoch + 1}
}

// play simulates a time of brittleness and returns the falls that are allowed in it.
func (f *brittleFleet) play() (allowed int) {
	const normal, brittle, overload, total = 2 * time.Second, 6 * time.Second, 12 * time.Second, 24 * time.Second
	start := f.now
	f.namedAt, f.endedAt = start.Add(normal), start.Add(20*time.Second)
	capacity := float64(f.brittleScenario.upstreams*f.usable()) / f.duration.Seconds()
	for f.now.Sub(start) < total {
		f.now = f.now.Add(brittleStep)
		due := f.events[f.now]
		delete(f.events, f.now)
		for _, run := range due {
			run()
		}
		f.exchange()
		at, load := f.now.Sub(start), f.normal
		if at >= brittle && at < brittle+overload {
			load = f.overload
			if at%(1700*time.Millisecond) < 300*time.Millisecond {
				load = f.burst
			}
		}
		for i, weight := range f.weights {
			for n := f.poisson(load * capacity * weight * brittleStep.Seconds()); n > 0; n-- {
				f.offered++
				f.call(i, 0)
			}
		}
		f.possible += min(load, 1) * (1 - f.left) * capacity * brittleStep.Seconds()
	}
	return 2 + len(f.names)/10
}

func (f *brittleFleet) poisson(mean float64) int {
	n := 0
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

var brittleScenarios = []brittleScenario{
	{name: "plain, 9 routers", routers: 9, upstreams: 4, slots: 6, limit: 5, duration: 30 * time.Millisecond, normal: 0.3, overload: 1.5, burst: 4},
	{name: "plain, 9 routers, low load", routers: 9, upstreams: 4, slots: 6, limit: 5, duration: 30 * time.Millisecond, normal: 0.1, overload: 0.3, burst: 1},
	{name: "plain, 9 routers, limit 1", routers: 9, upstreams: 4, slots: 6, limit: 1, duration: 30 * time.Millisecond, normal: 0.3, overload: 1.5, burst: 4},
	{name: "engines, 9 routers", routers: 9, upstreams: 18, slots: 64, limit: 6, duration: 900 * time.Millisecond, streamed: true, normal: 0.3, overload: 1.5, burst: 4},
	{name: "engines, 9 routers, some cut off", routers: 9, upstreams: 18, slots: 64, limit: 6, duration: 900 * time.Millisecond, streamed: true, normal: 0.3, overload: 1.5, burst: 4, cut: 2},
	{name: "engines, 9 routers, short of memory", routers: 9, upstreams: 18, slots: 64, limit: 3, duration: 900 * time.Millisecond, streamed: true, memory: 0.5, normal: 0.3, overload: 1.5, burst: 4},
	{name: "engines, 60 routers, short of memory", routers: 60, upstreams: 20, slots: 64, limit: 3, duration: 900 * time.Millisecond, streamed: true, memory: 0.5, normal: 0.3, overload: 1.5, burst: 4},
	{name: "plain, 9 routers, idle before", routers: 9, upstreams: 4, slots: 6, limit: 5, duration: 30 * time.Millisecond, overload: 1.5, burst: 4},
	{name: "plain, 9 routers, callers leave", routers: 9, upstreams: 4, slots: 6, limit: 5, duration: 30 * time.Millisecond, left: 0.3, normal: 0.3, overload: 1.5, burst: 4},
	{name: "engines, 9 routers, callers leave", routers: 9, upstreams: 18, slots: 64, limit: 6, duration: 900 * time.Millisecond, streamed: true, left: 0.3, normal: 0.3, overload: 1.5, burst: 4},
	{name: "plain, 9 routers, no rejection allowed", routers: 9, upstreams: 4, slots: 6, duration: 30 * time.Millisecond, normal: 0.3, overload: 1.5, burst: 4},
	{name: "plain, 60 routers", routers: 60, upstreams: 12, slots: 6, limit: 8, duration: 30 * time.Millisecond, normal: 0.3, overload: 1.5, burst: 4},
	{name: "plain, 60 routers, low load", routers: 60, upstreams: 4, slots: 6, limit: 5, duration: 30 * time.Millisecond, normal: 0.1, overload: 0.3, burst: 1},
	{name: "engines, 60 routers", routers: 60, upstreams: 20, slots: 64, limit: 10, duration: 900 * time.Millisecond, streamed: true, normal: 0.3, overload: 1.5, burst: 4},
}

// Guards against routers that together make brittle upstreams reject so many requests that they fall over, while
// more requests come than the upstreams can run, and against routers that keep to this by serving little.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for _, s := range brittleScenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range seeds {
				f := newBrittleFleet(s, seed)
				allowed := f.play()
				t.Logf("seed %d: %d falls (%d allowed), %d of %d served, %.0f possible, %d refused by routers, %d rejected, %d unreachable",
					seed, f.falls, allowed, f.served, f.offered, f.possible, f.refusedByRouters, f.rejected, f.unreachable)
				if f.falls > allowed {
					t.Errorf("seed %d: %d falls; allowed %d", seed, f.falls, allowed)
				}
				if float64(f.served) < f.possible/2 {
					t.Errorf("seed %d: %d requests served of %.0f that the upstreams could run", seed, f.served, f.possible)
				}
			}
		})
	}
}

// state reports what a response says about its upstream.
func (f *brittleFleet) state(a *Attempt, u *brittleUpstream, rejected bool) {
	a.Load(u.running, len(u.waiting), f.slots, 0)
	if limit, named := f.limitNow(); named {
		a.RejectionLimit(&limit, !rejected)
	} else {
		a.RejectionLimit(nil, !rejected)
	}
	if rejected {
		a.Rejected()
	}
}

// exchange delivers the routers' messages.
func (f *brittleFleet) exchange() {
	if f.now.UnixMilli()%100 == 0 {
		for from, r := range f.routers {
			if body := r.TakeBrittleReports(); !body.Empty() && from >= f.cut {
				f.reports = append(f.reports, brittleMessage{f.now.Add(brittleReportDelay - 100*time.Millisecond), from, body})
			}
		}
	}
	f.reports = slices.DeleteFunc(f.reports, func(m brittleMessage) bool {
		if f.now.Before(m.at) {
			return false
		}
		for to := f.cut; to < len(f.routers); to++ {
			if to != m.from {
				f.routers[to].MergeBrittle(m.body)
			}
		}
		return true
	})
}

type brittleMessage struct {
	at   time.Time
	from int
	body BrittleReports
}
