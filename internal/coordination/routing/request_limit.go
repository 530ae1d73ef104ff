package routing

import (
	"cmp"
	"math"
	"time"
)

// Position is the place of this router among all routers that share the request limits of the upstreams. Routers with
// the same view of the fleet have the same number of routers and different indexes.
type Position struct {
	Index, Routers int
	// Known is false until the router has learned of the others. It then sends nothing to limited upstreams.
	Known bool
}

const (
	// permitValidity is how long a permit can be used, unless the permits of the whole fleet are further apart. Unused
	// permits expire, so that many routers cannot use saved ones at the same time.
	permitValidity = time.Second
	// limitProbeAfter is the age of a limit above which the next request with a permit goes to the upstream, because
	// only its response shows that the limit has ended.
	limitProbeAfter = 2 * time.Second
	// limitRetention is how long the limit of an upstream that is not in the configuration is kept. An upstream may
	// be missing for some seconds while it cannot renew its registration.
	limitRetention = time.Minute
	// minLimitRetryAfter is the least retry time when all upstreams are limited. Another router may have a permit.
	minLimitRetryAfter = 50 * time.Millisecond
)

// requestLimit is what this router knows of a request limit of an upstream, and the permits that it has used. The upstream
// names it itself, or has it because it is cold.
//
// Time is divided into slots, each as long as the limit allows for one request. The routers own the slots in turn, and
// each slot is a permit of its owner for one request. Together they thus keep to the limit without messages, and with
// different clocks or views of the fleet each router still uses only its part.
type requestLimit struct {
	// perSecond is the number of requests per second that the upstream accepts from all routers together. It is 0
	// if the upstream names no limit.
	perSecond float64
	// observedAt is the time as of which perSecond is known.
	observedAt time.Time
	// base is when perSecond was learned. Slots are counted from its time of day by the monotonic clock, so that a
	// step of the time of day does not move them.
	base time.Time
	// nextSlot is the first slot whose permit is not used.
	nextSlot int64
	// unsent is true if the other routers have not been told of this router's observation.
	unsent bool
	// validity is how long a permit can be used; 0 means permitValidity.
	validity time.Duration
}

func (l *requestLimit) active() bool { return l.perSecond > 0 }

// set changes the limit. The slots that have begun give no permits, so that a limit that changes often gives no more
// permits than one that stays.
func (l *requestLimit) set(perSecond float64, now time.Time) {
	l.perSecond, l.base = perSecond, now
	if l.active() {
		l.nextSlot = int64(math.Floor(l.slotAt(now))) + 1
	}
}

// slotAt returns the number of the slot at a time; the fraction is the part of it that has passed.
func (l *requestLimit) slotAt(now time.Time) float64 {
	return (float64(l.base.UnixNano())/float64(time.Second) + now.Sub(l.base).Seconds()) * l.perSecond
}

// nextPermit returns the slot of this router's next permit and the time until it can be used. shift makes the routers
// begin at different slots for different upstreams.
func (l *requestLimit) nextPermit(now time.Time, p Position, shift uint64) (slot int64, wait time.Duration) {
	at, routers := l.slotAt(now), int64(max(1, p.Routers))
	slot = int64(math.Floor(at-max(1, cmp.Or(l.validity, permitValidity).Seconds()*l.perSecond))) + 1
	slot = max(slot, l.nextSlot)
	owned := p.turn() - int64(shift%uint64(routers))
	slot += ((owned-slot)%routers + routers) % routers
	return slot, time.Duration(max(0, float64(slot)-at) / l.perSecond * float64(time.Second))
}

