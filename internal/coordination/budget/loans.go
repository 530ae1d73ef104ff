package budget

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// loanKey identifies a loan. It includes the requester, because a caller may repeat a request ID at another
// router.
type loanKey struct {
	requester record.HolderID
	requestID string
}

// loan is a reservation in this node's share for a request of another node.
type loan struct {
	entry  record.EntryKey
	amount int64
}

// RemoteSettlement is the end of a reservation at another node that the lender has not yet confirmed.
type RemoteSettlement struct {
	Lender record.HolderID
	Params SettleParams
}

// endedLoans remembers the requests whose loans ended, so that a reserve call that arrives after its own
// settle call reserves nothing.
type endedLoans struct {
	current, previous map[loanKey]struct{}
	rotatedAt         time.Time
}

// endedRetention is longer than a peer call can be in flight.
const endedRetention = 10 * time.Minute

func (e *endedLoans) add(now time.Time, id loanKey) {
	if e.current == nil || now.After(e.rotatedAt.Add(endedRetention)) {
		e.previous, e.current, e.rotatedAt = e.current, make(map[loanKey]struct{}), now
	}
	e.current[id] = struct{}{}
}

func (e *endedLoans) has(id loanKey) bool {
	_, current := e.current[id]
	_, previous := e.previous[id]
	return current || previous
}

func (p ReserveParams) key() loanKey { return loanKey{requester: p.From, requestID: p.RequestID} }

// HasLoan reports whether the request already has a loan, so that a repeated budget.reserve succeeds.
func (n *Node) HasLoan(p ReserveParams) bool {
	_, lent := n.loans[p.key()]
	return lent
}

// AddLoan records a reservation that was just made for another node's request. It releases the reservation if
// the request already ended or already has a loan. It reports whether the request has a loan.
func (n *Node) AddLoan(p ReserveParams) bool {
	_, lent := n.loans[p.key()]
	if lent || n.endedLoans.has(p.key()) {
		n.Release(Reservation{RequestID: p.RequestID, Entry: p.Entry, Amount: p.Amount})
		return lent
	}
	n.loans[p.key()] = loan{entry: p.Entry, amount: p.Amount}
	return true
}

// ServeSettle ends a loan and bills it. Repeated calls do nothing.
func (n *Node) ServeSettle(now time.Time, p SettleParams) {
	key := loanKey{requester: p.From, requestID: p.RequestID}
	n.endedLoans.add(now, key)
	l, lent := n.loans[key]
	if !lent {
		return
	}
	delete(n.loans, key)
	res := Reservation{RequestID: p.RequestID, Entry: l.entry, Holder: n.self, Amount: l.amount}
	if p.Bill == nil {
		n.Release(res)
		return
	}
	bill := *p.Bill
	bill.RequestID, bill.Entry, bill.Holder = p.RequestID, l.entry, n.self
	bill.Charged = max(0, min(bill.Charged, l.amount))
	n.SettleOwn(res, bill)
}

// QueueRemoteRelease queues the release of a reservation that may exist at another node because the response
// to budget.reserve was not received. The attempt does not ask that node again: the release, still in flight,
// would end a new loan under the same ID. The slot of the request itself in the bill buffer is not affected.
func (n *Node) QueueRemoteRelease(a *Attempt, lender record.HolderID) {
	if a.unconfirmedLoans == nil {
		a.unconfirmedLoans = make(map[record.HolderID]bool)
	}
	a.unconfirmedLoans[lender] = true
	n.bills.used.Add(1)
	n.QueueRemoteSettlement(lender, SettleParams{RequestID: a.Request.RequestID})
}

// SettleOwn ends a reservation in this node's share and bills it. It is safe for concurrent use.
func (n *Node) SettleOwn(res Reservation, bill record.Bill) {
	n.bills.add(n.Partition(res.Entry), bill)
	n.journal.settle(n.shares.Get(res.Entry), res, bill)
}

// Release ends the reservation of a request that was never sent. It is safe for concurrent use.
func (n *Node) Release(res Reservation) {
	n.journal.release(n.shares.Get(res.Entry), res)
	n.bills.releaseSlot()
}

// QueueRemoteSettlement queues the end of a reservation at another node. Until the lender has confirmed the
// end, the settlement keeps a slot in the bill buffer: the request's, or the one that QueueRemoteRelease has
// added. If the lender has terminated, the bill is written here instead, and a release frees its slot.
func (n *Node) QueueRemoteSettlement(lender record.HolderID, p SettleParams) {
	p.From = n.self
	n.remoteSettlements = append(n.remoteSettlements, RemoteSettlement{Lender: lender, Params: p})
	if n.terminated[lender] {
		n.LenderTerminated(lender)
	}
}

// RemoteSettlements returns the ends of reservations that lenders have not confirmed.
func (n *Node) RemoteSettlements() []RemoteSettlement { return n.remoteSettlements }

// RemoteSettlementDone removes an end of a reservation that its lender has confirmed.
func (n *Node) RemoteSettlementDone(s RemoteSettlement) {
	for i := range n.remoteSettlements {
		if n.remoteSettlements[i].Lender == s.Lender && n.remoteSettlements[i].Params.RequestID == s.Params.RequestID {
			n.remoteSettlements = append(n.remoteSettlements[:i:i], n.remoteSettlements[i+1:]...)
			n.bills.releaseSlot()
			return
		}
	}
}

// LenderTerminated writes the bills that a terminated lender can no longer write. The charge to the lender's
// share comes from its backup, which has the loans in its replica as reservations.
func (n *Node) LenderTerminated(lender record.HolderID) {
	n.terminated[lender] = true
	var rest []RemoteSettlement
	for _, s := range n.remoteSettlements {
		switch {
		case s.Lender != lender:
			rest = append(rest, s)
		case s.Params.Bill == nil:
			n.bills.releaseSlot()
		default:
			bill := *s.Params.Bill
			bill.Holder = lender
			n.bills.add(n.Partition(bill.Entry), bill)
		}
	}
	n.remoteSettlements = rest
}

// RequesterTerminated ends the loans of a process that is proven to have terminated, at what the upstreams
// report, else at the upper bound.
func (n *Node) RequesterTerminated(now time.Time, requester record.HolderID, lookup ChargeLookup) {
	for key, l := range n.loans {
		if key.requester != requester {
			continue
		}
		bill := lookup.bill(now, key.requestID, l.entry, n.self, l.amount)
		n.ServeSettle(now, SettleParams{From: requester, RequestID: key.requestID, Bill: &bill})
	}
}
