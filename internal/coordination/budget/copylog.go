package budget

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// CopyKind says what a CopyOp does to the copy.
type CopyKind uint8

// The kinds of CopyOp.
const (
	// JournalReserve adds a reservation in flight.
	JournalReserve CopyKind = iota + 1
	// JournalSettle ends a reservation with a bill.
	JournalSettle
	// CopyRelease ends a reservation without a bill.
	CopyRelease
	// JournalBillDurable drops a bill that is durable.
	JournalBillDurable
)

// JournalOp is one change of a holder's reservations.
type JournalOp struct {
	Kind      CopyKind        `json:"kind"`
	RequestID string          `json:"request_id"`
	Entry     record.EntryKey `json:"entry"`
	Amount    int64           `json:"amount,omitempty"`
	Bill      *record.Bill    `json:"bill,omitempty"`
	// Dispatcher is the process that sends the request when it is not the holder.
	Dispatcher record.HolderID `json:"dispatcher,omitempty"`
}

// EntryCopy is the state of one entry at the start of an epoch. Reserved is a
// lump: the part of the reservations whose requests are not named in Ops,
// because they began before the holder had its first backup.
type EntryCopy struct {
	Entry    record.EntryKey `json:"entry"`
	Spent    int64           `json:"spent"`
	Reserved int64           `json:"reserved"`
	// Bills are settled and not known to be durable.
	Bills []record.Bill `json:"bills,omitempty"`
}

// JournalBatch is one call of budget.journal. The first batch of an epoch holds
// the full state.
type JournalBatch struct {
	Holder  record.HolderID `json:"holder"`
	Epoch   uint64          `json:"epoch"`
	Seq     uint64          `json:"seq"`
	Entries []EntryCopy     `json:"entries,omitempty"`
	Ops     []JournalOp     `json:"ops,omitempty"`
}

// JournalPosition names the copy that a reservation waits for before it is dispatched.
// The zero Ticket waits for nothing.
type JournalPosition struct {
	epoch uint64
	op    uint64
}

// copyLog is the holder's side of the reservation copies. From the moment a
// full state may have reached a backup whose declaration is the newest in the
// log, that backup may close the share after proof of death; so from then on a
// reservation is dispatched only after the backup has confirmed its copy.
// It is safe for concurrent use.
type copyLog struct {
	mu     sync.RWMutex
	holder record.HolderID
	// wanted and declared are the backup to use and the one in the fold.
	wanted, declared record.HolderID
	epoch            uint64
	// guarded is set while a backup may be able to close the share.
	guarded bool
	// inFlight is kept from the first choice of a backup on.
	inFlight map[string]JournalOp
	seq      uint64
	queue    []JournalOp
	sent     *JournalBatch
	// queued and acked count the ops of the epoch.
	queued, sentOps, acked uint64
}

func newCopyLog(holder record.HolderID) *copyLog { return &copyLog{holder: holder} }

// reserve takes the amount from the share and queues the copy.
func (c *copyLog) reserve(s *share.Share, res Reservation) (JournalPosition, bool) {
	c.mu.RLock()
	if c.inFlight == nil {
		defer c.mu.RUnlock()
		return JournalPosition{}, s.Reserve(res.Amount)
	}
	c.mu.RUnlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.Reserve(res.Amount) {
		return JournalPosition{}, false
	}
	op := JournalOp{
		Kind: JournalReserve, RequestID: res.RequestID, Entry: res.Entry, Amount: res.Amount, Dispatcher: res.Dispatcher,
	}
	c.inFlight[res.RequestID] = op
	if !c.guarded {
		return JournalPosition{}, true
	}
	c.push(op)
	return JournalPosition{epoch: c.epoch, op: c.queued}, true
}

func (c *copyLog) settle(s *share.Share, res Reservation, bill record.Bill) {
	if c.endUncopied(s, res.Amount, bill.Charged) {
		return
	}
	copied := bill // Moves to the heap only here, off the path without copies.
	c.end(s, res, bill.Charged, JournalSettle, &copied)
}

func (c *copyLog) release(s *share.Share, res Reservation) {
	if c.endUncopied(s, res.Amount, 0) {
		return
	}
	c.end(s, res, 0, CopyRelease, nil)
}

// endUncopied settles the share if no backup was ever chosen.
func (c *copyLog) endUncopied(s *share.Share, amount, used int64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.inFlight != nil {
		return false
	}
	s.Settle(amount, used)
	return true
}

// end settles the share and queues the op in one step, so that a full state
// never contains one without the other.
func (c *copyLog) end(s *share.Share, res Reservation, used int64, kind CopyKind, bill *record.Bill) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Settle(res.Amount, used)
	delete(c.inFlight, res.RequestID)
	if c.guarded {
		c.push(JournalOp{Kind: kind, RequestID: res.RequestID, Entry: res.Entry, Amount: res.Amount, Bill: bill})
	}
}

