package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

const (
	// askAfter is the time without an answer of the log after which peers are
	// asked for newer records.
	askAfter = 1600 * time.Millisecond
	// askInterval is the time between two questions.
	askInterval = 300 * time.Millisecond
	// askPeerTimeout bounds one question.
	askPeerTimeout = 700 * time.Millisecond
	// askPeers is the number of peers asked at a time: one of them may be cut
	// off too.
	askPeers = 2
)

// streamsRequest asks a peer for the records that it has beyond an offset, by
// stream.
type streamsRequest struct {
	From map[string]uint64 `json:"from"`
}

// streamsResponse holds the records, and how long ago the log answered the peer.
type streamsResponse struct {
	Pages map[string]keyedlog.Page `json:"pages"`
	// AgeMillis is the age of the peer's configuration.
	AgeMillis int64 `json:"age"`
}

// methodStreams is the method of the question.
const methodStreams = "streams.since"

// gatewayPeers exchanges records with the other routers while the log turns this
// one away.
type gatewayPeers struct {
	gateway  *Gateway
	replicas map[string]*replica.Replica
	pool     *peer.Pool
	server   *peer.Server

	mu    sync.Mutex
	seeds []string
	// heard is the latest time of which a peer's configuration is.
	heard time.Time
}

func newGatewayPeers(g *Gateway, incarnation string) (*gatewayPeers, error) {
	p := &gatewayPeers{gateway: g, seeds: g.cfg.Seeds, replicas: map[string]*replica.Replica{
		g.deps.ConfigStream.Name: g.config, g.deps.UpstreamStream.Name: g.upstreams, beatStream.Name: g.beats.Replica(),
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
	p.server.Handle(methodStreams, p.answer)
	return p, nil
}

func (p *gatewayPeers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// run serves the peers and asks them while the log is away.
func (p *gatewayPeers) run(ctx context.Context) {
	if p.server == nil {
		return
	}
	listener, err := listenTCP(p.gateway.cfg.PeerListen)
	if err != nil {
		obs.EventStartFailed.Log(p.gateway.logger, logrus.Fields{"error": err.Error()})
		return
	}
	go func() { _ = p.server.Serve(ctx, listener) }()
	every(ctx, askInterval, func() {
		if p.gateway.config.Staleness(p.gateway.started) > askAfter+configWait || p.gateway.upstreams.Staleness(p.gateway.started) > askAfter {
			p.ask(ctx)
		}
	})
}

// ask takes over newer records of a few peers.
func (p *gatewayPeers) ask(ctx context.Context) {
	request := streamsRequest{From: make(map[string]uint64, len(p.replicas))}
	for name, r := range p.replicas {
		request.From[name] = r.Next()
	}
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range p.choose(askPeers) {
		asked.Add(1)
		go func() {
			defer asked.Done()
			p.askOne(ctx, address, request)
		}()
	}
	asked.Wait()
}

func (p *gatewayPeers) askOne(ctx context.Context, address string, request streamsRequest) {
	var response streamsResponse
	if err := p.pool.Call(ctx, address, methodStreams, request, &response); err != nil {
		return // counted by the pool; the next question goes to another peer
	}
	age := time.Duration(response.AgeMillis) * time.Millisecond
	p.mu.Lock()
	if at := time.Now().Add(-age); at.After(p.heard) {
		p.heard = at
	}
	p.mu.Unlock()
	for name, page := range response.Pages {
		if r := p.replicas[name]; r != nil {
			r.Merge(page)
		}
	}
}

// choose returns a few peers: those that the log has named, else the seeds.
func (p *gatewayPeers) choose(most int) []string {
	candidates := slices.Collect(maps.Values(p.gateway.beats.Addresses()))
	if len(candidates) < most {
		p.mu.Lock()
		for _, seed := range p.seeds {
			if seed != p.gateway.cfg.PeerListen {
				candidates = append(candidates, seed)
			}
		}
		p.mu.Unlock()
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(most, len(candidates))]
}

// answer implements methodStreams.
func (p *gatewayPeers) answer(_ context.Context, _ peerapi.Identity, params json.RawMessage) (any, error) {
	var request streamsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "parameters")
	}
	response := streamsResponse{
		Pages: make(map[string]keyedlog.Page), AgeMillis: p.gateway.config.Staleness(p.gateway.started).Milliseconds(),
	}
	for name, from := range request.From {
		if r := p.replicas[name]; r != nil {
			response.Pages[name] = r.Since(from)
		}
	}
	return response, nil
}

// configAge is the age of the newest configuration that a peer has told.
func (p *gatewayPeers) configAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard.IsZero() {
		return time.Since(p.gateway.started)
	}
	return time.Since(p.heard)
}
