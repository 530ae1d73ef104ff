package budget

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// exhausted reports whether it is proven that the budget does not cover the attempt. For that the ledger was
// read to its end after the request arrived, and either the reported spending alone leaves too little, or
// every other holder has responded since then that it has nothing unreserved, and the ledger contains exactly
// the counters that it responded with.
//
// Reservations of the other holders count as available here. The responses describe different moments: a
// reservation that ends after its holder responded could otherwise make a budget look exhausted that never
// was.
func (n *Node) exhausted(a *Attempt) bool {
	acc := n.account(a.Request.Entry)
	if acc == nil || acc.Removed || !n.fresh(a) {
		return false
	}
	if acc.Prepaid-acc.Spent() < a.Request.Amount {
		return true
	}
	available := acc.Free + n.ownUnreserved(a.Request.Entry)
	e := n.entry(a.Request.Entry)
	for holder, s := range acc.Shares {
		if holder == n.self || s.Outstanding() <= 0 {
			continue
		}
		if !showsNothingUnreserved(e.reports[holder], a, s) {
			return false
		}
		available += e.reports[holder].counters.Reserved
	}
	return available < a.Request.Amount
}

// showsNothingUnreserved reports whether the holder's report shows that nothing of its share in the ledger is
// unreserved. If there was a grant after the report, or a return is not in the ledger yet, the holder or the
// free budget may have more than is known.
func showsNothingUnreserved(r holderReport, a *Attempt, s *ledger.Share) bool {
	return r.sentAt.After(a.arrived) && r.counters.Unreserved() <= 0 &&
		r.counters.Granted == s.Granted && r.counters.Returned == s.Returned
}

// ownUnreserved returns what this node can still reserve of its own share in the ledger, including returns
// that are not yet in the log.
func (n *Node) ownUnreserved(key record.EntryKey) int64 {
	own := n.ownShare(key)
	if own == nil || own.Closed {
		return 0
	}
	c := n.shares.Get(key).Counters()
	return own.Granted - own.Returned - c.Spent - c.Reserved
}

// holdersToAsk returns the holders to ask for a return now: each one whose share may have something
// unreserved and that was not asked within the retry interval.
func (n *Node) holdersToAsk(now time.Time, a *Attempt) []record.HolderID {
	acc := n.account(a.Request.Entry)
	if acc == nil {
		return nil
	}
	e := n.entry(a.Request.Entry)
	var list []record.HolderID
	for holder, s := range acc.Shares {
		if holder == n.self || s.Outstanding() <= 0 {
			continue
		}
		interval := n.policy.RetryInterval
		if showsNothingUnreserved(e.reports[holder], a, s) {
			// Its requests in flight may end within the wait.
			interval *= reservedRetryFactor
		}
		if n.mayAsk(now, a, holder, interval) {
			list = append(list, holder)
		}
	}
	slices.Sort(list)
	n.markAsked(now, a, list...)
	return list
}

// chooseLender returns a holder that may reserve from its own share while the log is unreachable, or "".
func (n *Node) chooseLender(now time.Time, a *Attempt) record.HolderID {
	acc := n.account(a.Request.Entry)
	if acc == nil || acc.Removed || a.ForPeer {
		return ""
	}
	best, most := record.HolderID(""), a.Request.Amount-1
	for holder, s := range acc.Shares {
		out := s.Outstanding()
		if holder == n.self || a.unconfirmedLoans[holder] || !n.mayAsk(now, a, holder, n.policy.RetryInterval) {
			continue
		}
		if out < most || (out == most && holder > best) {
			continue
		}
		best, most = holder, out
	}
	if best != "" {
		n.markAsked(now, a, best)
	}
	return best
}

// reservedRetryFactor is how much less often a holder is asked again if all of its budget is reserved.
const reservedRetryFactor = 5

func (n *Node) mayAsk(now time.Time, a *Attempt, holder record.HolderID, interval time.Duration) bool {
	last, asked := a.lastAsked[holder]
	return !asked || !now.Before(last.Add(interval))
}

func (n *Node) markAsked(now time.Time, a *Attempt, holders ...record.HolderID) {
	if a.lastAsked == nil {
		a.lastAsked = make(map[record.HolderID]time.Time)
	}
	for _, h := range holders {
		a.lastAsked[h] = now
	}
}

// ReserveRefused records that a peer did not reserve, and whether it has proven that the budget was exhausted
// after this request arrived. It is not called for a failed call.
func (n *Node) ReserveRefused(a *Attempt, exhausted bool) { a.provenExhausted = exhausted }

// RecordHolderReport records a holder's response to budget.return. sent is when the call was sent, so the
// response describes a later moment.
func (n *Node) RecordHolderReport(sent time.Time, key record.EntryKey, holder record.HolderID, c share.Counters) {
	e := n.entry(key)
	if e.reports == nil {
		e.reports = make(map[record.HolderID]holderReport)
	}
	e.reports[holder] = holderReport{sentAt: sent, counters: c}
}

// ServeReturn returns all unreserved tokens of an entry's share to the free budget and reports the counters
// after that. The driver appends them at once, because the calling router waits until its ledger has them.
func (n *Node) ServeReturn(key record.EntryKey) share.Counters {
	s := n.shares.Get(key)
	n.entry(key)
	s.Return(s.Counters().Unreserved())
	part := n.partitionOf(key)
	part.urgent = true
	return s.Counters()
}
