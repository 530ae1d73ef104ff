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

// LoadPolicy names how the modelled routers choose.
type LoadPolicy string

// The policies of a modelled run.
const (
	// PolicyRouter is this project's admission and routing.
	PolicyRouter LoadPolicy = "dotterelthread"
	// PolicyRoundRobin and PolicyLeastOutstanding are baselines without
	// admission: each router takes engines in turn, or the one to which it has
	// sent the fewest requests that have not ended.
	PolicyRoundRobin       LoadPolicy = "round robin"
	PolicyLeastOutstanding LoadPolicy = "least outstanding"
)

// LoadSign is how a leaving engine becomes known.
type LoadSign string

// The signs of a leaving engine.
const (
	SignReport LoadSign = "load report"
	SignAnswer LoadSign = "own answer"
	SignList   LoadSign = "list"
)

// LoadConfig describes a modelled run.
type LoadConfig struct {
	Seed    uint64
	Engines int
	Zones   int
	Routers int
	Policy  LoadPolicy
	// Rate is the offered requests per second of all teams together; with
	// Closed > 0 there are always that many requests in the system instead.
	Rate   float64
	Closed int
	// Duration is simulated time; figures leave out the first quarter.
	Duration time.Duration
	// Failing engines answer each request with an error after 50 ms.
	Failing int
	// NaiveRetries makes each router retry up to three times without a budget.
	NaiveRetries bool
	// Leaving is the sign by which one engine leaves at half of the run.
	Leaving LoadSign
}

// LoadResult holds the figures of a run.
type LoadResult struct {
	Offered, Finished, Refused, GaveUp, Failed int
	Attempts                                   int
	// FirstToken holds the times to first token by class, sorted.
	FirstToken map[catalogue.Class][]time.Duration
	// ClassFinished counts finished requests by class.
	ClassFinished map[catalogue.Class]int
	// Goodput is in tokens per second of requests that finished, interactive
	// ones only with a first token within loadUseful.
	Goodput float64
	// HitShare is the part of prompt blocks found in a cache.
	HitShare float64
	// LastWork is the time from the sign until the leaving engine got its last
	// request.
	LastWork time.Duration
	// RequestRate is finished requests per second.
	RequestRate float64
}

// Percentile returns a percentile of the time to first token of a class.
func (r LoadResult) Percentile(c catalogue.Class, p float64) time.Duration {
	all := r.FirstToken[c]
	if len(all) == 0 {
		return 0
	}
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// Workload of the runs: short questions and long reviews, three to one. Questions
// continue one of the sessions of a team, whose prompts together do not fit into
// the cache of one engine.
const (
	loadModel        = "model"
	loadTeams        = 10
	loadSessionsTeam = 40
	loadSharedBlocks = 16 // of the team's prompt
	loadSessionBlock = 16 // of the session's history
	// loadUseful is how long an interactive answer may take to begin and still
	// be of use; loadPatience is when the caller gives up.
	loadUseful   = 2 * time.Second
	loadPatience = 10 * time.Second
)

type loadEvent struct {
	at  time.Duration
	seq int
	run func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int { return len(h) }
func (h loadEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h loadEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loadClock runs events in the order of their simulated time.
type loadClock struct {
	now    time.Duration
	seq    int
	events loadEvents
}

func (c *loadClock) Now() time.Time { return time.Unix(0, 0).Add(time.Hour + c.now) }

func (c *loadClock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, loadEvent{at: c.now + d, seq: c.seq, run: run})
}

func (c *loadClock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *loadClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(loadEvent)
		c.now = e.at
		e.run()
	}
}

type loadRouter struct {
	router    *routing.Router
	control   *admission.Controller
	retry     routing.RetryBudget
	turn      int
	sent      map[string]int
	delivered []routing.SentDelta
	leaving   []string
}

type loadRun struct {
	cfg     LoadConfig
	clock   *loadClock
	rng     *rand.Rand
	engines map[string]*loadEngine
	names   []string
	routers []*loadRouter
	result  LoadResult
	tokens  int64
	hits    int
	blocks  int
	sign    time.Duration
	left    string
	fresh   uint64
}

// RunLoad simulates a run. Equal configurations give equal results.
func RunLoad(cfg LoadConfig) LoadResult {
	r := &loadRun{cfg: cfg, clock: &loadClock{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), engines: make(map[string]*loadEngine)}
	r.result.FirstToken = make(map[catalogue.Class][]time.Duration)
	r.result.ClassFinished = make(map[catalogue.Class]int)
	r.build()
	r.schedule()
	r.clock.runUntil(cfg.Duration)
	for _, times := range r.result.FirstToken {
		slices.Sort(times)
	}
	measured := (cfg.Duration - r.warmup()).Seconds()
	r.result.Goodput = float64(r.tokens) / measured
	r.result.RequestRate = float64(r.result.Finished) / measured
	if r.blocks > 0 {
		r.result.HitShare = float64(r.hits) / float64(r.blocks)
	}
	return r.result
}

func (r *loadRun) warmup() time.Duration { return r.cfg.Duration / 4 }

func (r *loadRun) measuring() bool { return r.clock.now >= r.warmup() }

func (r *loadRun) build() {
	var c catalogue.Catalogue
	for i := range r.cfg.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		e := newLoadEngine(name, r.clock)
		e.failing = i < r.cfg.Failing
		r.engines[name] = e
		r.names = append(r.names, name)
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: name, Kind: catalogue.KindEngine, Models: []string{loadModel}, Region: "r",
			Zone: fmt.Sprint("zone-", i%r.cfg.Zones), Concurrency: loadSlots,
		})
	}
	snapshot := catalogue.NewSnapshot(1, c, nil)
	for i := range r.cfg.Routers {
		l := &loadRouter{sent: make(map[string]int)}
		l.router = routing.New(routing.Config{
			Now: r.clock.Now, Zone: fmt.Sprint("zone-", i%r.cfg.Zones), Region: "r",
			Routers: func() int { return r.cfg.Routers }, Rand: rand.New(rand.NewPCG(r.cfg.Seed, uint64(i+2))),
		})
		l.router.Update(snapshot)
		l.control = admission.New(admission.Config{Now: r.clock.Now, Capacity: func(string) int {
			return l.router.Capacity(loadModel, "") / r.cfg.Routers
		}})
		r.routers = append(r.routers, l)
	}
}

