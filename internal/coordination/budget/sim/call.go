package sim

import (
	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// reserveAttempt is one attempt in progress at a process to reserve for a caller's
// request or for a peer's.
type reserveAttempt struct {
	process *Process
	req     Request
	attempt *budget.Attempt
	// requester is the peer that sent budget.reserve, or nil for a caller's request.
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
	a := &reserveAttempt{process: p, req: r, attempt: p.Node.Begin(f.Now, reserveRequest(r), false)}
	a.reply = func(_ budget.ReserveResult, err error) { f.onDecided(p, r, err) }
	p.attempts = append(p.attempts, a)
	f.step(a)
	p.pruneAttempts()
}

// StepAttempts advances every attempt in progress at a process.
func (f *Fleet) StepAttempts(p *Process) {
	if !p.active() {
		return
	}
	for _, a := range append([]*reserveAttempt(nil), p.attempts...) {
		f.step(a)
	}
	p.pruneAttempts()
}

func (p *Process) pruneAttempts() {
	kept := p.attempts[:0]
	for _, a := range p.attempts {
		if !a.done {
			kept = append(kept, a)
		}
	}
	clear(p.attempts[len(kept):])
	p.attempts = kept
}

// maxSteps bounds the steps that one attempt takes without waiting.
const maxSteps = 16

func (f *Fleet) step(a *reserveAttempt) {
	for i := 0; i < maxSteps && !a.done && a.process.active(); i++ {
		if !f.stepOnce(a) {
			return
		}
	}
}

// stepOnce does the next step of an attempt. It reports whether the attempt can
// continue without waiting.
func (f *Fleet) stepOnce(a *reserveAttempt) bool {
	if a.reserved {
		return f.finishReserved(a)
	}
	if a.pendingLender != nil {
		if f.Now.Before(a.attempt.Deadline()) {
			return false
		}
		f.abandonLender(a)
	}
	node := a.process.Node
	s := node.Next(f.Now, a.attempt, f.home(a.process)(node.Partition(a.req.Entry)))
	switch s.Kind {
	case budget.StepReserved:
		a.reserved = true
		f.notifyReserve()
		return true
	case budget.StepRefuse:
		node.ReleaseBillSlot()
		a.end(budget.ReserveResult{Exhausted: errors.Is(s.Err, budget.ErrExhausted)}, s.Err)
		return false
	case budget.StepAskHome:
		return f.sendReserve(a, f.process(s.Holders[0]), false)
	case budget.StepBorrow:
		return f.sendReserve(a, f.process(s.Holders[0]), true)
	case budget.StepReturn:
		f.requestReturns(a, s.Holders)
		return true
	}
	return false
}

func (a *reserveAttempt) end(r budget.ReserveResult, err error) {
	a.done = true
	a.reply(r, err)
}

// finishReserved dispatches the request, or lends the reservation to the peer that
// called, once the backup has confirmed the reservation.
func (f *Fleet) finishReserved(a *reserveAttempt) bool {
	node := a.process.Node
	res := node.Reservation(reserveRequest(a.req))
	if !node.Replicated(a.attempt.JournalPosition()) {
		f.sendJournal(a.process)
	}
	if !node.Replicated(a.attempt.JournalPosition()) {
		if !f.Now.Before(a.attempt.Deadline()) {
			node.Release(res)
			a.end(budget.ReserveResult{}, &budget.UnavailableError{Cause: errCall})
		}
		return false
	}
	if a.requester != nil {
		a.end(budget.ReserveResult{Reserved: node.AddLoan(reserveParams(a.requester, a.req, false))}, nil)
		return false
	}
	f.dispatch(a.process, a.req, res)
	a.end(budget.ReserveResult{Reserved: true}, nil)
	return false
}

func reserveParams(from *Process, r Request, shareOnly bool) budget.ReserveParams {
	return budget.ReserveParams{
		From: from.Holder(), RequestID: r.ID, Entry: r.Entry, Amount: r.Amount, ShareOnly: shareOnly,
	}
}

// sendReserve sends budget.reserve to a lender. It reports whether the call has
// ended, with or without a response.
func (f *Fleet) sendReserve(a *reserveAttempt, lender *Process, shareOnly bool) bool {
	fault := f.fault()
	if !f.reachable(a.process, lender) || fault == FaultRefused {
		return true
	}
	a.pendingLender = lender
	reply := func(r budget.ReserveResult, _ error) {
		if a.done || a.pendingLender != lender {
			return
		}
		if fault == FaultLost {
			f.abandonLender(a)
			return
		}
		a.pendingLender = nil
		f.handleReserveResult(a, lender, r)
	}
	f.serveReserve(lender, a, shareOnly, reply)
	return a.pendingLender == nil
}

func (f *Fleet) serveReserve(lender *Process, a *reserveAttempt, shareOnly bool, reply func(budget.ReserveResult, error)) {
	node := lender.Node
	if node.HasLoan(reserveParams(a.process, a.req, shareOnly)) {
		reply(budget.ReserveResult{Reserved: true}, nil)
		return
	}
	if lender.Draining || !node.AcquireBillSlot() {
		reply(budget.ReserveResult{}, nil)
		return
	}
	incoming := &reserveAttempt{process: lender, req: a.req, requester: a.process, reply: reply}
	incoming.attempt = node.Begin(f.Now, reserveRequest(a.req), true)
	if shareOnly {
		incoming.reserved = incoming.attempt.ShareOnly(node)
		f.notifyReserve()
		if !incoming.reserved {
			node.ReleaseBillSlot()
			reply(budget.ReserveResult{}, nil)
			return
		}
	}
	lender.attempts = append(lender.attempts, incoming)
	f.step(incoming)
}

func (f *Fleet) handleReserveResult(a *reserveAttempt, lender *Process, r budget.ReserveResult) {
	if !r.Reserved {
		a.process.Node.ReserveRefused(a.attempt, r.Exhausted)
		return
	}
	if !a.process.active() {
		// The process is paused or terminated and does not read the response, so
		// the attempt releases the loan.
		a.process.Node.QueueRemoteRelease(a.attempt, lender.Holder())
		return
	}
	res := budget.Reservation{RequestID: a.req.ID, Entry: a.req.Entry, Holder: lender.Holder(), Amount: a.req.Amount}
	f.dispatch(a.process, a.req, res)
	a.end(r, nil)
}

// abandonLender ends the wait for a lender's response; the attempt continues. The
// lender may have made the loan, so its release is queued.
func (f *Fleet) abandonLender(a *reserveAttempt) {
	lender := a.pendingLender
	a.pendingLender = nil
	a.process.Node.QueueRemoteRelease(a.attempt, lender.Holder())
}

// fail ends an attempt because its process was terminated.
func (a *reserveAttempt) fail(f *Fleet) {
	if a.done {
		return
	}
	a.done = true
	if a.requester != nil {
		a.reply(budget.ReserveResult{}, errCall)
		return
	}
	f.onDecided(a.process, a.req, errCall)
}

func (f *Fleet) requestReturns(a *reserveAttempt, holders []record.HolderID) {
	for _, h := range holders {
		q := f.process(h)
		fault := f.fault()
		if !f.reachable(a.process, q) || fault == FaultRefused {
			continue
		}
		counters := q.Node.ServeReturn(a.req.Entry)
		if fault == FaultNone {
			a.process.Node.RecordHolderReport(f.Now, a.req.Entry, h, counters)
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
