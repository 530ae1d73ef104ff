package routing

import (
	"time"
)

// Defaults of Config.ColdOvershoot and Config.ColdSlack.
const (
	DefaultColdOvershoot = 1.5
	DefaultColdSlack     = 5
)

const (
	// coldRatePart is the largest part of the bound on requests in a second that permits are given for. The rest is for
	// routers whose views of the fleet differ.
	coldRatePart = 0.65
	// coldSavedPart is the part of what the bound leaves above the rate that unused permits may take up. Permits that stay
	// valid for a second, as those of named limits do, would allow twice the rate in one second.
	coldSavedPart = 0.25
	// coldPositionRetryAfter is the retry time of a router that does not know its position yet. A process that has just
	// started takes all upstreams for cold and learns its position with the first heartbeats, 0.5 s later.
	coldPositionRetryAfter = 500 * time.Millisecond
	// coldRetention is how long what is known of an upstream that is not in the configuration is kept.
	coldRetention = time.Minute
)

// ColdRecord is what a record of an upstream says about its cold start.
type ColdRecord struct {
	Upstream string
	// Revision rises with each record that the upstream writes.
	Revision uint64
	// Remaining is the time for which the upstream stays cold, as of when the record was written.
	Remaining time.Duration
	// WrittenAfter is a time before the record was written, and zero if none is known. ReadAt is when it was read.
	WrittenAfter, ReadAt time.Time
}

// coldness is what this router knows of an upstream that may be cold: it has just started, and falls over when all routers
// together send it more than a few requests a second.
type coldness struct {
	// limit has the permits of a cold upstream. Its perSecond is 0 while the upstream is not cold.
	limit requestLimit
	// known is true once there was a record, and revision that of the newest one.
	known    bool
	revision uint64
	// until is the latest end of the cold start according to the newest record, which was written after writtenAfter.
	until, writtenAfter time.Time
	// lostAt is when a connection to the upstream was last refused or reset, and takenBackAt when the evacuation of its zone
	// was. The upstream may have turned cold then, and counts as cold until a record written later says otherwise.
	lostAt, takenBackAt time.Time
	// startedAt is when the first record was read if it may have been written at any time before.
	startedAt time.Time
	readAt    time.Time
}

// coldOf returns the coldness of an upstream by name, and creates it if necessary. The caller holds r.mu.
func (r *Router) coldOf(upstream string) *coldness {
	c := r.cold[upstream]
	if c == nil {
		c = &coldness{}
		r.cold[upstream] = c
	}
	return c
}

// pruneCold removes what is known of upstreams that are not known any more. The caller holds r.mu.
func (r *Router) pruneCold(now time.Time) {
	for name, c := range r.cold {
		if r.byName[name] == nil && now.Sub(c.readAt) > coldRetention {
			delete(r.cold, name)
		}
	}
}

// ApplyColdRecords applies records of upstreams, which may be unknown to the router yet. Of each upstream the record with
// the highest revision counts: a restored log may list older ones.
func (r *Router) ApplyColdRecords(records []ColdRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		c := r.coldOf(rec.Upstream)
		if c.known && rec.Revision <= c.revision {
			continue
		}
		if !c.known && rec.WrittenAfter.IsZero() {
			// The first record that a process reads may be older than a cold start that this process has not seen begin.
			c.startedAt = rec.ReadAt
		}
		c.known, c.revision, c.writtenAfter, c.readAt = true, rec.Revision, rec.WrittenAfter, rec.ReadAt
		// The record may have been written just before it was read.
		c.until = rec.ReadAt.Add(max(0, rec.Remaining))
	}
}

// inDoubt reports whether the upstream may have turned cold since its newest record was written.
func (c *coldness) inDoubt() bool {
	return c.lostAt.After(c.writtenAfter) || c.takenBackAt.After(c.writtenAfter)
}

// mayBeOlder reports whether a cold start may be in progress that began before this process read its first record of the
// upstream. A later record tells; without the log, the length of a cold start bounds it.
func (c *coldness) mayBeOlder(length time.Duration, now time.Time) bool {
	return c.startedAt.After(c.writtenAfter) && now.Sub(c.startedAt) < length
}

// isCold reports whether only permits allow requests to the upstream because of its cold start.
func (s *upstreamState) isCold(now time.Time) bool {
	return s.upstream.ColdPerSecond > 0 &&
		(now.Before(s.cold.until) || s.cold.inDoubt() || s.cold.mayBeOlder(s.upstream.ColdStart, now))
}

// noteLost records that a connection to the upstream was refused or reset.
func (s *upstreamState) noteLost(result Result, now time.Time) {
	switch result {
	case ResultUnreachable, ResultCrashed, ResultLost:
		s.cold.lostAt = now
	}
}

// limitOn returns the limit that applies to the upstream, nil without one: the lower one of the limit that it names and
// that of its cold start. The caller holds r.mu.
func (r *Router) limitOn(s *upstreamState, now time.Time) *requestLimit {
	r.updateColdLimit(s, now)
	named, cold := s.limit, &s.cold.limit
	switch {
	case cold.active() && (!named.active() || cold.perSecond < named.perSecond):
		return cold
	case named.active():
		return named
	default:
		return nil
	}
}

// updateColdLimit sets the limit of a cold upstream, or ends it. The caller holds r.mu.
func (r *Router) updateColdLimit(s *upstreamState, now time.Time) {
	l, perSecond, validity := &s.cold.limit, 0.0, time.Duration(0)
	if s.isCold(now) {
		perSecond, validity = r.coldPermits(s.upstream.ColdPerSecond)
	}
	if perSecond == l.perSecond {
		return
	}
	change := Change{Kind: ChangeCold, Upstream: s.upstream.Name, PerSecond: perSecond, Pause: max(0, s.cold.until.Sub(now))}
	if perSecond == 0 {
		change.Kind = ChangeWarm
	}
	l.validity = validity
	l.set(perSecond, now)
	r.notify(change)
}

// coldPermits returns the rate of the permits of a cold upstream and how long a permit can be used, so that in no second
// more requests than the bound reach it.
func (r *Router) coldPermits(perSecond float64) (rate float64, validity time.Duration) {
	bound := perSecond*r.cfg.ColdOvershoot + r.cfg.ColdSlack
	rate = min(perSecond, coldRatePart*bound)
	seconds := min(permitValidity.Seconds(), coldSavedPart*(bound/rate-1))
	return rate, time.Duration(seconds * float64(time.Second))
}
