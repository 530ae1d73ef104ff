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

// fleet models routers that have read a log to different positions.
type fleet struct {
	log         []any
	routers     map[string]*ReplicatedQuotas
	readOffsets map[string]int
	joined      int
}

func (f *fleet) members() []string { return slices.Sorted(maps.Keys(f.routers)) }

func (f *fleet) join() {
	name := fmt.Sprintf("vm/%02d", f.joined)
	f.joined++
	f.routers[name] = NewReplicatedQuotas(name)
}

func (f *fleet) readTo(name string, end int) {
	for ; f.readOffsets[name] < end; f.readOffsets[name]++ {
		switch m := f.log[f.readOffsets[name]].(type) {
		case Allocation:
			f.routers[name].ApplyAllocation(uint64(f.readOffsets[name]+1), m)
		case Confirmation:
			f.routers[name].ApplyConfirmation(m)
		}
	}
}

// confirm appends a confirmation by the coordinator, if all members have acknowledged.
func (f *fleet) confirm(coordinator string, s Scope) {
	number, members := f.routers[coordinator].Pending(s)
	for _, m := range members {
		if f.routers[m] != nil && f.readOffsets[m] < int(number) {
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
			for _, n := range f.routers {
				sum += n.Count(s, limit)
				fraction += n.Fraction(s)
			}
			if sum > limit || fraction > 1+1e-9 {
				r.Fatalf("the quotas of %v add up to %d of %d and to a fraction of %f", s, sum, limit, fraction)
			}
		}
	}
}

// Guards against quotas that add up to more than the fleet-wide limit while routers are at different
// positions in the log, join and stop, and several routers append confirmations.
func TestQuotasNeverExceedTheLimit(t *testing.T) {
	scopes := []Scope{{}, {Kind: ScopeEntry, Name: "hot"}}
	rapid.Check(t, func(r *rapid.T) {
		f := &fleet{routers: make(map[string]*ReplicatedQuotas), readOffsets: make(map[string]int)}
		for range rapid.IntRange(2, 4).Draw(r, "nodes") {
			f.join()
		}
		for range 200 {
			router := rapid.SampledFrom(f.members()).Draw(r, "node")
			s := rapid.SampledFrom(scopes).Draw(r, "scope")
			switch n := rapid.IntRange(0, 49).Draw(r, "action"); {
			case n == 0:
				f.join()
			case n == 1 && len(f.routers) > 1:
				delete(f.routers, router)
			case n < 15:
				demand := make(demandMap)
				for _, m := range f.members() {
					demand[m] = float64(rapid.SampledFrom([]int{0, 1, 10}).Draw(r, "demand"))
				}
				members := f.members()[rapid.IntRange(0, 1).Draw(r, "exclude half")*(len(f.routers)/2):]
				if m, ok := f.routers[router].Propose(s, members, demand); ok {
					f.log = append(f.log, m)
				}
			case n < 25:
				f.confirm(router, s)
			case n < 40:
				f.readTo(router, len(f.log))
			default:
				f.readTo(router, rapid.IntRange(f.readOffsets[router], len(f.log)).Draw(r, "place"))
			}
			f.check(r, scopes)
		}
	})
}

