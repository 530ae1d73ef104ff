package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// methodReach is the peer method that asks a router whether it reaches an upstream.
const methodReach = "upstreams.reach"

const (
	// maxReachQueries limits the routers that are asked. Some of them may have lost the same path.
	maxReachQueries = 5
	// reachDialTimeout limits the connection attempt of a router that is asked.
	reachDialTimeout = 80 * time.Millisecond
	// reachQueryWait limits the wait for the responses, which delays the record of a crash.
	reachQueryWait = 100 * time.Millisecond
)

// reachRequest names an upstream. Its address may differ from router to router.
type reachRequest struct {
	Upstream string `json:"upstream"`
	// Service and Instance are those of the upstream, if it registers itself.
	Service  string `json:"service,omitempty"`
	Instance string `json:"instance,omitempty"`
}

type reachResponse struct {
	// Reached is true if the upstream has accepted a connection.
	Reached bool `json:"reached,omitempty"`
}

func (p *gatewayPeers) registerReachHandler(server *peer.Server) {
	registerHandler(server, methodReach, func(ctx context.Context, _ peerapi.Identity, r reachRequest) (any, error) {
		u := p.gateway.Current().Upstream(r.Upstream)
		if u == nil {
			u = p.gateway.upstreamByInstance(r.Service, r.Instance)
		}
		if u == nil {
			return reachResponse{}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, reachDialTimeout)
		defer cancel()
		return reachResponse{Reached: p.gateway.pool.Connect(ctx, relay.Target{Address: u.Address, Service: u.Service}) == nil}, nil
	})
}

// reachUpstream reports whether one of some other routers reaches an upstream.
func (p *gatewayPeers) reachUpstream(ctx context.Context, upstream string) bool {
	if p.pool == nil {
		return false
	}
	request := reachRequest{Upstream: upstream}
	if u := p.gateway.Current().Upstream(upstream); u != nil {
		request.Service, request.Instance = u.Service, u.Instance
	}
	addresses := p.randomPeers(maxReachQueries)
	responses := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			// A call that is given up too early costs the connection to the peer.
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerStallTimeout)
			defer cancel()
			var response reachResponse
			err := p.pool.Call(callCtx, address, methodReach, request, &response)
			responses <- err == nil && response.Reached // errors are counted by the pool
		}()
	}
	timeout := time.NewTimer(reachQueryWait)
	defer timeout.Stop()
	for range addresses {
		select {
		case reached := <-responses:
			if reached {
				return true
			}
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}
