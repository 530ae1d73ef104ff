// Package routing chooses the upstream of each attempt, limits retries, and isolates requests that crash
// upstreams. The daemon and the HTTP API use it to forward requests; package standin, which imitates
// upstreams and the platform's log, uses it to simulate load. It uses an injected clock and does no I/O. The
// type Router is the chooser of one process; a router in the comments is a router process of the fleet.
package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// RoleBoth is the role of an engine that runs both prefill and decoding.
const RoleBoth = "both"

// Request describes the upstream that an attempt needs.
type Request struct {
	// One of Model and Service is set.
	Model   string
	Service string
	// Adapter, Version and Role restrict the choice to matching engines when set.
	Adapter string
	Version string
	Role    string
	// PrefixHashes are the hashes of the prompt's blocks. Each covers the prompt from its beginning to the
	// end of the block.
	PrefixHashes []uint64
	// SharedBlocks is the number of leading hashes that other requests have in common. The upstream that all
	// routers prefer for them is expected to hold these blocks.
	SharedBlocks int
	// Regions restricts the choice to upstreams of regions.
	Regions catalogue.RegionLists
	// SoftwareVersion restricts the choice to upstreams with that software, unless it is nil.
	SoftwareVersion *string
	Class           catalogue.Class
	// Exclude names upstreams that have been tried already.
	Exclude     []string
	Fingerprint Fingerprint
}

// NoUpstreamError reports that no upstream can take the request at present. Nothing was sent.
type NoUpstreamError struct {
	Target     string
	RetryAfter time.Duration
	// Suspect is true when the request is a suspect and an upstream was left out only because it already runs
	// one.
	Suspect bool
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream can take a request for %s now", e.Target)
}

// QuarantinedError reports a request that is refused because it has crashed upstreams repeatedly.
type QuarantinedError struct{ Fingerprint Fingerprint }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s has crashed upstreams and is quarantined", e.Fingerprint)
}

// Weights are the cost weights of the choice, in seconds of expected time to first token unless stated
// otherwise. The default values suit engines that take 2 ms for a prompt block of 16 tokens.
type Weights struct {
	// Block is the time to compute one prompt block.
	Block float64
	// FullBatch is the additional time in a full batch compared with an empty one.
	FullBatch float64
	// Queued is the cost of a load that is 1 above busyLoad.
	Queued float64
	// Zone and Region are the costs of another availability zone or region.
	Zone   float64
	Region float64
	// Suspect is the cost of an upstream that runs a suspect. It keeps other requests away.
	Suspect float64
	// Failures is the cost of an upstream that fails every request.
	Failures float64
	// ServiceZone is the cost of another availability zone for a plain service, which is an upstream that
	// runs no model, in multiples of the load of a full upstream.
	ServiceZone float64
	// ServiceFailures is Failures for a plain service, in multiples of the load of a full upstream.
	ServiceFailures float64
}

// DefaultWeights returns the default of Config.Weights.
func DefaultWeights() Weights {
	return Weights{Block: 0.002, FullBatch: 0.1, Queued: 5, Zone: 0.002, Region: 0.05, Suspect: 0.5,
		Failures: 2, ServiceZone: 1, ServiceFailures: 4}
}

// busyLoad is the fraction of an engine's concurrency above which its load outweighs a cached prefix. It is
// below 1 because the estimate may be off by one or two requests, and a request has to wait at a full engine.
const busyLoad = 0.9

// noUpstreamRetryAfter is the retry time when no upstream can take a request. An ejection or a restart takes
// a few seconds.
const noUpstreamRetryAfter = 2 * time.Second

