package routing

import "time"

// requestLimit is what this router knows of the request limit of an upstream.
type requestLimit struct {
	// perSecond is the number of requests per second that the upstream accepts from all routers together. It is 0
	// if the upstream names no limit.
	perSecond float64
	// observedAt is the time as of which perSecond is known.
	observedAt time.Time
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
	r.setRequestLimit(a.state, perSecond, observedAt)
}

// setRequestLimit applies a limit unless a newer one is known. The caller holds r.mu.
func (r *Router) setRequestLimit(s *upstreamState, perSecond float64, observedAt time.Time) {
	if observedAt.Before(s.limit.observedAt) {
		return
	}
	previous := s.limit.perSecond
	s.limit = requestLimit{perSecond: perSecond, observedAt: observedAt}
	if perSecond != previous {
		r.notify(Change{Kind: ChangeRequestLimit, Upstream: s.upstream.Name, PerSecond: perSecond, Previous: previous})
	}
}
