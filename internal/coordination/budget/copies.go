package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrCopyGap reports a batch of copies that does not follow the last one. The
// holder declares a new epoch.
var ErrCopyGap = errors.New("reservation copies have a gap")

// Copies holds the reservations of other holders at their backup.
type Copies struct {
	holders map[record.HolderID]*holderCopy
}

type holderCopy struct {
	epoch   uint64
	seq     uint64
	entries map[record.EntryKey]*entryCopy
}

type entryCopy struct {
	spent int64
	// lump is the part reserved before the epoch began, by unknown requests.
	lump     int64
	inFlight map[string]copiedReservation
	// bills are settled and not known to be durable.
	bills map[string]record.Bill
}

// copiedReservation is a reservation in flight; an empty dispatcher is the holder.
type copiedReservation struct {
	bound      int64
	dispatcher record.HolderID
}

// NewCopies returns an empty set of copies.
func NewCopies() *Copies { return &Copies{holders: make(map[record.HolderID]*holderCopy)} }

// Apply takes over a batch. A repeated batch does nothing.
func (c *Copies) Apply(b JournalBatch) error {
	h := c.holders[b.Holder]
	if h == nil || b.Epoch > h.epoch {
		if b.Seq != 1 {
			return ErrCopyGap
		}
		h = &holderCopy{epoch: b.Epoch, entries: make(map[record.EntryKey]*entryCopy)}
		c.holders[b.Holder] = h
		for _, e := range b.Entries {
			ec := h.entry(e.Entry)
			ec.spent, ec.lump = e.Spent, e.Reserved
			for _, bill := range e.Bills {
				ec.bills[bill.RequestID] = bill
			}
		}
	}
	if b.Epoch < h.epoch || b.Seq > h.seq+1 {
		return ErrCopyGap
	}
	if b.Seq <= h.seq {
		return nil
	}
	h.seq = b.Seq
	for _, op := range b.Ops {
		h.entry(op.Entry).apply(op)
	}
	return nil
}

func (h *holderCopy) entry(key record.EntryKey) *entryCopy {
	e := h.entries[key]
	if e == nil {
		e = &entryCopy{inFlight: make(map[string]copiedReservation), bills: make(map[string]record.Bill)}
		h.entries[key] = e
	}
	return e
}

func (e *entryCopy) apply(op JournalOp) {
	switch op.Kind {
	case JournalReserve:
		e.inFlight[op.RequestID] = copiedReservation{bound: op.Amount, dispatcher: op.Dispatcher}
	case JournalSettle:
		e.end(op)
		e.spent += op.Bill.Charged
		e.bills[op.RequestID] = *op.Bill
	case CopyRelease:
		e.end(op)
	case JournalBillDurable:
		delete(e.bills, op.RequestID)
	}
}

func (e *entryCopy) end(op JournalOp) {
	if _, known := e.inFlight[op.RequestID]; known {
		delete(e.inFlight, op.RequestID)
		return
	}
	e.lump -= op.Amount
}

// Members folds the declarations of backups on the members stream.
type Members struct {
	next      uint64
	backups   map[record.HolderID]record.Backup
	freshAsOf time.Time
}

// NewMembers returns a fold that has read nothing.
func NewMembers() *Members {
	return &Members{next: 1, backups: make(map[record.HolderID]record.Backup)}
}

func (m *Members) apply(r logstream.Record) {
	if r.Offset < m.next {
		return
	}
	m.next = r.Offset + 1
	items, _, err := record.Decode(r.Data)
	if err != nil {
		return
	}
	for _, item := range items {
		if b := item.Backup; b != nil && b.Epoch > m.backups[b.Holder].Epoch {
			m.backups[b.Holder] = *b
		}
	}
}

// NextMembersOffset returns the offset from which the driver reads the members stream.
func (n *Node) NextMembersOffset() uint64 { return n.members.next }

// ApplyMembersPage takes over a page of the members stream whose read began at the
// given time. It reports whether the fold is at the end of the stream.
func (n *Node) ApplyMembersPage(began time.Time, page logstream.Page) bool {
	for _, r := range page.Records {
		n.members.apply(r)
	}
	if own, declared := n.members.backups[n.self]; declared {
		n.copies.declare(own)
	}
	if n.members.next < page.Next {
		return false
	}
	if began.After(n.members.freshAsOf) {
		n.members.freshAsOf = began
	}
	return true
}

// ServeJournal takes over a batch of copies from a holder.
func (n *Node) ServeJournal(b JournalBatch) error { return n.kept.Apply(b) }
