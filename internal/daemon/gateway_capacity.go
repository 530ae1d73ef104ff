package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/capacityshare"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

const (
	// demandSampleInterval is the time between two measurements of this router's demand, and demandReadInterval that between
	// two readings of the demands of all. It is shorter than the time between two heartbeats.
	demandSampleInterval = 100 * time.Millisecond
	demandReadInterval   = 500 * time.Millisecond
	// capacityTTL is how long a computed capacity is used. It saves a pass over all upstreams for each request.
	capacityTTL = 10 * time.Millisecond
)

// capacity returns how many concurrent requests of an admission pool this router may have.
func (g *Gateway) capacity(pool string) int {
	return g.capacities.get(pool, time.Now(), func() (n int, mayCache bool) {
		model, service := httpapi.ParsePoolName(pool)
		total := g.routing.Capacity(model, service)
		if own, brittle := g.routing.OwnCapacity(model, service); brittle {
			return int(math.Ceil(float64(min(total, own)) * admission.DefaultBurstFactor)), false
		}
		own, free, known := g.routing.FreeSlots(model, service)
		return g.divider.Capacity(pool, total, capacityshare.Free{Own: own, Slots: free, Known: known}), true
	})
}

// busy reports whether new connections should go to other routers.
func (g *Gateway) busy() bool { return g.shedder.Busy() || g.link.Busy() || g.inbound.Busy() }

// capacityCache keeps computed capacities for capacityTTL.
type capacityCache struct {
	mu    sync.Mutex
	pools map[string]cachedCapacity
}

type cachedCapacity struct {
	n  int
	at time.Time
}

func (c *capacityCache) get(pool string, now time.Time, compute func() (n int, mayCache bool)) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.pools[pool]; ok && now.Sub(cached.at) < capacityTTL {
		return cached.n
	}
	n, mayCache := compute()
	if mayCache {
		if c.pools == nil {
			c.pools = make(map[string]cachedCapacity)
		}
		c.pools[pool] = cachedCapacity{n, now}
	}
	return n
}

// shareCapacity measures this router's demand and reads those of the others until the context ends.
func (g *Gateway) shareCapacity(ctx context.Context) {
	last, lastRead := time.Now(), time.Time{}
	every(ctx, demandSampleInterval, func() {
		now := time.Now()
		g.demand.Sample(g.admission.Demand(now.Sub(last)), now.Sub(last))
		last = now
		if now.Sub(lastRead) < demandReadInterval {
			return
		}
		lastRead = now
		heartbeats := g.heartbeats.Demands()
		members := make([]capacityshare.Member, len(heartbeats))
		for i, h := range heartbeats {
			members[i] = capacityshare.Member(h)
		}
		obs.DemandsMalformedTotal.Add(int64(g.divider.Update(members, g.heartbeats.Routers())))
	})
}