// Config holds the settings of a Router.
type Config struct {
	// Now returns the present time; nil means time.Now.
	Now    func() time.Time
	Zone   string
	Region string
	// Routers returns the number of live routers; nil means one.
	Routers func() int
	// Position returns this router's place among those that share request limits; nil means the first of Routers.
	Position func() Position
	// Rand breaks ties; nil means a randomly seeded source.
	Rand *rand.Rand
	// CrashHistory may be shared with the code that exchanges observations with other routers; nil means a
	// new one.
	CrashHistory *CrashHistory
	// Weights are the cost weights; the zero value means DefaultWeights.
	Weights Weights
	// MaxPrefixBlocks limits the prompt blocks in the prefix index; 0 means the default.
	MaxPrefixBlocks int
	// SlowStart is the time until a new upstream counts with its full concurrency; 0 means the default.
	SlowStart time.Duration
	// Measure says for which services the choice uses measured times and speeds. Weights are then the start values of what is
	// measured.
	Measure MeasureMode
	// In any second a cold upstream gets at most its service's rate times ColdOvershoot, plus ColdSlack, of all routers
	// together. If both are 0, they are DefaultColdOvershoot and DefaultColdSlack.
	ColdOvershoot, ColdSlack float64
	// Notify is called with each change. It must not call the Router, whose lock is held.
	Notify func(Change)
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Routers == nil {
		c.Routers = func() int { return 1 }
	}
	if c.Position == nil {
		routers := c.Routers
		c.Position = func() Position { return Position{Routers: routers(), Known: true} }
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
		c.SlowStart = defaultSlowStart
	}
	if c.ColdOvershoot == 0 && c.ColdSlack == 0 {
		c.ColdOvershoot, c.ColdSlack = DefaultColdOvershoot, DefaultColdSlack
	}
	if c.MaxPrefixBlocks <= 0 {
		c.MaxPrefixBlocks = DefaultMaxPrefixBlocks
	}
	return c
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	cfg Config

	// mu guards the fields below. The crash history has a lock of its own, which may be taken while mu is
	// held.
	mu     sync.Mutex
	byName map[string]*upstreamState
	// limits holds the request limits by upstream. They outlive the upstream's removal from the configuration.
	limits map[string]*requestLimit
	// brittle holds what is known of brittle upstreams; they outlive it too. namedBrittle counts those that name a limit.
	brittle      map[string]*brittleness
	namedBrittle int
	// cold holds what is known of cold starts, and takenBack when the evacuation of a zone was taken back.
	cold      map[string]*coldness
	takenBack map[string]time.Time
	evacuated map[string]struct{}
	// notices holds what upstreams have said about themselves. They outlive the upstream's removal too.
	notices map[string]*notice
	// speeds holds the measured speeds by upstream, which outlive it too, and times the measured times by pool.
	speeds      map[string]*upstreamSpeed
	times       map[string]*serviceTimes
	pools       map[string]*pool
	prefix      *prefixIndex
	byCacheID   map[cacheID]*upstreamState
	lastCacheID cacheID
	// configured is true after the first Update.
	configured bool
	// cachedBlocks holds the number of prompt blocks expected per cache. Only pick and Pick use it; it is
	// kept to save allocations.
	cachedBlocks map[cacheID]int
}

// New returns a Router without upstreams.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg: cfg, byName: make(map[string]*upstreamState), limits: make(map[string]*requestLimit),
		brittle: make(map[string]*brittleness), cold: make(map[string]*coldness),
		takenBack: make(map[string]time.Time), notices: make(map[string]*notice), pools: make(map[string]*pool),
		prefix: newPrefixIndex(cfg.MaxPrefixBlocks), byCacheID: make(map[cacheID]*upstreamState),
		cachedBlocks: make(map[cacheID]int), speeds: make(map[string]*upstreamSpeed), times: make(map[string]*serviceTimes),
	}
}

// notify calls Config.Notify, if set. The caller holds r.mu.
func (r *Router) notify(c Change) {
	if r.cfg.Notify != nil {
		r.cfg.Notify(c)
	}
}

// servicePoolPrefix separates the pools of services from those of models.
const servicePoolPrefix = "service "

