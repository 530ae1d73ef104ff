package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// ProofKind is the reason why a process is known to send nothing any more. Missed heartbeats prove nothing,
// so there is no kind for them.
type ProofKind int

// The kinds of proof of termination.
const (
	// ProofDelisted: the platform's list had the VM and no longer has it.
	ProofDelisted ProofKind = iota + 1
	// ProofReplaced: a newer process on the same VM listens on the fixed peer address, which the old process
	// held until its exit.
	ProofReplaced
	// ProofFenced: every upstream that the entry allows checks fencing tokens and has acknowledged a higher
	// one.
	ProofFenced
)

// TerminationProof says since when this node knows that a process sends nothing any more.
type TerminationProof struct {
	Kind   ProofKind
	Holder record.HolderID
	Since  time.Time
}

// ChargeLookup returns what the upstreams charged for a request in its final state. It reports false as long as
// that is not known.
type ChargeLookup func(requestID string) (charged int64, known bool)

// NotCharged, as the charge of a request, means that another router pays for the run: the reservation ends
// without a bill.
const NotCharged int64 = -1

// notCharged reports whether it is known that another router pays for the request.
func (lookup ChargeLookup) notCharged(id string) bool {
	if lookup == nil {
		return false
	}
	charged, known := lookup(id)
	return known && charged == NotCharged
}

// Outcomes of bills for requests whose router terminated.
const (
	outcomeReclaimed = "reclaimed"
	outcomeUnknown   = "unknown"
)

// bill returns the bill of a request whose router terminated. Without a known charge it charges the whole amount.
func (lookup ChargeLookup) bill(now time.Time, id string, key record.EntryKey, holder record.HolderID, amount int64) record.Bill {
	bill := record.Bill{
		RequestID: id, Entry: key, Holder: holder, Charged: amount,
		UnixMilli: now.UnixMilli(), Outcome: outcomeUnknown,
	}
	if lookup == nil {
		return bill
	}
	if charged, known := lookup(id); known {
		bill.Charged, bill.Outcome = max(0, min(charged, amount)), outcomeReclaimed
	}
	return bill
}

// reclaim is the closing of a terminated holder's shares. The closes wait until the bills are durable,
// because after a close no router looks for a missing bill.
type reclaim struct {
	closes        []record.Close
	pendingBills  map[string]struct{}
	closesPlanned bool
}

// ReclaimState is the result of Reclaim.
type ReclaimState int

