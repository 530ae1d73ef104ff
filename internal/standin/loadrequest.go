package standin

import (
	"fmt"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// loadRequest is one request of the modelled callers.
type loadRequest struct {
	run      *loadRun
	router   *loadRouter
	class    catalogue.Class
	team     int
	blocks   []uint64
	prompt   int
	output   int
	arrived  time.Duration
	measured bool
	first    time.Duration
	ticket   *admission.Ticket
	job      *loadJob
	release  func(routing.Result)
	tried    []string
	ended    bool
}

func (r *loadRun) arrive() {
	q := &loadRequest{run: r, router: r.routers[r.rng.IntN(len(r.routers))], arrived: r.clock.now, measured: r.measuring()}
	// Team 0 is large: it sends half of the requests.
	if r.rng.IntN(2) > 0 {
		q.team = 1 + r.rng.IntN(loadTeams-1)
	}
	// A question adds a few blocks to a session; a review is a new text.
	session, added := loadSessionBlock, 1+r.rng.IntN(8)
	q.class, q.output = catalogue.ClassInteractive, 40+r.rng.IntN(120)
	if r.rng.IntN(4) == 0 {
		session, added = 0, 16+r.rng.IntN(32)
		q.class, q.output = catalogue.ClassQueued, 200+r.rng.IntN(400)
	}
	q.addBlocks(uint64(q.team+1)<<40, loadSharedBlocks)
	q.addBlocks(uint64(q.team*loadSessionsTeam+r.rng.IntN(loadSessionsTeam)+1)<<20, session)
	r.fresh++
	q.addBlocks(1<<62+r.fresh<<16, added)
	q.prompt = len(q.blocks) * loadBlockTokens
	if q.measured {
		r.result.Offered++
	}
	q.admit()
}

func (q *loadRequest) addBlocks(first uint64, n int) {
	for i := range n {
		q.blocks = append(q.blocks, first+uint64(i))
	}
}

func (q *loadRequest) admit() {
	r := q.run
	if q.class == catalogue.ClassInteractive && r.cfg.Closed == 0 {
		r.clock.after(loadPatience, q.giveUp)
	}
	q.router.retry.RecordRequest()
	if r.cfg.Policy != PolicyRouter || r.cfg.Closed > 0 {
		q.send()
		return
	}
	var err error
	q.ticket, err = q.router.control.AdmitAsync(admission.Request{
		Entry: record.EntryKey{Name: fmt.Sprint("entry-", q.team)}, Team: fmt.Sprint("team-", q.team),
		Class: q.class, Tokens: int64(q.prompt + 2*q.output), Pool: loadModel,
	}, func() { r.clock.after(0, q.send) })
	switch {
	case err != nil:
		q.end(&r.result.Refused)
	case q.ticket.Admitted():
		q.send()
	}
}

// pick returns the engine and a function that ends the attempt.
func (q *loadRequest) pick() (*loadEngine, func(routing.Result)) {
	r, l := q.run, q.router
	switch r.cfg.Policy {
	case PolicyRoundRobin:
		l.turn++
		return r.engines[r.names[l.turn%len(r.names)]], func(routing.Result) {}
	case PolicyLeastOutstanding:
		best := r.names[r.rng.IntN(len(r.names))]
		for _, name := range r.names {
			if l.sent[name] < l.sent[best] {
				best = name
			}
		}
		l.sent[best]++
		return r.engines[best], func(routing.Result) { l.sent[best]-- }
	}
	a, err := l.router.Pick(routing.Request{Model: loadModel, PrefixHashes: q.blocks, Class: q.class, Exclude: q.tried})
	if err != nil {
		return nil, nil
	}
	return r.engines[a.Upstream().Name], a.Done
}

func (q *loadRequest) send() {
	r := q.run
	if q.ended {
		return
	}
	e, done := q.pick()
	if e == nil {
		q.end(&r.result.Failed)
		return
	}
	q.tried = append(q.tried, e.name)
	if q.measured {
		r.result.Attempts++
	}
	if e.name == r.left {
		r.result.LastWork = r.clock.now - r.sign
	}
	switch {
	case e.failing:
		r.clock.after(50*time.Millisecond, func() { done(routing.ResultFailed); q.retry() })
	case e.leaving && r.cfg.Leaving == SignAnswer:
		r.clock.after(2*time.Millisecond, func() { done(routing.ResultDraining); q.retry() })
	default:
		q.start(e, done)
	}
}

func (q *loadRequest) retry() {
	allowed := q.router.retry.TryRetry()
	if q.run.cfg.NaiveRetries {
		allowed = len(q.tried) <= 3
	}
	if allowed {
		q.send()
		return
	}
	q.end(&q.run.result.Failed)
}

func (q *loadRequest) start(e *loadEngine, done func(routing.Result)) {
	r := q.run
	q.job = &loadJob{blocks: q.blocks, prompt: q.prompt, output: q.output}
	if q.class == catalogue.ClassQueued {
		q.job.priority = 2
	}
	job := q.job
	job.first = func() {
		q.first = r.clock.now - q.arrived
		if q.measured {
			r.result.FirstToken[q.class] = append(r.result.FirstToken[q.class], q.first)
		}
		if r.measuring() {
			r.hits += job.cached
			r.blocks += len(job.blocks)
		}
	}
	job.done = func() { done(routing.ResultOK); q.finish() }
	q.release = done
	e.submit(job)
}

func (q *loadRequest) giveUp() {
	if q.ended || q.first > 0 {
		return
	}
	if q.job != nil {
		q.job.canceled = true
		q.release(routing.ResultAbandoned)
	}
	q.end(&q.run.result.GaveUp)
}

// finish counts the request when it ended in the measured time, so that
// goodput is work done per second.
func (q *loadRequest) finish() {
	r := q.run
	if r.measuring() {
		r.result.ClassFinished[q.class]++
		r.result.Finished++
		if q.class != catalogue.ClassInteractive || q.first <= loadUseful {
			r.tokens += int64(q.prompt + q.output)
		}
	}
	q.end(nil)
	if r.cfg.Closed > 0 {
		r.clock.after(0, r.arrive)
	}
}

func (q *loadRequest) end(counter *int) {
	q.ended = true
	if counter != nil && q.measured {
		*counter++
	}
	if q.ticket != nil {
		q.ticket.Done()
	}
}
