package routing

import "time"

// pool holds the upstreams of one model or service.
type pool struct {
	states []*upstreamState
}

// available reports whether an upstream may take any number of requests when it is not ejected.
func (s *upstreamState) available(now time.Time) bool {
	return s.usable(now) && !s.limit.active() && !s.isCold(now)
}

// usable reports whether an upstream may take requests when it is not ejected.
func (s *upstreamState) usable(now time.Time) bool {
	return !s.draining(now) && !s.evacuated && s.notice.pauseLeft(now) == 0
}

// counts returns the number of available upstreams, and how many of them are ejected.
func (p *pool) counts(now time.Time) (members, ejected int) {
	for _, s := range p.states {
		if !s.available(now) {
			continue
		}
		members++
		if s.ejected(now) {
			ejected++
		}
	}
	return members, ejected
}

// canEject reports whether at least half of each pool of the upstream stays in use if the upstream is
// ejected. If more upstreams than that appear to fail, the cause is more likely this router or the requests.
func (r *Router) canEject(s *upstreamState, now time.Time) bool {
	for _, p := range r.poolsOf(s) {
		members, ejected := p.counts(now)
		if 2*(ejected+1) > members {
			return false
		}
	}
	return true
}

// eject starts an ejection: the upstream gets no new requests for d, and a slow start after that. It does
// nothing if the upstream is ejected already or if canEject forbids it.
func (r *Router) eject(s *upstreamState, d time.Duration, now time.Time) {
	if s.ejected(now) || !r.canEject(s, now) {
		return
	}
	s.ejectedUntil = now.Add(d)
	s.slowStartAt = s.ejectedUntil
	r.notify(Change{Kind: ChangeEjected, Upstream: s.upstream.Name})
}

// recordFailure counts a failure. After ejectAfterFailures in a row it tries to eject the upstream, for twice
// as long as the last time, up to maxEjection. A try that canEject forbids counts too.
func (r *Router) recordFailure(s *upstreamState, now time.Time) {
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectAfterFailures {
		return
	}
	d := min(maxEjection, baseEjection<<min(s.ejections, 8))
	s.ejections++
	s.consecutiveFailures = 0
	r.eject(s, d, now)
}

func (s *upstreamState) recordSuccess() {
	s.consecutiveFailures, s.ejections = 0, 0
}

// endExcessEjections ends ejections when a pool has shrunk so far that more than half of it is ejected. Those
// that would end soonest are ended first.
func (r *Router) endExcessEjections() {
	now := r.cfg.Now()
	for _, p := range r.pools {
		for {
			members, ejected := p.counts(now)
			if 2*ejected <= members || ejected == 0 {
				break
			}
			p.nextToReturn(now).ejectedUntil = time.Time{}
		}
	}
}

// nextToReturn returns the ejected upstream whose ejection ends first.
func (p *pool) nextToReturn(now time.Time) *upstreamState {
	var first *upstreamState
	for _, s := range p.states {
		if s.available(now) && s.ejected(now) && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
			first = s
		}
	}
	return first
}