// The states of a reclaim.
const (
	// ReclaimNotReady means that the streams must be read to their ends first.
	ReclaimNotReady ReclaimState = iota
	// ReclaimNoReplica means that this node has no complete replica; the outstanding share stays counted as
	// spent.
	ReclaimNoReplica
	// ReclaimRunning means that bills and closes are being written.
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

// InFlightRequests returns the holder's requests in flight that are in this node's replica or for which this
// node has lent tokens to the holder. The driver asks the upstreams about them.
func (n *Node) InFlightRequests(holder record.HolderID) []InFlightRequest {
	var list []InFlightRequest
	if h := n.replicas.holders[holder]; h != nil {
		for _, e := range h.entries {
			for id, r := range e.inFlight {
				list = append(list, InFlightRequest{RequestID: id, Dispatcher: cmp.Or(r.dispatcher, holder)})
			}
		}
	}
	for key := range n.loans {
		if key.requester == holder {
			list = append(list, InFlightRequest{RequestID: key.requestID, Dispatcher: holder})
		}
	}
	slices.SortFunc(list, func(a, b InFlightRequest) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return list
}

// Reclaim closes the shares of a terminated holder if this node has the complete replica. The driver calls it
// until it reports ReclaimDone.
func (n *Node) Reclaim(now time.Time, proof TerminationProof, lookup ChargeLookup) ReclaimState {
	n.RequesterTerminated(now, proof.Holder, lookup)
	n.LenderTerminated(proof.Holder)
	if !n.readSince(proof.Since) {
		return ReclaimNotReady
	}
	if !n.hasOpenShare(proof.Holder) {
		delete(n.reclaims, proof.Holder)
		return ReclaimDone
	}
	if !n.hasCompleteReplica(proof.Holder) {
		return ReclaimNoReplica
	}
	r := n.reclaims[proof.Holder]
	if r == nil || r.closesPlanned {
		r = n.startReclaim(now, proof.Holder, lookup)
		n.reclaims[proof.Holder] = r
	}
	n.planReclaimCloses(r)
	return ReclaimRunning
}

// readSince reports whether every stream was read to its end by reads that began after the given time. A
// process that had terminated by then can have added nothing since.
func (n *Node) readSince(since time.Time) bool {
	for _, p := range n.partitions {
		if !p.freshAsOf.After(since) {
			return false
		}
	}
	return n.backupDeclarations.freshAsOf.After(since)
}

// hasCompleteReplica reports whether the holder's newest declaration names this node as the backup and this
// node has the replica of that epoch. Since the holder sent the full state of the epoch, it has dispatched
// nothing that is not in the replica.
func (n *Node) hasCompleteReplica(holder record.HolderID) bool {
	d, h := n.backupDeclarations.backups[holder], n.replicas.holders[holder]
	return h != nil && d.Backup == n.self && d.Epoch == h.epoch && h.seq > 0
}

func (n *Node) hasOpenShare(holder record.HolderID) bool {
	open := false
	n.eachOpenShare(holder, func(record.EntryKey, *ledger.Share) { open = true })
	return open
}

func (n *Node) eachOpenShare(holder record.HolderID, visit func(record.EntryKey, *ledger.Share)) {
	for _, p := range n.partitions {
		p.ledger.Accounts(func(key record.EntryKey, a *ledger.Account) bool {
			if s := a.Shares[holder]; s != nil && !s.Closed && (s.Outstanding() > 0 || n.hasPendingBills(holder, key)) {
				visit(key, s)
			}
			return true
		})
	}
}

// hasPendingBills reports whether bills of the holder may be missing from the log. Its share does not show
// bills that charge nothing.
func (n *Node) hasPendingBills(holder record.HolderID, key record.EntryKey) bool {
	h := n.replicas.holders[holder]
	return n.hasCompleteReplica(holder) && h.entries[key] != nil && len(h.entries[key].bills) > 0
}

func (n *Node) startReclaim(now time.Time, holder record.HolderID, lookup ChargeLookup) *reclaim {
	r := &reclaim{pendingBills: make(map[string]struct{})}
	n.eachOpenShare(holder, func(key record.EntryKey, s *ledger.Share) {
		spent := s.Spent
		if e := n.replicas.holders[holder].entries[key]; e != nil {
			spent = max(spent, n.endReservations(now, r, holder, key, e, lookup))
		}
		r.closes = append(r.closes, record.Close{Entry: key, Holder: holder, Spent: spent})
	})
	slices.SortFunc(r.closes, func(a, b record.Close) int { return cmp.Compare(a.Entry.Name, b.Entry.Name) })
	return r
}

// endReservations ends the replica's reservations in flight, writes their bills and those that may not be
// durable, and returns the holder's final spending.
func (n *Node) endReservations(
	now time.Time, r *reclaim, holder record.HolderID, key record.EntryKey, e *entryReplica, lookup ChargeLookup,
) int64 {
	for id, reservation := range e.inFlight {
		amount := reservation.amount
		if lookup.notCharged(id) {
			e.apply(JournalOp{Kind: JournalRelease, RequestID: id, Entry: key, Amount: amount})
			continue
		}
		bill := lookup.bill(now, id, key, holder, amount)
		e.apply(JournalOp{Kind: JournalSettle, RequestID: id, Entry: key, Amount: amount, Bill: &bill})
	}
	for id, bill := range e.bills {
		r.pendingBills[id] = struct{}{}
		n.bills.used.Add(1)
		n.bills.add(n.Partition(key), bill)
	}
	clear(e.bills)
	return e.spent + max(0, e.unnamedReserved)
}

// billDurable records that a bill is durable.
func (n *Node) billDurable(bill record.Bill) {
	if r := n.reclaims[bill.Holder]; r != nil {
		delete(r.pendingBills, bill.RequestID)
		n.planReclaimCloses(r)
	}
}

// planReclaimCloses plans the closes once every bill is durable.
func (n *Node) planReclaimCloses(r *reclaim) {
	if r.closesPlanned || len(r.pendingBills) > 0 {
		return
	}
	r.closesPlanned = true
	for _, c := range r.closes {
		part := n.partitionOf(c.Entry)
		part.planClose(c)
		part.urgent = true
	}
}
