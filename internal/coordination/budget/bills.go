package budget

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// maxBillsPerAppend bounds the size of one append, at about 150 bytes per bill.
const maxBillsPerAppend = 2000

// billBuffer keeps bills until they are durable. A request acquires a slot before its tokens are reserved and keeps
// it until its bill is durable, so the buffer never has to drop a bill. It is safe for concurrent use.
type billBuffer struct {
	limit int64
	used  atomic.Int64

	mu      sync.Mutex
	pending [][]record.Bill
	// appending is the number of bills of each partition in the current append.
	appending []int
}

func newBillBuffer(limit, partitions int) *billBuffer {
	return &billBuffer{
		limit: int64(limit), pending: make([][]record.Bill, partitions), appending: make([]int, partitions),
	}
}

// acquireSlot acquires the slot of one bill. It reports false when the buffer is full.
func (b *billBuffer) acquireSlot() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

// releaseSlot releases the slot of a request that is not billed.
func (b *billBuffer) releaseSlot() { b.used.Add(-1) }

// add adds the bill of a request that has acquired a slot.
func (b *billBuffer) add(p int, bill record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[p] = append(b.pending[p], bill)
}

// next returns the bills of the next append to a partition, or nil.
func (b *billBuffer) next(p int) []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.appending[p] > 0 || len(b.pending[p]) == 0 {
		return nil
	}
	b.appending[p] = min(len(b.pending[p]), maxBillsPerAppend)
	return slices.Clone(b.pending[p][:b.appending[p]])
}

// done ends the append to a partition and returns the bills that are now durable.
func (b *billBuffer) done(p int, durable bool) []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.appending[p]
	b.appending[p] = 0
	if !durable {
		return nil
	}
	written := slices.Clone(b.pending[p][:n])
	// The capacity is kept, so that settling seldom allocates.
	b.pending[p] = slices.Delete(b.pending[p], 0, n)
	b.used.Add(-int64(n))
	return written
}

// byEntry returns a copy of the bills that are not yet durable, by entry.
func (b *billBuffer) byEntry() map[record.EntryKey][]record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[record.EntryKey][]record.Bill)
	for _, pending := range b.pending {
		for _, bill := range pending {
			all[bill.Entry] = append(all[bill.Entry], bill)
		}
	}
	return all
}

// AcquireBillSlot acquires a slot in the bill buffer for a request whose tokens are about to be reserved. If it
// reports false, the request must be refused.
func (n *Node) AcquireBillSlot() bool { return n.bills.acquireSlot() }

// ReleaseBillSlot releases the slot of a request that ends without a bill.
func (n *Node) ReleaseBillSlot() { n.bills.releaseSlot() }

// NextBills returns the bills of the next append to a bill stream, or nil. The driver calls BillsDone when the
// append has ended.
func (n *Node) NextBills(p int) []record.Bill { return n.bills.next(p) }

// BillsDone ends the append of the bills that NextBills returned. If they are not durable, they stay in the
// buffer and are returned again; readers count a request ID once.
func (n *Node) BillsDone(p int, durable bool) {
	for _, bill := range n.bills.done(p, durable) {
		if bill.Holder == n.self {
			n.entry(bill.Entry).billed += bill.Charged
		}
		n.journal.billed(bill.RequestID, bill.Entry)
		n.billDurable(bill)
	}
}

// BillSlotsInUse returns the number of acquired slots in the bill buffer.
func (n *Node) BillSlotsInUse() int64 { return n.bills.used.Load() }
