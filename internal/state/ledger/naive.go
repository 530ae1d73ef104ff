package ledger

import (
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ReferenceLedger is a second, deliberately simple fold for differential tests and the
// audit. It keeps every accepted record and derives each figure by summing
// them anew; it stores no balance and compacts nothing.
type ReferenceLedger struct {
	history   map[record.EntryKey][]event
	offset    uint64
	malformed uint64
	window    uint64
}

// event is one accepted record.
type event struct {
	item   record.Item
	offset uint64
	// amount is what an Adjust or a Grant took.
	amount int64
}

// life is what one holder did between its first grant and its Close.
type life struct {
	granted, spent, returned int64
	grantSeq, settleSeq      uint64
	closedAt                 uint64
	closed                   bool
}

// Balance is an entry's figures, in tokens.
type Balance struct {
	Prepaid     int64
	Free        int64
	Spent       int64
	Outstanding int64
	Removed     bool
}

// Balance returns the figures of the account.
func (a *Account) Balance() Balance {
	return Balance{
		Prepaid: a.Prepaid, Free: a.Free, Spent: a.Spent(), Outstanding: a.Outstanding(), Removed: a.Removed,
	}
}

// NewReferenceLedger returns an empty naive ledger.
func NewReferenceLedger() *ReferenceLedger {
	return &ReferenceLedger{history: make(map[record.EntryKey][]event), window: closedWindow}
}

// ApplyRecord folds one record of the stream; records seen before are ignored.
func (n *ReferenceLedger) ApplyRecord(offset uint64, data []byte) {
	if offset <= n.offset {
		return
	}
	n.offset = offset
	items, skipped, err := record.Decode(data)
	n.malformed += uint64(skipped)
	if err != nil {
		n.malformed++
		return
	}
	for _, item := range items {
		n.apply(item)
	}
}

// Malformed returns the number of records that did not decode or failed their checks.
func (n *ReferenceLedger) Malformed() uint64 { return n.malformed }

// Entries calls yield for each entry in no particular order.
func (n *ReferenceLedger) Entries(yield func(record.EntryKey, Balance) bool) {
	for key := range n.history {
		if !yield(key, n.Balance(key)) {
			return
		}
	}
}

// Balance sums the history of an entry.
func (n *ReferenceLedger) Balance(key record.EntryKey) Balance {
	var b Balance
	for _, e := range n.history[key] {
		switch {
		case e.item.Adjust != nil:
			b.Prepaid += e.amount
		case e.item.Remove != nil:
			b.Removed = true
		}
	}
	for _, lives := range n.lives(key) {
		for _, l := range lives {
			b.Spent += l.spent
			b.Outstanding += l.granted - l.spent - l.returned
		}
	}
	b.Free = b.Prepaid - b.Spent - b.Outstanding
	return b
}

func (n *ReferenceLedger) lives(key record.EntryKey) map[record.HolderID][]life {
	all := make(map[record.HolderID][]life)
	for _, e := range n.history[key] {
		switch {
		case e.item.Grant != nil:
			h := e.item.Grant.Holder
			if last := len(all[h]) - 1; last < 0 || all[h][last].closed {
				all[h] = append(all[h], life{})
			}
			l := &all[h][len(all[h])-1]
			l.granted += e.amount
			l.grantSeq = e.item.Grant.Seq
		case e.item.Settle != nil:
			l := &all[e.item.Settle.Holder][len(all[e.item.Settle.Holder])-1]
			l.spent, l.returned, l.settleSeq = e.item.Settle.Spent, e.item.Settle.Returned, e.item.Settle.Seq
		case e.item.Close != nil:
			l := &all[e.item.Close.Holder][len(all[e.item.Close.Holder])-1]
			l.spent = e.item.Close.Spent
			l.returned = l.granted - l.spent
			l.closed, l.closedAt = true, e.offset
		}
	}
	return all
}

func (n *ReferenceLedger) apply(item record.Item) {
	switch {
	case item.Adjust != nil:
		n.adjust(item)
	case item.Grant != nil:
		n.grant(item)
	case item.Settle != nil:
		n.settle(item)
	case item.Close != nil:
		n.close(item)
	case item.Remove != nil && len(n.history[item.Remove.Entry]) > 0:
		n.add(item.Remove.Entry, item, 0)
	}
}

func (n *ReferenceLedger) add(key record.EntryKey, item record.Item, amount int64) {
	n.history[key] = append(n.history[key], event{item: item, offset: n.offset, amount: amount})
}

func (n *ReferenceLedger) adjust(item record.Item) {
	key := item.Adjust.Entry
	for _, e := range n.history[key] {
		if e.item.Remove != nil || e.item.Adjust != nil && e.item.Adjust.ID == item.Adjust.ID {
			return
		}
	}
	b := n.Balance(key)
	switch delta := item.Adjust.Delta; {
	case delta < 0 && -delta > b.Free:
		n.add(key, item, -b.Free)
	case delta > record.MaxTokens-b.Prepaid:
		n.add(key, item, 0)
	default:
		n.add(key, item, delta)
	}
}

// current returns the newest life of a holder and whether there is one.
func (n *ReferenceLedger) current(key record.EntryKey, h record.HolderID) (life, bool) {
	lives := n.lives(key)[h]
	if len(lives) == 0 {
		return life{}, false
	}
	return lives[len(lives)-1], true
}

func (n *ReferenceLedger) grant(item record.Item) {
	g := item.Grant
	b := n.Balance(g.Entry)
	if len(n.history[g.Entry]) == 0 || b.Removed {
		return
	}
	l, _ := n.current(g.Entry, g.Holder)
	if l.closed {
		if n.offset < l.closedAt+n.window {
			return
		}
		l = life{}
	}
	if g.Seq > l.grantSeq {
		n.add(g.Entry, item, min(g.Amount, b.Free, record.MaxTokens-l.granted))
	}
}

func (n *ReferenceLedger) settle(item record.Item) {
	s := item.Settle
	l, ok := n.current(s.Entry, s.Holder)
	falls := s.Spent < l.spent || s.Returned < l.returned
	if ok && !l.closed && s.Seq > l.settleSeq && !falls && s.Spent+s.Returned <= l.granted {
		n.add(s.Entry, item, 0)
	}
}

func (n *ReferenceLedger) close(item record.Item) {
	c := item.Close
	l, ok := n.current(c.Entry, c.Holder)
	if ok && !l.closed && c.Spent >= l.spent && c.Spent+l.returned <= l.granted {
		n.add(c.Entry, item, 0)
	}
}
