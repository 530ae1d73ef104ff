package sim

import (
	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// call is one reservation attempt in progress at a process, for a caller's request
// or for a peer's.
type call struct {
	process *Process
	req     Request
	attempt *budget.Attempt
	// requester is the peer that sent the call, or nil for a caller's request.
	requester *Process
	reply     func(budget.ReserveResult, error)
	// pendingLender is the lender whose response the attempt waits for, or nil.
	pendingLender *Process
	reserved      bool
	done          bool
}

func reserveRequest(r Request) budget.ReserveRequest {
	class := catalogue.ClassInteractive
	if r.Queued {
		class = catalogue.ClassQueued
	}
	return budget.ReserveRequest{RequestID: r.ID, Entry: r.Entry, Class: class, Amount: r.Amount}
}

// Submit sends a caller's request to a process.
func (f *Fleet) Submit(p *Process, r Request) {
	if !p.Node.AcquireBillSlot() {
		f.onDecided(p, r, budget.ErrBillingUnavailable)
		return
	}
	c := &call{process: p, req: r, attempt: p.Node.Begin(f.Now, reserveRequest(r), false)}
	c.reply = func(_ budget.ReserveResult, err error) { f.onDecided(p, r, err) }
	p.calls = append(p.calls, c)
	f.step(c)
	p.pruneCalls()
}

// StepCalls advances every attempt in progress at a process.
func (f *Fleet) StepCalls(p *Process) {
	if !p.active() {
		return
	}
	for _, c := range append([]*call(nil), p.calls...) {
		f.step(c)
	}
	p.pruneCalls()
}

func (p *Process) pruneCalls() {
	kept := p.calls[:0]
	for _, c := range p.calls {
		if !c.done {
			kept = append(kept, c)
		}
	}
	clear(p.calls[len(kept):])
	p.calls = kept
}

// maxSteps bounds the steps that one attempt takes without waiting.
const maxSteps = 16

func (f *Fleet) step(c *call) {
	for i := 0; i < maxSteps && !c.done && c.process.active(); i++ {
		if !f.stepOnce(c) {
			return
		}
	}
}

// stepOnce does the next step of an attempt. It reports whether the attempt can
// continue without waiting.
func (f *Fleet) stepOnce(c *call) bool {
	if c.reserved {
		return f.finishReserved(c)
	}
	if c.pendingLender != nil {
		if f.Now.Before(c.attempt.Deadline()) {
			return false
		}
		f.abandonLender(c)
	}
	node := c.process.Node
	s := node.Next(f.Now, c.attempt, f.home(c.process)(node.Partition(c.req.Entry)))
	switch s.Kind {
	case budget.StepReserved:
		c.reserved = true
		f.notifyReserve()
		return true
	case budget.StepRefuse:
		node.ReleaseBillSlot()
		c.end(budget.ReserveResult{Exhausted: errors.Is(s.Err, budget.ErrExhausted)}, s.Err)
		return false
	case budget.StepAskHome:
		return f.sendReserve(c, f.process(s.Holders[0]), false)
	case budget.StepBorrow:
		return f.sendReserve(c, f.process(s.Holders[0]), true)
	case budget.StepReturn:
		f.requestReturns(c, s.Holders)
		return true
	}
	return false
}

func (c *call) end(r budget.ReserveResult, err error) {
	c.done = true
	c.reply(r, err)
}

// finishReserved dispatches the request, or lends the reservation to the peer that
// called, once the backup has confirmed the reservation.
func (f *Fleet) finishReserved(c *call) bool {
	node := c.process.Node
	res := node.Reservation(reserveRequest(c.req))
	if !node.Replicated(c.attempt.JournalPosition()) {
		f.sendJournal(c.process)
	}
	if !node.Replicated(c.attempt.JournalPosition()) {
		if !f.Now.Before(c.attempt.Deadline()) {
			node.Release(res)
			c.end(budget.ReserveResult{}, &budget.UnavailableError{Cause: errCall})
		}
		return false
	}
	if c.requester != nil {
		c.end(budget.ReserveResult{Reserved: node.AddLoan(reserveParams(c.requester, c.req, false))}, nil)
		return false
	}
	f.dispatch(c.process, c.req, res)
	c.end(budget.ReserveResult{Reserved: true}, nil)
	return false
}

func reserveParams(from *Process, r Request, shareOnly bool) budget.ReserveParams {
	return budget.ReserveParams{
		From: from.Holder(), RequestID: r.ID, Entry: r.Entry, Amount: r.Amount, ShareOnly: shareOnly,
	}
}

// sendReserve sends budget.reserve to a lender. It reports whether the call has
// ended, with or without a response.
func (f *Fleet) sendReserve(c *call, lender *Process, shareOnly bool) bool {
	fault := f.fault()
	if !f.reachable(c.process, lender) || fault == FaultRefused {
		return true
	}
	c.pendingLender = lender
	reply := func(r budget.ReserveResult, _ error) {
		if c.done || c.pendingLender != lender {
			return
		}
		if fault == FaultLost {
			f.abandonLender(c)
			return
		}
		c.pendingLender = nil
		f.handleReserveResult(c, lender, r)
	}
	f.serveReserve(lender, c, shareOnly, reply)
	return c.pendingLender == nil
}

func (f *Fleet) serveReserve(lender *Process, c *call, shareOnly bool, reply func(budget.ReserveResult, error)) {
	node := lender.Node
	if node.HasLoan(reserveParams(c.process, c.req, shareOnly)) {
		reply(budget.ReserveResult{Reserved: true}, nil)
		return
	}
	if lender.Draining || !node.AcquireBillSlot() {
		reply(budget.ReserveResult{}, nil)
		return
	}
	incoming := &call{process: lender, req: c.req, requester: c.process, reply: reply}
	incoming.attempt = node.Begin(f.Now, reserveRequest(c.req), true)
	if shareOnly {
		incoming.reserved = incoming.attempt.ShareOnly(node)
		f.notifyReserve()
		if !incoming.reserved {
			node.ReleaseBillSlot()
			reply(budget.ReserveResult{}, nil)
			return
		}
	}
	lender.calls = append(lender.calls, incoming)
	f.step(incoming)
}

func (f *Fleet) handleReserveResult(c *call, lender *Process, r budget.ReserveResult) {
	if !r.Reserved {
		c.process.Node.ReserveRefused(c.attempt, r.Exhausted)
		return
	}
	if !c.process.active() {
		// The process is paused or terminated and does not read the response, so
		// the attempt releases the loan.
		c.process.Node.QueueRemoteRelease(c.attempt, lender.Holder())
		return
	}
	res := budget.Reservation{RequestID: c.req.ID, Entry: c.req.Entry, Holder: lender.Holder(), Amount: c.req.Amount}
	f.dispatch(c.process, c.req, res)
	c.end(r, nil)
}

// abandonLender ends a call without a response. The lender may have made the loan,
// so its release is queued.
func (f *Fleet) abandonLender(c *call) {
	lender := c.pendingLender
	c.pendingLender = nil
	c.process.Node.QueueRemoteRelease(c.attempt, lender.Holder())
}

// fail ends a call because its process was terminated.
func (c *call) fail(f *Fleet) {
	if c.done {
		return
	}
	c.done = true
	if c.requester != nil {
		c.reply(budget.ReserveResult{}, errCall)
		return
	}
	f.onDecided(c.process, c.req, errCall)
}

func (f *Fleet) requestReturns(c *call, holders []record.HolderID) {
	for _, h := range holders {
		q := f.process(h)
		fault := f.fault()
		if !f.reachable(c.process, q) || fault == FaultRefused {
			continue
		}
		counters := q.Node.ServeReturn(c.req.Entry)
		if fault == FaultNone {
			c.process.Node.RecordHolderReport(f.Now, c.req.Entry, h, counters)
		}
	}
}

func (f *Fleet) dispatch(p *Process, r Request, res budget.Reservation) {
	f.TokensUsed[r.Entry] += r.Used
	f.usedByRequest[r.ID] = r.Used
	f.runByRequest[r.ID] = &run{req: r, process: p, res: res}
	f.runs = append(f.runs, &run{req: r, process: p, res: res, end: f.Now.Add(r.Duration)})
}

// finishRuns ends the runs whose time is over. The run of a paused process stays
// until the process resumes and settles it. A terminated process settles nothing,
// but its upstream finishes the request anyway, unless the process was paused when
// it was killed: then the run stays.
func (f *Fleet) finishRuns() {
	kept := f.runs[:0]
	for _, r := range f.runs {
		if f.Now.Before(r.end) || r.process.Paused {
			kept = append(kept, r)
			continue
		}
		r.ended = true
		f.finished[r.req.ID] = true
		if r.process.active() {
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
	if r.res.Holder == r.process.Holder() {
		r.process.Node.SettleOwn(r.res, bill)
		return
	}
	r.process.Node.QueueRemoteSettlement(r.res.Holder, budget.SettleParams{RequestID: r.req.ID, Bill: &bill})
}
