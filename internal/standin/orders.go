package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStaleFencingToken reports an order below the highest fencing number seen.
var ErrStaleFencingToken = errors.New("old fencing number")

// OrderEngine is the control endpoint of a model engine: a set of named values,
// which orders set or delete. It is safe for concurrent use.
type OrderEngine struct {
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Store is read once for each order that pulls weights.
	Store *PullRecorder

	mu     sync.Mutex
	fence  uint64
	values map[string]string
	late   int
	orders int
}

// Apply sets a value, or deletes it if it is empty.
func (e *OrderEngine) Apply(fence uint64, key, value string, pulls bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence {
		if e.ChecksFencing {
			return ErrStaleFencingToken
		}
		e.late++
	}
	e.fence = max(e.fence, fence)
	e.orders++
	if e.values == nil {
		e.values = make(map[string]string)
	}
	if pulls && e.values[key] != value && e.Store != nil {
		e.Store.pull()
	}
	e.values[key] = value
	if value == "" {
		delete(e.values, key)
	}
	return nil
}

// Values returns a copy of the engine's state.
func (e *OrderEngine) Values() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.values)
}

// Restart empties the engine, as a new process has nothing loaded.
func (e *OrderEngine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.values = nil
}

// Counts returns the orders applied, and those of them with a fencing number
// below one seen before.
func (e *OrderEngine) Counts() (orders, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders, e.late
}

// PullRecorder records the pulls from a rate-limited store.
type PullRecorder struct {
	// Now is the clock that pulls are recorded with.
	Now func() time.Time

	mu    sync.Mutex
	pulls []time.Time
}

func (s *PullRecorder) pull() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls = append(s.pulls, s.Now())
}

// Pulls returns the times of all pulls.
func (s *PullRecorder) Pulls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.pulls...)
}
