package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// ProofKind names why a process is known to send nothing any more. Missed
// heartbeats are no proof, and no kind stands for them.
type ProofKind int

// The proofs of death.
const (
	// ProofDelisted: the platform's list had the VM and no longer has it.
	ProofDelisted ProofKind = iota + 1
	// ProofReplaced: a newer incarnation on the same VM listens on the fixed
	// peer address, which the old process held until its exit.
	ProofReplaced
	// ProofFenced: every upstream that the entry allows checks fencing numbers
	// and has acknowledged a higher one.
	ProofFenced
)

// TerminationProof says since when this node knows that a process sends nothing any more.
type TerminationProof struct {
	Kind   ProofKind
	Holder record.HolderID
	Since  time.Time
}

// ChargeLookup returns what the upstreams charged for a request in its final state.
// It reports false while they do not know.
type ChargeLookup func(requestID string) (charged int64, known bool)

// NotCharged, as the charge of a request, says that another router pays for the
// run: the reservation ends without a bill.
const NotCharged int64 = -1

func (r ChargeLookup) notCharged(id string) bool {
	if r == nil {
		return false
	}
	charged, known := r(id)
	return known && charged == NotCharged
}

// Outcomes of bills for requests whose router died.
const (
	outcomeReclaimed = "reclaimed"
	outcomeUnknown   = "unknown"
)

func (r ChargeLookup) bill(now time.Time, id string, key record.EntryKey, holder record.HolderID, bound int64) record.Bill {
	bill := record.Bill{
		RequestID: id, Entry: key, Holder: holder, Charged: bound,
		UnixMilli: now.UnixMilli(), Outcome: outcomeUnknown,
	}
	if r == nil {
		return bill
	}
	if charged, known := r(id); known {
		bill.Charged, bill.Outcome = max(0, min(charged, bound)), outcomeReclaimed
	}
	return bill
}

// reclaim is the closing of a dead holder's shares. The closes wait until the
// bills are durable: after a close nobody looks for a missing bill.
type reclaim struct {
	closes  []record.Close
	unpaid  map[string]struct{}
	planned bool
}

// ReclaimState is the result of Reclaim.
type ReclaimState int

// The states of a reclaim.
const (
	// ReclaimNotReady means that the streams must be read to their ends first.
	ReclaimNotReady ReclaimState = iota
	// ReclaimNoCopy means that this node has no complete copy; the outstanding
	// share stays counted as spent.
	ReclaimNoCopy
	// ReclaimRunning means that bills and closes are on their way.
	ReclaimRunning
	// ReclaimDone means that no share of the holder is open.
	ReclaimDone
)

// InFlightRequest is a request whose outcome the upstreams may know.
type InFlightRequest struct {
	RequestID string
	// Dispatcher is the process that sent the request.
	Dispatcher record.HolderID
}

