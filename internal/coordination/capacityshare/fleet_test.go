package capacityshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/capacityshare"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	simSlots   = 30 // 5 upstreams of 6 slots
	simWork    = 60 * time.Millisecond
	simTarget  = 300 * time.Millisecond
	simLimit   = 3 * time.Second
	simMaxWait = 400 * time.Millisecond
	simTime    = 16 * time.Second
)

// simRequest is a request of the simulation. A refused one is sent once more, at retryAt.
type simRequest struct {
	arrivedAt, retryAt time.Time
	endsAt             time.Time
	router             *simRouter
	ticket             *admission.Ticket
}

type simRouter struct {
	admission *admission.Controller
	divider   *capacityshare.Divider
	meter     capacityshare.Meter
	published capacityshare.Member
	sentAt    time.Time
	own       int
	// free and reportedAt are those of the last response.
	free       int
	reportedAt time.Time
}

// simResult counts the requests after the warm-up: those served in the target, late and after their time limit, refusals of first and second attempts.
// longest is the longest queue at the upstreams.
type simResult struct{ offered, inTarget, late, lost, refused, twice, longest int }

// simBurst multiplies the arrivals in the three seconds from its start on; 0 stands for no burst.
type simBurst struct {
	factor float64
	from   time.Duration
}

// simulate runs routers before one service with a common queue for simTime. rates are the arrivals per second of each router.
// If previous is true, each router has the part that it had before demands were exchanged. From awayFrom on the store is
// away for 9 s.
func simulate(previous bool, rates []float64, warmUp, awayFrom time.Duration, burst simBurst) (res simResult) {
	// Arrivals are the same before and after.
	rng, arrivals := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(5, 6))
	start := time.Unix(1000, 0)
	now, routers := start, make([]*simRouter, len(rates))
	interval := max(500*time.Millisecond, time.Duration(len(rates))*20*time.Millisecond)
	var queue, returning []*simRequest
	var running []*simRequest
	for i := range routers {
		r := &simRouter{divider: capacityshare.New(fmt.Sprint(i))}
		cfg := admission.Config{Now: func() time.Time { return now }, BurstFactor: 1, MaxWait: map[catalogue.Class]time.Duration{catalogue.ClassService: simMaxWait}}
		cfg.Capacity = func(string) int {
			free := capacityshare.Free{Own: r.own, Slots: r.free, Known: now.Sub(r.reportedAt) <= 500*time.Millisecond}
			return r.divider.Capacity("s", simSlots, free)
		}
		if previous {
			cfg.BurstFactor = 1.25
			cfg.Capacity = func(string) int { return min(simSlots, max(24, simSlots*4/len(rates))) }
		}
		r.admission, routers[i] = admission.New(cfg), r
	}
	counted := 0
	send := func(req *simRequest) {
		r, sent := req.router, admission.Request{Team: "t", Class: catalogue.ClassService, Pool: "s"}
		if !previous {
			sent.TimeLeft, sent.Target = simLimit-now.Sub(req.arrivedAt), simTarget
		}
		admitted := func() {
			r.own++
			r.free--
			queue = append(queue, req)
		}
		ticket, err := r.admission.AdmitAsync(sent, admitted)
		req.ticket = ticket
		var overloaded *admission.OverloadedError
		switch {
		case err == nil && ticket.Admitted():
			admitted()
		case errors.As(err, &overloaded) && req.retryAt.IsZero():
			res.refused += counted
			req.retryAt = now.Add(min(overloaded.RetryAfter, simLimit/3))
			returning = append(returning, req)
		case err != nil:
			res.twice += counted
		}
	}
	for now = start; now.Sub(start) < simTime; now = now.Add(time.Millisecond) {
		ms := int(now.Sub(start).Milliseconds())
		if now.Sub(start) >= warmUp {
			counted = 1
		}
		away := awayFrom > 0 && now.Sub(start) >= awayFrom && now.Sub(start) < awayFrom+9*time.Second
		before := running
		running = nil
		for _, req := range before {
			if req.endsAt.After(now) {
				running = append(running, req)
				continue
			}
			req.router.own--
			req.router.free, req.router.reportedAt = max(0, simSlots-len(before)-len(queue)), now
			switch age := now.Sub(req.arrivedAt); {
			case age <= simTarget:
				res.inTarget += counted
			case age <= simLimit:
				res.late += counted
			default:
				res.lost += counted
			}
			req.ticket.Done()
		}
		for i, r := range routers {
			if ms%100 == i%100 {
				r.meter.Sample(r.admission.Demand(100*time.Millisecond), 100*time.Millisecond)
			}
			if !away && now.Sub(r.sentAt) >= interval {
				r.published = capacityshare.Member{VM: fmt.Sprint(i), Demand: capacityshare.Encode(r.meter.Demand())}
				r.sentAt = now.Add(-time.Duration(rng.IntN(100)) * time.Millisecond)
			}
			if ms%500 == i*6%500 {
				members := make([]capacityshare.Member, len(routers))
				for k, other := range routers {
					members[k] = other.published
					members[k].Age = now.Sub(other.sentAt)
				}
				r.divider.Update(members, len(routers))
			}
			r.admission.Advance()
			n := rates[i] / 1000
			if at := now.Sub(start); burst.factor > 0 && at >= burst.from && at < burst.from+3*time.Second {
				n *= burst.factor
			}
			for ; arrivals.Float64() < n; n-- {
				res.offered += counted
				send(&simRequest{arrivedAt: now, router: r})
			}
		}
		due := returning
		returning = nil
		for _, req := range due {
			if req.retryAt.After(now) {
				returning = append(returning, req)
				continue
			}
			req.router = routers[pick(rng, rates)]
			send(req)
		}
		for len(queue) > 0 && len(running) < simSlots {
			queue[0].endsAt = now.Add(time.Duration((0.5 + rng.Float64()) * float64(simWork)))
			running, queue = append(running, queue[0]), queue[1:]
		}
		res.longest = max(res.longest, len(queue)*counted)
	}
	return res
}

