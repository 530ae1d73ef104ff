package budget

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// JournalOpKind says what a JournalOp does to the replica.
type JournalOpKind uint8

// The kinds of JournalOp.
const (
	// JournalReserve adds a reservation in flight.
	JournalReserve JournalOpKind = iota + 1
	// JournalSettle ends a reservation with a bill.
	JournalSettle
	// JournalRelease ends a reservation without a bill.
	JournalRelease
	// JournalBillDurable removes a bill that is durable.
	JournalBillDurable
)

// JournalOp is one change of a holder's reservations.
type JournalOp struct {
	Kind      JournalOpKind   `json:"kind"`
	RequestID string          `json:"request_id"`
	Entry     record.EntryKey `json:"entry"`
	Amount    int64           `json:"amount,omitempty"`
	Bill      *record.Bill    `json:"bill,omitempty"`
	// Dispatcher is the process that sends the request if it is not the holder.
	Dispatcher record.HolderID `json:"dispatcher,omitempty"`
}

// JournalEntryState is the state of one entry at the start of an epoch. Reserved is the sum of the
// reservations whose requests are not named in Ops, because they began before the holder chose its first
// backup.
type JournalEntryState struct {
	Entry    record.EntryKey `json:"entry"`
	Spent    int64           `json:"spent"`
	Reserved int64           `json:"reserved"`
	// Bills holds the bills of settled requests that are not known to be durable.
	Bills []record.Bill `json:"bills,omitempty"`
}

// JournalBatch is the parameter of one budget.journal call. An epoch begins when a declaration of the holder,
// which names its backup or none, has been read back from the members stream. The first batch of an epoch holds
// the full state.
type JournalBatch struct {
	Holder  record.HolderID     `json:"holder"`
	Epoch   uint64              `json:"epoch"`
	Seq     uint64              `json:"seq"`
	Entries []JournalEntryState `json:"entries,omitempty"`
	Ops     []JournalOp         `json:"ops,omitempty"`
}

// JournalPosition is the position of a reservation in the journal. The reservation is dispatched only after
// the backup has confirmed it. The zero position needs no confirmation.
type JournalPosition struct {
	epoch uint64
	op    uint64
}

// journal is the holder's side of the replication of its reservations. Once the full state may have reached a
// backup whose declaration is the newest in the log, that backup may close the holder's shares after proof of
// the holder's termination. From then on a reservation is dispatched only after the backup has confirmed it.
// It is safe for concurrent use.
type journal struct {
	mu     sync.RWMutex
	holder record.HolderID
	// chosen is the backup to declare; declared is the one in the newest applied declaration.
	chosen, declared record.HolderID
	epoch            uint64
	// replicating is set while a backup may be able to close the holder's shares.
	replicating bool
	// inFlight holds the reservations in flight made after the first choice of a backup; nil before it.
	inFlight map[string]JournalOp
	seq      uint64
	queue    []JournalOp
	unacked  *JournalBatch
	// queuedOps, sentOps and ackedOps count the operations of the epoch.
	queuedOps, sentOps, ackedOps uint64
}

func newJournal(holder record.HolderID) *journal { return &journal{holder: holder} }

// reserve reserves the amount in the share and queues the operation.
func (j *journal) reserve(s *share.Share, res Reservation) (JournalPosition, bool) {
	j.mu.RLock()
	if j.inFlight == nil {
		defer j.mu.RUnlock()
		return JournalPosition{}, s.Reserve(res.Amount)
	}
	j.mu.RUnlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !s.Reserve(res.Amount) {
		return JournalPosition{}, false
	}
	op := JournalOp{
		Kind: JournalReserve, RequestID: res.RequestID, Entry: res.Entry, Amount: res.Amount, Dispatcher: res.Dispatcher,
	}
	j.inFlight[res.RequestID] = op
	if !j.replicating {
		return JournalPosition{}, true
	}
	j.enqueue(op)
	return JournalPosition{epoch: j.epoch, op: j.queuedOps}, true
}

func (j *journal) settle(s *share.Share, res Reservation, bill record.Bill) {
	if j.endUnreplicatedReservation(s, res.Amount, bill.Charged) {
		return
	}
	journaled := bill // Allocated only here, not on the path without replication.
	j.endReservation(s, res, bill.Charged, JournalSettle, &journaled)
}

func (j *journal) release(s *share.Share, res Reservation) {
	if j.endUnreplicatedReservation(s, res.Amount, 0) {
		return
	}
	j.endReservation(s, res, 0, JournalRelease, nil)
}

// endUnreplicatedReservation ends a reservation in the share if no backup was ever chosen, so that nothing has
// to be replicated. It reports whether it did.
func (j *journal) endUnreplicatedReservation(s *share.Share, amount, used int64) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if j.inFlight != nil {
		return false
	}
	s.Settle(amount, used)
	return true
}

// endReservation ends the reservation in the share and queues the operation under one lock, so that a full state
// never contains one without the other.
func (j *journal) endReservation(s *share.Share, res Reservation, used int64, kind JournalOpKind, bill *record.Bill) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.Settle(res.Amount, used)
	delete(j.inFlight, res.RequestID)
	if j.replicating {
		j.enqueue(JournalOp{Kind: kind, RequestID: res.RequestID, Entry: res.Entry, Amount: res.Amount, Bill: bill})
	}
}

