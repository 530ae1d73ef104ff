package admission

import (
	"maps"
	"slices"
	"sync"
)

// Quotas supplies this router's quotas of fleet-wide limits. At any time the quotas of all routers add up to
// at most the limit.
type Quotas interface {
	// Fraction returns the quota of a rate limit as a fraction of the limit, from 0 to 1.
	Fraction(s Scope) float64
	// Count returns the quota of a limit on a number of requests.
	Count(s Scope, limit int) int
}

// DemandSource reports the observed demand for a scope by member. A member that has reported none is missing.
type DemandSource interface {
	Demand(s Scope) map[string]float64
}

// singleRouter gives the whole limits to a router that runs alone.
type singleRouter struct{}

func (singleRouter) Fraction(Scope) float64       { return 1 }
func (singleRouter) Count(_ Scope, limit int) int { return limit }

// totalUnits is the number of units that an Allocation divides a limit into.
const totalUnits = 1 << 20

// equalUnits is the number of units that are divided equally; the rest is divided by demand. A member without
// demand can therefore admit the first requests of a burst at once.
const equalUnits = totalUnits / 4

// Span is a member's quota in an Allocation: the units from From up to To. The spans of one allocation do not
// overlap, so that rounding cannot exceed the limit.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

func (s Span) fraction() float64 { return float64(s.To-s.From) / totalUnits }

func (s Span) count(limit int) int {
	return int(s.To*int64(limit)/totalUnits - s.From*int64(limit)/totalUnits)
}

// Allocation is a log record that proposes how to divide the limits of a scope. Its position in the log is
// its number. It is ignored unless Base is the number of the last confirmed allocation of the scope and no
// other one is pending.
type Allocation struct {
	Scope Scope           `json:"scope"`
	Base  uint64          `json:"base"`
	Spans map[string]Span `json:"spans"`
}

// Confirmation is a log record that activates a pending allocation. It is appended when every member of the
// old and the new allocation has read the proposal and is within its new quota.
type Confirmation struct {
	Scope  Scope  `json:"scope"`
	Number uint64 `json:"number"`
}

// Divide returns the spans of the members, assigned in byte order of their names: a quarter of the units
// equally and the rest by demand. Without demand all spans are equal up to rounding.
func Divide(members []string, demand map[string]float64) map[string]Span {
	ordered := slices.Sorted(slices.Values(members))
	var total float64
	for _, m := range ordered {
		total += max(0, demand[m])
	}
	spans := make(map[string]Span, len(ordered))
	var from int64
	for i, m := range ordered {
		width := int64(totalUnits) / int64(len(ordered))
		if total > 0 {
			width = equalUnits/int64(len(ordered)) + int64((totalUnits-equalUnits)*(max(0, demand[m])/total))
		}
		to := min(totalUnits, from+width)
		if i == len(ordered)-1 && total <= 0 {
			to = totalUnits
		}
		spans[m] = Span{From: from, To: to}
		from = to
	}
	return spans
}

// allocationState is the state of one scope's allocations at a position in the log.
//
// While an allocation is pending, a member uses the smaller of its confirmed and its pending quota. An
// allocation before which no member had a quota counts at once. A confirmation is written only after every
// member has read the proposal, so that no member still uses more than its new quota when another one starts
// to use the difference. Members at different positions in the log therefore never exceed the limit together,
// however late they read. During a log outage the quotas do not change.
type allocationState struct {
	// confirmed is the number of the confirmed allocation, or 0.
	confirmed uint64
	// allocations holds the spans that limit a member's quota: those of the confirmed allocation, then those
	// of the pending one. The state of a scope other than the zero Scope starts with a copy of the zero
	// Scope's spans, which may include pending ones.
	allocations []map[string]Span
	// pending is the number of the pending allocation, or 0.
	pending uint64
}

func (st *allocationState) propose(number uint64, a Allocation) {
	if st.pending != 0 || a.Base != st.confirmed {
		return
	}
	st.pending = number
	st.allocations = append(slices.Clip(st.allocations), a.Spans)
}

func (st *allocationState) confirm(number uint64) {
	if st.pending != number || number == 0 {
		return
	}
	st.confirmed, st.pending = number, 0
	st.allocations = st.allocations[len(st.allocations)-1:]
}

// minQuota returns a member's smallest quota in the confirmed and the pending allocation.
func minQuota[N int | float64](st *allocationState, member string, quota func(Span) N) N {
	if len(st.allocations) == 0 {
		return 0
	}
	lowest := quota(st.allocations[0][member])
	for _, spans := range st.allocations[1:] {
		lowest = min(lowest, quota(spans[member]))
	}
	return lowest
}

// ReplicatedQuotas provides the quotas of one router from the allocations in the log, whose records it
// applies in order. Members are process incarnations, so a new process has no quota until an allocation that
// names it is confirmed, or counts at once because no member had a quota before.
//
// A scope without allocations of its own uses those of the zero Scope. Its first own allocation starts from
// the state that the zero Scope has at that position in the log.
type ReplicatedQuotas struct {
	self string

	mu     sync.Mutex
	states map[Scope]*allocationState
}

// NewReplicatedQuotas returns the quotas of a router at the start of the log, which are all 0.
func NewReplicatedQuotas(self string) *ReplicatedQuotas {
	return &ReplicatedQuotas{self: self, states: map[Scope]*allocationState{{}: {}}}
}

// ApplyAllocation applies a proposal. Numbers start at 1 and rise in log order.
func (r *ReplicatedQuotas) ApplyAllocation(number uint64, a Allocation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[a.Scope]
	if st == nil {
		defaults := r.states[Scope{}]
		if a.Base != 0 {
			return
		}
		st = &allocationState{allocations: slices.Clone(defaults.allocations)}
		r.states[a.Scope] = st
	}
	st.propose(number, a)
}

// ApplyConfirmation applies a confirmation. It has no effect unless it names the pending allocation of the
// scope.
func (r *ReplicatedQuotas) ApplyConfirmation(c Confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st := r.states[c.Scope]; st != nil {
		st.confirm(c.Number)
	}
}

// Pending returns the number of the pending allocation of a scope and the members that must acknowledge it
// before a coordinating router appends the confirmation. A member acknowledges once it has read the proposal
// and its controller is within the quota; a member that has provably terminated need not. Any router may
// coordinate: a repeated confirmation has no effect.
func (r *ReplicatedQuotas) Pending(s Scope) (number uint64, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[s]
	if st == nil || st.pending == 0 {
		return 0, nil
	}
	memberSet := make(map[string]bool)
	for _, spans := range st.allocations {
		for m := range spans {
			memberSet[m] = true
		}
	}
	return st.pending, slices.Sorted(maps.Keys(memberSet))
}

// Propose returns a proposal that divides the limits of a scope among the live members by demand. It returns
// false while another proposal is pending.
func (r *ReplicatedQuotas) Propose(s Scope, members []string, demand DemandSource) (Allocation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Allocation{Scope: s, Spans: Divide(members, demand.Demand(s))}
	if st := r.states[s]; st != nil {
		a.Base = st.confirmed
		return a, st.pending == 0
	}
	return a, true
}

func (r *ReplicatedQuotas) state(s Scope) *allocationState {
	if own := r.states[s]; own != nil {
		return own
	}
	return r.states[Scope{}]
}

// Fraction implements Quotas.
func (r *ReplicatedQuotas) Fraction(s Scope) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return minQuota(r.state(s), r.self, Span.fraction)
}

// Count implements Quotas.
func (r *ReplicatedQuotas) Count(s Scope, limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return minQuota(r.state(s), r.self, func(sp Span) int { return sp.count(limit) })
}
