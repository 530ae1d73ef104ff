package admission

import (
	"maps"
	"slices"
	"sync"
)

// Quotas supplies this node's part of fleet-wide limits. At any moment the parts
// of all nodes add up to at most the limit.
type Quotas interface {
	// Fraction returns the part of a rate limit, 0 to 1.
	Fraction(s Scope) float64
	// Count returns the part of a limit on a number of requests.
	Count(s Scope, limit int) int
}

// Demand reports the observed demand for a scope, by member. The peer layer
// implements it from the members' reports; a member without a report is
// missing.
type Demand interface {
	Demand(s Scope) map[string]float64
}

// whole is the Parts of a router that is alone.
type whole struct{}

func (whole) Fraction(Scope) float64       { return 1 }
func (whole) Count(_ Scope, limit int) int { return limit }

// units is the whole of a limit in an Allocation.
const units = 1 << 20

// equalUnits of units are divided equally, the rest by demand. A member without
// demand can so admit the first requests of a burst at once.
const equalUnits = units / 4

// Span is a member's part of a limit: units From to To of the whole. Spans of
// one allocation do not overlap, so that rounding cannot exceed the limit.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

func (s Span) fraction() float64 { return float64(s.To-s.From) / units }

func (s Span) count(limit int) int {
	return int(s.To*int64(limit)/units - s.From*int64(limit)/units)
}

// Allocation is a record of the log that proposes how to divide the limits of a
// scope. Its place in the log is its number. It counts if Base is the number of
// the last confirmed allocation of the scope and no other one is pending.
type Allocation struct {
	Scope Scope           `json:"scope"`
	Base  uint64          `json:"base"`
	Spans map[string]Span `json:"spans"`
}

// Confirmation is a record of the log that puts a pending allocation in force.
// It is appended when every member of the old and the new allocation has read
// the proposal and conforms to its new part.
type Confirmation struct {
	Scope  Scope  `json:"scope"`
	Number uint64 `json:"number"`
}

// Divide returns the spans of the members in byte order: a quarter equally and
// the rest by demand. Without demand all parts are equal.
func Divide(members []string, demand map[string]float64) map[string]Span {
	ordered := slices.Sorted(slices.Values(members))
	var total float64
	for _, m := range ordered {
		total += max(0, demand[m])
	}
	spans := make(map[string]Span, len(ordered))
	var from int64
	for i, m := range ordered {
		part := int64(units) / int64(len(ordered))
		if total > 0 {
			part = equalUnits/int64(len(ordered)) + int64((units-equalUnits)*(max(0, demand[m])/total))
		}
		to := min(units, from+part)
		if i == len(ordered)-1 && total <= 0 {
			to = units
		}
		spans[m] = Span{From: from, To: to}
		from = to
	}
	return spans
}

// chain is the state of one scope's allocations at a place in the log.
//
// While an allocation is pending, a member uses the smaller of its confirmed
// and its pending part. A confirmation is written only after every member has
// read the proposal, so that no member still uses more than its new part when
// another begins to. Members at different places in the log therefore never
// exceed the limit together, whatever is late. A log outage freezes the parts.
type chain struct {
	number uint64
	parts  []map[string]Span // the confirmed allocation and, after it, pending ones
	// pending is the number of the pending allocation, or 0.
	pending uint64
}

func (c *chain) propose(number uint64, a Allocation) {
	if c.pending != 0 || a.Base != c.number {
		return
	}
	c.pending = number
	c.parts = append(slices.Clip(c.parts), a.Spans)
}

func (c *chain) confirm(number uint64) {
	if c.pending != number || number == 0 {
		return
	}
	c.number, c.pending = number, 0
	c.parts = c.parts[len(c.parts)-1:]
}

// smallest returns the smallest part of a member.
func smallest[N int | float64](c *chain, member string, part func(Span) N) N {
	if len(c.parts) == 0 {
		return 0
	}
	least := part(c.parts[0][member])
	for _, spans := range c.parts[1:] {
		least = min(least, part(spans[member]))
	}
	return least
}

// Allotments is the Parts of one node, folded from the records of the log in
// their order. Members are process incarnations, so a new process has no part
// until an allocation that names it is confirmed.
//
// A scope without allocations of its own uses those of the zero Scope. Its own
// ones continue from the state of the zero Scope where the first one stands in
// the log.
type Allotments struct {
	self string

	mu     sync.Mutex
	chains map[Scope]*chain
}

// NewAllotments returns the parts of a node at the start of the log.
func NewAllotments(self string) *Allotments {
	return &Allotments{self: self, chains: map[Scope]*chain{{}: {}}}
}

// ApplyAllocation folds a proposal. Numbers rise in the order of the log and
// start at 1.
func (a *Allotments) ApplyAllocation(number uint64, m Allocation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.chains[m.Scope]
	if c == nil {
		fleet := a.chains[Scope{}]
		if m.Base != 0 {
			return
		}
		c = &chain{parts: slices.Clone(fleet.parts)}
		a.chains[m.Scope] = c
	}
	c.propose(number, m)
}

// ApplyConfirmation folds a confirmation.
func (a *Allotments) ApplyConfirmation(m Confirmation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.chains[m.Scope]; c != nil {
		c.confirm(m.Number)
	}
}

// Pending returns the pending allocation of a scope and the members that must
// acknowledge it before its home appends the confirmation. A member does so
// once it has read the proposal and its controller conforms; one that is
// provably gone need not. Any node may act as home: a second one appends a
// repeated confirmation, which has no effect.
func (a *Allotments) Pending(s Scope) (number uint64, members []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.chains[s]
	if c == nil || c.pending == 0 {
		return 0, nil
	}
	named := make(map[string]bool)
	for _, spans := range c.parts {
		for m := range spans {
			named[m] = true
		}
	}
	return c.pending, slices.Sorted(maps.Keys(named))
}

// Plan returns the proposal that divides a scope among the live members by
// demand, or false while another one is pending.
func (a *Allotments) Plan(s Scope, members []string, demand Demand) (Allocation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := Allocation{Scope: s, Spans: Divide(members, demand.Demand(s))}
	if c := a.chains[s]; c != nil {
		m.Base = c.number
		return m, c.pending == 0
	}
	return m, true
}

func (a *Allotments) of(s Scope) *chain {
	if own := a.chains[s]; own != nil {
		return own
	}
	return a.chains[Scope{}]
}

// Fraction implements Parts.
func (a *Allotments) Fraction(s Scope) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return smallest(a.of(s), a.self, Span.fraction)
}

// Count implements Parts.
func (a *Allotments) Count(s Scope, limit int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return smallest(a.of(s), a.self, func(sp Span) int { return sp.count(limit) })
}
