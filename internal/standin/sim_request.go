package standin

import (
	"fmt"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// simRequest is one request of the simulated callers.
type simRequest struct {
	sim            *simulation
	router         *simRouter
	class          catalogue.Class
	team           int
	blocks         []uint64
	promptTokens   int
	outputTokens   int
	arrived        time.Duration
	countsInResult bool
	firstToken     time.Duration
	ticket         *admission.Ticket
	job            *simJob
	endAttempt     func(routing.Result)
	triedEngines   []string
	ended          bool
}

func (r *simulation) addRequest() {
	q := &simRequest{sim: r, router: r.routers[r.rng.IntN(len(r.routers))], arrived: r.clock.now, countsInResult: r.measuring()}
	// Team 0 sends half of the requests.
	if r.rng.IntN(2) > 0 {
		q.team = 1 + r.rng.IntN(simTeams-1)
	}
	// An interactive request adds a few blocks to a session; a queued request is a new text.
	session, added := simSessionBlocks, 1+r.rng.IntN(8)
	q.class, q.outputTokens = catalogue.ClassInteractive, 40+r.rng.IntN(120)
	if r.rng.IntN(4) == 0 {
		session, added = 0, 16+r.rng.IntN(32)
		q.class, q.outputTokens = catalogue.ClassQueued, 200+r.rng.IntN(400)
	}
	q.addBlocks(uint64(q.team+1)<<40, simTeamBlocks)
	q.addBlocks(uint64(q.team*simSessionsPerTeam+r.rng.IntN(simSessionsPerTeam)+1)<<20, session)
	r.uniquePrompts++
	q.addBlocks(1<<62+r.uniquePrompts<<16, added)
	q.promptTokens = len(q.blocks) * simBlockTokens
	if q.countsInResult {
		r.result.Offered++
	}
	q.admit()
}

func (q *simRequest) addBlocks(first uint64, n int) {
	for i := range n {
		q.blocks = append(q.blocks, first+uint64(i))
	}
}

func (q *simRequest) admit() {
	r := q.sim
	if q.class == catalogue.ClassInteractive && r.cfg.Closed == 0 {
		r.clock.scheduleAfter(simAbandonAfter, q.abandon)
	}
	q.router.retryBudget.RecordRequest()
	if r.cfg.Policy != PolicyRouter || r.cfg.Closed > 0 {
		q.send()
		return
	}
	var err error
	q.ticket, err = q.router.admission.AdmitAsync(admission.Request{
		Entry: record.EntryKey{Name: fmt.Sprint("entry-", q.team)}, Team: fmt.Sprint("team-", q.team),
		Class: q.class, Tokens: int64(q.promptTokens + 2*q.outputTokens), Pool: simModel,
	}, func() { r.clock.scheduleAfter(0, q.send) })
	switch {
	case err != nil:
		q.end(&r.result.Refused)
	case q.ticket.Admitted():
		q.send()
	}
}

// pickEngine returns the engine and a function that ends the attempt, or nil if no engine is available.
func (q *simRequest) pickEngine() (*simEngine, func(routing.Result)) {
	r, l := q.sim, q.router
	switch r.cfg.Policy {
	case PolicyRoundRobin:
		l.nextEngine++
		return r.engines[r.engineNames[l.nextEngine%len(r.engineNames)]], func(routing.Result) {}
	case PolicyLeastOutstanding:
		best := r.engineNames[r.rng.IntN(len(r.engineNames))]
		for _, name := range r.engineNames {
			if l.outstanding[name] < l.outstanding[best] {
				best = name
			}
		}
		l.outstanding[best]++
		return r.engines[best], func(routing.Result) { l.outstanding[best]-- }
	}
	a, err := l.router.Pick(routing.Request{Model: simModel, PrefixHashes: q.blocks, Class: q.class, Exclude: q.triedEngines})
	if err != nil {
		return nil, nil
	}
	return r.engines[a.Upstream().Name], a.Done
}

func (q *simRequest) send() {
	r := q.sim
	if q.ended {
		return
	}
	e, done := q.pickEngine()
	if e == nil {
		q.end(&r.result.Failed)
		return
	}
	q.triedEngines = append(q.triedEngines, e.name)
	if q.countsInResult {
		r.result.Attempts++
	}
	if e.name == r.drainingEngine {
		r.result.LastRequestAfterSignal = r.clock.now - r.signalTime
	}
	switch {
	case e.failing:
		r.clock.scheduleAfter(50*time.Millisecond, func() { done(routing.ResultFailed); q.retryOrFail() })
	case e.draining && r.cfg.DrainSignal == SignalResponse:
		r.clock.scheduleAfter(2*time.Millisecond, func() { done(routing.ResultDraining); q.retryOrFail() })
	default:
		q.start(e, done)
	}
}

func (q *simRequest) retryOrFail() {
	allowed := q.router.retryBudget.TryRetry()
	if q.sim.cfg.UnbudgetedRetries {
		allowed = len(q.triedEngines) <= 3
	}
	if allowed {
		q.send()
		return
	}
	q.end(&q.sim.result.Failed)
}

func (q *simRequest) start(e *simEngine, done func(routing.Result)) {
	r := q.sim
	q.job = &simJob{blocks: q.blocks, promptTokens: q.promptTokens, outputTokens: q.outputTokens}
	if q.class == catalogue.ClassQueued {
		q.job.priority = 2
	}
	job := q.job
	job.firstToken = func() {
		q.firstToken = r.clock.now - q.arrived
		if q.countsInResult {
			r.result.FirstToken[q.class] = append(r.result.FirstToken[q.class], q.firstToken)
		}
		if r.measuring() {
			r.hitBlocks += job.cachedBlocks
			r.blocks += len(job.blocks)
		}
	}
	job.done = func() { done(routing.ResultOK); q.finish() }
	q.endAttempt = done
	e.submit(job)
}

func (q *simRequest) abandon() {
	if q.ended || q.firstToken > 0 {
		return
	}
	if q.job != nil {
		q.job.canceled = true
		q.endAttempt(routing.ResultAbandoned)
	}
	q.end(&q.sim.result.Abandoned)
}

// finish counts the request if it ends after the warm-up, even if it arrived during it. Goodput is thereby
// the work done per second of the measured time.
func (q *simRequest) finish() {
	r := q.sim
	if r.measuring() {
		r.result.ClassFinished[q.class]++
		r.result.Finished++
		if q.class != catalogue.ClassInteractive || q.firstToken <= simMaxUsefulDelay {
			r.usefulTokens += int64(q.promptTokens + q.outputTokens)
		}
	}
	q.end(nil)
	if r.cfg.Closed > 0 {
		r.clock.scheduleAfter(0, r.addRequest)
	}
}

func (q *simRequest) end(counter *int) {
	q.ended = true
	if counter != nil && q.countsInResult {
		*counter++
	}
	if q.ticket != nil {
		q.ticket.Done()
	}
}
