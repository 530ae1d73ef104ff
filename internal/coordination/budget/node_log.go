package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// NextAppend returns the next batch for a ledger stream, or nil when nothing is
// due. At most one append per stream is under way; the driver reports its end
// with AppendDone.
func (n *Node) NextAppend(now time.Time, p int) []record.Item {
	part := n.parts[p]
	due := part.urgent || !now.Before(part.lastAppend.Add(n.policy.AppendInterval))
	if part.sending || !due || now.Before(part.retryAt) {
		return nil
	}
	var items []record.Item
	for _, e := range part.work(n.hasWork) {
		items = append(items, n.entryItems(e)...)
	}
	for i := range part.closes {
		items = append(items, record.Item{Close: &part.closes[i]})
	}
	if len(items) > 0 {
		part.sending, part.lastAppend = true, now
	}
	part.urgent = false
	return items
}

func (n *Node) hasWork(e *entry) bool {
	return e.waiting > 0 || e.pending != nil || n.unreported(e)
}

// entryItems returns the records due for one entry and marks its grant as sent.
func (n *Node) entryItems(e *entry) []record.Item {
	var items []record.Item
	if n.unreported(e) {
		items = append(items, record.Item{Settle: n.settleItem(e)})
	}
	if e.waiting > 0 {
		// A request waits for the log only after the home was asked, or at the
		// home, so the part that is reserved for the home is open to it.
		const asHome = true
		free := n.shares.Get(e.key).Counters().Free()
		n.plan(e, n.policy.grantAmount(e.demand, n.supply(e.key), free, e.waiting, asHome))
		e.waiting = 0
	}
	if e.pending != nil {
		e.pendingSent = true
		items = append(items, record.Item{Grant: e.pending})
	}
	return items
}

// work returns the entries that need an append, in a fixed order, so that equal
// states give equal batches.
func (p *partition) work(needed func(*entry) bool) []*entry {
	var list []*entry
	for _, e := range p.entries {
		if needed(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.Name, b.key.Name), cmp.Compare(a.key.Generation, b.key.Generation))
	})
	return list
}

// unreported reports whether the log lacks counters of this node.
func (n *Node) unreported(e *entry) bool {
	own := n.ownShare(e.key)
	if own == nil || own.Closed {
		return false
	}
	return e.billed != own.Spent || n.shares.Get(e.key).Counters().Returned != own.Returned
}

// settleItem returns the cumulative counters: an append of them that is
// repeated or lost does no harm.
func (n *Node) settleItem(e *entry) *record.Settle {
	e.settleSeq = max(e.settleSeq, n.ownShare(e.key).SettleSeq) + 1
	returned := n.shares.Get(e.key).Counters().Returned
	return &record.Settle{Entry: e.key, Holder: n.self, Seq: e.settleSeq, Spent: e.billed, Returned: returned}
}

// AppendDone reports the end of the append that NextAppend gave. The offset
// counts only without an error.
func (n *Node) AppendDone(now time.Time, p int, offset uint64, err error) {
	part := n.parts[p]
	part.sending = false
	if err != nil {
		n.LogFailed(now, p)
		return
	}
	for _, e := range part.entries {
		if e.pending != nil && e.pendingSent && e.pendingAt == 0 {
			e.pendingAt = offset
		}
	}
}

// LogFailed reports a failed call on a ledger stream.
func (n *Node) LogFailed(now time.Time, p int) {
	n.parts[p].retryAt = now.Add(n.policy.RetryInterval)
}

// NextLedgerOffset returns the offset from which the driver reads the stream.
func (n *Node) NextLedgerOffset(p int) uint64 { return n.parts[p].ledger.Next() }

// ApplyLedgerPage takes over a page whose read began at the given time. It reports
// whether the fold is at the end of the stream.
func (n *Node) ApplyLedgerPage(began time.Time, p int, page logstream.Page) bool {
	part := n.parts[p]
	for _, r := range page.Records {
		part.ledger.ApplyRecord(r.Offset, r.Data)
		n.adopt(r.Data)
	}
	for _, e := range part.entries {
		n.resolvePending(part, e)
	}
	n.dropDoneCloses(part)
	if part.ledger.Next() < page.Next {
		return false
	}
	if began.After(part.freshAsOf) {
		part.freshAsOf = began
	}
	return true
}

