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
	firstToken     time.Duration // time from the arrival to the first token; 0 before it
	ticket         *admission.Ticket
	job            *simJob
	attempt        *routing.Attempt // nil with a policy other than PolicyRouter
	endAttempt     func(routing.Result)
	triedEngines   []string
	ended          bool
}

// addRequest creates a random request that arrives now at a random router.
func (s *simulation) addRequest() {
	q := &simRequest{sim: s, router: s.routers[s.rng.IntN(len(s.routers))], arrived: s.clock.now, countsInResult: s.measuring()}
	// Team 0 is large: it sends half of the requests. The other teams share the rest equally.
	hot := s.cfg.HotTeam
	if hot == 0 {
		hot = 0.5
	}
	if s.rng.Float64() >= hot {
		q.team = 1 + s.rng.IntN(simTeams-1)
	}
	// An interactive request adds a few blocks to a session; a queued request is a new text.
	session, added := simSessionBlocks, 1+s.rng.IntN(8)
	q.class, q.outputTokens = catalogue.ClassInteractive, 40+s.rng.IntN(120)
	if s.rng.IntN(4) == 0 {
		session, added = 0, 16+s.rng.IntN(32)
		q.class, q.outputTokens = catalogue.ClassQueued, 200+s.rng.IntN(400)
	}
	q.addBlocks(uint64(q.team+1)<<40, simTeamBlocks)
	q.addBlocks(uint64(q.team*simSessionsPerTeam+s.rng.IntN(simSessionsPerTeam)+1)<<20, session)
	s.uniquePrompts++
	q.addBlocks(1<<62+s.uniquePrompts<<16, added)
	q.promptTokens = len(q.blocks) * simBlockTokens
	if q.countsInResult {
		s.result.Offered++
	}
	q.admit()
}

func (q *simRequest) addBlocks(first uint64, n int) {
	for i := range n {
		q.blocks = append(q.blocks, first+uint64(i))
	}
}

// admit sends the request when the admission control admits it, or at once if the policy or a closed loop
// goes without admission control.
func (q *simRequest) admit() {
	s := q.sim
	if q.class == catalogue.ClassInteractive && s.cfg.ClosedLoopRequests == 0 {
		s.clock.scheduleAfter(simAbandonAfter, q.abandon)
	}
	q.router.retryBudget.RecordRequest()
	if s.cfg.Policy != PolicyRouter || s.cfg.ClosedLoopRequests > 0 {
		q.send()
		return
	}
	var err error
	q.ticket, err = q.router.admission.AdmitAsync(admission.Request{
		Entry: record.EntryKey{Name: fmt.Sprint("entry-", q.team)}, Team: fmt.Sprint("team-", q.team),
		Class: q.class, Tokens: int64(q.promptTokens + 2*q.outputTokens), Pool: simModel,
	}, func() { s.clock.scheduleAfter(0, q.send) })
	switch {
	case err != nil:
		q.end(&s.result.Refused)
	case q.ticket.Admitted():
		q.send()
	}
}

// pickEngine returns the engine and a function that ends the attempt, or nil if no engine is available.
func (q *simRequest) pickEngine() (*simEngine, func(routing.Result)) {
	s, r := q.sim, q.router
	switch s.cfg.Policy {
	case PolicyRoundRobin:
		r.nextEngine++
		return s.engines[s.engineNames[r.nextEngine%len(s.engineNames)]], func(routing.Result) {}
	case PolicyLeastOutstanding:
		best := s.engineNames[s.rng.IntN(len(s.engineNames))]
		for _, name := range s.engineNames {
			if r.outstanding[name] < r.outstanding[best] {
				best = name
			}
		}
		r.outstanding[best]++
		return s.engines[best], func(routing.Result) { r.outstanding[best]-- }
	}
	req := routing.Request{Model: simModel, PrefixHashes: q.blocks, Class: q.class, Exclude: q.triedEngines}
	if s.cfg.Forwarded {
		req.SharedBlocks = simTeamBlocks
	}
	a, err := r.router.Pick(req)
	if err != nil {
		return nil, nil
	}
	q.attempt = a
	return s.engines[a.Upstream().Name], a.Done
}

// send makes an attempt at the engine that the policy chooses.
func (q *simRequest) send() {
	s := q.sim
	if q.ended {
		return
	}
	e, done := q.pickEngine()
	if e == nil {
		q.end(&s.result.Failed)
		return
	}
	q.triedEngines = append(q.triedEngines, e.name)
	if q.countsInResult {
		s.result.Attempts++
	}
	if e.name == s.drainingEngine {
		s.result.LastRequestAfterSignal = s.clock.now - s.signalTime
	}
	switch {
	case e.failing:
		s.clock.scheduleAfter(50*time.Millisecond, func() { done(routing.ResultFailed); q.retryOrFail() })
	case e.draining && s.cfg.DrainSignal == SignalResponse:
		s.clock.scheduleAfter(2*time.Millisecond, func() { done(routing.ResultDraining); q.retryOrFail() })
	default:
		q.start(e, done)
	}
}

// retryOrFail sends the request again if the retry budget (or the limit of UnbudgetedRetries) allows it, and
// otherwise ends it as failed.
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
	s := q.sim
	q.job = &simJob{blocks: q.blocks, promptTokens: q.promptTokens, outputTokens: q.outputTokens}
	if q.class == catalogue.ClassQueued {
		q.job.priority = 2
	}
	job := q.job
	job.firstToken = func() {
		q.firstToken = s.clock.now - q.arrived
		q.reportFirst(e)
		if q.countsInResult {
			s.result.FirstToken[q.class] = append(s.result.FirstToken[q.class], q.firstToken)
		}
		if s.measuring() {
			s.hitBlocks += job.cachedBlocks
			s.blocks += len(job.blocks)
		}
	}
	if q.attempt != nil {
		job.nextToken = q.attempt.Event
	}
	job.done = func() {
		if q.attempt != nil {
			q.attempt.Complete()
		}
		done(routing.ResultOK)
		q.finish()
	}
	q.endAttempt = done
	e.submit(job)
}

// reportFirst tells the router of the first event and, if there are no other reports, of the load.
func (q *simRequest) reportFirst(e *simEngine) {
	if q.attempt == nil {
		return
	}
	q.attempt.Started()
	if q.sim.cfg.Forwarded {
		work := 0
		if report := q.sim.cfg.ReportWork; report != nil {
			work = report(e.number, e.presentSlowness())
		}
		q.attempt.Load(len(e.running), len(e.waiting), simSlots, work)
	}
	q.attempt.Event()
}

// abandon ends the request if its caller has not received the first token.
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
	s := q.sim
	if s.measuring() {
		s.result.ClassFinished[q.class]++
		s.result.Finished++
		if q.class != catalogue.ClassInteractive || q.firstToken <= simMaxUsefulDelay {
			s.usefulTokens += int64(q.promptTokens + q.outputTokens)
		}
	}
	q.end(nil)
	if s.cfg.ClosedLoopRequests > 0 {
		s.clock.scheduleAfter(0, s.addRequest)
	}
}

// end ends the request and adds it to the counter, if there is one and the request arrived after the warm-up.
func (q *simRequest) end(counter *int) {
	q.ended = true
	if counter != nil && q.countsInResult {
		*counter++
	}
	if q.ticket != nil {
		q.ticket.Done()
	}
}
