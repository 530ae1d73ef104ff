package budget

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// maxBillsPerAppend bounds the size of one append, at about 150 bytes a bill.
const maxBillsPerAppend = 2000

// billBuffer keeps bills until they are durable. A request takes a place before
// it is reserved and keeps it until its bill is durable, so the buffer never
// has to drop a bill. It is safe for concurrent use.
type billBuffer struct {
	limit int64
	used  atomic.Int64

	mu      sync.Mutex
	pending [][]record.Bill
	// sending is the number of bills of each partition in the current append.
	sending []int
}

func newBillBuffer(limit, partitions int) *billBuffer {
	return &billBuffer{
		limit: int64(limit), pending: make([][]record.Bill, partitions), sending: make([]int, partitions),
	}
}

// take reserves a place for one bill. It reports false when the buffer is full.
func (b *billBuffer) take() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

// giveBack frees the place of a request that is not billed.
func (b *billBuffer) giveBack() { b.used.Add(-1) }

// add puts a bill into the place that its request took.
func (b *billBuffer) add(p int, bill record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[p] = append(b.pending[p], bill)
}

// next returns the bills of the next append of a partition, or nil.
func (b *billBuffer) next(p int) []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sending[p] > 0 || len(b.pending[p]) == 0 {
		return nil
	}
	b.sending[p] = min(len(b.pending[p]), maxBillsPerAppend)
	return slices.Clone(b.pending[p][:b.sending[p]])
}

// done ends the append of a partition and returns the bills that are durable now.
func (b *billBuffer) done(p int, durable bool) []record.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.sending[p]
	b.sending[p] = 0
	if !durable {
		return nil
	}
	written := slices.Clone(b.pending[p][:n])
	// The storage is kept, so that a settle seldom allocates.
	b.pending[p] = slices.Delete(b.pending[p], 0, n)
	b.used.Add(-int64(n))
	return written
}

// byEntry returns a copy of the bills that are not durable yet.
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

// AcquireBillSlot reserves a place in the bill buffer for a request about to be
// reserved. It reports false when the request must be refused.
func (n *Node) AcquireBillSlot() bool { return n.bills.take() }

// ReleaseBillSlot frees the place of a request that ends without a bill.
func (n *Node) ReleaseBillSlot() { n.bills.giveBack() }

// NextBills returns the bills of the next append to a bill stream, or nil. The
// driver reports the end of the append with BillsDone.
func (n *Node) NextBills(p int) []record.Bill { return n.bills.next(p) }

// BillsDone reports whether the bills that NextBills gave are durable. If not,
// they stay and are given again; readers count a request ID once.
func (n *Node) BillsDone(p int, durable bool) {
	for _, bill := range n.bills.done(p, durable) {
		if bill.Holder == n.self {
			n.entry(bill.Entry).billed += bill.Charged
		}
		n.copies.billed(bill.RequestID, bill.Entry)
		n.reclaimBilled(bill)
	}
}

// BillSlotsInUse returns the number of places taken in the bill buffer.
func (n *Node) BillSlotsInUse() int64 { return n.bills.used.Load() }