// LoadLedger takes over a fold that was read from a snapshot, unless the node's
// own fold is as new. It serves when the log no longer has the next record.
func (n *Node) LoadLedger(p int, l *ledger.Ledger) {
	part := n.parts[p]
	if l.Next() <= part.ledger.Next() {
		return
	}
	part.ledger = l
	l.Accounts(func(key record.EntryKey, a *ledger.Account) bool {
		if own := a.Shares[n.self]; own != nil {
			n.adoptGrant(key)
			n.giveUp(key)
		}
		return true
	})
	for _, e := range part.entries {
		n.resolvePending(part, e)
	}
	n.dropDoneCloses(part)
}

// adopt takes over what a folded record says about this node's shares: a grant
// is usable only from here on.
func (n *Node) adopt(data []byte) {
	items, _, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, item := range items {
		switch {
		case item.Grant != nil && item.Grant.Holder == n.self:
			n.adoptGrant(item.Grant.Entry)
		case item.Close != nil && item.Close.Holder == n.self:
			// Somebody took this process for dead. The rest is no longer its own.
			n.giveUp(item.Close.Entry)
		}
	}
}

func (n *Node) adoptGrant(key record.EntryKey) {
	if own := n.ownShare(key); own != nil && !own.Closed {
		n.entry(key)
		n.shares.Get(key).SetGranted(own.Granted)
	}
}

func (n *Node) giveUp(key record.EntryKey) {
	if own := n.ownShare(key); own != nil && own.Closed {
		s := n.shares.Get(key)
		s.Return(s.Counters().Free())
	}
}

// resolvePending forgets a grant once the fold has passed it, accepted or not.
func (n *Node) resolvePending(part *partition, e *entry) {
	if e.pending == nil {
		return
	}
	own := n.ownShare(e.key)
	folded := own != nil && own.GrantSeq >= e.pending.Seq
	passed := e.pendingAt > 0 && part.ledger.Next() > e.pendingAt
	if folded || passed {
		e.pending = nil
	}
}

func (n *Node) dropDoneCloses(part *partition) {
	part.closes = slices.DeleteFunc(part.closes, func(c record.Close) bool {
		a := part.ledger.Account(c.Entry)
		if a == nil {
			return true
		}
		s := a.Shares[c.Holder]
		return s == nil || s.Closed
	})
}

// CloseShares plans the final records of a graceful stop: what is not spent goes
// back and later records of this holder are ignored. Nothing can be reserved
// afterwards. It reports whether every share is closed; the driver writes the
// bills, appends, reads and calls it again until then.
func (n *Node) CloseShares() bool {
	n.closing = true
	done := true
	n.shares.Each(func(key record.EntryKey, s *share.Share) bool {
		s.Return(s.Counters().Free())
		done = n.closeEntry(n.entry(key), s.Counters()) && done
		return true
	})
	return done
}

func (n *Node) closeEntry(e *entry, c share.Counters) bool {
	own := n.ownShare(e.key)
	if e.pending != nil && !e.pendingSent {
		e.pending = nil
	}
	if own == nil || own.Closed {
		return e.pending == nil
	}
	// A request in flight or a bill that is not durable keeps the share open, and
	// a grant under way must be folded first, or it would land in a closed share.
	if c.Reserved > 0 || e.billed != c.Spent || e.pending != nil {
		return false
	}
	part := n.part(e.key)
	part.urgent = true
	part.planClose(record.Close{Entry: e.key, Holder: n.self, Spent: e.billed})
	return false
}

// planClose adds a close to the next batch unless it is there already.
func (p *partition) planClose(c record.Close) {
	same := func(o record.Close) bool { return o.Entry == c.Entry && o.Holder == c.Holder }
	if !slices.ContainsFunc(p.closes, same) {
		p.closes = append(p.closes, c)
	}
}
