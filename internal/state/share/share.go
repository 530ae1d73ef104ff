// Package share keeps the parts of budgets that this process may spend. It is
// the hot path of every request: reserving and settling take one mutex of one
// entry and allocate nothing.
package share

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Counters are a share's totals in tokens. Granted, Spent and Returned are
// cumulative; Reserved is what requests in flight hold now.
type Counters struct {
	Granted  int64
	Spent    int64
	Returned int64
	Reserved int64
}

// Free returns what can still be reserved.
func (c Counters) Free() int64 { return c.Granted - c.Spent - c.Returned - c.Reserved }

// Share is this process's part of one entry's budget.
type Share struct {
	mu      sync.Mutex
	c       Counters
	wanted  int64
	largest int64
}

// Reserve takes n tokens for a request about to be sent. It reports false, and
// takes nothing, when the share does not cover n. Only a success counts as
// demand, because a waiting request tries many times.
func (s *Share) Reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= 0 || s.c.Free() < n {
		return false
	}
	s.wanted += n
	s.largest = max(s.largest, n)
	s.c.Reserved += n
	return true
}

// AddDemand counts n tokens that a request asked for without being served.
func (s *Share) AddDemand(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted += n
	s.largest = max(s.largest, n)
}

// Settle ends a reservation of n tokens of which used were spent. The caller
// settles each reservation exactly once and used is at most n.
func (s *Share) Settle(n, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Reserved -= n
	s.c.Spent += used
}

// SetGranted records the cumulative grant that was read back from the log.
// A smaller value is an older read and is ignored.
func (s *Share) SetGranted(granted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Granted = max(s.c.Granted, granted)
}

// Return gives up to n unreserved tokens back and reports how many. The caller
// writes the new counters to the log before anyone else can get them.
func (s *Share) Return(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(0, min(n, s.c.Free()))
	s.c.Returned += n
	return n
}

// Counters returns a consistent copy of the totals.
func (s *Share) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c
}

// TakeDemand returns the tokens asked for, and the largest single request,
// since the last call.
func (s *Share) TakeDemand() (wanted, largest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted, largest = s.wanted, s.largest
	s.wanted, s.largest = 0, 0
	return wanted, largest
}

// Table holds the shares of this process by entry.
type Table struct {
	mu     sync.RWMutex
	shares map[record.EntryKey]*Share
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{shares: make(map[record.EntryKey]*Share)}
}

// Get returns the share of an entry, created empty on first use.
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

// Each calls yield for every share until it returns false.
func (t *Table) Each(yield func(record.EntryKey, *Share) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, s := range t.shares {
		if !yield(k, s) {
			return
		}
	}
}
