package budget

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Node makes the budget decisions of one process. Its methods depend only on its state, their arguments and the
// given time: they do no I/O and start no goroutines. A driver carries out the steps and passes the results to
// the node.
//
// A Node is not safe for concurrent use, except for the share table, whose shares lock themselves, and the
// methods that say so.
type Node struct {
	policy     Policy
	self       record.HolderID
	shares     *share.Table
	partitions []*partitionState
	bills      *billBuffer
	journal    *journal
	// replicas holds the replicas of other nodes' reservations.
	replicas           *Replicas
	backupDeclarations *BackupDeclarations
	reclaims           map[record.HolderID]*reclaim
	loans              map[loanKey]loan
	endedLoans         endedLoans
	remoteSettlements  []RemoteSettlement
	// terminated holds the processes that are proven to have terminated.
	terminated map[record.HolderID]bool
	closing    bool
}

// partitionState is the node's state of one ledger stream.
type partitionState struct {
	ledger  *ledger.Ledger
	entries map[record.EntryKey]*entryState
	// freshAsOf is the start of the last read that reached the end of the stream.
	freshAsOf  time.Time
	retryAt    time.Time
	lastAppend time.Time
	appending  bool
	// urgent is set while a request or a peer waits for the next append.
	urgent        bool
	pendingCloses []record.Close
}

// entryState is the node's state of one entry apart from its share and its account in the ledger.
type entryState struct {
	key    record.EntryKey
	demand demand
	// lastGrantSeq is the sequence number of the last grant requested.
	lastGrantSeq uint64
	// pendingGrant is requested and not yet in the ledger. It is sent again unchanged until then, so that a
	// lost response cannot grant twice.
	pendingGrant *record.Grant
	pendingSent  bool
	// pendingOffset is the offset of the acknowledged append, or 0.
	pendingOffset uint64
	// waitingTokens is what requests need from the next grant.
	waitingTokens int64
	settleSeq     uint64
	// billed is the sum of the durable bills. Only this part of the spending is reported in the log, so that
	// the log never shows spent tokens without their bills.
	billed  int64
	reports map[record.HolderID]holderReport
}

// holderReport is a holder's response to budget.return and when the call was sent.
type holderReport struct {
	sentAt   time.Time
	counters share.Counters
}

// NewNode returns a node that has not yet read the log.
func NewNode(policy Policy, self record.HolderID, partitions, billBuffer int) *Node {
	n := &Node{
		policy: policy, self: self, shares: share.NewTable(),
		bills: newBillBuffer(billBuffer, partitions), journal: newJournal(self),
		replicas: NewReplicas(), backupDeclarations: NewBackupDeclarations(),
		reclaims: make(map[record.HolderID]*reclaim), loans: make(map[loanKey]loan),
		terminated: make(map[record.HolderID]bool),
	}
	for range partitions {
		n.partitions = append(n.partitions, &partitionState{ledger: ledger.New(), entries: make(map[record.EntryKey]*entryState)})
	}
	return n
}

// Self returns the node's holder ID.
func (n *Node) Self() record.HolderID { return n.self }

// Shares returns the share table.
func (n *Node) Shares() *share.Table { return n.shares }

// Ledger returns the ledger of a partition. The caller must not change it.
func (n *Node) Ledger(p int) *ledger.Ledger { return n.partitions[p].ledger }

// Partition returns the partition of an entry.
func (n *Node) Partition(key record.EntryKey) int {
	return record.Partition(key.Name, len(n.partitions))
}

func (n *Node) partitionOf(key record.EntryKey) *partitionState {
	return n.partitions[n.Partition(key)]
}

func (n *Node) account(key record.EntryKey) *ledger.Account {
	return n.partitionOf(key).ledger.Account(key)
}

func (n *Node) ownShare(key record.EntryKey) *ledger.Share {
	if a := n.account(key); a != nil {
		return a.Shares[n.self]
	}
	return nil
}

