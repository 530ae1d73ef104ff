// Package routing chooses the upstream of each attempt, bounds retries, and
// isolates requests that crash upstreams. It uses an injected clock and does no
// I/O.
package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// RoleBoth is the role of an engine that computes prompts and generates.
const RoleBoth = "both"

// Request asks for an upstream.
type Request struct {
	// Model or Service names what the request needs.
	Model   string
	Service string
	// Adapter, Version and Role narrow the choice of engines when set.
	Adapter string
	Version string
	Role    string
	// PrefixHashes are the hashes of the prompt's blocks; each covers the
	// prompt from its beginning.
	PrefixHashes []uint64
	// SharedBlocks is the number of the first hashes that other requests have too. The
	// upstream that all routers choose for them is expected to hold them.
	SharedBlocks int
	Class        catalogue.Class
	// Exclude names upstreams that were tried already.
	Exclude     []string
	Fingerprint Fingerprint
}

// NoUpstreamError reports that no upstream can take the request now. Nothing
// was sent.
type NoUpstreamError struct {
	Target     string
	RetryAfter time.Duration
	// Suspect is true when the request waits because each upstream already
	// runs a suspect.
	Suspect bool
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream can take a request for %s now", e.Target)
}

// QuarantinedError reports a request that has crashed upstreams repeatedly.
type QuarantinedError struct{ Fingerprint Fingerprint }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s has crashed upstreams and is quarantined", e.Fingerprint)
}

// Weights of the choice, in seconds of expected time to first token. The values
// suit engines that take 2 ms for a prompt block of 16 tokens.
type Weights struct {
	// Block is the time to compute one prompt block.
	Block float64
	// FullBatch is what a full batch adds compared with an empty one.
	FullBatch float64
	// Queued is the cost of a load one above busyLoad.
	Queued float64
	// Zone and Region are the costs of leaving the availability zone or region.
	Zone   float64
	Region float64
	// Suspect keeps other requests away from an upstream that runs a suspect.
	Suspect float64
	// Failures is the cost of an upstream that fails every request.
	Failures float64
	// ServiceZone is the cost of leaving the availability zone for a plain
	// service, in loads of a full upstream.
	ServiceZone float64
	// ServiceFailures is Failures for a plain service, in loads of a full upstream.
	ServiceFailures float64
}

// DefaultWeights returns the weights used when none are set.
func DefaultWeights() Weights {
	return Weights{Block: 0.002, FullBatch: 0.1, Queued: 5, Zone: 0.002, Region: 0.05, Suspect: 0.5,
		Failures: 2, ServiceZone: 1, ServiceFailures: 4}
}

// busyLoad is the part of an engine's concurrency from which its load counts more
// than a cached prefix. It is below 1 because the estimate may be wrong by one
// or two requests, and a full engine makes a request wait.
const busyLoad = 0.9

// retryNoUpstream is the retry time when no upstream can take a request. An
// ejection or a restart takes a few seconds.
const retryNoUpstream = 2 * time.Second

// Config holds the settings of a Router.
type Config struct {
	Now    func() time.Time
	Zone   string
	Region string
	// Routers returns the number of live routers; nil means one.
	Routers func() int
	// Rand breaks ties; nil means a random source.
	Rand *rand.Rand
	// CrashHistory is shared by all that see crashes; nil means a new one.
	CrashHistory *CrashHistory
	Weights      Weights
	PrefixBlocks int
	// SlowStart is how long a new upstream takes to get its full part of the
	// work; 0 means the default.
	SlowStart time.Duration
	// Notify is called with each change that an operator may want to know of.
	// It must not call the router.
	Notify func(Change)
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Routers == nil {
		c.Routers = func() int { return 1 }
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.CrashHistory == nil {
		c.CrashHistory = NewCrashHistory(c.Now)
	}
	if c.Weights == (Weights{}) {
		c.Weights = DefaultWeights()
	}
	if c.SlowStart <= 0 {
		c.SlowStart = slowStart
	}
	if c.PrefixBlocks <= 0 {
		c.PrefixBlocks = DefaultPrefixBlocks
	}
	return c
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	cfg Config

	// mu guards the fields below. The evidence has its own lock, which is
	// taken inside this one.
	mu     sync.Mutex
	byName map[string]*upstreamState
	pools  map[string]*pool
	prefix *prefixIndex
	bySlot map[slot]*upstreamState
	last   slot
	loaded bool
	// hits is scratch space of pick: blocks held, by slot.
	hits map[slot]int
}

// New returns a router without upstreams.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg: cfg, byName: make(map[string]*upstreamState), pools: make(map[string]*pool),
		prefix: newPrefixIndex(cfg.PrefixBlocks), bySlot: make(map[slot]*upstreamState), hits: make(map[slot]int),
	}
}

func (r *Router) notify(c Change) {
	if r.cfg.Notify != nil {
		r.cfg.Notify(c)
	}
}

const servicePrefix = "service "