// turn returns the place of the router in the order in which the routers own slots. Routers with neighbouring indexes are
// far apart in it, so that any group of them owns an even part of the slots of any second. Otherwise a group with another
// view of the fleet, such as the routers of one zone, could have its turn while the rest has theirs.
func (p Position) turn() int64 {
	routers := max(1, p.Routers)
	stride := max(1, int(math.Round(float64(routers)*(math.Sqrt(5)-1)/2)))
	for gcd(stride, routers) != 1 {
		stride++
	}
	return int64(p.Index) * int64(stride) % int64(routers)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// permitWait returns how long this router has to wait until it may send a request to the upstream. The caller holds
// r.mu.
func (r *Router) permitWait(s *upstreamState, p Position, now time.Time) time.Duration {
	l := r.limitOn(s, now)
	if l == nil {
		return 0
	}
	switch {
	case !p.Known && l == &s.cold.limit:
		return coldPositionRetryAfter
	case !p.Known:
		return noUpstreamRetryAfter
	}
	_, wait := l.nextPermit(now, p, s.nameHash)
	return wait
}

// usePermit uses the permit with which a request is sent to a limited upstream. The caller holds r.mu.
func (r *Router) usePermit(s *upstreamState, p Position, now time.Time) {
	if l := r.limitOn(s, now); l != nil {
		slot, _ := l.nextPermit(now, p, s.nameHash)
		l.nextSlot = slot + 1
	}
}

// limitOf returns the limit of an upstream by name, and creates it if necessary. The caller holds r.mu.
func (r *Router) limitOf(upstream string) *requestLimit {
	l := r.limits[upstream]
	if l == nil {
		l = &requestLimit{}
		r.limits[upstream] = l
	}
	return l
}

// pruneLimits removes limits of upstreams that are not known any more. The caller holds r.mu.
func (r *Router) pruneLimits(now time.Time) {
	for name, l := range r.limits {
		if r.byName[name] == nil && (!l.active() || now.Sub(l.observedAt) > limitRetention) {
			delete(r.limits, name)
		}
	}
}

// RequestLimit applies the request limit in a response, in requests per second; 0 means that the response names none.
// A response without a limit ends a limit only if its request was sent after the limit was last named, and ran.
func (a *Attempt) RequestLimit(perSecond float64, ran bool) {
	if perSecond == 0 && !ran {
		return
	}
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	observedAt := r.cfg.Now()
	if perSecond == 0 {
		observedAt = a.pickedAt
	}
	if r.setRequestLimit(a.upstream.Name, perSecond, observedAt, false) {
		a.state.limit.unsent = true
	}
}

// setRequestLimit applies a limit unless a newer one is known, and reports whether it differs. reported is true if another
// router observed it. The caller holds r.mu.
func (r *Router) setRequestLimit(upstream string, perSecond float64, observedAt time.Time, reported bool) bool {
	l := r.limitOf(upstream)
	if observedAt.Before(l.observedAt) {
		return false
	}
	l.observedAt = observedAt
	previous := l.perSecond
	if perSecond == previous {
		return false
	}
	l.set(perSecond, r.cfg.Now())
	r.notify(Change{
		Kind: ChangeRequestLimit, Upstream: upstream, PerSecond: perSecond, Previous: previous, Reported: reported,
	})
	r.endExcessEjections()
	return true
}

// LimitReport is a router's observation of an upstream's request limit, for the other routers. PerSecond is 0 if the
// upstream names no limit any more.
type LimitReport struct {
	Upstream  string  `json:"upstream"`
	PerSecond float64 `json:"per_second"`
	AgeMillis int64   `json:"age_ms"`
}

// LimitReports are the observations that a router sends at once.
type LimitReports []LimitReport

// Empty reports whether there is nothing to send.
func (l LimitReports) Empty() bool { return len(l) == 0 }

// TakeLimitReports returns the changes that this router has observed since the last call.
func (r *Router) TakeLimitReports() LimitReports {
	return r.limitReports(func(l *requestLimit) bool { return l.unsent })
}

// ExportLimits returns all limits in force.
func (r *Router) ExportLimits() LimitReports { return r.limitReports((*requestLimit).active) }

func (r *Router) limitReports(include func(*requestLimit) bool) (out LimitReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for name, l := range r.limits {
		if include(l) {
			l.unsent = false
			out = append(out, LimitReport{Upstream: name, PerSecond: l.perSecond, AgeMillis: now.Sub(l.observedAt).Milliseconds()})
		}
	}
	return out
}

// MergeLimits applies the observations of another router. If this router has a newer one, it is sent to the others
// again.
func (r *Router) MergeLimits(reports LimitReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, report := range reports {
		if report.PerSecond < 0 || math.IsInf(report.PerSecond, 0) || math.IsNaN(report.PerSecond) {
			continue
		}
		r.setRequestLimit(report.Upstream, report.PerSecond, now.Add(-time.Duration(report.AgeMillis)*time.Millisecond), true)
		if l := r.limitOf(report.Upstream); l.perSecond != report.PerSecond {
			l.unsent = true
		}
	}
	r.pruneLimits(now)
}
