package budget

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Node decides for one process incarnation. Its methods are functions of its
// state, their arguments and the given time: they do no I/O and start nothing.
// A driver carries out the steps and reports what came of them.
//
// A Node is not safe for concurrent use, but for the share table, whose shares
// lock themselves.
type Node struct {
	policy Policy
	self   record.HolderID
	shares *share.Table
	parts  []*partition
	bills  *billBuffer
	copies *copyLog
	// kept holds the copies of other nodes' reservations.
	kept     *Copies
	members  *Members
	reclaims map[record.HolderID]*reclaim
	lent     map[loanKey]loan
	ended    endedIDs
	debts    []RemoteSettlement
	// gone holds the processes that are proven dead.
	gone    map[record.HolderID]bool
	closing bool
}

// partition is the node's knowledge of one ledger stream.
type partition struct {
	ledger  *ledger.Ledger
	entries map[record.EntryKey]*entry
	// freshAsOf is the start of the last read that reached the end of the stream.
	freshAsOf  time.Time
	retryAt    time.Time
	lastAppend time.Time
	sending    bool
	// urgent is set while a request or a peer waits for the next append.
	urgent bool
	closes []record.Close
}

// entry is the node's knowledge of one entry beyond share and ledger.
type entry struct {
	key    record.EntryKey
	demand demand
	// seq is the sequence number of the last grant asked for.
	seq uint64
	// pending is asked for and not yet seen in the fold. It is sent again
	// unchanged until then, so that a lost answer cannot grant twice.
	pending     *record.Grant
	pendingSent bool
	// pendingAt is the offset of the acknowledged append, or 0.
	pendingAt uint64
	// waiting is what requests need from the next grant, in tokens.
	waiting   int64
	settleSeq uint64
	// billed is the sum of the durable bills. The log learns only this part of
	// the spending, so that it never shows spent tokens without their bills.
	billed  int64
	answers map[record.HolderID]holderReport
}

type holderReport struct {
	at       time.Time
	counters share.Counters
}

// NewNode returns a node that has read nothing yet.
func NewNode(policy Policy, self record.HolderID, partitions, billBuffer int) *Node {
	n := &Node{
		policy: policy, self: self, shares: share.NewTable(),
		bills: newBillBuffer(billBuffer, partitions), copies: newCopyLog(self),
		kept: NewCopies(), members: NewMembers(),
		reclaims: make(map[record.HolderID]*reclaim), lent: make(map[loanKey]loan),
		gone: make(map[record.HolderID]bool),
	}
	for range partitions {
		n.parts = append(n.parts, &partition{ledger: ledger.New(), entries: make(map[record.EntryKey]*entry)})
	}
	return n
}

// Self returns the node's holder ID.
func (n *Node) Self() record.HolderID { return n.self }

// Shares returns the share table, for the hot path.
func (n *Node) Shares() *share.Table { return n.shares }

// Ledger returns the fold of a partition. The caller must not change it.
func (n *Node) Ledger(p int) *ledger.Ledger { return n.parts[p].ledger }

// Partition returns the partition of an entry.
func (n *Node) Partition(key record.EntryKey) int { return record.Partition(key.Name, len(n.parts)) }

func (n *Node) part(key record.EntryKey) *partition { return n.parts[n.Partition(key)] }

func (n *Node) account(key record.EntryKey) *ledger.Account { return n.part(key).ledger.Account(key) }

func (n *Node) ownShare(key record.EntryKey) *ledger.Share {
	if a := n.account(key); a != nil {
		return a.Shares[n.self]
	}
	return nil
}

func (n *Node) entry(key record.EntryKey) *entry {
	part := n.part(key)
	e := part.entries[key]
	if e == nil {
		e = &entry{key: key}
		if own := n.ownShare(key); own != nil {
			e.billed = own.Spent
		}
		part.entries[key] = e
	}
	return e
}

func (n *Node) supply(key record.EntryKey) supply {
	a := n.account(key)
	if a == nil {
		return supply{}
	}
	s := supply{free: a.Free}
	for _, sh := range a.Shares {
		if out := sh.Outstanding(); out > 0 {
			s.outstanding += out
			s.holders++
		}
	}
	return s
}

// HomeFunc says where the home of a partition is. It is a hint only: a wrong
// one costs time, never budget. An empty holder means that no home is known.
type HomeFunc func(partition int) record.HolderID

// Tick updates the demand estimates after the elapsed time, plans background
// grants and returns what idle entries do not need.
func (n *Node) Tick(elapsed time.Duration, home HomeFunc) {
	if n.closing {
		return
	}
	for p, part := range n.parts {
		for key, e := range part.entries {
			n.tickEntry(e, elapsed, home(p))
			if n.idle(e) {
				delete(part.entries, key)
			}
		}
	}
}

// idle reports whether everything known of the entry is in the fold and nothing
// can be reserved from its share, so that the entry costs no work until its next
// request.
func (n *Node) idle(e *entry) bool {
	c := n.shares.Get(e.key).Counters()
	return e.demand.rate < minRate && e.pending == nil && e.waiting == 0 && c.Free() == 0 && c.Reserved == 0 &&
		e.billed == c.Spent && !n.unreported(e)
}

func (n *Node) tickEntry(e *entry, elapsed time.Duration, home record.HolderID) {
	s := n.shares.Get(e.key)
	e.demand = n.policy.nextDemand(e.demand, s, elapsed)
	if a := n.account(e.key); a != nil {
		e.demand = n.policy.nextSpending(e.demand, s.Counters().Spent, a.Spent(), elapsed)
	}
	if e.pending != nil || e.waiting > 0 {
		return
	}
	free := s.Counters().Free()
	sup := n.supply(e.key)
	if home != n.self && home != "" && n.policy.scarce(e.demand, sup) {
		s.Return(free)
		return
	}
	if back := n.policy.surplus(e.demand, sup, free); back > 0 {
		s.Return(back)
		return
	}
	n.plan(e, n.policy.prefetch(e.demand, sup, free, home == n.self))
}

// plan fixes the next grant of an entry unless one is under way.
func (n *Node) plan(e *entry, amount int64) {
	a := n.account(e.key)
	if e.pending != nil || a == nil || a.Removed || amount <= 0 || n.closing {
		return
	}
	if own := a.Shares[n.self]; own != nil {
		e.seq = max(e.seq, own.GrantSeq)
	}
	e.seq++
	e.pending = &record.Grant{Entry: e.key, Holder: n.self, Seq: e.seq, Amount: amount}
	e.pendingSent, e.pendingAt = false, 0
}

// Balance returns what is left of an entry's budget, as far as this node knows.
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