// Update takes over the upstreams of an accepted configuration. Upstreams that
// are gone get no new work; those that are new start slowly, except in the
// first configuration.
func (r *Router) Update(snapshot *catalogue.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, s := range r.byName {
		s.present = false
	}
	r.pools = make(map[string]*pool)
	for u := range snapshot.Upstreams {
		s := r.byName[u.Name]
		if s == nil {
			s = &upstreamState{attempts: make(map[*Attempt]struct{}), nameHash: xxhash.Sum64String(u.Name)}
			r.byName[u.Name] = s
			r.newSlot(s)
			if r.loaded {
				s.readySince = now
			}
		}
		s.upstream, s.present = u, true
		s.slowStart = r.cfg.SlowStart
		if u.Draining && !s.listLeaving {
			r.notify(Change{Kind: ChangeLeaving, Upstream: u.Name})
		}
		s.listLeaving = s.listLeaving || u.Draining
		for _, p := range r.poolsOf(s) {
			p.states = append(p.states, s)
		}
	}
	for _, p := range r.pools {
		// A fixed order makes the choice depend on the random source alone.
		slices.SortFunc(p.states, func(a, b *upstreamState) int {
			return strings.Compare(a.upstream.Name, b.upstream.Name)
		})
	}
	for name, s := range r.byName {
		if !s.present && s.outstanding == 0 {
			delete(r.byName, name)
			delete(r.bySlot, s.slot)
		}
	}
	r.loaded = true
	r.refill()
}

func (r *Router) newSlot(s *upstreamState) {
	delete(r.bySlot, s.slot)
	r.last++
	s.slot = r.last
	r.bySlot[s.slot] = s
	s.cacheSeq = 0
}

// poolsOf returns the pools of an upstream.
func (r *Router) poolsOf(s *upstreamState) []*pool {
	if s.upstream.Kind == catalogue.KindService {
		return []*pool{r.pool(servicePrefix + s.upstream.Service)}
	}
	pools := make([]*pool, 0, len(s.upstream.Models))
	for _, m := range s.upstream.Models {
		pools = append(pools, r.pool(m))
	}
	return pools
}

func (r *Router) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{}
		r.pools[name] = p
	}
	return p
}

// Capacity returns how many requests for a model or service may be in progress
// in the whole fleet.
func (r *Router) Capacity(model, service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	total := 0.0
	for _, s := range r.candidates(&Request{Model: model, Service: service}) {
		if !s.leaving(now) && !s.ejected(now) {
			total += s.concurrency(now)
		}
	}
	return int(total)
}

func (r *Router) candidates(req *Request) []*upstreamState {
	name := req.Model
	if req.Service != "" {
		name = servicePrefix + req.Service
	}
	if p := r.pools[name]; p != nil {
		return p.states
	}
	return nil
}

// Pick chooses the upstream of one attempt. The caller ends the attempt with
// Done.
func (r *Router) Pick(req Request) (*Attempt, error) {
	tracked := req.Fingerprint != Fingerprint{}
	var v verdict
	if tracked {
		v = r.cfg.CrashHistory.verdict(req.Fingerprint)
		if v.blames >= blamesToQuarantine {
			obs.QuarantinedTotal.Add(1)
			return nil, &QuarantinedError{Fingerprint: req.Fingerprint}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	s, busy := r.pick(&req, v.suspect, now)
	if s == nil {
		target := req.Model + req.Service
		return nil, &NoUpstreamError{Target: target, RetryAfter: retryNoUpstream, Suspect: busy}
	}
	a := &Attempt{router: r, state: s, upstream: s.upstream, fingerprint: req.Fingerprint, suspect: v.suspect,
		epoch: s.epoch, hashes: req.PrefixHashes, predicted: r.hits[s.slot], priority: priorityOf(req.Class)}
	if tracked {
		a.known = r.cfg.CrashHistory.known()
	}
	a.computes = max(0, len(req.PrefixHashes)-a.predicted)
	r.begin(a, now)
	return a, nil
}

// pick returns the best upstream, and whether only the rule for suspects left
// none.
func (r *Router) pick(req *Request, suspect bool, now time.Time) (best *upstreamState, busy bool) {
	all := r.candidates(req)
	if len(all) == 0 {
		return nil, false
	}
	clear(r.hits)
	r.prefix.match(req.PrefixHashes, func(s slot, blocks int) {
		r.hits[s] = max(r.hits[s], blocks)
	})
	if home := r.home(req, all, now); home != nil {
		r.hits[home.slot] = max(r.hits[home.slot], req.SharedBlocks)
	}
	routers := max(1, r.cfg.Routers())
	lowest := 0.0
	// A random start spreads equal scores.
	offset := r.cfg.Rand.IntN(len(all))
	for i := range all {
		s := all[(i+offset)%len(all)]
		if s.leaving(now) || s.ejected(now) || !s.serves(req) || slices.Contains(req.Exclude, s.upstream.Name) {
			continue
		}
		if suspect && s.suspects > 0 {
			busy = true
			continue
		}
		score := r.score(s, req, now, routers)
		if best == nil || score < lowest {
			best, lowest = s, score
		}
	}
	return best, busy && best == nil
}

// score estimates the time to first token at an upstream, in seconds. Plain
// services have no prefixes: their score is the load, and another availability
// zone counts as a full upstream.
func (r *Router) score(s *upstreamState, req *Request, now time.Time, routers int) float64 {
	w := &r.cfg.Weights
	load := s.load(now, routers) / s.concurrency(now)
	far := s.upstream.Region != r.cfg.Region
	if req.Service != "" {
		score := load + w.ServiceFailures*s.failureShare(now)
		if far || s.upstream.Zone != r.cfg.Zone {
			score += w.ServiceZone
		}
		return score
	}
	score := w.FullBatch*min(load, 1) + w.Queued*max(0, load-busyLoad) + w.Failures*s.failureShare(now)
	score += w.Block * s.pendingBlocks
	if len(req.PrefixHashes) > 0 {
		blocks := len(req.PrefixHashes) - r.hits[s.slot]
		score += float64(blocks) * w.Block * (1 + min(load, 1))
	}
	switch {
	case far:
		score += w.Region
	case s.upstream.Zone != r.cfg.Zone:
		score += w.Zone
	}
	if s.suspects > 0 {
		score += w.Suspect
	}
	return score
}