// Guards against quotas that stay within the limit only because they never change: they follow demand, also
// for a scope with allocations of its own.
func TestQuotasFollowDemand(t *testing.T) {
	is := is.New(t)
	f := &fleet{routers: make(map[string]*ReplicatedQuotas), readOffsets: make(map[string]int)}
	f.join()
	f.join()
	reallocate := func(s Scope, demand demandMap) {
		m, ok := f.routers["vm/00"].Propose(s, f.members(), demand)
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
	is.Equal(f.routers["vm/00"].Count(hot, 100), 0) // a new process has no quota
	reallocate(Scope{}, nil)
	is.Equal(f.routers["vm/00"].Count(hot, 100), 50)
	reallocate(hot, demandMap{"vm/00": 9, "vm/01": 1})
	reallocate(Scope{}, demandMap{"vm/00": 1, "vm/01": 1})
	is.Equal(f.routers["vm/00"].Count(hot, 100), 79) // 25/2 + 75*0.9, rounded down
	is.Equal(f.routers["vm/01"].Count(hot, 100), 20)
	is.Equal(f.routers["vm/01"].Fraction(Scope{}), 0.5)

	m, _ := f.routers["vm/00"].Propose(Scope{}, []string{"vm/00"}, demandMap{})
	f.log = append(f.log, m)
	f.readTo("vm/00", len(f.log))
	_, members := f.routers["vm/00"].Pending(Scope{})
	is.Equal(members, []string{"vm/00", "vm/01"}) // the excluded member still uses its quota
}

// fixedQuota gives a router the quota of one span.
type fixedQuota struct{ span Span }

func (f fixedQuota) Fraction(Scope) float64       { return f.span.fraction() }
func (f fixedQuota) Count(_ Scope, limit int) int { return f.span.count(limit) }

// Guards against a router that acknowledges a smaller quota while its requests in flight still exceed it.
func TestWithinQuota(t *testing.T) {
	is := is.New(t)
	quota := &fixedQuota{Span{From: 0, To: totalUnits}}
	c := New(Config{Now: newClock().Now, Quotas: quota})
	req := request("e", "t", catalogue.ClassInteractive, 1)
	req.Limits = catalogue.Limits{Concurrency: 2}
	first, err := c.AdmitAsync(req, nil)
	is.NoErr(err)
	_, err = c.AdmitAsync(req, nil)
	is.NoErr(err)
	quota.span.To = totalUnits / 2
	e := Scope{Kind: ScopeEntry, Name: "e"}
	is.True(!c.WithinQuota(e))
	is.True(!c.WithinQuota(Scope{}))
	is.True(c.WithinQuota(Scope{Kind: ScopeEntry, Name: "other"}))
	first.Done()
	is.True(c.WithinQuota(e))

	// Without a quota, an interactive request is refused at once instead of waiting.
	quota.span.To = 0
	_, err = c.AdmitAsync(req, nil)
	var rate *RateLimitedError
	is.True(errors.As(err, &rate))
	is.Equal(rate.Limit, limitConcurrency)
}

// Guards against controllers that together admit more than the limits of an entry: the requests in flight at
// any time, and the tokens since the start.
func TestFleetLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newClock()
		limits := catalogue.Limits{
			Concurrency: rapid.IntRange(1, 20).Draw(r, "concurrency"), TokensPerSecond: 1000,
		}
		members := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(r, "members")]
		var controllers []*Controller
		for _, s := range Divide(members, demandMap{"a": rapid.Float64Range(0, 5).Draw(r, "a"), "b": 1}) {
			controllers = append(controllers, New(Config{Now: clock.Now, Quotas: fixedQuota{s}}))
		}
		admitted, inFlight, start := int64(0), 0, clock.now
		const cost = 150
		for range 60 {
			c := rapid.SampledFrom(controllers).Draw(r, "node")
			req := request("e", "t", catalogue.ClassQueued, cost)
			req.Limits = limits
			recordAdmission := func() { admitted += cost; inFlight++ }
			ticket, err := c.AdmitAsync(req, recordAdmission)
			if err == nil && ticket.Admitted() {
				recordAdmission()
			}
			if rapid.Bool().Draw(r, "done") && err == nil && ticket.Admitted() {
				inFlight--
				ticket.Done()
			}
			clock.advance(time.Duration(rapid.IntRange(0, 200).Draw(r, "ms")) * time.Millisecond)
			for _, c := range controllers {
				c.Advance()
			}
			if inFlight > limits.Concurrency {
				r.Fatalf("%d requests in flight, limit %d", inFlight, limits.Concurrency)
			}
			// The buckets hold bucketSeconds of the rate, and each router may exceed its bucket by one
			// request.
			bound := limits.TokensPerSecond*(clock.now.Sub(start).Seconds()+bucketSeconds) + float64(len(controllers))*cost
			if float64(admitted) > bound {
				r.Fatalf("%d tokens admitted, bound %f", admitted, bound)
			}
		}
	})
}
