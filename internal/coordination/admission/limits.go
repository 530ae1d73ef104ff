package admission

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Names of the limits, as in the catalogue.
const (
	limitRequests    = "requests_per_second"
	limitTokens      = "tokens_per_second"
	limitConcurrency = "concurrency"
	limitQueue       = "queue"
)

// Kinds of scope.
const (
	ScopeEntry = "entry"
	ScopeTeam  = "team"
)

const (
	// burstSeconds is how much unused rate a scope may save up.
	burstSeconds = 1.0
	// noPartRetry is the retry time of a node without a part of the limit.
	// Parts are divided anew about once a second.
	noPartRetry = time.Second
	// idleScope is how long an unused scope is kept; by then its buckets are full.
	idleScope = time.Minute
)

// Scope names the entry or team that a limit belongs to. The zero Scope stands
// for all entries and teams without an allocation of their own.
type Scope struct{ Kind, Name string }

// String returns the scope as it appears in messages.
func (k Scope) String() string { return k.Kind + " " + k.Name }

// scope is this node's use of the limits of one entry or team.
type scope struct {
	key      Scope
	limits   catalogue.Limits
	parts    Quotas
	requests bucket
	tokens   bucket
	inFlight int
	waiting  int
	used     time.Time
}

// scope returns the state of an entry or team, or nil when it has no limits.
func (c *Controller) scope(key Scope, limits catalogue.Limits, now time.Time) *scope {
	s := c.scopes[key]
	if s == nil {
		if limits == (catalogue.Limits{}) {
			return nil
		}
		s = &scope{key: key, parts: c.cfg.Quotas}
		c.scopes[key] = s
	}
	s.limits = limits
	s.used = now
	return s
}

// sweep forgets scopes that have been idle long enough for full buckets.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.swept) < idleScope {
		return
	}
	c.swept = now
	for key, s := range c.scopes {
		if s.inFlight == 0 && s.waiting == 0 && now.Sub(s.used) > idleScope && !s.inDebt(now) {
			delete(c.scopes, key)
		}
	}
}

func (s *scope) fraction() float64 { return s.parts.Fraction(s.key) }

func (s *scope) count(limit int) int { return s.parts.Count(s.key, limit) }

func (s *scope) inDebt(now time.Time) bool {
	_, wait := s.rateWait(1, now)
	return wait > 0 && s.fraction() > 0
}

// rateWait returns which rate limit a request has to wait for, and how long.
func (s *scope) rateWait(cost int64, now time.Time) (string, time.Duration) {
	f := s.fraction()
	if limit := s.limits.RequestsPerSecond; limit > 0 {
		if wait := s.requests.wait(1, limit*f, now); wait > 0 {
			return limitRequests, wait
		}
	}
	if limit := s.limits.TokensPerSecond; limit > 0 {
		if wait := s.tokens.wait(float64(cost), limit*f, now); wait > 0 {
			return limitTokens, wait
		}
	}
	return "", 0
}

func (s *scope) hasConcurrency() bool {
	return s.limits.Concurrency <= 0 || s.inFlight < s.count(s.limits.Concurrency)
}

func (s *scope) take(cost int64, now time.Time) {
	f := s.fraction()
	s.inFlight++
	if s.limits.RequestsPerSecond > 0 {
		s.requests.take(1, s.limits.RequestsPerSecond*f, now)
	}
	if s.limits.TokensPerSecond > 0 {
		s.tokens.take(float64(cost), s.limits.TokensPerSecond*f, now)
	}
}

// checkRates refuses a request over a rate limit, or of a scope without a part
// of its concurrency limit, except a queued one, which waits.
func (c *Controller) checkRates(t *Ticket, now time.Time) error {
	if t.class == indexQueued {
		return nil
	}
	var err error
	t.eachScope(func(s *scope) {
		limit, wait := s.rateWait(t.cost, now)
		if s.limits.Concurrency > 0 && s.count(s.limits.Concurrency) == 0 {
			limit, wait = limitConcurrency, noPartRetry
		}
		if wait > 0 && err == nil {
			err = &RateLimitedError{Scope: s.key.String(), Limit: limit, RetryAfter: wait}
		}
	})
	return err
}

// eligible reports whether the limits allow the request now.
func (c *Controller) eligible(t *Ticket, now time.Time) bool {
	ok := true
	t.eachScope(func(s *scope) {
		if _, wait := s.rateWait(t.cost, now); wait > 0 || !s.hasConcurrency() {
			ok = false
		}
	})
	return ok
}

// checkQueueLimits refuses a request whose entry or team has its allowed number
// of requests waiting.
func (t *Ticket) checkQueueLimits(retryAfter time.Duration) error {
	var err error
	t.eachScope(func(s *scope) {
		if s.limits.Queue > 0 && s.waiting >= s.count(s.limits.Queue) && err == nil {
			err = &RateLimitedError{Scope: s.key.String(), Limit: limitQueue, RetryAfter: retryAfter}
		}
	})
	return err
}

// Conforms reports whether the requests in flight of an entry or team are
// within this node's part of its concurrency limit. A node confirms a smaller
// part only when it conforms, so that another node may use what was given up.
// The zero Scope asks for all entries and teams.
func (c *Controller) Conforms(asked Scope) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.scopes {
		if asked != (Scope{}) && key != asked {
			continue
		}
		if s.limits.Concurrency > 0 && s.inFlight > s.count(s.limits.Concurrency) {
			return false
		}
	}
	return true
}

// bucket is a token bucket. It starts full. A request larger than the bucket
// is let through when the bucket is full and leaves it in debt.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(rate float64, now time.Time) float64 {
	burst := max(1, rate*burstSeconds)
	if b.at.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return burst
}

func (b *bucket) wait(need, rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return noPartRetry
	}
	missing := min(need, b.refill(rate, now)) - b.level
	// A tolerance absorbs rounding, so that a caller that waits exactly as
	// long as it was told is admitted.
	if missing <= 1e-6 {
		return 0
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

func (b *bucket) take(n, rate float64, now time.Time) {
	b.refill(rate, now)
	b.level -= n
}

// rateWindow is the time constant of measured rates. It spans a few requests
// of typical length.
const rateWindow = 5 * time.Second

// rate measures tokens per second with exponential decay.
type rate struct {
	sum     float64
	start   time.Time
	updated time.Time
}

func (r *rate) decay(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	} else {
		r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / rateWindow.Seconds())
	}
	r.updated = now
}

func (r *rate) add(tokens int64, now time.Time) {
	r.decay(now)
	r.sum += float64(tokens)
}

// perSecond corrects for the time before the first sample. It returns 0 until
// half a second of samples exists.
func (r *rate) perSecond(now time.Time) float64 {
	age := now.Sub(r.start)
	if r.start.IsZero() || age < rateWindow/10 {
		return 0
	}
	r.decay(now)
	weight := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * weight)
}
