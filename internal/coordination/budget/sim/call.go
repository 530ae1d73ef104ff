package sim

import (
	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// call is one attempt under way at a process: of a caller, or of a peer.
type call struct {
	proc    *Proc
	req     Request
	attempt *budget.Attempt
	// from is the requester of a call that came from a peer.
	from   *Proc
	answer func(budget.ReserveResult, error)
	// asking is the lender whose answer the attempt waits for.
	asking   *Proc
	reserved bool
	over     bool
}

func reserveRequest(r Request) budget.ReserveRequest {
	class := catalogue.ClassInteractive
	if r.Queued {
		class = catalogue.ClassQueued
	}
	return budget.ReserveRequest{RequestID: r.ID, Entry: r.Entry, Class: class, Amount: r.Amount}
}

// Submit gives a caller's request to a process.
func (f *Fleet) Submit(p *Proc, r Request) {
	if !p.Node.AcquireBillSlot() {
		f.onDone(p, r, budget.ErrBillingUnavailable)
		return
	}
	c := &call{proc: p, req: r, attempt: p.Node.Begin(f.Now, reserveRequest(r), false)}
	c.answer = func(_ budget.ReserveResult, err error) { f.onDone(p, r, err) }
	p.calls = append(p.calls, c)
	f.step(c)
	p.prune()
}

// StepCalls takes every waiting attempt of a process further.
func (f *Fleet) StepCalls(p *Proc) {
	if !p.active() {
		return
	}
	for _, c := range append([]*call(nil), p.calls...) {
		f.step(c)
	}
	p.prune()
}

func (p *Proc) prune() {
	kept := p.calls[:0]
	for _, c := range p.calls {
		if !c.over {
			kept = append(kept, c)
		}
	}
	clear(p.calls[len(kept):])
	p.calls = kept
}

// maxSteps bounds the steps of one attempt without a wait.
const maxSteps = 16

func (f *Fleet) step(c *call) {
	for i := 0; i < maxSteps && !c.over && c.proc.active(); i++ {
		if !f.stepOnce(c) {
			return
		}
	}
}

// stepOnce reports whether the attempt can go on without waiting.
func (f *Fleet) stepOnce(c *call) bool {
	if c.reserved {
		return f.finishReserved(c)
	}
	if c.asking != nil {
		if f.Now.Before(c.attempt.Deadline()) {
			return false
		}
		f.giveUpAsking(c)
	}
	node := c.proc.Node
	s := node.Next(f.Now, c.attempt, f.home(c.proc)(node.Partition(c.req.Entry)))
	switch s.Kind {
	case budget.StepReserved:
		c.reserved = true
		f.observe()
		return true
	case budget.StepRefuse:
		node.ReleaseBillSlot()
		c.end(budget.ReserveResult{Exhausted: errors.Is(s.Err, budget.ErrExhausted)}, s.Err)
		return false
	case budget.StepAskHome:
		return f.ask(c, f.proc(s.Holders[0]), false)
	case budget.StepBorrow:
		return f.ask(c, f.proc(s.Holders[0]), true)
	case budget.StepReturn:
		f.askReturns(c, s.Holders)
		return true
	}
	return false
}

func (c *call) end(r budget.ReserveResult, err error) {
	c.over = true
	c.answer(r, err)
}

// finishReserved dispatches or lends once the copy is confirmed.
func (f *Fleet) finishReserved(c *call) bool {
	node := c.proc.Node
	res := node.Reservation(reserveRequest(c.req))
	if !node.Replicated(c.attempt.JournalPosition()) {
		f.sendCopies(c.proc)
	}
	if !node.Replicated(c.attempt.JournalPosition()) {
		if !f.Now.Before(c.attempt.Deadline()) {
			node.Release(res)
			c.end(budget.ReserveResult{}, &budget.UnavailableError{Cause: errCall})
		}
		return false
	}
	if c.from != nil {
		c.end(budget.ReserveResult{Reserved: node.AddLoan(params(c.from, c.req, false))}, nil)
		return false
	}
	f.dispatch(c.proc, c.req, res)
	c.end(budget.ReserveResult{Reserved: true}, nil)
	return false
}

func params(from *Proc, r Request, shareOnly bool) budget.ReserveParams {
	return budget.ReserveParams{
		From: from.Holder(), RequestID: r.ID, Entry: r.Entry, Amount: r.Amount, ShareOnly: shareOnly,
	}
}

// ask sends budget.reserve to a lender. It reports whether the answer is there.
func (f *Fleet) ask(c *call, lender *Proc, shareOnly bool) bool {
	fault := f.fault()
	if !f.reachable(c.proc, lender) || fault == FaultRefused {
		return true
	}
	c.asking = lender
	answer := func(r budget.ReserveResult, _ error) {
		if c.over || c.asking != lender {
			return
		}
		if fault == FaultLost {
			f.giveUpAsking(c)
			return
		}
		c.asking = nil
		f.answered(c, lender, r)
	}
	f.serveReserve(lender, c, shareOnly, answer)
	return c.asking == nil
}

func (f *Fleet) serveReserve(lender *Proc, c *call, shareOnly bool, answer func(budget.ReserveResult, error)) {
	node := lender.Node
	if node.HasLoan(params(c.proc, c.req, shareOnly)) {
		answer(budget.ReserveResult{Reserved: true}, nil)
		return
	}
	if lender.Draining || !node.AcquireBillSlot() {
		answer(budget.ReserveResult{}, nil)
		return
	}
	in := &call{proc: lender, req: c.req, from: c.proc, answer: answer}
	in.attempt = node.Begin(f.Now, reserveRequest(c.req), true)
	if shareOnly {
		in.reserved = in.attempt.ShareOnly(node)
		f.observe()
		if !in.reserved {
			node.ReleaseBillSlot()
			answer(budget.ReserveResult{}, nil)
			return
		}
	}
	lender.calls = append(lender.calls, in)
	f.step(in)
}

func (f *Fleet) answered(c *call, lender *Proc, r budget.ReserveResult) {
	if !r.Reserved {
		c.proc.Node.ReserveRefused(c.attempt, r.Exhausted)
		return
	}
	if !c.proc.active() {
		// The answer waits in the socket; the attempt gives the loan back.
		c.proc.Node.QueueRemoteRelease(c.attempt, lender.Holder())
		return
	}
	res := budget.Reservation{RequestID: c.req.ID, Entry: c.req.Entry, Holder: lender.Holder(), Amount: c.req.Amount}
	f.dispatch(c.proc, c.req, res)
	c.end(r, nil)
}

// giveUpAsking treats a call whose answer did not come as a loan to release.
func (f *Fleet) giveUpAsking(c *call) {
	lender := c.asking
	c.asking = nil
	c.proc.Node.QueueRemoteRelease(c.attempt, lender.Holder())
}

// abandon ends the call of a dead process.
func (c *call) abandon(f *Fleet) {
	if c.over {
		return
	}
	c.over = true
	if c.from != nil {
		c.answer(budget.ReserveResult{}, errCall)
		return
	}
	f.onDone(c.proc, c.req, errCall)
}

func (f *Fleet) askReturns(c *call, holders []record.HolderID) {
	for _, h := range holders {
		q := f.proc(h)
		fault := f.fault()
		if !f.reachable(c.proc, q) || fault == FaultRefused {
			continue
		}
		counters := q.Node.ServeReturn(c.req.Entry)
		if fault == FaultNone {
			c.proc.Node.RecordHolderReport(f.Now, c.req.Entry, h, counters)
		}
	}
}

func (f *Fleet) dispatch(p *Proc, r Request, res budget.Reservation) {
	f.Ran[r.Entry] += r.Used
	f.usedBy[r.ID] = r.Used
	f.where[r.ID] = &run{req: r, proc: p, res: res}
	f.runs = append(f.runs, &run{req: r, proc: p, res: res, end: f.Now.Add(r.Duration)})
}

// finishRuns ends the runs that are over. A paused router settles after it
// wakes; a dead one does not, but its upstream finishes all the same.
func (f *Fleet) finishRuns() {
	kept := f.runs[:0]
	for _, r := range f.runs {
		if f.Now.Before(r.end) || r.proc.Paused {
			kept = append(kept, r)
			continue
		}
		r.ended = true
		f.finished[r.req.ID] = true
		if r.proc.active() {
			f.settle(r)
		}
	}
	clear(f.runs[len(kept):])
	f.runs = kept
}

func (f *Fleet) settle(r *run) {
	bill := record.Bill{
		RequestID: r.req.ID, Entry: r.req.Entry, Holder: r.res.Holder, Charged: r.req.Used, Outcome: "complete",
	}
	if r.res.Holder == r.proc.Holder() {
		r.proc.Node.SettleOwn(r.res, bill)
		return
	}
	r.proc.Node.QueueRemoteSettlement(r.res.Holder, budget.SettleParams{RequestID: r.req.ID, Bill: &bill})
}
