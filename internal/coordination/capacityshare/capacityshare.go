// Package capacityshare divides the capacity of each service among the routers by their demand. Every router publishes its
// demand in its heartbeats, and every router computes the parts of all from the same records, so that the parts add up to
// the capacity without further messages. Package daemon's Gateway uses it.
//
// A demand is a number of concurrent requests: those in flight, those that wait, and those that would have been in flight
// had they not been refused. A pool is what package admission calls one: the upstreams of a service or model.
//
// All decisions use an injected clock and do no I/O.
package capacityshare

import (
	"math"
	"sync"
	"time"
)

const (
	// baseFraction of the capacity is divided equally, so that a router whose demand has just risen has a part before the
	// others know. The rest is divided by demand.
	baseFraction = 0.1
	// holdTime is the age up to which a demand counts in full, and driftTime the time in which it then approaches the mean of
	// all. Outages of the log shorter than holdTime leave the parts as they are.
	holdTime  = 10 * time.Second
	driftTime = 30 * time.Second
	// overcommit multiplies the parts: some of the requests in flight have just ended at the upstream or have not reached it.
	overcommit = 1.25
	// smallFleet is the number of routers up to which a part is not less than smallFleetFactor times the equal one and
	// smallFleetMin requests. Up to there, upstreams can queue what several routers send at once. From largeFleet routers on
	// the rule has no effect; in between it fades out.
	smallFleet       = 12
	largeFleet       = 24
	smallFleetFactor = 4
	smallFleetMin    = 24
)

// Member is a live router with its last heartbeat.
type Member struct {
	VM string
	// Demand is what Encode returned at that router; nil if it publishes none.
	Demand []byte
	// Age is the time since the heartbeat was first seen.
	Age time.Duration
}

// Free is the present load of a pool as this router sees it.
type Free struct {
	// Own is the number of this router's requests at the upstreams.
	Own int
	// Slots is the number of free slots of all upstreams according to recent load reports. It has no meaning if Known is
	// false.
	Slots int
	Known bool
}

// poolDemand is what is known of the demand for a pool.
type poolDemand struct {
	// fraction is this router's part of the capacity, from 0 to 1.
	fraction float64
	// others is the demand of the other routers, and activeOthers the number of routers that it comes from: the square of its
	// sum divided by the sum of the squares.
	others, activeOthers float64
	// fresh is true if no demand is older than holdTime.
	fresh bool
}

// Divider computes this router's part of each pool. It is safe for concurrent use.
type Divider struct {
	vm string

	mu      sync.Mutex
	routers int
	// fresh is true if there are demands and none is older than holdTime.
	fresh bool
	pools map[string]poolDemand
}

// New returns a Divider of the router with the given VM name. It divides equally until Update is called.
func New(vm string) *Divider { return &Divider{vm: vm, routers: 1} }

// Update applies the heartbeats of the live routers, and returns how many demands were malformed. Those count as missing. A
// router without a known demand counts with the mean of the others. routers is the number of live routers with this one, of
// which some may have no heartbeat in members.
func (d *Divider) Update(members []Member, routers int) (malformed int) {
	var known []memberDemand
	names := make(map[string]struct{})
	fresh := true
	for _, m := range members {
		if m.Demand == nil {
			continue
		}
		demand, err := Decode(m.Demand)
		if err != nil {
			malformed++
			continue
		}
		fresh = fresh && m.Age <= holdTime
		known = append(known, memberDemand{own: m.VM == d.vm, demand: demand, weight: weightAt(m.Age)})
		for name := range demand {
			names[name] = struct{}{}
		}
	}
	routers = max(1, routers, len(members))
	pools := make(map[string]poolDemand, len(names))
	for name := range names {
		pools[name] = divide(known, name, routers, fresh)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers, d.pools, d.fresh = routers, pools, fresh && len(known) > 0
	return malformed
}

// memberDemand is the demand of one router. Its weight falls from 1 to 0 with its age.
type memberDemand struct {
	own    bool
	demand Demand
	weight float64
}

func weightAt(age time.Duration) float64 {
	return min(1, max(0, 1-(age-holdTime).Seconds()/driftTime.Seconds()))
}

// divide returns this router's part of a pool.
func divide(known []memberDemand, pool string, routers int, fresh bool) poolDemand {
	sum := 0.0
	for _, m := range known {
		sum += m.demand[pool]
	}
	mean := sum / float64(len(known))
	// A router without a known demand counts with the mean, and so does the lost weight of an old demand.
	own, total := mean, mean*float64(routers-len(known))
	var others, otherSquares float64
	for _, m := range known {
		n := m.weight*m.demand[pool] + (1-m.weight)*mean
		total += n
		if m.own {
			own = n
			continue
		}
		others += n
		otherSquares += n * n
	}
	equal := 1 / float64(routers)
	p := poolDemand{fraction: equal, others: max(0, total-own), fresh: fresh}
	if total > 0 {
		p.fraction = baseFraction*equal + (1-baseFraction)*own/total
	}
	if otherSquares > 0 {
		// The routers without a known demand are as many as there are.
		p.activeOthers = others*others/otherSquares + float64(max(0, routers-1-len(known)))
	}
	return p
}

// Capacity returns how many requests of a pool this router may have in flight, at least 1, when the fleet may have total: its
// part or, while upstreams have free slots, more than that.
func (d *Divider) Capacity(pool string, total int, free Free) int {
	d.mu.Lock()
	routers := d.routers
	p, known := d.pools[pool]
	if !known {
		p = poolDemand{fraction: 1 / float64(routers), fresh: d.fresh}
	}
	d.mu.Unlock()
	part := math.Round(p.fraction * float64(total) * overcommit)
	n := max(1, int(part), p.burst(total, free), smallFleetPart(total, routers))
	return min(n, int(math.Ceil(float64(total)*overcommit)))
}

// burst returns how many requests this router may have in flight because slots are free: its own ones and its part of the
// free slots. Routers with demand have equal parts of them, or larger ones if their part of the capacity is larger. Without
// load reports, the demands tell what is free, unless they are old.
func (p poolDemand) burst(total int, free Free) int {
	slots := float64(free.Slots)
	if !free.Known {
		if !p.fresh {
			return 0
		}
		slots = float64(total) - p.others - float64(free.Own)
	}
	if slots <= 0 {
		return 0
	}
	return free.Own + int(math.Ceil(slots*max(p.fraction, 1/(1+p.activeOthers))))
}

// smallFleetPart returns the least part in a fleet of few routers, and 0 in a large fleet.
func smallFleetPart(total, routers int) int {
	weight := float64(largeFleet-routers) / (largeFleet - smallFleet)
	if weight <= 0 {
		return 0
	}
	part := min(total, max(smallFleetMin, total*smallFleetFactor/routers))
	return int(math.Ceil(min(1, weight) * overcommit * float64(part)))
}
