package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

func newMeasuringRouter(n int) (*Router, *fakeClock) {
	r, clock := newRouter(n)
	r.cfg.Measure = MeasureAll
	for _, t := range r.times {
		t.inUse = true
	}
	return r, clock
}

// run makes one attempt at an upstream that takes the given time to the first event. The response states the load and, if
// work is above 0, the duration of work.
func run(t *testing.T, r *Router, clock *fakeClock, req Request, d time.Duration, running, work int) {
	t.Helper()
	a := pick(t, r, req)
	clock.advance(d)
	a.Load(running, 0, 8, work)
	a.Event()
	a.Complete()
	a.Done(ResultOK)
}

// only returns a request that only one of the n test engines may take.
func only(i, n int) Request {
	var exclude []string
	for j := range n {
		if j != i {
			exclude = append(exclude, fmt.Sprintf("e%03d", j))
		}
	}
	return Request{Exclude: exclude}
}

// measure runs rounds of one request at each engine. Engine i takes slowness[i] times as long as usual, and longer at the
// load running[i], which it states.
func measure(t *testing.T, r *Router, clock *fakeClock, rounds int, slowness []float64, running []int) {
	t.Helper()
	n := len(slowness)
	for range rounds {
		for i := range n {
			usual := 0.01 + 0.1*float64(running[i])/8
			run(t, r, clock, only(i, n), time.Duration(usual*slowness[i]*float64(time.Second)), running[i], 0)
		}
		clock.advance(300 * time.Millisecond)
	}
}

func (r *Router) lastingOf(name string, now time.Time) float64 {
	s := r.byName[name]
	return s.speed.lastingSlowness(s.times, now)
}

// Load pattern: uneven speeds from 0.7 to 1.7, and uneven load. Guards against a busy fast upstream that looks slow, and an
// idle slow one that looks fast.
func TestSpeedIsCorrectedForLoad(t *testing.T) {
	is := is.New(t)
	r, clock := newMeasuringRouter(5)
	measure(t, r, clock, 80, []float64{0.7, 1.7, 1, 1, 1}, []int{8, 1, 4, 1, 7})
	fast, slow := r.lastingOf("e000", clock.now), r.lastingOf("e001", clock.now)
	t.Logf("fast and busy %.2f, slow and idle %.2f", fast, slow)
	is.True(fast < 0.85)
	is.True(slow > 1.35)
	for _, name := range []string{"e002", "e003", "e004"} {
		is.True(math.Abs(r.lastingOf(name, clock.now)-1) < 0.15)
	}
	// The start values have given way to the measured costs.
	w := r.byName["e002"].times.first.weights
	is.True(math.Abs(w[0]-0.01) < 0.005)
	is.True(math.Abs(w[2]-0.1) < 0.03)
}

// Load pattern: bursts of 2.5 times slower work, with true and false reports. Guards against reports that are believed
// although measured times contradict them, or ignored although they agree, and against a stale one.
func TestWorkReportIsBelievedAsFarAsMeasured(t *testing.T) {
	for name, c := range map[string]struct {
		report   func(slow bool) int
		believed bool
	}{
		"true":        {func(slow bool) int { return map[bool]int{false: 100, true: 250}[slow] }, true},
		"always slow": {func(bool) int { return 250 }, false},
		"always fast": {func(bool) int { return 40 }, false},
		"inverse":     {func(slow bool) int { return map[bool]int{false: 250, true: 100}[slow] }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, clock := newMeasuringRouter(4)
			measure(t, r, clock, 30, []float64{1, 1, 1, 1}, []int{1, 1, 1, 1})
			for i := range 60 {
				slow, d := i%4 == 0, 22*time.Millisecond
				if slow {
					d = 55 * time.Millisecond
				}
				run(t, r, clock, only(0, 4), d, 1, c.report(slow))
				clock.advance(2 * time.Second)
				measure(t, r, clock, 1, []float64{1, 1, 1, 1}, []int{1, 1, 1, 1})
			}
			s := r.byName["e000"]
			trust := s.speed.reportTrust(s.times)
			t.Logf("trust %.2f, lasting slowness %.2f", trust, s.speed.lastingSlowness(s.times, clock.now))
			is.True(c.believed == (trust > 0.6))
			is.True(c.believed || trust < 0.35)
			is.True(math.Abs(s.speed.lastingSlowness(s.times, clock.now)-1) < 0.25)
			if c.believed {
				before := s.speed.slowness(s.times, clock.now)
				s.speed.workLog, s.speed.workAt = math.Log(2.5), clock.now
				is.True(s.speed.slowness(s.times, clock.now) > 1.6*before)
				clock.advance(time.Second)
				is.True(s.speed.slowness(s.times, clock.now) < 1.05*before)
			}
		})
	}
}

