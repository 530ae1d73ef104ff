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

// NextAppend returns the next batch for a ledger stream, or nil when nothing is due. At most one append per
// stream is in flight; the driver calls AppendDone when it has ended.
func (n *Node) NextAppend(now time.Time, p int) []record.Item {
	part := n.partitions[p]
	due := part.urgent || !now.Before(part.lastAppend.Add(n.policy.AppendInterval))
	if part.appending || !due || now.Before(part.retryAt) {
		return nil
	}
	var items []record.Item
	for _, e := range part.entriesDue(n.needsAppend) {
		items = append(items, n.entryItems(e)...)
	}
	for i := range part.pendingCloses {
		items = append(items, record.Item{Close: &part.pendingCloses[i]})
	}
	if len(items) > 0 {
		part.appending, part.lastAppend = true, now
	}
	part.urgent = false
	return items
}

func (n *Node) needsAppend(e *entryState) bool {
	return e.waitingTokens > 0 || e.pendingGrant != nil || n.hasUnreported(e)
}

// entryItems returns the items due for one entry and marks its grant as sent.
func (n *Node) entryItems(e *entryState) []record.Item {
	var items []record.Item
	if n.hasUnreported(e) {
		items = append(items, record.Item{Settle: n.nextSettle(e)})
	}
	if e.waitingTokens > 0 {
		// A request waits for the log only at the home, or after the home was asked, so it may use the part of the
		// free budget that only the home may request.
		const isHome = true
		unreserved := n.shares.Get(e.key).Counters().Unreserved()
		n.planGrant(e, n.policy.grantAmount(e.demand, n.availability(e.key), unreserved, e.waitingTokens, isHome))
		e.waitingTokens = 0
	}
	if e.pendingGrant != nil {
		e.pendingSent = true
		items = append(items, record.Item{Grant: e.pendingGrant})
	}
	return items
}

// entriesDue returns the entries that need an append, in a fixed order, so that equal states give equal
// batches.
func (p *partitionState) entriesDue(needed func(*entryState) bool) []*entryState {
	var list []*entryState
	for _, e := range p.entries {
		if needed(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entryState) int {
		return cmp.Or(cmp.Compare(a.key.Name, b.key.Name), cmp.Compare(a.key.Generation, b.key.Generation))
	})
	return list
}

// hasUnreported reports whether the log lacks counters of this node.
func (n *Node) hasUnreported(e *entryState) bool {
	own := n.ownShare(e.key)
	if own == nil || own.Closed {
		return false
	}
	return e.billed != own.Spent || n.shares.Get(e.key).Counters().Returned != own.Returned
}

// nextSettle returns the next settle item. Its counters are cumulative, so that a repeated or lost append does
// no harm.
func (n *Node) nextSettle(e *entryState) *record.Settle {
	e.settleSeq = max(e.settleSeq, n.ownShare(e.key).SettleSeq) + 1
	returned := n.shares.Get(e.key).Counters().Returned
	return &record.Settle{Entry: e.key, Holder: n.self, Seq: e.settleSeq, Spent: e.billed, Returned: returned}
}

// AppendDone ends the append of the batch that NextAppend returned. The offset is valid only without an error.
func (n *Node) AppendDone(now time.Time, p int, offset uint64, err error) {
	part := n.partitions[p]
	part.appending = false
	if err != nil {
		n.LogFailed(now, p)
		return
	}
	for _, e := range part.entries {
		if e.pendingGrant != nil && e.pendingSent && e.pendingOffset == 0 {
			e.pendingOffset = offset
		}
	}
}

// LogFailed delays the next call on a ledger stream after a failed one.
func (n *Node) LogFailed(now time.Time, p int) {
	n.partitions[p].retryAt = now.Add(n.policy.RetryInterval)
}

// NextLedgerOffset returns the offset from which the driver reads a ledger stream.
func (n *Node) NextLedgerOffset(p int) uint64 { return n.partitions[p].ledger.Next() }

// ApplyLedgerPage applies a page of a ledger stream whose read began at the given time. It reports whether the
// end of the stream was reached.
func (n *Node) ApplyLedgerPage(began time.Time, p int, page logstream.Page) bool {
	part := n.partitions[p]
	for _, r := range page.Records {
		part.ledger.ApplyRecord(r.Offset, r.Data)
		n.applyOwnItems(r.Data)
	}
	for _, e := range part.entries {
		n.clearPendingGrant(part, e)
	}
	n.dropAppliedCloses(part)
	if part.ledger.Next() < page.Next {
		return false
	}
	if began.After(part.freshAsOf) {
		part.freshAsOf = began
	}
	return true
}

