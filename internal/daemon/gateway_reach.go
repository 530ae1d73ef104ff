package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/hop"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// hopSocketPart is the part of GatewayConfig.MaxSockets, as its inverse, for requests of other routers, and for requests to
// them.
const hopSocketPart = 8

// hopIdleTimeout exceeds the time for which another router keeps an idle connection.
const hopIdleTimeout = time.Minute

// hopHeaderBytes is more than a router adds to the headers of a request that it passes on.
const hopHeaderBytes = 1 << 10

// newReachMonitor returns a monitor that learns the results of all connection attempts to upstreams.
func (g *Gateway) newReachMonitor() *reach.Monitor {
	monitor := reach.New(reach.Config{
		Upstreams: g.upstreamAddresses, Services: g.upstreamServices, Check: g.checkUpstream, Notify: g.reachChanged, Choose: rand.IntN,
		Now: time.Now,
	})
	g.pool.OnConnect = func(t relay.Target, began time.Time, err error) { monitor.Connected(t.Service, t.Address, began, err) }
	return monitor
}

// newHops returns nil if the router does not communicate with others.
func (g *Gateway) newHops() *httpapi.Hops {
	if len(g.cfg.HopListen) == 0 || g.cfg.PeerKey == "" {
		return nil
	}
	peers := reach.NewPeers(reach.PeersConfig{List: g.hopPeers, Now: time.Now})
	g.hopPool.OnConnect = func(t relay.Target, _ time.Time, err error) {
		if err != nil {
			peers.Avoid(reach.Peer{Address: t.Address})
		}
	}
	return &httpapi.Hops{
		Peers: peers, Sender: g.hopPool, Key: hop.NewKey([]byte(g.cfg.PeerKey)), Region: g.cfg.Region,
		MaxConnections: g.cfg.MaxSockets / hopSocketPart,
	}
}

func (g *Gateway) upstreamAddresses(service string) (addresses []string) {
	current := g.Current()
	for u := range current.Upstreams {
		if u.Service == service && !u.Draining && !current.Evacuated(u.Zone) {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

// upstreamByInstance returns the upstream of a service with an instance ID, or nil.
func (g *Gateway) upstreamByInstance(service, instance string) *catalogue.Upstream {
	if instance == "" {
		return nil
	}
	for u := range g.Current().Upstreams {
		if u.Service == service && u.Instance == instance {
			return u
		}
	}
	return nil
}

// noteLeaving records that an upstream has said to another router that it leaves.
func (g *Gateway) noteLeaving(service, instance string) {
	if u := g.upstreamByInstance(service, instance); u != nil {
		g.routing.NoteLeaving(u.Name)
	}
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

// checkUpstream opens a connection. The pool reports the result to the monitor.
func (g *Gateway) checkUpstream(ctx context.Context, service, address string) error {
	return g.pool.Connect(ctx, relay.Target{Address: address, Service: service})
}

// endedApart returns the addresses of a service at which all listed processes are known not to have ended together with an
// upstream, see quarantine.Registry.EndedApart. A process is listed for some seconds after its end, while the next one may be
// listed already.
func (g *Gateway) endedApart(service, upstream string, at time.Time) map[string]struct{} {
	apart, addresses, others := g.crashes.EndedApart(upstream, at), make(map[string]struct{}), make(map[string]struct{})
	for u := range g.Current().Upstreams {
		if u.Service != service {
			continue
		}
		if _, ok := apart[u.Name]; ok {
			addresses[u.Address] = struct{}{}
		} else {
			others[u.Address] = struct{}{}
		}
	}
	maps.DeleteFunc(addresses, func(address string, _ struct{}) bool {
		_, ok := others[address]
		return ok
	})
	return addresses
}

func (g *Gateway) reachChanged(c reach.Change) {
	fields := logrus.Fields{"service": c.Service, "ms": c.For.Milliseconds(), "failed": c.Failed}
	if !c.Unreachable {
		obs.EventReachable.Log(g.logger, fields)
		return
	}
	if g.api.Forwarding.Hops != nil {
		g.pool.CloseIdle(g.upstreamAddresses(c.Service))
	}
	obs.EventUnreachable.Log(g.logger, fields)
}

// hopPeers returns the other live routers that accept requests.
func (g *Gateway) hopPeers() []reach.Peer {
	members := g.heartbeats.HopAddresses()
	peers := make([]reach.Peer, 0, len(members))
	for vm, r := range members {
		peers = append(peers, reach.Peer{VM: vm, Zone: r.Zone, Region: g.regionOf(r.Zone), Address: r.HopAddress, Unreachable: r.Unreachable})
	}
	return peers
}

// listenForHops opens the listener for requests of other routers at the first free address. Without one, the router still
// serves its callers.
func (g *Gateway) listenForHops() (gatewayServer, bool) {
	hops := g.api.Forwarding.Hops
	if hops == nil {
		return gatewayServer{}, false
	}
	var lastErr error
	limit := max(1, g.cfg.MaxSockets/hopSocketPart)
	for _, address := range g.cfg.HopListen {
		server, err := newGatewayServer(address, &http.Server{
			Handler: g.api.HopHandler(), ReadHeaderTimeout: gatewayHeaderTimeout, IdleTimeout: hopIdleTimeout,
			MaxHeaderBytes: gatewayMaxHeaderBytes + hopHeaderBytes, ConnContext: httpapi.WithCallerConn,
		}, &g.hopCallers, limit, limit)
		if err != nil {
			lastErr = err
			continue
		}
		hops.Address = server.limited.Addr().String()
		g.heartbeats.SetHopAddress(hops.Address)
		return server, true
	}
	obs.EventStartOrStopFailed.Log(g.logger, logrus.Fields{"error": lastErr.Error()})
	return gatewayServer{}, false
}