// Load pattern: an upstream that was slow and is usual again, among idle ones. Guards against an upstream that gets no
// requests because of an old measurement.
func TestSlowUpstreamIsMeasuredAgain(t *testing.T) {
	is := is.New(t)
	r, clock := newMeasuringRouter(4)
	measure(t, r, clock, 60, []float64{1.7, 1, 1, 1}, []int{1, 1, 1, 1})
	is.True(r.lastingOf("e000", clock.now) > 1.35)
	used := 0
	for range 1800 { // 2 requests in 200 ms, for six minutes
		a, b := pick(t, r, Request{}), pick(t, r, Request{})
		clock.advance(22 * time.Millisecond)
		for _, x := range []*Attempt{a, b} {
			if x.Upstream().Name == "e000" {
				used++
			}
			x.Load(1, 0, 8, 0)
			x.Event()
			x.Complete()
			x.Done(ResultOK)
		}
		clock.advance(178 * time.Millisecond)
	}
	t.Logf("%d of 3600 requests, slowness %.2f", used, r.lastingOf("e000", clock.now))
	is.True(used > 100)
	is.True(r.lastingOf("e000", clock.now) < 1.15)
}

// Guards against a restarted upstream that keeps the speed of its former process, and against the loss of a speed while the
// record of an upstream is missing for some seconds.
func TestRestartIsMeasuredAnew(t *testing.T) {
	is := is.New(t)
	r, clock := newMeasuringRouter(4)
	measure(t, r, clock, 40, []float64{1.7, 1, 1, 1}, []int{1, 1, 1, 1})
	slow := r.lastingOf("e000", clock.now)
	is.True(slow > 1.3)
	r.Update(catalogue.NewSnapshot(2, catalogue.Catalogue{}, nil))
	clock.advance(5 * time.Second)
	r.Update(engines(4))
	is.True(r.lastingOf("e000", clock.now) > 1+0.7*(slow-1)) // it fades while nobody measures it
	r.Report(Report{Upstream: "e000"})
	r.Report(Report{Upstream: "e000", Incarnation: "new"})
	is.Equal(r.byName["e000"].speed.own.weight, 0.0)
	is.True(r.lastingOf("e000", clock.now) < 1.1)
}

// Load pattern: a hot prefix. Guards against the upstream that all routers prefer being chosen although it is full, runs
// out of memory for cached parts, or has just restarted, and against it being left while it is the best one.
func TestPreferredUpstreamAgainstWait(t *testing.T) {
	hashes := make([]uint64, 20)
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	req := Request{Model: testModel, PrefixHashes: hashes, SharedBlocks: 20}
	for name, c := range map[string]struct {
		apply func(r *Router, clock *fakeClock, preferred *upstreamState)
		taken bool
	}{
		"idle": {func(*Router, *fakeClock, *upstreamState) {}, true},
		"busy": {func(r *Router, _ *fakeClock, s *upstreamState) {
			r.Report(Report{Upstream: s.upstream.Name, Running: 2})
		}, true},
		"full": {func(r *Router, _ *fakeClock, s *upstreamState) {
			r.Report(Report{Upstream: s.upstream.Name, Running: 24, Waiting: 60})
		}, false},
		"out of memory": {func(_ *Router, clock *fakeClock, s *upstreamState) {
			for range 20 {
				s.speed.noteHeld(false, clock.now)
			}
			s.sends.add(1, 3, clock.now, minSendMemory)
		}, false},
		"restarted": {func(r *Router, _ *fakeClock, s *upstreamState) {
			r.Report(Report{Upstream: s.upstream.Name})
			r.Report(Report{Upstream: s.upstream.Name, Incarnation: "new"})
			r.Report(Report{Upstream: s.upstream.Name, Incarnation: "new", Running: 1})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, clock := newMeasuringRouter(4)
			r.cfg.Routers = func() int { return 3 }
			preferred := r.preferredUpstream(&req, r.upstreamsFor(&req), clock.now)
			c.apply(r, clock, preferred)
			s, _ := r.pick(&req, false, Position{Routers: 3, Known: true}, clock.now)
			is.Equal(s == preferred, c.taken)
		})
	}
}

