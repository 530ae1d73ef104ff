package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStaleFencingToken reports an order whose fencing token is lower than one seen before.
var ErrStaleFencingToken = errors.New("stale fencing token")

// OrderEngine is an in-process stand-in for the control endpoint of a model engine. Its state is a set of
// named values that orders set or delete. It is safe for concurrent use.
type OrderEngine struct {
	// ChecksFencing makes the engine refuse orders with a stale fencing token.
	ChecksFencing bool
	// Pulls, if not nil, records a pull for each order that pulls weights and changes a value.
	Pulls *PullRecorder

	mu                  sync.Mutex
	highestFencingToken uint64
	values              map[string]string
	staleOrders         int
	orders              int
}

// Apply executes an order: it sets the value of a key, or deletes the key if the value is empty. pulls means
// that the order pulls weights. Apply returns ErrStaleFencingToken only if ChecksFencing is set.
func (e *OrderEngine) Apply(fencingToken uint64, key, value string, pulls bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencingToken < e.highestFencingToken {
		if e.ChecksFencing {
			return ErrStaleFencingToken
		}
		e.staleOrders++
	}
	e.highestFencingToken = max(e.highestFencingToken, fencingToken)
	e.orders++
	if e.values == nil {
		e.values = make(map[string]string)
	}
	if pulls && e.values[key] != value && e.Pulls != nil {
		e.Pulls.pull()
	}
	e.values[key] = value
	if value == "" {
		delete(e.values, key)
	}
	return nil
}

// Values returns a copy of all values.
func (e *OrderEngine) Values() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.values)
}

// Restart simulates a restart of the engine: it deletes all values, because no models are loaded then. It keeps
// the highest fencing token and the counts.
func (e *OrderEngine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.values = nil
}

// Counts returns the number of applied orders, and how many of them had a stale fencing token.
func (e *OrderEngine) Counts() (orders, stale int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders, e.staleOrders
}

// PullRecorder records the pulls from a rate-limited weight store.
type PullRecorder struct {
	// Now is the clock for the times of the pulls.
	Now func() time.Time

	mu    sync.Mutex
	pulls []time.Time
}

func (r *PullRecorder) pull() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulls = append(r.pulls, r.Now())
}

// Pulls returns the times of all pulls.
func (r *PullRecorder) Pulls() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.pulls...)
}
