package daemon

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

// gatewayPeers communicates with the other routers. While the log does not respond to this router, it fetches
// records from them. It implements prepaid.Peers.
type gatewayPeers struct {
	gateway  *Gateway
	replicas map[string]*replica.Replica
	pool     *peer.Pool
	server   *peer.Server
	// repayments are the repayments of loans that have not arrived yet.
	repayments repaymentQueue

	mu    sync.Mutex
	seeds []string
	// peerConfigCurrentAt is the latest time at which a configuration fetched from a peer was current, according
	// to the peer.
	peerConfigCurrentAt time.Time
	// failures counts the failed fetches since the last log line about them, which was written at failureLoggedAt.
	failures        int
	failureLoggedAt time.Time
}

func newGatewayPeers(g *Gateway, incarnation string) (*gatewayPeers, error) {
	p := &gatewayPeers{gateway: g, seeds: g.cfg.Seeds, replicas: map[string]*replica.Replica{
		g.deps.ConfigStream.Name: g.config, g.deps.UpstreamStream.Name: g.upstreams, heartbeatStream.Name: g.heartbeats.Replica(),
	}}
	if g.cfg.PeerListen == "" || g.cfg.PeerKey == "" {
		return p, nil
	}
	cfg := peer.Config{
		Self: peerapi.Identity{
			VM: g.cfg.VM, Incarnation: incarnation, Zone: g.cfg.Zone, Region: g.cfg.Region, Address: g.cfg.PeerListen,
		},
		Key: []byte(g.cfg.PeerKey), Logger: g.logger,
	}
	var err error
	if p.pool, err = peer.NewPool(cfg); err != nil {
		return nil, err
	}
	if p.server, err = peer.NewServer(cfg); err != nil {
		return nil, err
	}
	p.server.Handle(methodStreams, p.handleStreams)
	return p, nil
}

func (p *gatewayPeers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// randomPeers returns up to limit addresses of peers: those known from the log and, if these are too few, the
// seeds.
func (p *gatewayPeers) randomPeers(limit int) []string {
	candidates := slices.Collect(maps.Values(p.gateway.heartbeats.Addresses()))
	if len(candidates) < limit {
		p.mu.Lock()
		for _, seed := range p.seeds {
			if seed != p.gateway.cfg.PeerListen {
				candidates = append(candidates, seed)
			}
		}
		p.mu.Unlock()
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(limit, len(candidates))]
}

// noteConfigCurrentAt notes the time at which a configuration that a peer sent, and that is applied, was current.
func (p *gatewayPeers) noteConfigCurrentAt(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.peerConfigCurrentAt) {
		p.peerConfigCurrentAt = at
	}
}

// peerConfigStaleness is the time since peerConfigCurrentAt, or since the start if no configuration was fetched
// from a peer yet.
func (p *gatewayPeers) peerConfigStaleness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peerConfigCurrentAt.IsZero() {
		return time.Since(p.gateway.started)
	}
	return time.Since(p.peerConfigCurrentAt)
}
