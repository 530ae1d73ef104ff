package budget

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// loanKey names a loan. The requester is part of it, because a caller may
// repeat a request ID at another router.
type loanKey struct {
	from      record.HolderID
	requestID string
}

// loan is a reservation in this node's share for a request of another node.
type loan struct {
	entry  record.EntryKey
	amount int64
}

// RemoteSettlement is the end of a reservation at another node that still has to be told.
type RemoteSettlement struct {
	Lender record.HolderID
	Params SettleParams
}

// endedIDs remembers the requests whose loans ended, so that a reserve call
// that arrives after its own settle call reserves nothing.
type endedIDs struct {
	current, previous map[loanKey]struct{}
	turned            time.Time
}

// endedRetention is longer than any peer call can be under way.
const endedRetention = 10 * time.Minute

func (e *endedIDs) add(now time.Time, id loanKey) {
	if e.current == nil || now.After(e.turned.Add(endedRetention)) {
		e.previous, e.current, e.turned = e.current, make(map[loanKey]struct{}), now
	}
	e.current[id] = struct{}{}
}

func (e *endedIDs) has(id loanKey) bool {
	_, current := e.current[id]
	_, previous := e.previous[id]
	return current || previous
}

func (p ReserveParams) key() loanKey { return loanKey{from: p.From, requestID: p.RequestID} }

// HasLoan reports whether the request has a loan already, which answers a
// repeated budget.reserve.
func (n *Node) HasLoan(p ReserveParams) bool {
	_, lent := n.lent[p.key()]
	return lent
}

// AddLoan enters a reservation that was just made for another node's request. It
// reports false, and ends the reservation, when the request is over already. A
// second reservation for the same request is ended too.
func (n *Node) AddLoan(p ReserveParams) bool {
	_, lent := n.lent[p.key()]
	if lent || n.ended.has(p.key()) {
		n.Release(Reservation{RequestID: p.RequestID, Entry: p.Entry, Amount: p.Amount})
		return lent
	}
	n.lent[p.key()] = loan{entry: p.Entry, amount: p.Amount}
	return true
}

// ServeSettle ends a loan and bills it. Repeated calls do nothing.
func (n *Node) ServeSettle(now time.Time, p SettleParams) {
	key := loanKey{from: p.From, requestID: p.RequestID}
	n.ended.add(now, key)
	l, lent := n.lent[key]
	if !lent {
		return
	}
	delete(n.lent, key)
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

// QueueRemoteRelease notes a reservation that may exist at another node because the
// answer to budget.reserve did not come. The attempt does not ask that node
// again: a new loan under the same ID would fall to the release that is still
// on its way. The request's own place in the bill buffer is not touched.
func (n *Node) QueueRemoteRelease(a *Attempt, lender record.HolderID) {
	if a.spoiled == nil {
		a.spoiled = make(map[record.HolderID]bool)
	}
	a.spoiled[lender] = true
	n.bills.used.Add(1)
	n.QueueRemoteSettlement(lender, SettleParams{RequestID: a.Request.RequestID})
}

// SettleOwn ends a reservation that was made in this node's share, and bills
// it. It is safe for concurrent use.
func (n *Node) SettleOwn(res Reservation, bill record.Bill) {
	n.bills.add(n.Partition(res.Entry), bill)
	n.copies.settle(n.shares.Get(res.Entry), res, bill)
}

// Release ends a reservation of a request that was never sent. It is safe for
// concurrent use.
func (n *Node) Release(res Reservation) {
	n.copies.release(n.shares.Get(res.Entry), res)
	n.bills.giveBack()
}

// QueueRemoteSettlement notes the end of a reservation at another node. The request's place in
// the bill buffer stays taken until the lender has it.
func (n *Node) QueueRemoteSettlement(lender record.HolderID, p SettleParams) {
	p.From = n.self
	n.debts = append(n.debts, RemoteSettlement{Lender: lender, Params: p})
	if n.gone[lender] {
		n.LenderGone(lender)
	}
}

// RemoteSettlements returns the ends of reservations that lenders have not confirmed.
func (n *Node) RemoteSettlements() []RemoteSettlement { return n.debts }

// RemoteSettlementDone reports that a lender has confirmed the end of a reservation.
func (n *Node) RemoteSettlementDone(d RemoteSettlement) {
	for i := range n.debts {
		if n.debts[i].Lender == d.Lender && n.debts[i].Params.RequestID == d.Params.RequestID {
			n.debts = append(n.debts[:i:i], n.debts[i+1:]...)
			n.bills.giveBack()
			return
		}
	}
}

// LenderGone writes the bills that a dead lender can no longer write. Its share
// is charged by its backup, which knows the loans as reservations.
func (n *Node) LenderGone(lender record.HolderID) {
	n.gone[lender] = true
	var rest []RemoteSettlement
	for _, d := range n.debts {
		switch {
		case d.Lender != lender:
			rest = append(rest, d)
		case d.Params.Bill == nil:
			n.bills.giveBack()
		default:
			bill := *d.Params.Bill
			bill.Holder = lender
			n.bills.add(n.Partition(bill.Entry), bill)
		}
	}
	n.debts = rest
}

// RequesterGone ends the loans of a process that is proven dead: at what the
// upstreams report, else at the upper bound.
func (n *Node) RequesterGone(now time.Time, dead record.HolderID, resolve ChargeLookup) {
	for key, l := range n.lent {
		if key.from != dead {
			continue
		}
		bill := resolve.bill(now, key.requestID, l.entry, n.self, l.amount)
		n.ServeSettle(now, SettleParams{From: dead, RequestID: key.requestID, Bill: &bill})
	}
}
