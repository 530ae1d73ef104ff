package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

type demandMap map[string]float64

func (d demandMap) Demand(Scope) map[string]float64 { return d }

// fleet is a model of nodes that have read a log to different places.
type fleet struct {
	log   []any
	nodes map[string]*Allotments
	read  map[string]int
	names int
}

func (f *fleet) members() []string { return slices.Sorted(maps.Keys(f.nodes)) }

func (f *fleet) join() {
	name := fmt.Sprintf("vm/%02d", f.names)
	f.names++
	f.nodes[name] = NewAllotments(name)
}

func (f *fleet) readTo(name string, end int) {
	for ; f.read[name] < end; f.read[name]++ {
		switch m := f.log[f.read[name]].(type) {
		case Allocation:
			f.nodes[name].ApplyAllocation(uint64(f.read[name]+1), m)
		case Confirmation:
			f.nodes[name].ApplyConfirmation(m)
		}
	}
}

// confirm appends the confirmation that the home may write, if it may.
func (f *fleet) confirm(home string, s Scope) {
	number, members := f.nodes[home].Pending(s)
	for _, m := range members {
		if f.nodes[m] != nil && f.read[m] < int(number) {
			return
		}
	}
	if number > 0 {
		f.log = append(f.log, Confirmation{Scope: s, Number: number})
	}
}

func (f *fleet) check(r *rapid.T, scopes []Scope) {
	for _, s := range scopes {
		for _, limit := range []int{1, 7, 100} {
			sum, fraction := 0, 0.0
			for _, n := range f.nodes {
				sum += n.Count(s, limit)
				fraction += n.Fraction(s)
			}
			if sum > limit || fraction > 1+1e-9 {
				r.Fatalf("the parts of %v add up to %d of %d and %f", s, sum, limit, fraction)
			}
		}
	}
}

// Guards against parts of a fleet-wide limit that add up to more than the limit
// while nodes are at different places in the log, join and die, and several
// nodes act as home.
func TestPartsNeverExceedTheLimit(t *testing.T) {
	scopes := []Scope{{}, {Kind: ScopeEntry, Name: "hot"}}
	rapid.Check(t, func(r *rapid.T) {
		f := &fleet{nodes: make(map[string]*Allotments), read: make(map[string]int)}
		for range rapid.IntRange(2, 4).Draw(r, "nodes") {
			f.join()
		}
		for range 200 {
			home := rapid.SampledFrom(f.members()).Draw(r, "node")
			s := rapid.SampledFrom(scopes).Draw(r, "scope")
			switch n := rapid.IntRange(0, 49).Draw(r, "action"); {
			case n == 0:
				f.join()
			case n == 1 && len(f.nodes) > 1:
				delete(f.nodes, home)
			case n < 15:
				demand := make(demandMap)
				for _, m := range f.members() {
					demand[m] = float64(rapid.SampledFrom([]int{0, 1, 10}).Draw(r, "demand"))
				}
				members := f.members()[rapid.IntRange(0, 1).Draw(r, "left out")*(len(f.nodes)/2):]
				if m, ok := f.nodes[home].Plan(s, members, demand); ok {
					f.log = append(f.log, m)
				}
			case n < 25:
				f.confirm(home, s)
			case n < 40:
				f.readTo(home, len(f.log))
			default:
				f.readTo(home, rapid.IntRange(f.read[home], len(f.log)).Draw(r, "place"))
			}
			f.check(r, scopes)
		}
	})
}