// entry returns the state of an entry; it creates it on first use.
func (n *Node) entry(key record.EntryKey) *entryState {
	part := n.partitionOf(key)
	e := part.entries[key]
	if e == nil {
		e = &entryState{key: key}
		if own := n.ownShare(key); own != nil {
			e.billed = own.Spent
		}
		part.entries[key] = e
	}
	return e
}

func (n *Node) availability(key record.EntryKey) availability {
	a := n.account(key)
	if a == nil {
		return availability{}
	}
	avail := availability{free: a.Free}
	for _, sh := range a.Shares {
		if out := sh.Outstanding(); out > 0 {
			avail.outstanding += out
			avail.holders++
		}
	}
	return avail
}

// HomeFunc returns the home of a partition, or "" if none is known. A wrong home costs time but cannot cause
// overspend.
type HomeFunc func(partition int) record.HolderID

// Tick updates the demand estimates after the elapsed time, plans background grants and returns tokens that
// shares do not need.
func (n *Node) Tick(elapsed time.Duration, home HomeFunc) {
	if n.closing {
		return
	}
	for p, part := range n.partitions {
		for key, e := range part.entries {
			n.tickEntry(e, elapsed, home(p))
			if n.idle(e) {
				delete(part.entries, key)
			}
		}
	}
}

// idle reports whether the entry needs no background work until its next request: it has no demand, no grant is
// pending, nothing in the share is reserved or unreserved, and all spending and returns are in the ledger.
func (n *Node) idle(e *entryState) bool {
	c := n.shares.Get(e.key).Counters()
	return e.demand.rate < minRate && e.pendingGrant == nil && e.waitingTokens == 0 && c.Unreserved() == 0 && c.Reserved == 0 &&
		e.billed == c.Spent && !n.hasUnreported(e)
}

// tickEntry updates the demand of an entry. Unless a grant is pending or requests wait for one, it then returns
// tokens that the share does not need, or plans a grant.
func (n *Node) tickEntry(e *entryState, elapsed time.Duration, home record.HolderID) {
	s := n.shares.Get(e.key)
	e.demand = n.policy.updateDemand(e.demand, s, elapsed)
	if a := n.account(e.key); a != nil {
		e.demand = n.policy.updateSpending(e.demand, s.Counters().Spent, a.Spent(), elapsed)
	}
	if e.pendingGrant != nil || e.waitingTokens > 0 {
		return
	}
	unreserved := s.Counters().Unreserved()
	avail := n.availability(e.key)
	if home != n.self && home != "" && n.policy.scarce(e.demand, avail) {
		s.Return(unreserved)
		return
	}
	if surplus := n.policy.surplus(e.demand, avail, unreserved); surplus > 0 {
		s.Return(surplus)
		return
	}
	n.planGrant(e, n.policy.prefetchAmount(e.demand, avail, unreserved, home == n.self))
}

// planGrant makes a grant of the amount pending for an entry, unless one is pending already.
func (n *Node) planGrant(e *entryState, amount int64) {
	a := n.account(e.key)
	if e.pendingGrant != nil || a == nil || a.Removed || amount <= 0 || n.closing {
		return
	}
	if own := a.Shares[n.self]; own != nil {
		e.lastGrantSeq = max(e.lastGrantSeq, own.GrantSeq)
	}
	e.lastGrantSeq++
	e.pendingGrant = &record.Grant{Entry: e.key, Holder: n.self, Seq: e.lastGrantSeq, Amount: amount}
	e.pendingSent, e.pendingOffset = false, 0
}

// Balance returns the unused part of an entry's budget, as far as this node knows.
func (n *Node) Balance(key record.EntryKey) Balance {
	a := n.account(key)
	if a == nil {
		return Balance{}
	}
	c := n.shares.Get(key).Counters()
	left := a.Prepaid - a.Spent() - c.Reserved - c.Spent
	if own := a.Shares[n.self]; own != nil {
		left += own.Spent
	}
	return Balance{Remaining: left}
}
