// Package share holds the shares of this process: the parts of the entries' budgets that it may spend. Package
// budget reserves from them for every request, so reserving and settling lock one mutex of one entry and
// allocate nothing.
package share

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Counters are the totals of a share in tokens. Granted, Spent and Returned are cumulative; Reserved is what
// requests in flight hold now.
type Counters struct {
	Granted  int64
	Spent    int64
	Returned int64
	Reserved int64
}

// Unreserved returns what can still be reserved from the share.
func (c Counters) Unreserved() int64 { return c.Granted - c.Spent - c.Returned - c.Reserved }

// Share is this process's part of one entry's budget.
type Share struct {
	mu       sync.Mutex
	counters Counters
	// requested and largest are the demand since the last call of TakeDemand.
	requested int64
	largest   int64
}

// Reserve reserves n tokens for a request that is about to be sent. If the share does not cover n, or n is not
// positive, it reports false and reserves nothing. Only a success counts as demand, because a waiting request
// tries many times.
func (s *Share) Reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= 0 || s.counters.Unreserved() < n {
		return false
	}
	s.requested += n
	s.largest = max(s.largest, n)
	s.counters.Reserved += n
	return true
}

// AddDemand counts n tokens as demand of a request that the share did not cover.
func (s *Share) AddDemand(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested += n
	s.largest = max(s.largest, n)
}

// Settle ends a reservation of n tokens of which used were spent. The caller settles each reservation exactly
// once and used is at most n.
func (s *Share) Settle(n, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reserved -= n
	s.counters.Spent += used
}

// SetGranted sets the cumulative grant that was read back from the log. A smaller value is from an older read
// and is ignored.
func (s *Share) SetGranted(granted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Granted = max(s.counters.Granted, granted)
}

// Return returns up to n unreserved tokens to the part of the budget that no share holds, the entry's free
// budget, and reports how many. The caller writes the new counters to the log; only then can other processes
// get the tokens.
func (s *Share) Return(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(0, min(n, s.counters.Unreserved()))
	s.counters.Returned += n
	return n
}

// Counters returns a consistent copy of the totals.
func (s *Share) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// TakeDemand returns the tokens requested and the largest single request since the last call, and resets both.
func (s *Share) TakeDemand() (requested, largest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested, largest = s.requested, s.largest
	s.requested, s.largest = 0, 0
	return requested, largest
}

// Table holds the shares of this process by entry. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	shares map[record.EntryKey]*Share
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{shares: make(map[record.EntryKey]*Share)}
}

// Get returns the share of an entry; it creates an empty one on first use.
func (t *Table) Get(key record.EntryKey) *Share {
	t.mu.RLock()
	s := t.shares[key]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.shares[key]; s == nil {
		s = &Share{}
		t.shares[key] = s
	}
	return s
}

// Each calls yield for every share until yield returns false. It holds the table's lock meanwhile, so yield must
// not call Get.
func (t *Table) Each(yield func(record.EntryKey, *Share) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, s := range t.shares {
		if !yield(k, s) {
			return
		}
	}
}
