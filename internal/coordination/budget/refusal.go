package budget

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// exhausted reports whether it is proven that the budget does not cover the
// attempt: the fold was read to the end after the request arrived, and either
// the reported spending alone leaves too little, or every other holder has
// answered since then that it has nothing unreserved, and the fold contains
// exactly what it answered.
//
// Reservations of the other holders count as available here. The answers
// describe different moments; a reservation that ends after its holder answered
// could otherwise make a budget look exhausted that never was.
func (n *Node) exhausted(a *Attempt) bool {
	acc := n.account(a.Request.Entry)
	if acc == nil || acc.Removed || !n.fresh(a) {
		return false
	}
	if acc.Prepaid-acc.Spent() < a.Request.Amount {
		return true
	}
	reach := acc.Free + n.ownUnreserved(a.Request.Entry)
	e := n.entry(a.Request.Entry)
	for holder, s := range acc.Shares {
		if holder == n.self || s.Outstanding() <= 0 {
			continue
		}
		if !hasNothing(e.answers[holder], a, s) {
			return false
		}
		reach += e.answers[holder].counters.Reserved
	}
	return reach < a.Request.Amount
}

// hasNothing reports whether the holder's answer accounts for its folded share.
// A grant after the answer, or a return that the fold has not passed, means
// that the holder or the free budget may have more than is known.
func hasNothing(r holderReport, a *Attempt, s *ledger.Share) bool {
	return r.at.After(a.arrived) && r.counters.Free() <= 0 &&
		r.counters.Granted == s.Granted && r.counters.Returned == s.Returned
}

// ownUnreserved returns what this node can still get out of its own folded
// share, including returns that the log has not seen yet.
func (n *Node) ownUnreserved(key record.EntryKey) int64 {
	own := n.ownShare(key)
	if own == nil || own.Closed {
		return 0
	}
	c := n.shares.Get(key).Counters()
	return own.Granted - own.Returned - c.Spent - c.Reserved
}

// silent returns the holders to ask for a return now: each one whose share is
// not accounted for and that was not asked within the retry interval.
func (n *Node) silent(now time.Time, a *Attempt) []record.HolderID {
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
		if hasNothing(e.answers[holder], a, s) {
			// Its requests in flight may end within the wait.
			interval *= reservedAskFactor
		}
		if n.mayAsk(now, a, holder, interval) {
			list = append(list, holder)
		}
	}
	slices.Sort(list)
	n.markAsked(now, a, list...)
	return list
}

// lender returns a holder that may reserve from its own share while the log is
// down, or "".
func (n *Node) lender(now time.Time, a *Attempt) record.HolderID {
	acc := n.account(a.Request.Entry)
	if acc == nil || acc.Removed || a.ForPeer {
		return ""
	}
	best, most := record.HolderID(""), a.Request.Amount-1
	for holder, s := range acc.Shares {
		out := s.Outstanding()
		if holder == n.self || a.spoiled[holder] || !n.mayAsk(now, a, holder, n.policy.RetryInterval) {
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

// reservedAskFactor is how much less often a holder is asked again that has only
// reserved budget left.
const reservedAskFactor = 5

func (n *Node) mayAsk(now time.Time, a *Attempt, holder record.HolderID, interval time.Duration) bool {
	last, asked := a.tried[holder]
	return !asked || !now.Before(last.Add(interval))
}

func (n *Node) markAsked(now time.Time, a *Attempt, holders ...record.HolderID) {
	if a.tried == nil {
		a.tried = make(map[record.HolderID]time.Time)
	}
	for _, h := range holders {
		a.tried[h] = now
	}
}

// ReserveRefused reports that the home has proven the budget to be exhausted
// after this request arrived. Other failed answers need no report.
func (n *Node) ReserveRefused(a *Attempt, exhausted bool) { a.proven = exhausted }

// RecordHolderReport reports a holder's answer to budget.return. The time is that
// of sending, so the answer describes a moment after it.
func (n *Node) RecordHolderReport(sent time.Time, key record.EntryKey, holder record.HolderID, c share.Counters) {
	e := n.entry(key)
	if e.answers == nil {
		e.answers = make(map[record.HolderID]holderReport)
	}
	e.answers[holder] = holderReport{at: sent, counters: c}
}

// ServeReturn gives back everything unreserved of an entry and returns the
// counters after that. The driver appends them at once: the asker waits until
// its fold has them.
func (n *Node) ServeReturn(key record.EntryKey) share.Counters {
	s := n.shares.Get(key)
	n.entry(key)
	s.Return(s.Counters().Free())
	part := n.part(key)
	part.urgent = true
	return s.Counters()
}
