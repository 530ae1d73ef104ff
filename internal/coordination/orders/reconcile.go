package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Kind is the kind of an Order.
type Kind string

// Kinds of order. All are idempotent.
const (
	KindLoad    Kind = "load"
	KindAdapter Kind = "adapter"
	KindRole    Kind = "role"
	KindUnload  Kind = "unload"
)

// Order is one change of one engine's state.
type Order struct {
	Upstream string `json:"upstream"`
	Kind     Kind   `json:"kind"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Role     string `json:"role,omitempty"`
	// Fence is the fencing token: the epoch of the lease. An engine that checks it refuses an order with a
	// lower token than the highest one it has seen.
	Fence uint64 `json:"fence"`
}

// Pulls reports whether the order makes the engine pull from the weight store.
func (o Order) Pulls() bool { return o.Kind == KindLoad || o.Kind == KindAdapter }

// LoadedModel is the state of a model as reported by an engine.
type LoadedModel struct {
	Version  string
	Adapters []string
	// Loading is true while the engine is still pulling the weights.
	Loading bool
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Models map[string]LoadedModel
	Role   string
}

// RequiredOrders returns the orders that bring the engines from the actual to the desired state. Engines of
// unknown state get none. Loads come first, so that capacity does not drop. Among loads, the first replica of
// each model comes first, so that after a mass restart no model waits until all replicas of another one are
// loaded.
func RequiredOrders(desired []catalogue.EngineOrder, actual map[string]EngineState) []Order {
	var orders []Order
	for _, d := range desired {
		if state, known := actual[d.Upstream]; known {
			orders = append(orders, ordersFor(d, state)...)
		}
	}
	replica := replicaNumbers(orders, actual)
	rank := map[Kind]int{KindLoad: 0, KindAdapter: 1, KindRole: 2, KindUnload: 3}
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(rank[a.Kind], rank[b.Kind]), cmp.Compare(replica[a], replica[b]),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	return orders
}

// ordersFor returns the orders that bring one engine from its state to the desired one. An adapter is ordered
// only once its model is loaded.
func ordersFor(desired catalogue.EngineOrder, state EngineState) (orders []Order) {
	wanted := make(map[string]bool, len(desired.Models))
	for _, m := range desired.Models {
		wanted[m.Model] = true
		loaded, present := state.Models[m.Model]
		if !present || loaded.Version != m.Version {
			orders = append(orders, Order{Upstream: desired.Upstream, Kind: KindLoad, Model: m.Model, Version: m.Version})
			continue
		}
		for _, adapter := range m.Adapters {
			if !loaded.Loading && !slices.Contains(loaded.Adapters, adapter) {
				orders = append(orders, Order{Upstream: desired.Upstream, Kind: KindAdapter, Model: m.Model, Version: m.Version, Adapter: adapter})
			}
		}
	}
	if desired.Role != "" && desired.Role != state.Role {
		orders = append(orders, Order{Upstream: desired.Upstream, Kind: KindRole, Role: desired.Role})
	}
	for model := range state.Models {
		if !wanted[model] {
			orders = append(orders, Order{Upstream: desired.Upstream, Kind: KindUnload, Model: model})
		}
	}
	return orders
}

// replicaNumbers returns, for each load, the number of replicas of its model version that exist or come
// before it.
func replicaNumbers(orders []Order, actual map[string]EngineState) map[Order]int {
	type version struct{ model, version string }
	count := make(map[version]int)
	for _, state := range actual {
		for model, loaded := range state.Models {
			count[version{model, loaded.Version}]++
		}
	}
	numbers := make(map[Order]int)
	for _, o := range orders {
		if o.Kind == KindLoad {
			key := version{o.Model, o.Version}
			numbers[o] = count[key]
			count[key]++
		}
	}
	return numbers
}

// Pacer limits the pulls of the whole fleet to the rate of the weight store. A local limit suffices, because
// only the holder of the lease sends orders.
type Pacer struct {
	interval time.Duration
	nextPull time.Time
}

// NewPacer returns a Pacer with the given rate. The first pull waits one interval, because a new holder does
// not know when the old one sent its last pull. Unused time does not accumulate, so there are no bursts.
func NewPacer(pullsPerSecond float64, now time.Time) *Pacer {
	interval := time.Duration(float64(time.Second) / pullsPerSecond)
	return &Pacer{interval: interval, nextPull: now.Add(interval)}
}

// Take reports whether a pull may start now. If so, the next one has to wait one interval.
func (p *Pacer) Take(now time.Time) bool {
	if now.Before(p.nextPull) {
		return false
	}
	p.nextPull = now.Add(p.interval)
	return true
}
