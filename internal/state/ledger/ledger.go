// Package ledger computes the balances of one partition, that is, of the entries whose budget records share
// one ledger stream, by applying these records in log order. The result is deterministic: every reader of the
// same records reaches the same state, so the order of the log decides which grants exist. Routers (package
// budget), the operator's tool and the audit use it.
//
// A Ledger is not safe for concurrent use; its owner serialises the calls.
package ledger

import (
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Share is one holder's share of an entry's budget as recorded in the log, in tokens. A holder is one router
// process (record.HolderID). The counters are cumulative and never decrease.
type Share struct {
	Granted   int64
	Spent     int64
	Returned  int64
	GrantSeq  uint64
	SettleSeq uint64
	Closed    bool
	// closedAt is the offset after the Close record; 0 for an open share.
	closedAt uint64
}

// Outstanding returns the number of tokens that the holder may still spend.
func (s *Share) Outstanding() int64 { return s.Granted - s.Spent - s.Returned }

// Account is the budget of one entry.
type Account struct {
	// Prepaid is the sum of the applied adjustments.
	Prepaid int64
	// Free is the number of tokens that are granted to no holder.
	Free int64
	// ClosedSpent is the total spent from closed shares that are no longer in Shares.
	ClosedSpent int64
	Removed     bool
	// Adjustments maps the ID of each adjustment to the delta that was applied. An ID is kept until the entry
	// is removed: as long as the catalogue lists it, some router may append it again. After Remove every
	// Adjust is rejected, so the IDs are dropped.
	Adjustments map[string]int64
	// Shares holds the open shares, and each closed share for closedShareAppends appends after its Close.
	Shares map[record.HolderID]*Share
}

// Spent returns the sum of the tokens that all holders have reported as spent.
func (a *Account) Spent() int64 {
	sum := a.ClosedSpent
	for _, s := range a.Shares {
		sum += s.Spent
	}
	return sum
}

// Outstanding returns the sum of the tokens that all holders may still spend.
func (a *Account) Outstanding() int64 {
	var sum int64
	for _, s := range a.Shares {
		sum += s.Outstanding()
	}
	return sum
}

// closedShareAppends is the number of appends for which a closed share is kept, so that late records of its
// holder are rejected. The holder's process has terminated, so its records are late by at most one append
// call, which takes up to 5 s. At 300 appends/s, the bound for all streams together, 65,536 appends take over
// 3 minutes. A grant that arrives even later opens a new share. Nothing can spend the tokens of that share, so
// they are unavailable until it is closed too.
const closedShareAppends = 1 << 16

// closedShare is an element of the queue of shares to be compacted.
type closedShare struct {
	// offset is the offset after the Close record.
	offset uint64
	key    record.EntryKey
	holder record.HolderID
}

// Ledger is the state of one partition.
type Ledger struct {
	accounts  map[record.EntryKey]*Account
	next      uint64
	rejected  uint64
	malformed uint64
	// closed is in ascending order of offset.
	closed []closedShare
	// keepClosed is the number of appends for which a closed share is kept.
	keepClosed      uint64
	internedHolders map[record.HolderID]*internedHolder
}

// internedHolder is the single copy of a holder's ID that all shares of the holder refer to, to save memory.
type internedHolder struct {
	id record.HolderID
	// refs is the number of accounts with a share of the holder.
	refs int
}

// New returns an empty ledger, to which a stream is applied from its first record.
func New() *Ledger {
	return &Ledger{
		accounts: make(map[record.EntryKey]*Account), next: 1, keepClosed: closedShareAppends,
		internedHolders: make(map[record.HolderID]*internedHolder),
	}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Skipped returns the number of malformed or rejected items so far. A record that does not decode counts as
// one.
func (l *Ledger) Skipped() uint64 { return l.rejected + l.malformed }

// Malformed returns the number of items that did not decode or failed validation. A record that does not
// decode counts as one. Every reader of the same stream counts the same number.
func (l *Ledger) Malformed() uint64 { return l.malformed }

// Account returns the account of an entry, or nil. The caller must not change it.
func (l *Ledger) Account(key record.EntryKey) *Account { return l.accounts[key] }

// Len returns the number of accounts.
func (l *Ledger) Len() int { return len(l.accounts) }

// Accounts calls yield for each account in no particular order.
func (l *Ledger) Accounts(yield func(record.EntryKey, *Account) bool) {
	for k, a := range l.accounts {
		if !yield(k, a) {
			return
		}
	}
}

// Result reports the effect of one item.
type Result struct {
	// Accepted is false when the item was rejected and had no effect.
	Accepted bool
	// Amount is what an Adjust applied, a Grant granted or a Close freed, in tokens.
	Amount int64
}

// ApplyRecord applies one record of the stream, which is the data of one append, and returns the results of
// its items. Records before Next are ignored, so a reader may pass a record twice. Malformed and rejected
// items are counted and skipped.
func (l *Ledger) ApplyRecord(offset uint64, data []byte) []Result {
	if offset < l.next {
		return nil
	}
	l.next = offset + 1
	l.compact()
	items, skipped, err := record.Decode(data)
	l.malformed += uint64(skipped)
	if err != nil {
		l.malformed++
		return nil
	}
	results := make([]Result, len(items))
	for i, item := range items {
		results[i] = l.apply(item)
		if !results[i].Accepted {
			l.rejected++
		}
	}
	return results
}

// compact drops the shares that were closed at least l.keepClosed appends ago and adds their spent tokens to
// Account.ClosedSpent. It depends on offsets alone, so that every reader compacts at the same record.
func (l *Ledger) compact() {
	compacted := 0
	for _, c := range l.closed {
		if c.offset+l.keepClosed > l.next {
			break
		}
		a := l.accounts[c.key]
		a.ClosedSpent += a.Shares[c.holder].Spent
		l.dropShare(a, c.holder)
		compacted++
	}
	l.closed = l.closed[compacted:]
}

// Apply applies one item. An item that fails record.Item.Check is not accepted.
func (l *Ledger) Apply(item record.Item) Result {
	if item.Check() != nil {
		return Result{}
	}
	return l.apply(item)
}

// apply applies an item that has passed record.Item.Check, as all items from record.Decode have.
func (l *Ledger) apply(item record.Item) Result {
	switch {
	case item.Adjust != nil:
		return l.adjust(item.Adjust)
	case item.Grant != nil:
		return l.grant(item.Grant)
	case item.Settle != nil:
		return l.settle(item.Settle)
	case item.Close != nil:
		return l.close(item.Close)
	case item.Remove != nil:
		return l.remove(item.Remove)
	}
	return Result{}
}

func (l *Ledger) account(key record.EntryKey) *Account {
	a := l.accounts[key]
	if a == nil {
		a = &Account{Adjustments: make(map[string]int64), Shares: make(map[record.HolderID]*Share)}
		l.accounts[key] = a
	}
	return a
}

func (l *Ledger) adjust(r *record.Adjust) Result {
	a := l.account(r.Entry)
	if a.Removed {
		return Result{}
	}
	if _, seen := a.Adjustments[r.ID]; seen {
		return Result{}
	}
	delta := max(r.Delta, -a.Free)
	if a.Prepaid > record.MaxTokens-delta {
		// The ID is recorded with a delta of 0; otherwise routers would append it again forever.
		delta = 0
	}
	a.Adjustments[r.ID] = delta
	a.Prepaid += delta
	a.Free += delta
	return Result{Accepted: true, Amount: delta}
}

func (l *Ledger) grant(r *record.Grant) Result {
	a := l.accounts[r.Entry]
	if a == nil || a.Removed {
		return Result{}
	}
	s := a.Shares[r.Holder]
	if s != nil && (s.Closed || r.Seq <= s.GrantSeq) {
		return Result{}
	}
	if s == nil {
		s = l.addShare(a, r.Holder)
	}
	s.GrantSeq = r.Seq
	// Granted is cumulative, so it can reach MaxTokens although the free budget is smaller.
	amount := min(r.Amount, a.Free, record.MaxTokens-s.Granted)
	s.Granted += amount
	a.Free -= amount
	return Result{Accepted: true, Amount: amount}
}

func (l *Ledger) addShare(a *Account, holder record.HolderID) *Share {
	h := l.internedHolders[holder]
	if h == nil {
		h = &internedHolder{id: holder}
		l.internedHolders[holder] = h
	}
	h.refs++
	s := &Share{}
	a.Shares[h.id] = s
	return s
}

func (l *Ledger) dropShare(a *Account, holder record.HolderID) {
	delete(a.Shares, holder)
	h := l.internedHolders[holder]
	h.refs--
	if h.refs == 0 {
		delete(l.internedHolders, holder)
	}
}

func (l *Ledger) settle(r *record.Settle) Result {
	s := l.share(r.Entry, r.Holder)
	if s == nil || s.Closed || r.Seq <= s.SettleSeq {
		return Result{}
	}
	if r.Spent < s.Spent || r.Returned < s.Returned || r.Spent > s.Granted-r.Returned {
		return Result{}
	}
	l.accounts[r.Entry].Free += r.Returned - s.Returned
	s.SettleSeq = r.Seq
	s.Spent = r.Spent
	s.Returned = r.Returned
	return Result{Accepted: true}
}

func (l *Ledger) close(r *record.Close) Result {
	s := l.share(r.Entry, r.Holder)
	if s == nil || s.Closed || r.Spent < s.Spent || r.Spent > s.Granted-s.Returned {
		return Result{}
	}
	s.Spent = r.Spent
	unspent := s.Outstanding()
	s.Returned += unspent
	s.Closed = true
	s.closedAt = l.next
	l.accounts[r.Entry].Free += unspent
	l.closed = append(l.closed, closedShare{offset: s.closedAt, key: r.Entry, holder: l.internedHolders[r.Holder].id})
	return Result{Accepted: true, Amount: unspent}
}

func (l *Ledger) remove(r *record.Remove) Result {
	a := l.accounts[r.Entry]
	if a == nil || a.Removed {
		return Result{}
	}
	a.Removed = true
	a.Adjustments = nil
	return Result{Accepted: true}
}

func (l *Ledger) share(key record.EntryKey, holder record.HolderID) *Share {
	a := l.accounts[key]
	if a == nil {
		return nil
	}
	return a.Shares[holder]
}