// LoadLedger replaces the ledger of a partition by one from a snapshot, unless the node's own is as new. It
// is used when the log no longer has the next record.
func (n *Node) LoadLedger(p int, l *ledger.Ledger) {
	part := n.partitions[p]
	if l.Next() <= part.ledger.Next() {
		return
	}
	part.ledger = l
	l.Accounts(func(key record.EntryKey, a *ledger.Account) bool {
		if own := a.Shares[n.self]; own != nil {
			n.updateGranted(key)
			n.returnClosedShare(key)
		}
		return true
	})
	for _, e := range part.entries {
		n.clearPendingGrant(part, e)
	}
	n.dropAppliedCloses(part)
}

// applyOwnItems applies the items of a record that concern this node's shares. A grant can be spent only from
// then on.
func (n *Node) applyOwnItems(data []byte) {
	items, _, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, item := range items {
		switch {
		case item.Grant != nil && item.Grant.Holder == n.self:
			n.updateGranted(item.Grant.Entry)
		case item.Close != nil && item.Close.Holder == n.self:
			// Another router closed the share because it considers this process terminated. The unspent tokens
			// are no longer this node's.
			n.returnClosedShare(item.Close.Entry)
		}
	}
}

func (n *Node) updateGranted(key record.EntryKey) {
	if own := n.ownShare(key); own != nil && !own.Closed {
		n.entry(key)
		n.shares.Get(key).SetGranted(own.Granted)
	}
}

func (n *Node) returnClosedShare(key record.EntryKey) {
	if own := n.ownShare(key); own != nil && own.Closed {
		s := n.shares.Get(key)
		s.Return(s.Counters().Unreserved())
	}
}

// clearPendingGrant removes the pending grant once the ledger has applied or rejected it.
func (n *Node) clearPendingGrant(part *partitionState, e *entryState) {
	if e.pendingGrant == nil {
		return
	}
	own := n.ownShare(e.key)
	applied := own != nil && own.GrantSeq >= e.pendingGrant.Seq
	passed := e.pendingOffset > 0 && part.ledger.Next() > e.pendingOffset
	if applied || passed {
		e.pendingGrant = nil
	}
}

func (n *Node) dropAppliedCloses(part *partitionState) {
	part.pendingCloses = slices.DeleteFunc(part.pendingCloses, func(c record.Close) bool {
		a := part.ledger.Account(c.Entry)
		if a == nil {
			return true
		}
		s := a.Shares[c.Holder]
		return s == nil || s.Closed
	})
}

// CloseShares plans the final items of a graceful stop: they return the unspent tokens, and later items of this
// holder are ignored. Nothing can be reserved afterwards. It reports whether every share is closed; until then
// the driver writes the bills, appends, reads and calls it again.
func (n *Node) CloseShares() bool {
	n.closing = true
	done := true
	n.shares.Each(func(key record.EntryKey, s *share.Share) bool {
		s.Return(s.Counters().Unreserved())
		done = n.closeEntry(n.entry(key), s.Counters()) && done
		return true
	})
	return done
}

// closeEntry plans the close of an entry's share once nothing keeps it open. It reports whether nothing is left to
// close.
func (n *Node) closeEntry(e *entryState, c share.Counters) bool {
	own := n.ownShare(e.key)
	if e.pendingGrant != nil && !e.pendingSent {
		e.pendingGrant = nil
	}
	if own == nil || own.Closed {
		return e.pendingGrant == nil
	}
	// A request in flight or a bill that is not durable keeps the share open. A pending grant must be applied
	// first, because it has no effect on a closed share.
	if c.Reserved > 0 || e.billed != c.Spent || e.pendingGrant != nil {
		return false
	}
	part := n.partitionOf(e.key)
	part.urgent = true
	part.planClose(record.Close{Entry: e.key, Holder: n.self, Spent: e.billed})
	return false
}

// planClose adds a close to the next batch unless it is there already.
func (p *partitionState) planClose(c record.Close) {
	same := func(o record.Close) bool { return o.Entry == c.Entry && o.Holder == c.Holder }
	if !slices.ContainsFunc(p.pendingCloses, same) {
		p.pendingCloses = append(p.pendingCloses, c)
	}
}
