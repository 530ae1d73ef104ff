package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// RoutingPolicy is the policy by which the simulated routers choose an engine.
type RoutingPolicy string

// Routing policies.
const (
	// PolicyRouter uses the real admission control and routing (packages admission and routing). A closed
	// loop (ClosedLoopRequests) skips the admission control.
	PolicyRouter RoutingPolicy = "dotterelthread"
	// PolicyRoundRobin and PolicyLeastOutstanding are baselines without admission. A router chooses the
	// engines in turn, or the engine with the fewest outstanding requests from this router.
	PolicyRoundRobin       RoutingPolicy = "round robin"
	PolicyLeastOutstanding RoutingPolicy = "least outstanding"
)

// DrainSignal is the way in which routers learn that an engine is draining.
type DrainSignal string

// Drain signals: the engine's load report, its response to a request, or the platform's list of upstreams.
const (
	SignalLoadReport   DrainSignal = "load report"
	SignalResponse     DrainSignal = "own response"
	SignalUpstreamList DrainSignal = "list"
)

// SimulationConfig configures a simulation of routers and engines under load.
type SimulationConfig struct {
	Seed    uint64
	Engines int
	Zones   int
	Routers int
	Policy  RoutingPolicy
	// Rate is the arrival rate of all teams together, in requests per second.
	Rate float64
	// ClosedLoopRequests, if above 0, is the number of requests in the system, constant unless one fails.
	// Rate is then ignored, requests are sent without admission control, and no caller abandons a request.
	ClosedLoopRequests int
	// Duration is the simulated time. The results exclude its first quarter as warm-up.
	Duration time.Duration
	// FailingEngines is the number of engines that fail every request after 50 ms.
	FailingEngines int
	// UnbudgetedRetries makes each router retry a request up to three times, without a retry budget.
	UnbudgetedRetries bool
	// Measure is that of routing.Config.
	Measure routing.MeasureMode
	// Forwarded makes the routers learn of the engines only from responses and from the speeds that other routers
	// measure, and makes the prompts of a team have a prefix that all routers prefer the same engine for. Otherwise
	// there are load reports, cache events and heartbeats.
	Forwarded bool
	// Slowness holds how long work takes at the engines, in turn; empty means 1 at all of them.
	Slowness []float64
	// Bursts makes the work of each engine take simBurstSlowness times as long at random, a quarter of the time.
	Bursts bool
	// ReportWork returns the fourth figure of the engines' load reports, in percent, given the engine's number and how
	// long its work takes at present; nil means that the reports have three.
	ReportWork func(engine int, present float64) int
	// HotTeam is the fraction of the requests that come from team 0; 0 means half of them.
	HotTeam float64
	// DrainSignal makes one engine drain after half of Duration and signal it in this way; empty drains none.
	DrainSignal DrainSignal
}

// SimulationResult holds the results of a simulation.
type SimulationResult struct {
	// Offered counts the requests that arrived after the warm-up; Refused, Abandoned, Failed and Attempts count
	// what became of them. Finished counts the requests that finished after the warm-up, whenever they arrived.
	Offered, Finished, Refused, Abandoned, Failed int
	Attempts                                      int
	// FirstToken holds the sorted times to first token of each class.
	FirstToken map[catalogue.Class][]time.Duration
	// ClassFinished counts finished requests by class.
	ClassFinished map[catalogue.Class]int
	// Goodput is the number of tokens per second of finished requests. Interactive requests count only if
	// their first token came within simMaxUsefulDelay.
	Goodput float64
	// CacheHitRatio is the fraction of prompt blocks that were found in a prefix cache.
	CacheHitRatio float64
	// LastRequestAfterSignal is the time from the drain signal to the last request that the draining engine
	// got.
	LastRequestAfterSignal time.Duration
	// RequestRate is the number of finished requests per second.
	RequestRate float64
}