// Update applies the upstreams of an accepted configuration. Removed upstreams get no new requests. New ones
// get a slow start, except in the first configuration.
func (r *Router) Update(snapshot *catalogue.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.pruneLimits(now)
	r.pruneNotices(now)
	r.pruneBrittle(now)
	r.pruneTimes(now)
	r.pruneCold(now)
	r.noteEvacuations(snapshot, now)
	for _, s := range r.byName {
		s.inConfig = false
	}
	r.pools = make(map[string]*pool)
	for u := range snapshot.Upstreams {
		s := r.byName[u.Name]
		if s == nil {
			s = &upstreamState{
				attempts: make(map[*Attempt]struct{}), nameHash: xxhash.Sum64String(u.Name), limit: r.limitOf(u.Name),
				notice: r.noticeOf(u.Name), brittle: r.brittleOf(u.Name), cold: r.coldOf(u.Name),
			}
			r.byName[u.Name] = s
			r.assignCacheID(s)
			if r.configured {
				s.slowStartAt = now
			}
		}
		s.upstream, s.inConfig, s.evacuated = u, true, snapshot.Evacuated(u.Zone)
		s.cold.takenBackAt = r.takenBack[u.Zone]
		s.speed, s.times = r.speedOf(u.Name, now), r.timesOf(s, now)
		s.times.upstreams++
		s.slowStart = r.cfg.SlowStart
		if u.Draining && !s.listedDraining {
			r.notify(Change{Kind: ChangeDraining, Upstream: u.Name})
		}
		s.listedDraining = s.listedDraining || u.Draining
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
		if !s.inConfig && s.outstanding == 0 {
			delete(r.byName, name)
			delete(r.byCacheID, s.cacheID)
		}
	}
	r.configured = true
	r.endExcessEjections()
}

// assignCacheID gives an upstream a new cacheID, which invalidates its entries in the prefix index.
func (r *Router) assignCacheID(s *upstreamState) {
	delete(r.byCacheID, s.cacheID)
	r.lastCacheID++
	s.cacheID = r.lastCacheID
	r.byCacheID[s.cacheID] = s
	s.cacheSeq = 0
}