func (c *copyLog) billed(id string, key record.EntryKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guarded {
		c.push(JournalOp{Kind: JournalBillDurable, RequestID: id, Entry: key})
	}
}

func (c *copyLog) push(op JournalOp) {
	c.queue = append(c.queue, op)
	c.queued++
}

// copied reports whether a reservation may be dispatched. A ticket of an older
// epoch is done: its backup can no longer close the share.
func (c *copyLog) copied(t JournalPosition) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return t.op == 0 || t.epoch < c.epoch || t.op <= c.acked
}

// Reserve takes the amount of a request from this node's share. The request may
// be dispatched once Copied reports true for the ticket. It is safe for
// concurrent use.
func (n *Node) Reserve(res Reservation) (JournalPosition, bool) {
	return n.copies.reserve(n.shares.Get(res.Entry), res)
}

// Replicated reports whether the backup has the reservation of the ticket. It is
// safe for concurrent use.
func (n *Node) Replicated(t JournalPosition) bool { return n.copies.copied(t) }

// ChooseBackup takes the candidate when no backup is chosen or declared.
func (n *Node) ChooseBackup(candidate record.HolderID) {
	n.copies.mu.RLock()
	free := n.copies.wanted == "" && n.copies.declared == ""
	n.copies.mu.RUnlock()
	if free && candidate != "" {
		n.SetBackup(candidate)
	}
}

// SetBackup chooses the backup. The change holds from the moment the node has
// read its declaration back from the members stream.
func (n *Node) SetBackup(backup record.HolderID) {
	n.copies.mu.Lock()
	defer n.copies.mu.Unlock()
	n.copies.wanted = backup
	if n.copies.inFlight == nil {
		n.copies.inFlight = make(map[string]JournalOp)
	}
}

// ReplaceBackup gives a backup up that does not answer, in favour of another one
// or none. A failed backup cannot come back in the same epoch.
func (n *Node) ReplaceBackup(next record.HolderID) {
	if next == n.copies.declared {
		next = ""
	}
	n.SetBackup(next)
}

// NextDeclaration returns the record to append to the members stream, or nil.
// It is the same until the fold has passed it.
func (n *Node) NextDeclaration() *record.Backup {
	c := n.copies
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.wanted == c.declared {
		return nil
	}
	return &record.Backup{Holder: n.self, Backup: c.wanted, Epoch: c.epoch + 1}
}

// declare takes over this node's own declaration from the fold.
func (c *copyLog) declare(d record.Backup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Epoch <= c.epoch {
		return
	}
	c.epoch, c.declared, c.guarded = d.Epoch, d.Backup, false
	c.seq, c.queue, c.sent, c.queued, c.sentOps, c.acked = 0, nil, nil, 0, 0, 0
}

// NextJournalBatch returns the next batch for the declared backup and its holder ID,
// or nil. It is the same batch until CopiesDone. A backup that is to be replaced
// gets copies until the fold has the new declaration: it may be back before the
// log is.
func (n *Node) NextJournalBatch() (*JournalBatch, record.HolderID) {
	c := n.copies
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.declared == "" {
		return nil, ""
	}
	if c.sent != nil {
		return c.sent, c.declared
	}
	if c.guarded && len(c.queue) == 0 {
		return nil, ""
	}
	c.seq++
	c.sent = &JournalBatch{Holder: c.holder, Epoch: c.epoch, Seq: c.seq, Ops: c.queue}
	if !c.guarded {
		c.sent.Entries, c.sent.Ops = n.fullState()
		c.guarded = true
	}
	c.queue, c.sentOps = nil, c.queued
	return c.sent, c.declared
}

// fullState is taken under copyLog.mu, which comes before the locks of the
// shares and of the bill buffer.
func (n *Node) fullState() ([]EntryCopy, []JournalOp) {
	named := make(map[record.EntryKey]int64)
	var ops []JournalOp
	for _, op := range n.copies.inFlight {
		named[op.Entry] += op.Amount
		ops = append(ops, op)
	}
	bills := n.bills.byEntry()
	var list []EntryCopy
	n.shares.Each(func(key record.EntryKey, s *share.Share) bool {
		// A bill may charge nothing, so it counts apart from the counters.
		if c := s.Counters(); c.Spent > 0 || c.Reserved > 0 || len(bills[key]) > 0 {
			list = append(list, EntryCopy{Entry: key, Spent: c.Spent, Reserved: c.Reserved - named[key], Bills: bills[key]})
		}
		return true
	})
	return list, ops
}

// JournalBatchDone reports that the backup has confirmed a batch.
func (n *Node) JournalBatchDone(b *JournalBatch) {
	c := n.copies
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == b {
		c.sent, c.acked = nil, c.sentOps
	}
}