// Percentile returns a percentile of the time to first token of a class; p is from 0 to 1.
func (r SimulationResult) Percentile(c catalogue.Class, p float64) time.Duration {
	all := r.FirstToken[c]
	if len(all) == 0 {
		return 0
	}
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// MeanFirstToken returns the mean time to first token of a class.
func (r SimulationResult) MeanFirstToken(c catalogue.Class) time.Duration {
	sum := time.Duration(0)
	for _, d := range r.FirstToken[c] {
		sum += d
	}
	return sum / time.Duration(max(1, len(r.FirstToken[c])))
}

// Workload of the simulations: three short interactive requests (questions) for each long queued request (a
// review). An interactive request continues one of the sessions of a team. The prompts of the sessions of all
// teams together do not fit into the cache of one engine.
const (
	simModel           = "model"
	simTeams           = 10
	simSessionsPerTeam = 40
	simTeamBlocks      = 16 // blocks of the prompt prefix that a team's requests share
	simSessionBlocks   = 16 // blocks of the history of a session
	// simMaxUsefulDelay is the longest time to first token at which an interactive response still counts as
	// useful. simAbandonAfter is the time after which its caller disconnects if it has received no token.
	simMaxUsefulDelay = 2 * time.Second
	simAbandonAfter   = 10 * time.Second
	// Bursts take simBurstTime, and their work simBurstSlowness times as long as usual.
	simBurstSlowness = 2.5
	simBurstTime     = 400 * time.Millisecond
	// Every simSpeedInterval a router sends its speeds to simSpeedPeers others.
	simSpeedInterval = 2 * time.Second
	simSpeedPeers    = 2
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEventQueue []simEvent

func (h simEventQueue) Len() int { return len(h) }
func (h simEventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h simEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEventQueue) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simClock is the simulated clock. It runs scheduled events in the order of their time.
type simClock struct {
	now    time.Duration
	seq    int
	events simEventQueue
}

func (c *simClock) Now() time.Time { return time.Unix(0, 0).Add(time.Hour + c.now) }

func (c *simClock) scheduleAfter(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, simEvent{at: c.now + d, seq: c.seq, run: run})
}

// scheduleEvery runs a function every d; the first time is after d.
func (c *simClock) scheduleEvery(d time.Duration, run func()) {
	c.scheduleAfter(d, func() {
		run()
		c.scheduleEvery(d, run)
	})
}

func (c *simClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.run()
	}
}

type simRouter struct {
	router      *routing.Router
	admission   *admission.Controller
	retryBudget routing.RetryBudget
	nextEngine  int
	outstanding map[string]int
	sentDeltas  []routing.SentDelta
	draining    []string
}

type simulation struct {
	cfg            SimulationConfig
	clock          *simClock
	rng            *rand.Rand
	engines        map[string]*simEngine
	engineNames    []string
	routers        []*simRouter
	result         SimulationResult
	usefulTokens   int64
	hitBlocks      int
	blocks         int
	signalTime     time.Duration
	drainingEngine string
	uniquePrompts  uint64
}

// Simulate runs routers and engines under load in simulated time. The result depends only on the configuration.
func Simulate(cfg SimulationConfig) SimulationResult {
	s := &simulation{cfg: cfg, clock: &simClock{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), engines: make(map[string]*simEngine)}
	s.result.FirstToken = make(map[catalogue.Class][]time.Duration)
	s.result.ClassFinished = make(map[catalogue.Class]int)
	s.build()
	s.schedule()
	s.clock.runUntil(cfg.Duration)
	for _, times := range s.result.FirstToken {
		slices.Sort(times)
	}
	measured := (cfg.Duration - s.warmup()).Seconds()
	s.result.Goodput = float64(s.usefulTokens) / measured
	s.result.RequestRate = float64(s.result.Finished) / measured
	if s.blocks > 0 {
		s.result.CacheHitRatio = float64(s.hitBlocks) / float64(s.blocks)
	}
	return s.result
}

func (s *simulation) warmup() time.Duration { return s.cfg.Duration / 4 }

func (s *simulation) measuring() bool { return s.clock.now >= s.warmup() }

func (s *simulation) build() {
	var c catalogue.Catalogue
	for i := range s.cfg.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		e := newSimEngine(name, s.clock)
		e.failing = i < s.cfg.FailingEngines
		e.number = i
		if n := len(s.cfg.Slowness); n > 0 {
			e.slowness = s.cfg.Slowness[i%n]
		}
		s.engines[name] = e
		s.engineNames = append(s.engineNames, name)
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: name, Kind: catalogue.KindEngine, Models: []string{simModel}, Region: "r",
			Zone: fmt.Sprint("zone-", i%s.cfg.Zones), Concurrency: simSlots,
		})
	}
	snapshot := catalogue.NewSnapshot(1, c, nil)
	for i := range s.cfg.Routers {
		r := &simRouter{outstanding: make(map[string]int)}
		r.router = routing.New(routing.Config{
			Now: s.clock.Now, Zone: fmt.Sprint("zone-", i%s.cfg.Zones), Region: "r",
			Measure: s.cfg.Measure,
			Routers: func() int { return s.cfg.Routers }, Rand: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+2))),
		})
		r.router.Update(snapshot)
		r.admission = admission.New(admission.Config{Now: s.clock.Now, Capacity: func(string) int {
			return r.router.Capacity(simModel, "") / s.cfg.Routers
		}})
		s.routers = append(s.routers, r)
	}
}

