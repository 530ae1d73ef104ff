package ledger

import (
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ReferenceLedger is a second, deliberately simple implementation of Ledger for differential tests and the
// audit. It keeps every accepted item and computes each balance by summing the items again; it stores no
// balance and compacts nothing.
type ReferenceLedger struct {
	accepted  map[record.EntryKey][]acceptedItem
	offset    uint64
	malformed uint64
	// keepClosed is the number of appends for which a closed share is kept.
	keepClosed uint64
}

// acceptedItem is one accepted item of a record.
type acceptedItem struct {
	item   record.Item
	offset uint64
	// amount is what an Adjust applied or a Grant granted, in tokens.
	amount int64
}

// referenceShare is one share of a holder, from its first grant to its Close. A grant that arrives when the
// closed share is no longer kept starts another share of the same holder.
type referenceShare struct {
	granted, spent, returned int64
	grantSeq, settleSeq      uint64
	// closeOffset is the offset of the Close record.
	closeOffset uint64
	closed      bool
}

// Balance is the balance of an entry, in tokens.
type Balance struct {
	Prepaid     int64
	Free        int64
	Spent       int64
	Outstanding int64
	Removed     bool
}

// Balance returns the balance of the account.
func (a *Account) Balance() Balance {
	return Balance{
		Prepaid: a.Prepaid, Free: a.Free, Spent: a.Spent(), Outstanding: a.Outstanding(), Removed: a.Removed,
	}
}

// NewReferenceLedger returns an empty reference ledger.
func NewReferenceLedger() *ReferenceLedger {
	return &ReferenceLedger{accepted: make(map[record.EntryKey][]acceptedItem), keepClosed: closedShareAppends}
}

// ApplyRecord applies one record of the stream; records that were passed before are ignored.
func (ref *ReferenceLedger) ApplyRecord(offset uint64, data []byte) {
	if offset <= ref.offset {
		return
	}
	ref.offset = offset
	items, skipped, err := record.Decode(data)
	ref.malformed += uint64(skipped)
	if err != nil {
		ref.malformed++
		return
	}
	for _, item := range items {
		ref.apply(item)
	}
}

// Malformed returns the number of items that did not decode or failed validation. A record that does not
// decode counts as one.
func (ref *ReferenceLedger) Malformed() uint64 { return ref.malformed }

// Entries calls yield for each entry in no particular order.
func (ref *ReferenceLedger) Entries(yield func(record.EntryKey, Balance) bool) {
	for key := range ref.accepted {
		if !yield(key, ref.Balance(key)) {
			return
		}
	}
}

// Balance computes the balance of an entry from its accepted items.
func (ref *ReferenceLedger) Balance(key record.EntryKey) Balance {
	var b Balance
	for _, e := range ref.accepted[key] {
		switch {
		case e.item.Adjust != nil:
			b.Prepaid += e.amount
		case e.item.Remove != nil:
			b.Removed = true
		}
	}
	for _, shares := range ref.shares(key) {
		for _, share := range shares {
			b.Spent += share.spent
			b.Outstanding += share.granted - share.spent - share.returned
		}
	}
	b.Free = b.Prepaid - b.Spent - b.Outstanding
	return b
}

func (ref *ReferenceLedger) shares(key record.EntryKey) map[record.HolderID][]referenceShare {
	shares := make(map[record.HolderID][]referenceShare)
	for _, e := range ref.accepted[key] {
		switch {
		case e.item.Grant != nil:
			h := e.item.Grant.Holder
			if last := len(shares[h]) - 1; last < 0 || shares[h][last].closed {
				shares[h] = append(shares[h], referenceShare{})
			}
			share := &shares[h][len(shares[h])-1]
			share.granted += e.amount
			share.grantSeq = e.item.Grant.Seq
		case e.item.Settle != nil:
			share := &shares[e.item.Settle.Holder][len(shares[e.item.Settle.Holder])-1]
			share.spent, share.returned, share.settleSeq = e.item.Settle.Spent, e.item.Settle.Returned, e.item.Settle.Seq
		case e.item.Close != nil:
			share := &shares[e.item.Close.Holder][len(shares[e.item.Close.Holder])-1]
			share.spent = e.item.Close.Spent
			share.returned = share.granted - share.spent
			share.closed, share.closeOffset = true, e.offset
		}
	}
	return shares
}

func (ref *ReferenceLedger) apply(item record.Item) {
	switch {
	case item.Adjust != nil:
		ref.adjust(item)
	case item.Grant != nil:
		ref.grant(item)
	case item.Settle != nil:
		ref.settle(item)
	case item.Close != nil:
		ref.close(item)
	case item.Remove != nil && len(ref.accepted[item.Remove.Entry]) > 0:
		ref.accept(item.Remove.Entry, item, 0)
	}
}

func (ref *ReferenceLedger) accept(key record.EntryKey, item record.Item, amount int64) {
	ref.accepted[key] = append(ref.accepted[key], acceptedItem{item: item, offset: ref.offset, amount: amount})
}

func (ref *ReferenceLedger) adjust(item record.Item) {
	key := item.Adjust.Entry
	for _, e := range ref.accepted[key] {
		if e.item.Remove != nil || e.item.Adjust != nil && e.item.Adjust.ID == item.Adjust.ID {
			return
		}
	}
	b := ref.Balance(key)
	switch delta := item.Adjust.Delta; {
	case delta < 0 && -delta > b.Free:
		ref.accept(key, item, -b.Free)
	case delta > record.MaxTokens-b.Prepaid:
		ref.accept(key, item, 0)
	default:
		ref.accept(key, item, delta)
	}
}

// newestShare returns the newest share of a holder and whether there is one.
func (ref *ReferenceLedger) newestShare(key record.EntryKey, h record.HolderID) (referenceShare, bool) {
	shares := ref.shares(key)[h]
	if len(shares) == 0 {
		return referenceShare{}, false
	}
	return shares[len(shares)-1], true
}

func (ref *ReferenceLedger) grant(item record.Item) {
	g := item.Grant
	b := ref.Balance(g.Entry)
	if len(ref.accepted[g.Entry]) == 0 || b.Removed {
		return
	}
	share, _ := ref.newestShare(g.Entry, g.Holder)
	if share.closed {
		if ref.offset < share.closeOffset+ref.keepClosed {
			return
		}
		share = referenceShare{}
	}
	if g.Seq > share.grantSeq {
		ref.accept(g.Entry, item, min(g.Amount, b.Free, record.MaxTokens-share.granted))
	}
}

func (ref *ReferenceLedger) settle(item record.Item) {
	s := item.Settle
	share, ok := ref.newestShare(s.Entry, s.Holder)
	decreases := s.Spent < share.spent || s.Returned < share.returned
	if ok && !share.closed && s.Seq > share.settleSeq && !decreases && s.Spent+s.Returned <= share.granted {
		ref.accept(s.Entry, item, 0)
	}
}

func (ref *ReferenceLedger) close(item record.Item) {
	c := item.Close
	share, ok := ref.newestShare(c.Entry, c.Holder)
	if ok && !share.closed && c.Spent >= share.spent && c.Spent+share.returned <= share.granted {
		ref.accept(c.Entry, item, 0)
	}
}
