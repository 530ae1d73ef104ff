package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Causes of an UnavailableError.
var (
	errLogDown      = errors.New("log unreachable and no share covers the request")
	errHeldByOthers = errors.New("other routers hold the rest of the budget")
	errUnknownEntry = errors.New("no prepaid amount is recorded for the entry yet")
	errEntryRemoved = errors.New("the entry was removed")
	errClosing      = errors.New("the router is stopping")
	errLogTimeout   = errors.New("log did not respond in time")
)

// Attempt is the state of one request until its tokens are reserved or it is refused.
type Attempt struct {
	Request ReserveRequest
	// ForPeer is true for a request of another node, which asked this one to reserve. Such an attempt asks
	// neither the home nor a lender, so that two nodes with different views of the home do not call each other
	// in turn.
	ForPeer bool

	arrived   time.Time
	deadline  time.Time
	grantSeq  uint64
	homeAsked bool
	// provenExhausted is set when a peer, the home or a lender, has proven that the budget is exhausted.
	provenExhausted bool
	// lastAsked holds the time of the last call to each holder.
	lastAsked map[record.HolderID]time.Time
	// unconfirmedLoans holds the nodes that may have a loan for this attempt, see QueueRemoteRelease.
	unconfirmedLoans map[record.HolderID]bool
	lastRead         time.Time
	reserved         bool
	position         JournalPosition
}

// JournalPosition returns the position in the journal that the backup must confirm before the request is
// dispatched.
func (a *Attempt) JournalPosition() JournalPosition { return a.position }

// Deadline returns the time by which the attempt ends with a reservation or a refusal.
func (a *Attempt) Deadline() time.Time { return a.deadline }

// StepKind says what the driver of an attempt does next.
type StepKind int

