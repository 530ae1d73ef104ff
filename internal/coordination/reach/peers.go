package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidPeer is how long a peer that could not be reached, or that reaches no upstream, gets no requests, and avoidBusy
	// how long one that had no room.
	avoidPeer = time.Second
	avoidBusy = 200 * time.Millisecond
	// avoidJitter spreads the ends of these times.
	avoidJitter = 500 * time.Millisecond
	// minPause and maxPause limit the time without any try after a request for which only peers were found that reach no
	// upstream either. It doubles until a peer has served a request.
	minPause = 200 * time.Millisecond
	maxPause = time.Second
)

// Peer is another router.
type Peer struct {
	VM, Zone, Region string
	// Address is where it accepts requests of other routers.
	Address string
	// Unreachable are the services of which the peer has said that it reaches no upstream. It may be out of date.
	Unreachable []string
}

// PeersConfig configures Peers.
type PeersConfig struct {
	// List returns the live routers that accept requests of others.
	List func() []Peer
	Now  func() time.Time
	// Rand is random; nil means the default source.
	Rand *rand.Rand
}

// Peers chooses the routers to which requests are passed on. It is safe for concurrent use.
type Peers struct {
	cfg PeersConfig

	mu sync.Mutex
	// avoid holds until when a peer gets no requests, and noPath until when it gets none for a service.
	avoid  map[string]time.Time
	noPath map[peerService]time.Time
	pauses map[string]pause
}

type peerService struct{ address, service string }

type pause struct {
	length time.Duration
	until  time.Time
}

// NewPeers returns Peers that avoids none.
func NewPeers(cfg PeersConfig) *Peers {
	return &Peers{cfg: cfg, avoid: make(map[string]time.Time), noPath: make(map[peerService]time.Time), pauses: make(map[string]pause)}
}

// Pick chooses a peer at random for a request for a service, of those that have not said that they reach no upstream of it if
// there are any. ok is false if no peer is known that may serve it now. tried
// are the addresses of the peers that have not served the request.
func (p *Peers) Pick(service string, tried []string) (peer Peer, ok bool) {
	return p.PickIn(service, tried, func(string) bool { return true })
}

// PickIn is Pick among the peers in regions that may see the request.
func (p *Peers) PickIn(service string, tried []string, mayEnter func(region string) bool) (peer Peer, ok bool) {
	peers := p.cfg.List()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if now.Before(p.pauses[service].until) {
		return Peer{}, false
	}
	peers = slices.DeleteFunc(peers, func(c Peer) bool {
		return !mayEnter(c.Region) || slices.Contains(tried, c.Address) || now.Before(p.avoid[c.Address]) || now.Before(p.noPath[peerService{c.Address, service}])
	})
	if len(peers) == 0 {
		return Peer{}, false
	}
	reaching := slices.DeleteFunc(slices.Clone(peers), func(c Peer) bool { return slices.Contains(c.Unreachable, service) })
	if len(reaching) > 0 {
		peers = reaching
	}
	return peers[p.intN(len(peers))], true
}

// Count returns the number of live routers that accept requests of others.
func (p *Peers) Count() int { return len(p.cfg.List()) }

func (p *Peers) intN(n int) int {
	if p.cfg.Rand != nil {
		return p.cfg.Rand.IntN(n)
	}
	return rand.IntN(n)
}

func (p *Peers) avoidUntil() time.Time {
	return p.cfg.Now().Add(avoidPeer + time.Duration(p.intN(int(avoidJitter))))
}

// Busy leaves a peer out for a short while, because it has no room.
func (p *Peers) Busy(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[peer.Address] = p.cfg.Now().Add(avoidBusy)
	p.prune()
}

// Avoid leaves a peer out for a while, because it could not be reached.
func (p *Peers) Avoid(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[peer.Address] = p.avoidUntil()
	p.prune()
}

// NoPath leaves a peer out for a service for a while, because it reaches no upstream of it either.
func (p *Peers) NoPath(peer Peer, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noPath[peerService{peer.Address, service}] = p.avoidUntil()
	p.prune()
}

// Pause records that all peers that were asked for one request reach no upstream of the service.
func (p *Peers) Pause(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := min(maxPause, max(minPause, 2*p.pauses[service].length))
	p.pauses[service] = pause{length, p.cfg.Now().Add(length)}
}

// Served records that a peer passed on the answer of an upstream of the service.
func (p *Peers) Served(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pauses, service)
}

// prune drops what has ended. The caller holds p.mu.
func (p *Peers) prune() {
	now := p.cfg.Now()
	for address, until := range p.avoid {
		if !now.Before(until) {
			delete(p.avoid, address)
		}
	}
	for key, until := range p.noPath {
		if !now.Before(until) {
			delete(p.noPath, key)
		}
	}
}
