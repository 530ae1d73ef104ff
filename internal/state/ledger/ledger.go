// Package ledger folds the budget records of one partition into balances. The
// fold is deterministic: every reader of the same records reaches the same
// state, so the order of the log decides which grants exist.
//
// A Ledger is not safe for concurrent use; its owner serialises the calls.
package ledger

import (
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Share is what the log says about one holder of an entry, in tokens.
// The counters are cumulative and never decrease.
type Share struct {
	Granted   int64
	Spent     int64
	Returned  int64
	GrantSeq  uint64
	SettleSeq uint64
	Closed    bool
	// closedAt is the offset after the Close; 0 for an open share.
	closedAt uint64
}

// Outstanding returns what the holder may still spend, in tokens.
func (s *Share) Outstanding() int64 { return s.Granted - s.Spent - s.Returned }

// Account is the budget of one entry.
type Account struct {
	// Prepaid is the sum of the accepted adjustments.
	Prepaid int64
	// Free is what no holder has been granted.
	Free int64
	// ClosedSpent is the spend of closed holders that are no longer in Shares.
	ClosedSpent int64
	Removed     bool
	// Adjustments maps the ID of each adjustment to the delta that was taken. An ID
	// stays known until the entry is removed: as long as the catalogue lists it,
	// some node may append it again. After Remove every Adjust is refused, so the
	// IDs are dropped.
	Adjustments map[string]int64
	// Shares holds the open shares, and each closed one until closedWindow
	// appends after its Close.
	Shares map[record.HolderID]*Share
}

// Spent returns the sum of what all holders have reported as spent.
func (a *Account) Spent() int64 {
	sum := a.ClosedSpent
	for _, s := range a.Shares {
		sum += s.Spent
	}
	return sum
}

// Outstanding returns the sum of all holders' unspent shares.
func (a *Account) Outstanding() int64 {
	var sum int64
	for _, s := range a.Shares {
		sum += s.Outstanding()
	}
	return sum
}

// closedWindow is the number of appends for which a closed share stays known,
// so that a late record of its holder is refused. A record is late by one
// append call at most, since its holder has ended: 5 s. At 300 appends/s, the
// bound for all streams together, 65,536 appends take over 3 minutes. A grant
// that is later still would only strand budget until the next Close, because
// nothing can spend it.
const closedWindow = 1 << 16

// closedShare is an element of the queue of shares to be compacted.
type closedShare struct {
	// offset is the offset after the Close.
	offset uint64
	key    record.EntryKey
	holder record.HolderID
}

// Ledger is the folded state of one partition.
type Ledger struct {
	accounts  map[record.EntryKey]*Account
	next      uint64
	ignored   uint64
	malformed uint64
	// closed is in rising order of offset.
	closed  []closedShare
	window  uint64
	holders map[record.HolderID]*holderName
}

// holderName is the one copy of a holder's name that all its shares refer to.
type holderName struct {
	name record.HolderID
	// shares is the number of accounts that refer to the name.
	shares int
}

// New returns an empty ledger that expects the first offset of a stream.
func New() *Ledger {
	return &Ledger{
		accounts: make(map[record.EntryKey]*Account), next: 1, window: closedWindow,
		holders: make(map[record.HolderID]*holderName),
	}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Skipped returns the number of malformed or rejected records so far.
func (l *Ledger) Skipped() uint64 { return l.ignored + l.malformed }

// Malformed returns the number of records that did not decode or failed their
// checks. Every reader of the same stream counts the same number.
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

// Result reports what the fold did with one item.
type Result struct {
	// Accepted is false when the item was ignored.
	Accepted bool
	// Amount is what an Adjust or a Grant took, in tokens.
	Amount int64
}

// ApplyRecord folds one record of the stream. Records before Next are ignored,
// so a reader may see a record twice. Malformed records are counted.
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
			l.ignored++
		}
	}
	return results
}

// compact moves shares that were closed more than the window ago into their
// account's total. It depends on offsets alone, so that every reader compacts
// at the same record.
func (l *Ledger) compact() {
	done := 0
	for _, c := range l.closed {
		if c.offset+l.window > l.next {
			break
		}
		a := l.accounts[c.key]
		a.ClosedSpent += a.Shares[c.holder].Spent
		l.dropShare(a, c.holder)
		done++
	}
	l.closed = l.closed[done:]
}

// Apply folds one item. An item that fails record.Item.Check is not accepted.
func (l *Ledger) Apply(item record.Item) Result {
	if item.Check() != nil {
		return Result{}
	}
	return l.apply(item)
}

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
		// The ID counts as used; otherwise it would be appended again for ever.
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
	// Granted is cumulative, so it is bounded apart from what is free.
	amount := min(r.Amount, a.Free, record.MaxTokens-s.Granted)
	s.Granted += amount
	a.Free -= amount
	return Result{Accepted: true, Amount: amount}
}

func (l *Ledger) addShare(a *Account, holder record.HolderID) *Share {
	h := l.holders[holder]
	if h == nil {
		h = &holderName{name: holder}
		l.holders[holder] = h
	}
	h.shares++
	s := &Share{}
	a.Shares[h.name] = s
	return s
}

func (l *Ledger) dropShare(a *Account, holder record.HolderID) {
	delete(a.Shares, holder)
	h := l.holders[holder]
	h.shares--
	if h.shares == 0 {
		delete(l.holders, holder)
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
	rest := s.Outstanding()
	s.Returned += rest
	s.Closed = true
	s.closedAt = l.next
	l.accounts[r.Entry].Free += rest
	l.closed = append(l.closed, closedShare{offset: s.closedAt, key: r.Entry, holder: l.holders[r.Holder].name})
	return Result{Accepted: true, Amount: rest}
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