// InFlightRequests returns the requests in flight that this node has copies of or has
// lent to the holder, for the driver to ask the upstreams about.
func (n *Node) InFlightRequests(holder record.HolderID) []InFlightRequest {
	var list []InFlightRequest
	if h := n.kept.holders[holder]; h != nil {
		for _, e := range h.entries {
			for id, r := range e.inFlight {
				list = append(list, InFlightRequest{RequestID: id, Dispatcher: cmp.Or(r.dispatcher, holder)})
			}
		}
	}
	for key := range n.lent {
		if key.from == holder {
			list = append(list, InFlightRequest{RequestID: key.requestID, Dispatcher: holder})
		}
	}
	slices.SortFunc(list, func(a, b InFlightRequest) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return list
}

// Reclaim closes the shares of a holder that is proven dead, if this node has
// the complete copies. It is called until it reports ReclaimDone.
func (n *Node) Reclaim(now time.Time, proof TerminationProof, resolve ChargeLookup) ReclaimState {
	n.RequesterGone(now, proof.Holder, resolve)
	n.LenderGone(proof.Holder)
	if !n.readSince(proof.Since) {
		return ReclaimNotReady
	}
	if !n.hasOpenShare(proof.Holder) {
		delete(n.reclaims, proof.Holder)
		return ReclaimDone
	}
	if !n.completeCopy(proof.Holder) {
		return ReclaimNoCopy
	}
	r := n.reclaims[proof.Holder]
	if r == nil || r.planned {
		r = n.startReclaim(now, proof.Holder, resolve)
		n.reclaims[proof.Holder] = r
	}
	n.advance(r)
	return ReclaimRunning
}

// readSince reports whether every stream was read to its end by reads that
// began after the given time: the dead process can have added nothing since.
func (n *Node) readSince(since time.Time) bool {
	for _, p := range n.parts {
		if !p.freshAsOf.After(since) {
			return false
		}
	}
	return n.members.freshAsOf.After(since)
}

// completeCopy reports whether this node is the holder's backup by its newest
// declaration and has the copies of that epoch. The holder dispatched nothing
// without a copy since it sent the full state of the epoch.
func (n *Node) completeCopy(holder record.HolderID) bool {
	d, h := n.members.backups[holder], n.kept.holders[holder]
	return h != nil && d.Backup == n.self && d.Epoch == h.epoch && h.seq > 0
}

func (n *Node) hasOpenShare(holder record.HolderID) bool {
	open := false
	n.eachOpenShare(holder, func(record.EntryKey, *ledger.Share) { open = true })
	return open
}

func (n *Node) eachOpenShare(holder record.HolderID, visit func(record.EntryKey, *ledger.Share)) {
	for _, p := range n.parts {
		p.ledger.Accounts(func(key record.EntryKey, a *ledger.Account) bool {
			if s := a.Shares[holder]; s != nil && !s.Closed && (s.Outstanding() > 0 || n.hasBills(holder, key)) {
				visit(key, s)
			}
			return true
		})
	}
}

// hasBills reports whether bills of the holder may be missing in the log. Those
// that charge nothing leave no trace in its share.
func (n *Node) hasBills(holder record.HolderID, key record.EntryKey) bool {
	h := n.kept.holders[holder]
	return n.completeCopy(holder) && h.entries[key] != nil && len(h.entries[key].bills) > 0
}

func (n *Node) startReclaim(now time.Time, holder record.HolderID, resolve ChargeLookup) *reclaim {
	r := &reclaim{unpaid: make(map[string]struct{})}
	n.eachOpenShare(holder, func(key record.EntryKey, s *ledger.Share) {
		spent := s.Spent
		if e := n.kept.holders[holder].entries[key]; e != nil {
			spent = max(spent, n.finish(now, r, holder, key, e, resolve))
		}
		r.closes = append(r.closes, record.Close{Entry: key, Holder: holder, Spent: spent})
	})
	slices.SortFunc(r.closes, func(a, b record.Close) int { return cmp.Compare(a.Entry.Name, b.Entry.Name) })
	return r
}

// finish ends the reservations in flight of a copy, writes their bills and
// those that may not be durable, and returns the holder's final spending.
func (n *Node) finish(
	now time.Time, r *reclaim, holder record.HolderID, key record.EntryKey, e *entryCopy, resolve ChargeLookup,
) int64 {
	for id, copied := range e.inFlight {
		bound := copied.bound
		if resolve.notCharged(id) {
			e.apply(JournalOp{Kind: CopyRelease, RequestID: id, Entry: key, Amount: bound})
			continue
		}
		bill := resolve.bill(now, id, key, holder, bound)
		e.apply(JournalOp{Kind: JournalSettle, RequestID: id, Entry: key, Amount: bound, Bill: &bill})
	}
	for id, bill := range e.bills {
		r.unpaid[id] = struct{}{}
		n.bills.used.Add(1)
		n.bills.add(n.Partition(key), bill)
	}
	clear(e.bills)
	return e.spent + max(0, e.lump)
}

// reclaimBilled notes that a bill is durable.
func (n *Node) reclaimBilled(bill record.Bill) {
	if r := n.reclaims[bill.Holder]; r != nil {
		delete(r.unpaid, bill.RequestID)
		n.advance(r)
	}
}

// advance plans the closes once every bill is durable.
func (n *Node) advance(r *reclaim) {
	if r.planned || len(r.unpaid) > 0 {
		return
	}
	r.planned = true
	for _, c := range r.closes {
		part := n.part(c.Entry)
		part.planClose(c)
		part.urgent = true
	}
}
