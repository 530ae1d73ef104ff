package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Causes of an UnavailableError.
var (
	errLogDown       = errors.New("the log cannot be reached and no share covers the request")
	errHolders       = errors.New("other routers hold the rest of the budget")
	errUnknownEntry  = errors.New("no prepaid amount of the entry is recorded yet")
	errEntryRemoved  = errors.New("the entry was removed")
	errClosing       = errors.New("the router is stopping")
	errNotYetCovered = errors.New("the log did not answer in time")
)

// Attempt is one request on its way to a reservation.
type Attempt struct {
	Request ReserveRequest
	// ForPeer marks a request that another node sent here as the home, so that
	// two nodes with different views do not ask each other in turn.
	ForPeer bool

	arrived   time.Time
	deadline  time.Time
	grantSeq  uint64
	homeAsked bool
	// proven is set when the home has proven that the budget is exhausted.
	proven bool
	// tried holds the time of the last question to each holder.
	tried map[record.HolderID]time.Time
	// spoiled holds the nodes with a loan to release, see OweRelease.
	spoiled  map[record.HolderID]bool
	lastRead time.Time
	reserved bool
	ticket   JournalPosition
}

// JournalPosition names the copy that the reserved request waits for.
func (a *Attempt) JournalPosition() JournalPosition { return a.ticket }

// Deadline returns the time by which the attempt is decided.
func (a *Attempt) Deadline() time.Time { return a.deadline }

// StepKind says what the driver of an attempt does next.
type StepKind int

// The steps of an attempt.
const (
	// StepReserved ends the attempt: this node's share covers it.
	StepReserved StepKind = iota
	// StepRefuse ends the attempt with Err.
	StepRefuse
	// StepAskHome sends budget.reserve to Holders[0], then reports HomeAnswered.
	StepAskHome
	// StepLog appends what is due on the entry's partition and reads it to the end.
	StepLog
	// StepReturn sends budget.return to Holders, then reports HolderAnswered.
	StepReturn
	// StepBorrow sends budget.reserve for its share only to Holders[0], then
	// reports BorrowAnswered.
	StepBorrow
	// StepWait waits until Until or until the state of the partition changes.
	StepWait
)

// Step is the next step of an attempt.
type Step struct {
	Kind    StepKind
	Holders []record.HolderID
	Until   time.Time
	Err     error
}

// Begin starts an attempt. The caller has taken a place in the bill buffer.
func (n *Node) Begin(now time.Time, req ReserveRequest, forPeer bool) *Attempt {
	e := n.entry(req.Entry)
	e.demand.maxBound = max(e.demand.maxBound, req.Amount)
	if n.shares.Get(req.Entry).Counters().Free() < req.Amount {
		n.shares.Get(req.Entry).AddDemand(req.Amount)
	}
	return &Attempt{Request: req, ForPeer: forPeer, arrived: now, deadline: now.Add(n.policy.wait(req.Class))}
}

// Reservation returns the reservation of a request in this node's share.
func (n *Node) Reservation(req ReserveRequest) Reservation {
	return Reservation{
		RequestID: req.RequestID, Entry: req.Entry, Holder: n.self, Amount: req.Amount, Dispatcher: req.Dispatcher,
	}
}

// ShareOnly reserves from the share at hand and reports whether it covers the
// request.
func (a *Attempt) ShareOnly(n *Node) bool {
	if n.closing {
		return false
	}
	a.ticket, a.reserved = n.Reserve(n.Reservation(a.Request))
	return a.reserved
}

