package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Kind says what an order does.
type Kind string

// The kinds of order. Each sets a state, so repeating one changes nothing.
const (
	KindLoad    Kind = "load"
	KindAdapter Kind = "adapter"
	KindRole    Kind = "role"
	KindUnload  Kind = "unload"
)

// Order is one step for one engine.
type Order struct {
	Upstream string `json:"upstream"`
	Kind     Kind   `json:"kind"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Role     string `json:"role,omitempty"`
	// Fence is the epoch of the lease. An engine that checks refuses an order
	// below the highest fence that it has seen.
	Fence uint64 `json:"fence"`
}

// Pulls reports whether the engine reads the weight store for the order.
func (o Order) Pulls() bool { return o.Kind == KindLoad || o.Kind == KindAdapter }

// LoadedModel is a model as an engine reports it.
type LoadedModel struct {
	Version  string
	Adapters []string
	// Loading is true while the engine still pulls the weights.
	Loading bool
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	Models map[string]LoadedModel
	Role   string
}

// Reconcile returns the orders that bring the engines from their actual to the
// desired state. Engines without a known state get none. Loads come first, so
// that capacity does not fall, and among them the first replica of each model,
// so that after a mass restart no model waits for all replicas of another.
func Reconcile(desired []catalogue.EngineOrder, actual map[string]EngineState) []Order {
	var changes []Order
	for _, d := range desired {
		if state, known := actual[d.Upstream]; known {
			changes = append(changes, steps(d, state)...)
		}
	}
	replica := replicaNumbers(changes, actual)
	rank := map[Kind]int{KindLoad: 0, KindAdapter: 1, KindRole: 2, KindUnload: 3}
	slices.SortStableFunc(changes, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(rank[a.Kind], rank[b.Kind]), cmp.Compare(replica[a], replica[b]),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	return changes
}

func steps(d catalogue.EngineOrder, state EngineState) (changes []Order) {
	wanted := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		wanted[m.Model] = true
		loaded, present := state.Models[m.Model]
		if !present || loaded.Version != m.Version {
			changes = append(changes, Order{Upstream: d.Upstream, Kind: KindLoad, Model: m.Model, Version: m.Version})
			continue
		}
		for _, adapter := range m.Adapters {
			if !loaded.Loading && !slices.Contains(loaded.Adapters, adapter) {
				changes = append(changes, Order{Upstream: d.Upstream, Kind: KindAdapter, Model: m.Model, Version: m.Version, Adapter: adapter})
			}
		}
	}
	if d.Role != "" && d.Role != state.Role {
		changes = append(changes, Order{Upstream: d.Upstream, Kind: KindRole, Role: d.Role})
	}
	for model := range state.Models {
		if !wanted[model] {
			changes = append(changes, Order{Upstream: d.Upstream, Kind: KindUnload, Model: model})
		}
	}
	return changes
}

// replicaNumbers counts, for each load, the replicas of its model version that
// exist or come before it.
func replicaNumbers(changes []Order, actual map[string]EngineState) map[Order]int {
	type version struct{ model, version string }
	count := make(map[version]int)
	for _, state := range actual {
		for model, loaded := range state.Models {
			count[version{model, loaded.Version}]++
		}
	}
	numbers := make(map[Order]int)
	for _, o := range changes {
		if o.Kind == KindLoad {
			key := version{o.Model, o.Version}
			numbers[o] = count[key]
			count[key]++
		}
	}
	return numbers
}

// Pacer keeps the pulls of the whole fleet under the rate of the weight store.
// It works because only the one holder gives orders.
type Pacer struct {
	interval time.Duration
	next     time.Time
}

// NewPacer returns a pacer for a number of pulls per second. A new holder does
// not know when the old one pulled last, so its first pull waits one interval,
// and unused time is never saved up for a burst.
func NewPacer(pullsPerSecond float64, now time.Time) *Pacer {
	interval := time.Duration(float64(time.Second) / pullsPerSecond)
	return &Pacer{interval: interval, next: now.Add(interval)}
}

// Take reports whether a pull may start now, and counts it.
func (p *Pacer) Take(now time.Time) bool {
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(p.interval)
	return true
}