// schedule starts the arrivals, reports, cache events and peer messages.
func (r *loadRun) schedule() {
	for _, name := range r.names {
		e := r.engines[name]
		r.clock.after(time.Duration(r.rng.Int64N(int64(loadReportPeriod))), func() {
			r.clock.every(loadReportPeriod, func() { r.report(e) })
		})
		e.events = func(seq uint64, stored, evicted []uint64) { r.cacheEvent(e, seq, stored, evicted) }
	}
	r.clock.every(time.Second, r.exchange)
	r.clock.every(20*time.Millisecond, func() {
		for _, l := range r.routers {
			l.control.Advance()
		}
	})
	if r.cfg.Leaving != "" {
		r.clock.after(r.cfg.Duration/2, r.leave)
	}
	for range r.cfg.Closed {
		r.arrive()
	}
	if r.cfg.Closed == 0 {
		r.nextArrival()
	}
}

func (r *loadRun) nextArrival() {
	r.clock.after(time.Duration(r.rng.ExpFloat64()/r.cfg.Rate*float64(time.Second)), func() {
		r.arrive()
		r.nextArrival()
	})
}

func (r *loadRun) report(e *loadEngine) {
	rep := routing.Report{
		Upstream: e.name, Age: loadReportLag, Running: len(e.running), Waiting: len(e.waiting),
		Concurrency: loadSlots, Draining: e.leaving && r.cfg.Leaving == SignReport,
	}
	r.clock.after(loadReportLag, func() {
		for _, l := range r.routers {
			l.router.Report(rep)
		}
	})
}

// cacheEvent delivers an event late; one in twenty is lost.
func (r *loadRun) cacheEvent(e *loadEngine, seq uint64, stored, evicted []uint64) {
	if r.rng.IntN(20) == 0 {
		return
	}
	r.clock.after(loadCacheLag, func() {
		for _, l := range r.routers {
			l.router.ApplyCacheEvent(routing.CacheEvent{Upstream: e.name, Seq: seq, Stored: stored, Evicted: evicted})
		}
	})
}

// exchange is the routers' heartbeat: each hears from each other one.
func (r *loadRun) exchange() {
	for _, l := range r.routers {
		l.delivered, l.leaving = l.router.ExportSent(), l.router.DrainingResponses()
	}
	for _, to := range r.routers {
		for _, from := range r.routers {
			if to != from {
				to.router.MergeSent(from.delivered, 500*time.Millisecond)
				for _, name := range from.leaving {
					to.router.MarkDraining(name)
				}
			}
		}
		to.router.PeersMerged()
	}
}

func (r *loadRun) leave() {
	r.left = r.names[len(r.names)-1]
	r.sign = r.clock.now
	r.engines[r.left].leaving = true
	if r.cfg.Leaving == SignList {
		// The list of the platform lags by two seconds and is read each second.
		r.clock.after(3*time.Second, func() {
			for _, l := range r.routers {
				l.router.SetListedDraining(r.left, true)
			}
		})
	}
}
