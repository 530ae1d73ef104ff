package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrJournalGap reports a journal batch that does not follow the previous one. The holder then declares a new
// epoch.
var ErrJournalGap = errors.New("reservation copies have a gap")

// Replicas holds the replicas of other holders' reservations at their backup.
type Replicas struct {
	holders map[record.HolderID]*holderReplica
}

type holderReplica struct {
	epoch   uint64
	seq     uint64
	entries map[record.EntryKey]*entryReplica
}

type entryReplica struct {
	spent int64
	// unnamedReserved is the sum of the reservations whose requests the journal does not name, see
	// JournalEntryState.
	unnamedReserved int64
	inFlight        map[string]replicatedReservation
	// bills holds the bills of settled requests that are not known to be durable.
	bills map[string]record.Bill
}

// replicatedReservation is a reservation in flight. If dispatcher is empty, the holder dispatches the request.
type replicatedReservation struct {
	amount     int64
	dispatcher record.HolderID
}

// NewReplicas returns an empty set of replicas.
func NewReplicas() *Replicas { return &Replicas{holders: make(map[record.HolderID]*holderReplica)} }

// Apply applies a batch. A repeated batch does nothing. A batch that does not follow the previous one fails with
// ErrJournalGap.
func (r *Replicas) Apply(b JournalBatch) error {
	h := r.holders[b.Holder]
	if h == nil || b.Epoch > h.epoch {
		if b.Seq != 1 {
			return ErrJournalGap
		}
		h = &holderReplica{epoch: b.Epoch, entries: make(map[record.EntryKey]*entryReplica)}
		r.holders[b.Holder] = h
		for _, e := range b.Entries {
			replica := h.entry(e.Entry)
			replica.spent, replica.unnamedReserved = e.Spent, e.Reserved
			for _, bill := range e.Bills {
				replica.bills[bill.RequestID] = bill
			}
		}
	}
	if b.Epoch < h.epoch || b.Seq > h.seq+1 {
		return ErrJournalGap
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

func (h *holderReplica) entry(key record.EntryKey) *entryReplica {
	e := h.entries[key]
	if e == nil {
		e = &entryReplica{inFlight: make(map[string]replicatedReservation), bills: make(map[string]record.Bill)}
		h.entries[key] = e
	}
	return e
}

func (e *entryReplica) apply(op JournalOp) {
	switch op.Kind {
	case JournalReserve:
		e.inFlight[op.RequestID] = replicatedReservation{amount: op.Amount, dispatcher: op.Dispatcher}
	case JournalSettle:
		e.endReservation(op)
		e.spent += op.Bill.Charged
		e.bills[op.RequestID] = *op.Bill
	case JournalRelease:
		e.endReservation(op)
	case JournalBillDurable:
		delete(e.bills, op.RequestID)
	}
}

// endReservation removes the reservation of a request. If the journal does not name the request, its amount
// is part of unnamedReserved.
func (e *entryReplica) endReservation(op JournalOp) {
	if _, known := e.inFlight[op.RequestID]; known {
		delete(e.inFlight, op.RequestID)
		return
	}
	e.unnamedReserved -= op.Amount
}

// BackupDeclarations is the state of the members stream: the newest declaration of a backup by each holder.
type BackupDeclarations struct {
	next      uint64
	backups   map[record.HolderID]record.Backup
	freshAsOf time.Time
}

// NewBackupDeclarations returns the state before the first record.
func NewBackupDeclarations() *BackupDeclarations {
	return &BackupDeclarations{next: 1, backups: make(map[record.HolderID]record.Backup)}
}

// apply applies a record of the members stream. A declaration replaces the holder's one of a lower epoch; records
// that were applied before and malformed ones are skipped.
func (d *BackupDeclarations) apply(r logstream.Record) {
	if r.Offset < d.next {
		return
	}
	d.next = r.Offset + 1
	items, _, err := record.Decode(r.Data)
	if err != nil {
		return
	}
	for _, item := range items {
		if b := item.Backup; b != nil && b.Epoch > d.backups[b.Holder].Epoch {
			d.backups[b.Holder] = *b
		}
	}
}

// NextMembersOffset returns the offset from which the driver reads the members stream.
func (n *Node) NextMembersOffset() uint64 { return n.backupDeclarations.next }

// ApplyMembersPage applies a page of the members stream whose read began at the given time. It reports
// whether the end of the stream was reached.
func (n *Node) ApplyMembersPage(began time.Time, page logstream.Page) bool {
	for _, r := range page.Records {
		n.backupDeclarations.apply(r)
	}
	if own, declared := n.backupDeclarations.backups[n.self]; declared {
		n.journal.applyDeclaration(own)
	}
	if n.backupDeclarations.next < page.Next {
		return false
	}
	if began.After(n.backupDeclarations.freshAsOf) {
		n.backupDeclarations.freshAsOf = began
	}
	return true
}

// ServeJournal applies a journal batch of a holder to its replica.
func (n *Node) ServeJournal(b JournalBatch) error { return n.replicas.Apply(b) }