// Guards against speeds of other routers that have no effect, that are passed on and so counted again and again, or that
// outweigh a router's own measurements, and against malformed ones.
func TestPeersSpeeds(t *testing.T) {
	is := is.New(t)
	a, clockA := newMeasuringRouter(4)
	measure(t, a, clockA, 40, []float64{1.7, 1, 1, 1}, []int{1, 1, 1, 1})
	b, clockB := newMeasuringRouter(4)
	reports := a.ExportSpeeds()
	is.True(!reports.Empty())
	b.MergeSpeeds(reports)
	is.True(b.lastingOf("e000", clockB.now) > 1.2)
	is.True(b.ExportSpeeds().Empty())
	for range 100 {
		b.MergeSpeeds(SpeedReports{{Upstream: "e000", Slowness: math.MaxInt, Samples: math.MaxInt}, {Upstream: "e000", Samples: -5}, {Upstream: "none", Samples: 9}})
	}
	is.True(b.byName["e000"].speed.peers.weight <= maxPeerSamples)
	is.True(b.lastingOf("e000", clockB.now) <= maxSlowness)
	measure(t, b, clockB, 300, []float64{1, 1, 1, 1}, []int{1, 1, 1, 1})
	is.True(b.lastingOf("e000", clockB.now) < 1.2)
}

// Load pattern: only slow upstreams are left. Guards against a capacity of slots that are occupied for longer than usual,
// and against slots that fast upstreams do not have.
func TestCapacityFollowsSpeed(t *testing.T) {
	is := is.New(t)
	r, clock := newMeasuringRouter(6)
	is.Equal(r.Capacity(testModel, ""), 48)
	measure(t, r, clock, 60, []float64{1.7, 1.7, 1, 1, 0.7, 0.7}, []int{1, 1, 1, 1, 1, 1})
	is.True(r.Capacity(testModel, "") > 43)
	for _, name := range []string{"e002", "e003", "e004", "e005"} {
		r.SetListedDraining(name, true)
	}
	is.True(r.Capacity(testModel, "") < 14) // of 16 slots
	for _, name := range []string{"e000", "e001"} {
		r.SetListedDraining(name, true)
	}
	is.Equal(r.Capacity(testModel, ""), 0)
}

// Load pattern: plain services of uneven speeds with a request each. Guards against a slow upstream that gets as many
// requests as a fast one, and against one that gets none.
func TestPlainServiceFollowsSpeed(t *testing.T) {
	is := is.New(t)
	r, clock := newMeasuringRouter(0)
	var c catalogue.Catalogue
	slowness := map[string]float64{"s0": 0.7, "s1": 1, "s2": 1.7}
	for name := range slowness {
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: name, Kind: catalogue.KindService, Service: "stock", Zone: "z0", Region: "r", Concurrency: 6,
		})
	}
	r.Update(catalogue.NewSnapshot(2, c, nil))
	clock.advance(time.Minute)
	type running struct {
		a  *Attempt
		at time.Time
	}
	counts, open := make(map[string]int), []running(nil)
	for i := range 16000 { // 128 s
		a, err := r.Pick(Request{Service: "stock"})
		is.NoErr(err)
		if i > 500 {
			counts[a.Upstream().Name]++
		}
		open = append(open, running{a, clock.now.Add(time.Duration(60*slowness[a.Upstream().Name]) * time.Millisecond)})
		clock.advance(8 * time.Millisecond)
		open = slices.DeleteFunc(open, func(o running) bool {
			if clock.now.Before(o.at) {
				return false
			}
			o.a.Complete()
			o.a.Done(ResultOK)
			return true
		})
	}
	t.Logf("%v", counts)
	is.True(float64(counts["s0"]) > 1.5*float64(counts["s2"]))
	is.True(counts["s2"] >= 10)
}

// Guards against deployments whose upstreams say nothing of how long work takes and whose requests are distributed
// otherwise than by the fixed weights.
func TestMeasuredTimesAreUsedOnceReported(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(2)
	r.cfg.Measure = MeasureReported
	run(t, r, clock, Request{}, 100*time.Millisecond, 1, 0)
	is.True(!r.times[testModel].inUse)
	run(t, r, clock, Request{}, 100*time.Millisecond, 1, 150)
	is.True(r.times[testModel].inUse)
}