// pick returns the router that a caller reaches with a new connection.
func pick(rng *rand.Rand, rates []float64) int {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	n := rng.Float64() * sum
	for i, rate := range rates {
		if n -= rate; n < 0 {
			return i
		}
	}
	return len(rates) - 1
}

// unevenRates returns arrivals per second with the given sum, distributed like callers over a hash.
func unevenRates(routers int, sum float64) []float64 {
	rng := rand.New(rand.NewPCG(3, 4))
	rates, total := make([]float64, routers), 0.0
	for i := range rates {
		rates[i] = math.Exp(rng.NormFloat64())
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= sum / total
	}
	return rates
}

// Guards against routers that together send a small service far more than its slots, and against ones that leave slots free
// while callers are refused. The service has 5 upstreams of 6 slots and serves 500 requests per second.
func TestPartsFollowDemand(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute with the race detector")
	}
	one := make([]float64, 78)
	one[17] = 450
	tests := []struct {
		name             string
		rates            []float64
		warmUp, awayFrom time.Duration
		burst            simBurst
		// minInTarget is the least fraction of what the service can serve, or is asked for, that is served in the target.
		minInTarget float64
		// minServed is the least number of requests served within their time limit, as a fraction of those before. In a burst
		// it is below 1: before, the burst waited at the upstreams, and nearly all callers were served late.
		minServed float64
	}{
		{"78 routers, uneven hash, 1.3 times the capacity", unevenRates(78, 650), 4 * time.Second, 0, simBurst{}, 0.6, 0.97},
		{"78 routers, uneven hash, 0.6 times the capacity", unevenRates(78, 300), 4 * time.Second, 0, simBurst{}, 0.97, 0.97},
		{"78 routers, all callers at one, 0.9 times the capacity", one, 0, 0, simBurst{}, 0.95, 0.97},
		{"78 routers, store away for 9 s, 1.3 times the capacity", unevenRates(78, 650), 4 * time.Second, 6 * time.Second, simBurst{}, 0.6, 0.97},
		{"78 routers, uneven hash, 0.7 times the capacity and a burst of 2.3 times that", unevenRates(78, 350), 4 * time.Second, 0, simBurst{2.3, 6 * time.Second}, 0.6, 0.85},
		{"8 routers, uneven hash, 1.3 times the capacity", unevenRates(8, 650), 4 * time.Second, 0, simBurst{}, 0, 0.97},
		{"8 routers, uneven hash, 0.8 times the capacity", unevenRates(8, 400), 4 * time.Second, 0, simBurst{}, 0.97, 0.97},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before := simulate(true, tt.rates, tt.warmUp, tt.awayFrom, tt.burst)
			after := simulate(false, tt.rates, tt.warmUp, tt.awayFrom, tt.burst)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			possible := min(float64(after.offered), 500*(simTime-tt.warmUp).Seconds())
			is.True(float64(after.inTarget) >= tt.minInTarget*possible)
			is.True(float64(after.inTarget) >= 0.97*float64(before.inTarget))
			is.True(float64(after.inTarget+after.late) >= tt.minServed*float64(before.inTarget+before.late))
		})
	}
}