// Next decides what an attempt does now. It follows the order of the sources:
// own share, home, log, other holders.
func (n *Node) Next(now time.Time, a *Attempt, home record.HolderID) Step {
	if n.closing {
		return n.refuse(errClosing)
	}
	if a.ticket, a.reserved = n.Reserve(n.Reservation(a.Request)); a.reserved {
		return Step{Kind: StepReserved}
	}
	if a.proven || n.exhausted(a) {
		return Step{Kind: StepRefuse, Err: ErrExhausted}
	}
	if !now.Before(a.deadline) {
		return n.refuse(n.cause(now, a))
	}
	askable := home != "" && home != n.self && !a.ForPeer && !a.homeAsked && !a.spoiled[home]
	if askable && n.atHome(a) {
		return n.askHome(a, home)
	}
	part := n.part(a.Request.Entry)
	if !now.Before(part.retryAt) {
		return n.logStep(now, a)
	}
	if askable {
		return n.askHome(a, home)
	}
	if h := n.lender(now, a); h != "" {
		return Step{Kind: StepBorrow, Holders: []record.HolderID{h}}
	}
	return n.waitStep(now, a)
}

func (n *Node) refuse(cause error) Step {
	return Step{Kind: StepRefuse, Err: &UnavailableError{RetryAfter: n.policy.RetryAfter, Cause: cause}}
}

// cause names the reason of a refusal that is not proven to be final.
func (n *Node) cause(now time.Time, a *Attempt) error {
	acc, part := n.account(a.Request.Entry), n.part(a.Request.Entry)
	switch {
	case now.Before(part.retryAt):
		return errLogDown
	case !n.fresh(a):
		return errNotYetCovered
	case acc == nil:
		return errUnknownEntry
	case acc.Removed:
		return errEntryRemoved
	}
	return errHolders
}

// atHome reports whether this node uses the home's share rather than its own:
// for entries it seldom sees, and when little budget remains.
func (n *Node) atHome(a *Attempt) bool {
	d := n.entry(a.Request.Entry).demand
	return !n.policy.hot(d) || n.policy.scarce(d, n.supply(a.Request.Entry))
}

func (n *Node) askHome(a *Attempt, home record.HolderID) Step {
	a.homeAsked = true
	return Step{Kind: StepAskHome, Holders: []record.HolderID{home}}
}

// logStep asks for a grant, then for returns, as the fold allows.
func (n *Node) logStep(now time.Time, a *Attempt) Step {
	key := a.Request.Entry
	e, acc := n.entry(key), n.account(key)
	// A grant is sized by the free budget, so the fold must be fresh: from an old
	// one, two nodes would each take the part that they leave to the other.
	if n.fresh(a) && acc != nil && !acc.Removed && acc.Free > 0 && n.grantDone(a) {
		n.await(e, a)
	}
	if !n.grantDone(a) || !n.fresh(a) {
		n.part(key).urgent = true
		return Step{Kind: StepLog}
	}
	if silent := n.silent(now, a); len(silent) > 0 {
		return Step{Kind: StepReturn, Holders: silent}
	}
	if !now.Before(a.lastRead.Add(n.policy.RetryInterval)) {
		// Holders that answered append their returns; the fold must pass them.
		a.lastRead = now
		return Step{Kind: StepLog}
	}
	return n.waitStep(now, a)
}

// await enters the attempt into the next grant of its entry. A grant that was
// planned earlier may not include it, so the next one counts.
func (n *Node) await(e *entry, a *Attempt) {
	own := n.ownShare(e.key)
	if own != nil {
		e.seq = max(e.seq, own.GrantSeq)
	}
	if e.pending != nil {
		a.grantSeq = e.seq
		return
	}
	e.waiting += a.Request.Amount
	a.grantSeq = e.seq + 1
}

// grantDone reports whether the grant that the attempt waited for was folded.
func (n *Node) grantDone(a *Attempt) bool {
	e := n.entry(a.Request.Entry)
	if e.waiting > 0 && a.grantSeq > e.seq {
		return false
	}
	return e.pending == nil || e.pending.Seq != a.grantSeq
}

// fresh reports whether the fold was read to the end of the log after the
// attempt arrived.
func (n *Node) fresh(a *Attempt) bool {
	return n.part(a.Request.Entry).freshAsOf.After(a.arrived)
}

func (n *Node) waitStep(now time.Time, a *Attempt) Step {
	until := now.Add(n.policy.RetryInterval)
	if until.After(a.deadline) {
		until = a.deadline
	}
	return Step{Kind: StepWait, Until: until}
}