// The steps of an attempt.
const (
	// StepReserved ends the attempt: this node's share covers it.
	StepReserved StepKind = iota
	// StepRefuse ends the attempt with Err.
	StepRefuse
	// StepAskHome sends budget.reserve to Holders[0]. The driver passes a refusal to ReserveRefused and a
	// failed call to QueueRemoteRelease.
	StepAskHome
	// StepLog appends the items that are due on the entry's partition and reads the partition to its end.
	StepLog
	// StepReturn sends budget.return to Holders. The driver passes each response to RecordHolderReport.
	StepReturn
	// StepBorrow is like StepAskHome, with ShareOnly set.
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

// Begin starts an attempt. The caller has acquired a slot in the bill buffer.
func (n *Node) Begin(now time.Time, req ReserveRequest, forPeer bool) *Attempt {
	e := n.entry(req.Entry)
	e.demand.maxRequest = max(e.demand.maxRequest, req.Amount)
	if n.shares.Get(req.Entry).Counters().Unreserved() < req.Amount {
		n.shares.Get(req.Entry).AddDemand(req.Amount)
	}
	return &Attempt{Request: req, ForPeer: forPeer, arrived: now, deadline: now.Add(n.policy.waitLimit(req.Class))}
}

// Reservation returns the reservation of a request in this node's share.
func (n *Node) Reservation(req ReserveRequest) Reservation {
	return Reservation{
		RequestID: req.RequestID, Entry: req.Entry, Holder: n.self, Amount: req.Amount, Dispatcher: req.Dispatcher,
	}
}

// ShareOnly tries to reserve from this node's current share only, without the log or other holders. It reports
// whether it did.
func (a *Attempt) ShareOnly(n *Node) bool {
	if n.closing {
		return false
	}
	a.position, a.reserved = n.Reserve(n.Reservation(a.Request))
	return a.reserved
}

// Next returns the next step of an attempt. The sources are tried in the order own share, home, log, other
// holders.
func (n *Node) Next(now time.Time, a *Attempt, home record.HolderID) Step {
	if n.closing {
		return n.refuseUnavailable(errClosing)
	}
	if a.position, a.reserved = n.Reserve(n.Reservation(a.Request)); a.reserved {
		return Step{Kind: StepReserved}
	}
	if a.provenExhausted || n.exhausted(a) {
		return Step{Kind: StepRefuse, Err: ErrExhausted}
	}
	if !now.Before(a.deadline) {
		return n.refuseUnavailable(n.unavailableCause(now, a))
	}
	canAskHome := home != "" && home != n.self && !a.ForPeer && !a.homeAsked && !a.unconfirmedLoans[home]
	if canAskHome && n.prefersHome(a) {
		return n.askHome(a, home)
	}
	part := n.partitionOf(a.Request.Entry)
	if !now.Before(part.retryAt) {
		return n.logStep(now, a)
	}
	if canAskHome {
		return n.askHome(a, home)
	}
	if h := n.chooseLender(now, a); h != "" {
		return Step{Kind: StepBorrow, Holders: []record.HolderID{h}}
	}
	return n.waitStep(now, a)
}

func (n *Node) refuseUnavailable(cause error) Step {
	return Step{Kind: StepRefuse, Err: &UnavailableError{RetryAfter: n.policy.RetryAfter, Cause: cause}}
}

// unavailableCause returns the cause of a refusal that is not proven to be final.
func (n *Node) unavailableCause(now time.Time, a *Attempt) error {
	acc, part := n.account(a.Request.Entry), n.partitionOf(a.Request.Entry)
	switch {
	case now.Before(part.retryAt):
		return errLogDown
	case !n.fresh(a):
		return errLogTimeout
	case acc == nil:
		return errUnknownEntry
	case acc.Removed:
		return errEntryRemoved
	}
	return errHeldByOthers
}

// prefersHome reports whether this node reserves from the home's share instead of a share of its own: for
// entries with little local demand, and when little budget remains.
func (n *Node) prefersHome(a *Attempt) bool {
	d := n.entry(a.Request.Entry).demand
	return !n.policy.needsOwnShare(d) || n.policy.scarce(d, n.availability(a.Request.Entry))
}

func (n *Node) askHome(a *Attempt, home record.HolderID) Step {
	a.homeAsked = true
	return Step{Kind: StepAskHome, Holders: []record.HolderID{home}}
}

// logStep returns the next step while the log responds: it requests a grant first, then returns from the other
// holders, depending on the ledger.
func (n *Node) logStep(now time.Time, a *Attempt) Step {
	key := a.Request.Entry
	e, acc := n.entry(key), n.account(key)
	// A grant is sized by the free budget, so the ledger must be fresh: from an old one, two nodes would each
	// request the part that they leave to the other.
	if n.fresh(a) && acc != nil && !acc.Removed && acc.Free > 0 && n.grantApplied(a) {
		n.waitForGrant(e, a)
	}
	if !n.grantApplied(a) || !n.fresh(a) {
		n.partitionOf(key).urgent = true
		return Step{Kind: StepLog}
	}
	if holders := n.holdersToAsk(now, a); len(holders) > 0 {
		return Step{Kind: StepReturn, Holders: holders}
	}
	if !now.Before(a.lastRead.Add(n.policy.RetryInterval)) {
		// Holders that responded append their returns; the ledger must include these items.
		a.lastRead = now
		return Step{Kind: StepLog}
	}
	return n.waitStep(now, a)
}

// waitForGrant lets the attempt wait for a grant of its entry. If one is pending, the attempt waits for that
// one, although it may not include the attempt's amount, and for the next one after it. Otherwise the amount
// is added to the next grant.
func (n *Node) waitForGrant(e *entryState, a *Attempt) {
	own := n.ownShare(e.key)
	if own != nil {
		e.lastGrantSeq = max(e.lastGrantSeq, own.GrantSeq)
	}
	if e.pendingGrant != nil {
		a.grantSeq = e.lastGrantSeq
		return
	}
	e.waitingTokens += a.Request.Amount
	a.grantSeq = e.lastGrantSeq + 1
}

// grantApplied reports whether the grant that the attempt waits for is no longer pending: the ledger has
// applied or rejected it.
func (n *Node) grantApplied(a *Attempt) bool {
	e := n.entry(a.Request.Entry)
	if e.waitingTokens > 0 && a.grantSeq > e.lastGrantSeq {
		return false
	}
	return e.pendingGrant == nil || e.pendingGrant.Seq != a.grantSeq
}

// fresh reports whether a read that began after the attempt arrived has reached the end of the partition.
func (n *Node) fresh(a *Attempt) bool {
	return n.partitionOf(a.Request.Entry).freshAsOf.After(a.arrived)
}

func (n *Node) waitStep(now time.Time, a *Attempt) Step {
	until := now.Add(n.policy.RetryInterval)
	if until.After(a.deadline) {
		until = a.deadline
	}
	return Step{Kind: StepWait, Until: until}
}