// schedule starts the arrivals, load reports, cache events and messages between routers.
func (s *simulation) schedule() {
	for _, name := range s.engineNames {
		e := s.engines[name]
		if s.cfg.Bursts {
			s.scheduleBursts(e)
		}
		if s.cfg.Forwarded {
			continue
		}
		s.clock.scheduleAfter(time.Duration(s.rng.Int64N(int64(simReportInterval))), func() {
			s.clock.scheduleEvery(simReportInterval, func() { s.sendLoadReport(e) })
		})
		e.onCacheEvent = func(seq uint64, stored, evicted []uint64) { s.sendCacheEvent(e, seq, stored, evicted) }
	}
	if s.cfg.Forwarded {
		s.clock.scheduleEvery(simSpeedInterval, s.exchangeSpeeds)
	} else {
		s.clock.scheduleEvery(time.Second, s.exchangeHeartbeats)
	}
	s.clock.scheduleEvery(20*time.Millisecond, func() {
		for _, r := range s.routers {
			r.admission.Advance()
		}
	})
	if s.cfg.DrainSignal != "" {
		s.clock.scheduleAfter(s.cfg.Duration/2, s.drainEngine)
	}
	for range s.cfg.ClosedLoopRequests {
		s.addRequest()
	}
	if s.cfg.ClosedLoopRequests == 0 {
		s.scheduleArrival()
	}
}

// scheduleBursts makes an engine slow for simBurstTime, a quarter of the time on average.
func (s *simulation) scheduleBursts(e *simEngine) {
	s.clock.scheduleAfter(time.Duration(s.rng.ExpFloat64()*3*float64(simBurstTime)), func() {
		e.burst = true
		s.clock.scheduleAfter(simBurstTime, func() {
			e.burst = false
			s.scheduleBursts(e)
		})
	})
}

// exchangeSpeeds sends the speeds that each router has measured to some others.
func (s *simulation) exchangeSpeeds() {
	for _, from := range s.routers {
		reports := from.router.ExportSpeeds()
		for range simSpeedPeers {
			if to := s.routers[s.rng.IntN(len(s.routers))]; to != from {
				to.router.MergeSpeeds(reports)
			}
		}
	}
}

func (s *simulation) scheduleArrival() {
	s.clock.scheduleAfter(time.Duration(s.rng.ExpFloat64()/s.cfg.Rate*float64(time.Second)), func() {
		s.addRequest()
		s.scheduleArrival()
	})
}

func (s *simulation) sendLoadReport(e *simEngine) {
	rep := routing.Report{
		Upstream: e.name, Age: simReportLag, Running: len(e.running), Waiting: len(e.waiting),
		Concurrency: simSlots, Draining: e.draining && s.cfg.DrainSignal == SignalLoadReport,
	}
	s.clock.scheduleAfter(simReportLag, func() {
		for _, r := range s.routers {
			r.router.Report(rep)
		}
	})
}

// sendCacheEvent delivers a cache event to the routers after simCacheLag. One event in twenty is lost.
func (s *simulation) sendCacheEvent(e *simEngine, seq uint64, stored, evicted []uint64) {
	if s.rng.IntN(20) == 0 {
		return
	}
	s.clock.scheduleAfter(simCacheLag, func() {
		for _, r := range s.routers {
			r.router.ApplyCacheEvent(routing.CacheEvent{Upstream: e.name, Seq: seq, Stored: stored, Evicted: evicted})
		}
	})
}

// exchangeHeartbeats delivers a heartbeat from each router to each other router.
func (s *simulation) exchangeHeartbeats() {
	for _, r := range s.routers {
		r.sentDeltas, r.draining = r.router.ExportSent(), r.router.DrainingResponses()
	}
	for _, to := range s.routers {
		for _, from := range s.routers {
			if to != from {
				to.router.MergeSent(from.sentDeltas, 500*time.Millisecond)
				for _, name := range from.draining {
					to.router.MarkDraining(name)
				}
			}
		}
		to.router.PeersMerged()
	}
}

// drainEngine makes the last engine drain, and informs the routers later if the signal is the upstream list.
func (s *simulation) drainEngine() {
	s.drainingEngine = s.engineNames[len(s.engineNames)-1]
	s.signalTime = s.clock.now
	s.engines[s.drainingEngine].draining = true
	if s.cfg.DrainSignal == SignalUpstreamList {
		// The list lags by 2 s and is read every second, so routers see a change after at most 3 s.
		s.clock.scheduleAfter(3*time.Second, func() {
			for _, r := range s.routers {
				r.router.SetListedDraining(s.drainingEngine, true)
			}
		})
	}
}