func (r *Router) poolsOf(s *upstreamState) []*pool {
	if s.upstream.Kind == catalogue.KindService {
		return []*pool{r.pool(servicePoolPrefix + s.upstream.Service)}
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

// Capacity returns the number of requests for a model or service that the whole fleet may run at once. A limited upstream
// counts with the requests that it accepts in a second. If those that are left are slower than usual, they count as fewer:
// requests occupy their slots longer. Faster ones have no more slots for that.
func (r *Router) Capacity(model, service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	total, atSpeed := 0.0, 0.0
	for _, s := range r.upstreamsFor(&Request{Model: model, Service: service}) {
		if s.draining(now) || s.evacuated || s.ejected(now) || s.notice.pauseLeft(now) > 0 {
			continue
		}
		n := s.concurrency(now)
		if l := r.limitOn(s, now); l != nil {
			n = min(n, l.perSecond)
		}
		total += n
		atSpeed += n / s.speed.lastingSlowness(s.times, now)
	}
	if atSpeed < slowCapacity*total {
		total = atSpeed
	}
	return int(math.Ceil(total))
}

// upstreamsFor returns all upstreams of the model or service of a request, including draining and ejected
// ones and engines that do not match the rest of the request.
func (r *Router) upstreamsFor(req *Request) []*upstreamState {
	name := req.Model
	if req.Service != "" {
		name = servicePoolPrefix + req.Service
	}
	if p := r.pools[name]; p != nil {
		return p.states
	}
	return nil
}

// Pick chooses the upstream of one attempt. The caller must end the attempt with Done. Pick fails with a
// NoUpstreamError or a QuarantinedError.
func (r *Router) Pick(req Request) (*Attempt, error) {
	hasFingerprint := req.Fingerprint != Fingerprint{}
	var status crashStatus
	if hasFingerprint {
		status = r.cfg.CrashHistory.status(req.Fingerprint)
		if status.soleSuspectCrashes >= crashesToQuarantine {
			obs.RequestsQuarantinedTotal.Add(1)
			return nil, &QuarantinedError{Fingerprint: req.Fingerprint}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	position := r.cfg.Position()
	s, none := r.pick(&req, status.suspect, position, now)
	if s == nil {
		none.Target = req.Model + req.Service
		return nil, none
	}
	r.usePermit(s, position, now)
	a := &Attempt{router: r, state: s, upstream: s.upstream, fingerprint: req.Fingerprint,
		suspect: status.suspect, crashEpoch: s.crashEpoch, prefixHashes: req.PrefixHashes, predictedBlocks: r.cachedBlocks[s.cacheID],
		priority: priorityOf(req.Class)}
	if hasFingerprint {
		a.knownCrashes = r.cfg.CrashHistory.knownCrashes()
	}
	a.uncachedBlocks = max(0, len(req.PrefixHashes)-a.predictedBlocks)
	r.beginAttempt(a, now)
	return a, nil
}

// pick returns the upstream with the lowest score and leaves the number of blocks expected per cache in
// r.cachedBlocks. If there is no upstream, it returns the reason, without its target.
func (r *Router) pick(req *Request, suspect bool, position Position, now time.Time) (best *upstreamState, none *NoUpstreamError) {
	none = &NoUpstreamError{RetryAfter: noUpstreamRetryAfter}
	all := r.upstreamsFor(req)
	if len(all) == 0 {
		return nil, none
	}
	clear(r.cachedBlocks)
	r.prefix.match(req.PrefixHashes, func(id cacheID, blocks int) {
		r.cachedBlocks[id] = max(r.cachedBlocks[id], blocks)
	})
	if preferred := r.preferredUpstream(req, all, now); preferred != nil {
		r.cachedBlocks[preferred.cacheID] = max(r.cachedBlocks[preferred.cacheID], req.SharedBlocks)
	}
	routers, brittle := max(1, r.cfg.Routers()), r.shareBrittle(all, position, now)
	lowest := 0.0
	pauseLeft, allPaused := time.Duration(math.MaxInt64), true
	// The scan starts at random, so that upstreams with equal scores get equal numbers of requests.
	offset := r.cfg.Rand.IntN(len(all))
	for i := range all {
		s := all[(i+offset)%len(all)]
		if s.draining(now) || s.barred(req) || !s.serves(req) {
			continue
		}
		if left := s.notice.pauseLeft(now); left > 0 {
			pauseLeft = min(pauseLeft, left)
			continue
		}
		allPaused = false
		if s.ejected(now) || slices.Contains(req.Exclude, s.upstream.Name) {
			continue
		}
		if suspect && s.suspects > 0 {
			none.Suspect = true
			continue
		}
		if wait := r.permitWait(s, position, now); wait > 0 {
			none.RetryAfter = min(none.RetryAfter, max(wait, minLimitRetryAfter))
			continue
		}
		if brittle {
			if wait := r.brittleWait(s, req, position, now); wait > 0 {
				none.RetryAfter = min(none.RetryAfter, max(wait, minLimitRetryAfter))
				continue
			}
		}
		if s.limit.active() && now.Sub(s.limit.observedAt) > limitProbeAfter {
			return s, nil
		}
		score := r.score(s, req, now, routers)
		if best == nil || score < lowest {
			best, lowest = s, score
		}
	}
	switch {
	case pauseLeft == math.MaxInt64:
	case allPaused:
		none.RetryAfter = max(pauseLeft, minLimitRetryAfter)
	default:
		none.RetryAfter = min(none.RetryAfter, max(pauseLeft, minLimitRetryAfter))
	}
	return best, none
}

// score estimates the time to first token at an upstream, in seconds. Plain services have no prefixes: their
// score is the load, plus the costs of failures and of another availability zone in multiples of the load of
// a full upstream.
func (r *Router) score(s *upstreamState, req *Request, now time.Time, routers int) float64 {
	if s.times.inUse {
		return r.expectedTime(s, req, now, routers)
	}
	w := &r.cfg.Weights
	load := s.load(now, routers) / s.concurrency(now)
	otherRegion := s.upstream.Region != r.cfg.Region
	if req.Service != "" {
		score := load + w.ServiceFailures*s.failureRate(now)
		if otherRegion || s.upstream.Zone != r.cfg.Zone {
			score += w.ServiceZone
		}
		return score
	}
	score := w.FullBatch*min(load, 1) + w.Queued*max(0, load-busyLoad) + w.Failures*s.failureRate(now)
	score += w.Block * s.pendingBlocks
	if len(req.PrefixHashes) > 0 {
		blocks := len(req.PrefixHashes) - r.cachedBlocks[s.cacheID]
		score += float64(blocks) * w.Block * (1 + min(load, 1))
	}
	switch {
	case otherRegion:
		score += w.Region
	case s.upstream.Zone != r.cfg.Zone:
		score += w.Zone
	}
	if s.suspects > 0 {
		score += w.Suspect
	}
	return score
}
