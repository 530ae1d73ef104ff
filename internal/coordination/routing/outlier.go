package routing

import "time"

// pool holds the upstreams of one model or service.
type pool struct {
	states []*upstreamState
}

// counts returns the upstreams that may get work and those of them ejected.
func (p *pool) counts(now time.Time) (members, ejected int) {
	for _, s := range p.states {
		if s.leaving(now) {
			continue
		}
		members++
		if s.ejected(now) {
			ejected++
		}
	}
	return members, ejected
}

// mayEject keeps at least half of each pool in use: when more upstreams than
// that seem to fail, the fault is more likely here or in the requests.
func (r *Router) mayEject(s *upstreamState, now time.Time) bool {
	for _, p := range r.poolsOf(s) {
		members, ejected := p.counts(now)
		if 2*(ejected+1) > members {
			return false
		}
	}
	return true
}

func (r *Router) eject(s *upstreamState, d time.Duration, now time.Time) {
	if s.ejected(now) || !r.mayEject(s, now) {
		return
	}
	s.ejectedUntil = now.Add(d)
	s.readySince = s.ejectedUntil
	r.notify(Change{Kind: ChangeEjected, Upstream: s.upstream.Name})
}

// failed notes a failure and ejects after several in a row.
func (r *Router) failed(s *upstreamState, now time.Time) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	d := min(maxEjection, baseEjection<<min(s.ejections, 8))
	s.ejections++
	s.failures = 0
	r.eject(s, d, now)
}

func (s *upstreamState) succeeded() {
	s.failures, s.ejections = 0, 0
}

// refill ends ejections, those that end soonest first, when a pool has shrunk
// so far that more than half of it is ejected.
func (r *Router) refill() {
	now := r.cfg.Now()
	for _, p := range r.pools {
		for {
			members, ejected := p.counts(now)
			if 2*ejected <= members || ejected == 0 {
				break
			}
			p.soonest(now).ejectedUntil = time.Time{}
		}
	}
}

func (p *pool) soonest(now time.Time) *upstreamState {
	var first *upstreamState
	for _, s := range p.states {
		if !s.leaving(now) && s.ejected(now) && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
			first = s
		}
	}
	return first
}