// Guards against parts that are safe only because they never change: they
// follow demand, also those of a scope with allocations of its own.
func TestPartsFollowDemand(t *testing.T) {
	is := is.New(t)
	f := &fleet{nodes: make(map[string]*Allotments), read: make(map[string]int)}
	f.join()
	f.join()
	round := func(s Scope, demand demandMap) {
		m, ok := f.nodes["vm/00"].Plan(s, f.members(), demand)
		is.True(ok)
		f.log = append(f.log, m)
		for _, name := range f.members() {
			f.readTo(name, len(f.log))
		}
		f.confirm("vm/01", s)
		for _, name := range f.members() {
			f.readTo(name, len(f.log))
		}
	}
	hot := Scope{Kind: ScopeEntry, Name: "hot"}
	is.Equal(f.nodes["vm/00"].Count(hot, 100), 0) // a new process has no part
	round(Scope{}, nil)
	is.Equal(f.nodes["vm/00"].Count(hot, 100), 50)
	round(hot, demandMap{"vm/00": 9, "vm/01": 1})
	round(Scope{}, demandMap{"vm/00": 1, "vm/01": 1})
	is.Equal(f.nodes["vm/00"].Count(hot, 100), 79) // 25/2 + 75*0.9, rounded down
	is.Equal(f.nodes["vm/01"].Count(hot, 100), 20)
	is.Equal(f.nodes["vm/01"].Fraction(Scope{}), 0.5)

	m, _ := f.nodes["vm/00"].Plan(Scope{}, []string{"vm/00"}, demandMap{})
	f.log = append(f.log, m)
	f.readTo("vm/00", len(f.log))
	_, members := f.nodes["vm/00"].Pending(Scope{})
	is.Equal(members, []string{"vm/00", "vm/01"}) // the one left out still uses its part
}

// fixedPart gives a node a fixed part.
type fixedPart struct{ span Span }

func (f fixedPart) Fraction(Scope) float64       { return f.span.fraction() }
func (f fixedPart) Count(_ Scope, limit int) int { return f.span.count(limit) }

// Guards against a node that confirms a smaller part while it still uses more:
// it conforms only when its requests in flight fit.
func TestConforms(t *testing.T) {
	is := is.New(t)
	part := &fixedPart{Span{From: 0, To: units}}
	c := New(Config{Now: newClock().Now, Quotas: part})
	req := request("e", "t", catalogue.ClassInteractive, 1)
	req.Limits = catalogue.Limits{Concurrency: 2}
	first, err := c.AdmitAsync(req, nil)
	is.NoErr(err)
	_, err = c.AdmitAsync(req, nil)
	is.NoErr(err)
	part.span.To = units / 2
	e := Scope{Kind: ScopeEntry, Name: "e"}
	is.True(!c.Conforms(e))
	is.True(!c.Conforms(Scope{}))
	is.True(c.Conforms(Scope{Kind: ScopeEntry, Name: "other"}))
	first.Done()
	is.True(c.Conforms(e))

	// Without a part, an urgent request is refused at once instead of waiting.
	part.span.To = 0
	_, err = c.AdmitAsync(req, nil)
	var rate *RateLimitedError
	is.True(errors.As(err, &rate))
	is.Equal(rate.Limit, limitConcurrency)
}

// Guards against controllers that together admit more than the limits of an
// entry: requests in flight at any time, and tokens in any run of seconds.
func TestFleetLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newClock()
		limits := catalogue.Limits{
			Concurrency: rapid.IntRange(1, 20).Draw(r, "concurrency"), TokensPerSecond: 1000,
		}
		members := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(r, "members")]
		var nodes []*Controller
		for _, s := range Divide(members, demandMap{"a": rapid.Float64Range(0, 5).Draw(r, "a"), "b": 1}) {
			nodes = append(nodes, New(Config{Now: clock.Now, Quotas: fixedPart{s}}))
		}
		admitted, inFlight, start := int64(0), 0, clock.now
		const cost = 150
		for range 60 {
			c := rapid.SampledFrom(nodes).Draw(r, "node")
			req := request("e", "t", catalogue.ClassQueued, cost)
			req.Limits = limits
			note := func() { admitted += cost; inFlight++ }
			ticket, err := c.AdmitAsync(req, note)
			if err == nil && ticket.Admitted() {
				note()
			}
			if rapid.Bool().Draw(r, "done") && err == nil && ticket.Admitted() {
				inFlight--
				ticket.Done()
			}
			clock.advance(time.Duration(rapid.IntRange(0, 200).Draw(r, "ms")) * time.Millisecond)
			for _, c := range nodes {
				c.Advance()
			}
			if inFlight > limits.Concurrency {
				r.Fatalf("%d requests in flight, limit %d", inFlight, limits.Concurrency)
			}
			// Each node may save up one second and go into debt by one request.
			bound := limits.TokensPerSecond*(clock.now.Sub(start).Seconds()+burstSeconds) + float64(len(nodes))*cost
			if float64(admitted) > bound {
				r.Fatalf("%d tokens admitted, bound %f", admitted, bound)
			}
		}
	})
}
