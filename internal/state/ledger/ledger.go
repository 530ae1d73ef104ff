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
}

// Outstanding returns what the holder may still spend, in tokens.
func (s *Share) Outstanding() int64 { return s.Granted - s.Spent - s.Returned }

// Account is the budget of one entry.
type Account struct {
	// Prepaid is the sum of the accepted adjustments.
	Prepaid int64
	// Free is what no holder has been granted.
	Free    int64
	Removed bool
	// Adjusted maps the ID of each adjustment to the delta that was taken.
	Adjusted map[string]int64
	Shares   map[record.HolderID]*Share
}

// Spent returns the sum of what all holders have reported as spent.
func (a *Account) Spent() int64 {
	var sum int64
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

// Ledger is the folded state of one partition.
type Ledger struct {
	accounts map[record.EntryKey]*Account
	next     uint64
	skipped  uint64
}

// New returns an empty ledger that expects the first offset of a stream.
func New() *Ledger {
	return &Ledger{accounts: make(map[record.EntryKey]*Account), next: 1}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Skipped returns the number of malformed or rejected records so far.
func (l *Ledger) Skipped() uint64 { return l.skipped }

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
	items, skipped, err := record.Decode(data)
	l.skipped += uint64(skipped)
	if err != nil {
		l.skipped++
		return nil
	}
	results := make([]Result, len(items))
	for i, item := range items {
		results[i] = l.Apply(item)
		if !results[i].Accepted {
			l.skipped++
		}
	}
	return results
}

// Apply folds one item.
func (l *Ledger) Apply(item record.Item) Result {
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
		a = &Account{Adjusted: make(map[string]int64), Shares: make(map[record.HolderID]*Share)}
		l.accounts[key] = a
	}
	return a
}

// maxTokens keeps every sum of a few amounts far from overflow.
const maxTokens = int64(1) << 60

func (l *Ledger) adjust(r *record.Adjust) Result {
	if r.ID == "" || r.Delta > maxTokens || r.Delta < -maxTokens {
		return Result{}
	}
	a := l.account(r.Entry)
	if _, seen := a.Adjusted[r.ID]; seen {
		return Result{}
	}
	delta := max(r.Delta, -a.Free)
	if a.Prepaid > maxTokens-delta {
		return Result{}
	}
	a.Adjusted[r.ID] = delta
	a.Prepaid += delta
	a.Free += delta
	return Result{Accepted: true, Amount: delta}
}

func (l *Ledger) grant(r *record.Grant) Result {
	a := l.accounts[r.Entry]
	if a == nil || a.Removed || r.Amount <= 0 || r.Holder == "" {
		return Result{}
	}
	s := a.Shares[r.Holder]
	if s != nil && (s.Closed || r.Seq <= s.GrantSeq) {
		return Result{}
	}
	if s == nil {
		s = &Share{}
		a.Shares[r.Holder] = s
	}
	s.GrantSeq = r.Seq
	amount := min(r.Amount, a.Free)
	s.Granted += amount
	a.Free -= amount
	return Result{Accepted: true, Amount: amount}
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
	l.accounts[r.Entry].Free += rest
	return Result{Accepted: true, Amount: rest}
}

func (l *Ledger) remove(r *record.Remove) Result {
	a := l.accounts[r.Entry]
	if a == nil || a.Removed {
		return Result{}
	}
	a.Removed = true
	return Result{Accepted: true}
}

func (l *Ledger) share(key record.EntryKey, holder record.HolderID) *Share {
	a := l.accounts[key]
	if a == nil {
		return nil
	}
	return a.Shares[holder]
}