// billed queues the operation for a bill that has become durable.
func (j *journal) billed(id string, key record.EntryKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.replicating {
		j.enqueue(JournalOp{Kind: JournalBillDurable, RequestID: id, Entry: key})
	}
}

// enqueue queues an operation for the backup. The caller holds j.mu.
func (j *journal) enqueue(op JournalOp) {
	j.queue = append(j.queue, op)
	j.queuedOps++
}

// replicated reports whether a reservation may be dispatched. A position of an older epoch counts as
// confirmed: the backup of that epoch can no longer close the shares.
func (j *journal) replicated(position JournalPosition) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return position.op == 0 || position.epoch < j.epoch || position.op <= j.ackedOps
}

// Reserve reserves the amount of a request in this node's share. The request may be dispatched once
// Replicated reports true for the position. It is safe for concurrent use.
func (n *Node) Reserve(res Reservation) (JournalPosition, bool) {
	return n.journal.reserve(n.shares.Get(res.Entry), res)
}

// Replicated reports whether the backup has confirmed the position or need not confirm it. It is safe for
// concurrent use.
func (n *Node) Replicated(position JournalPosition) bool { return n.journal.replicated(position) }

// ChooseBackup chooses the candidate if no backup is chosen or declared.
func (n *Node) ChooseBackup(candidate record.HolderID) {
	n.journal.mu.RLock()
	unset := n.journal.chosen == "" && n.journal.declared == ""
	n.journal.mu.RUnlock()
	if unset && candidate != "" {
		n.SetBackup(candidate)
	}
}

// SetBackup chooses the backup. The change takes effect when the node has read its declaration back from the
// members stream.
func (n *Node) SetBackup(backup record.HolderID) {
	n.journal.mu.Lock()
	defer n.journal.mu.Unlock()
	n.journal.chosen = backup
	if n.journal.inFlight == nil {
		n.journal.inFlight = make(map[string]JournalOp)
	}
}

// ReplaceBackup replaces a backup that does not respond by another one or by none. A failed backup cannot
// return in the same epoch.
func (n *Node) ReplaceBackup(next record.HolderID) {
	if next == n.journal.declared {
		next = ""
	}
	n.SetBackup(next)
}

// NextBackupDeclaration returns the declaration of the chosen backup to append to the members stream, or nil if
// the newest applied one names it already.
func (n *Node) NextBackupDeclaration() *record.Backup {
	j := n.journal
	j.mu.RLock()
	defer j.mu.RUnlock()
	if j.chosen == j.declared {
		return nil
	}
	return &record.Backup{Holder: n.self, Backup: j.chosen, Epoch: j.epoch + 1}
}

// applyDeclaration applies this node's own declaration from the members stream. A new one begins an epoch.
func (j *journal) applyDeclaration(d record.Backup) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d.Epoch <= j.epoch {
		return
	}
	j.epoch, j.declared, j.replicating = d.Epoch, d.Backup, false
	j.seq, j.queue, j.unacked, j.queuedOps, j.sentOps, j.ackedOps = 0, nil, nil, 0, 0, 0
}

// NextJournalBatch returns the next batch for the declared backup and the backup's holder ID, or nil. It
// returns the same batch until JournalBatchDone. A backup that is to be replaced gets batches until the new
// declaration is applied, because it may recover before the log does.
func (n *Node) NextJournalBatch() (*JournalBatch, record.HolderID) {
	j := n.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.declared == "" {
		return nil, ""
	}
	if j.unacked != nil {
		return j.unacked, j.declared
	}
	if j.replicating && len(j.queue) == 0 {
		return nil, ""
	}
	j.seq++
	j.unacked = &JournalBatch{Holder: j.holder, Epoch: j.epoch, Seq: j.seq, Ops: j.queue}
	if !j.replicating {
		j.unacked.Entries, j.unacked.Ops = n.fullState()
		j.replicating = true
	}
	j.queue, j.sentOps = nil, j.queuedOps
	return j.unacked, j.declared
}

// fullState returns the entries' states and, as operations, the reservations in flight that were made after
// the first choice of a backup. Of older ones only the sum is known, see JournalEntryState. The caller holds
// journal.mu, which is locked before the locks of the shares and of the bill buffer.
func (n *Node) fullState() ([]JournalEntryState, []JournalOp) {
	named := make(map[record.EntryKey]int64)
	var ops []JournalOp
	for _, op := range n.journal.inFlight {
		named[op.Entry] += op.Amount
		ops = append(ops, op)
	}
	bills := n.bills.byEntry()
	var list []JournalEntryState
	n.shares.Each(func(key record.EntryKey, s *share.Share) bool {
		// A bill may charge nothing, so it is checked apart from the counters.
		if c := s.Counters(); c.Spent > 0 || c.Reserved > 0 || len(bills[key]) > 0 {
			list = append(list, JournalEntryState{Entry: key, Spent: c.Spent, Reserved: c.Reserved - named[key], Bills: bills[key]})
		}
		return true
	})
	return list, ops
}

// JournalBatchDone marks a batch as confirmed by the backup.
func (n *Node) JournalBatchDone(b *JournalBatch) {
	j := n.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unacked == b {
		j.unacked, j.ackedOps = nil, j.sentOps
	}
}
