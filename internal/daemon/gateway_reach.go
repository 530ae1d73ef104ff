package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// newReachMonitor returns a monitor that learns the results of all connection attempts to upstreams.
func (g *Gateway) newReachMonitor() *reach.Monitor {
	monitor := reach.New(reach.Config{
		Upstreams: g.upstreamAddresses, Services: g.upstreamServices, Check: g.checkUpstream, Notify: g.reachChanged, Choose: rand.IntN,
		Now: time.Now,
	})
	g.pool.OnConnect = func(t relay.Target, began time.Time, err error) { monitor.Connected(t.Service, t.Address, began, err) }
	return monitor
}

func (g *Gateway) upstreamAddresses(service string) (addresses []string) {
	for u := range g.Current().Upstreams {
		if u.Service == service && !u.Draining {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

func (g *Gateway) upstreamServices() (names []string) {
	listed := make(map[string]struct{})
	for u := range g.Current().Upstreams {
		if _, ok := listed[u.Service]; !ok {
			listed[u.Service] = struct{}{}
			names = append(names, u.Service)
		}
	}
	return names
}

// checkUpstream opens a connection, which is kept for the next request. The pool reports the result to the monitor.
func (g *Gateway) checkUpstream(ctx context.Context, service, address string) {
	g.pool.RefusesConnections(ctx, relay.Target{Address: address, Service: service})
}

func (g *Gateway) reachChanged(c reach.Change) {
	fields := logrus.Fields{"service": c.Service, "ms": c.For.Milliseconds(), "failed": c.Failed}
	if !c.Unreachable {
		obs.EventReachable.Log(g.logger, fields)
		return
	}
	obs.EventUnreachable.Log(g.logger, fields)
}
