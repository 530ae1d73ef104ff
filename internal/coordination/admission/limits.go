package admission

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Names of the limits in the catalogue.
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
	// bucketSeconds is the size of a token bucket, in seconds of its rate.
	bucketSeconds = 1.0
	// noQuotaRetryAfter is the retry time of a router without a quota. Quotas are reallocated about once a
	// second.
	noQuotaRetryAfter = time.Second
	// limiterIdleTimeout is how long an unused limiter is kept. By then its buckets are full again, unless a
	// large request left one of them far below zero.
	limiterIdleTimeout = time.Minute
)

// Scope names the entry or team that a limit belongs to. The zero Scope stands for all entries and teams
// without an allocation of their own.
type Scope struct{ Kind, Name string }

// String returns the scope as it appears in error messages.
func (s Scope) String() string { return s.Kind + " " + s.Name }

// limiter enforces this router's quotas of the limits of one entry or team.
type limiter struct {
	scope    Scope
	limits   catalogue.Limits
	quotas   Quotas
	requests bucket
	tokens   bucket
	inFlight int
	waiting  int
	lastUsed time.Time
}

// limiter returns the limiter of an entry or team, or nil when it has no limits.
func (c *Controller) limiter(scope Scope, limits catalogue.Limits, now time.Time) *limiter {
	l := c.limiters[scope]
	if l == nil {
		if limits == (catalogue.Limits{}) {
			return nil
		}
		l = &limiter{scope: scope, quotas: c.cfg.Quotas}
		c.limiters[scope] = l
	}
	l.limits = limits
	l.lastUsed = now
	return l
}

// sweep deletes idle limiters. A new limiter starts with full buckets, so a limiter that cannot yet admit a
// small request is kept.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < limiterIdleTimeout {
		return
	}
	c.lastSweep = now
	for scope, l := range c.limiters {
		if l.inFlight == 0 && l.waiting == 0 && now.Sub(l.lastUsed) > limiterIdleTimeout && !l.inDebt(now) {
			delete(c.limiters, scope)
		}
	}
}

func (l *limiter) fraction() float64 { return l.quotas.Fraction(l.scope) }

func (l *limiter) count(limit int) int { return l.quotas.Count(l.scope, limit) }

// inDebt reports whether a bucket does not yet allow a request of one token, as after a request larger than
// the bucket. Without a quota it is false.
func (l *limiter) inDebt(now time.Time) bool {
	_, wait := l.rateWait(1, now)
	return wait > 0 && l.fraction() > 0
}

// rateWait returns the rate limit that a request has to wait for, and the time until it allows the request.
func (l *limiter) rateWait(cost int64, now time.Time) (string, time.Duration) {
	fraction := l.fraction()
	if limit := l.limits.RequestsPerSecond; limit > 0 {
		if wait := l.requests.wait(1, limit*fraction, now); wait > 0 {
			return limitRequests, wait
		}
	}
	if limit := l.limits.TokensPerSecond; limit > 0 {
		if wait := l.tokens.wait(float64(cost), limit*fraction, now); wait > 0 {
			return limitTokens, wait
		}
	}
	return "", 0
}

func (l *limiter) belowConcurrencyLimit() bool {
	return l.limits.Concurrency <= 0 || l.inFlight < l.count(l.limits.Concurrency)
}

func (l *limiter) take(cost int64, now time.Time) {
	fraction := l.fraction()
	l.inFlight++
	if l.limits.RequestsPerSecond > 0 {
		l.requests.take(1, l.limits.RequestsPerSecond*fraction, now)
	}
	if l.limits.TokensPerSecond > 0 {
		l.tokens.take(float64(cost), l.limits.TokensPerSecond*fraction, now)
	}
}

// checkRateLimits refuses a request that is over a rate limit of its entry or team, or for which one of them
// has a concurrency limit of which this router has no quota. Requests of the queued class wait instead.
func (c *Controller) checkRateLimits(t *Ticket, now time.Time) error {
	if t.class == indexQueued {
		return nil
	}
	var err error
	t.eachLimiter(func(l *limiter) {
		limit, wait := l.rateWait(t.cost, now)
		if l.limits.Concurrency > 0 && l.count(l.limits.Concurrency) == 0 {
			limit, wait = limitConcurrency, noQuotaRetryAfter
		}
		if wait > 0 && err == nil {
			err = &RateLimitedError{Scope: l.scope.String(), Limit: limit, RetryAfter: wait}
		}
	})
	return err
}

// eligible reports whether the limits allow the request now.
func (c *Controller) eligible(t *Ticket, now time.Time) bool {
	ok := true
	t.eachLimiter(func(l *limiter) {
		if _, wait := l.rateWait(t.cost, now); wait > 0 || !l.belowConcurrencyLimit() {
			ok = false
		}
	})
	return ok
}

// checkQueueLimits refuses a request when its entry or team already has the allowed number of waiting
// requests.
func (t *Ticket) checkQueueLimits(retryAfter time.Duration) error {
	var err error
	t.eachLimiter(func(l *limiter) {
		if l.limits.Queue > 0 && l.waiting >= l.count(l.limits.Queue) && err == nil {
			err = &RateLimitedError{Scope: l.scope.String(), Limit: limitQueue, RetryAfter: retryAfter}
		}
	})
	return err
}

// WithinQuota reports whether the requests in flight of the target, an entry or team, are within this
// router's quota of its concurrency limit. A router acknowledges a smaller quota only when this is true,
// because other routers may then use the difference. The zero Scope checks all entries and teams.
func (c *Controller) WithinQuota(target Scope) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for scope, l := range c.limiters {
		if target != (Scope{}) && scope != target {
			continue
		}
		if l.limits.Concurrency > 0 && l.inFlight > l.count(l.limits.Concurrency) {
			return false
		}
	}
	return true
}

// bucket is a token bucket that starts full. A request larger than the bucket is admitted when the bucket is
// full, and leaves a negative level.
type bucket struct {
	level   float64
	updated time.Time
}

// refill adds the tokens since the last call and returns the size of the bucket.
func (b *bucket) refill(rate float64, now time.Time) float64 {
	size := max(1, rate*bucketSeconds)
	if b.updated.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	return size
}

// wait refills the bucket and returns the time until it allows a request of need tokens; 0 means now. A rate
// of 0 means that this router has no quota now; the time is then noQuotaRetryAfter.
func (b *bucket) wait(need, rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return noQuotaRetryAfter
	}
	missing := min(need, b.refill(rate, now)) - b.level
	// The tolerance absorbs rounding errors: a caller that retries exactly after the returned time is
	// admitted.
	if missing <= 1e-6 {
		return 0
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

func (b *bucket) take(n, rate float64, now time.Time) {
	b.refill(rate, now)
	b.level -= n
}

// rateWindow is the time constant of measured rates. It spans a few requests of typical length.
const rateWindow = 5 * time.Second

// rateMeter measures tokens per second as an exponentially weighted average.
type rateMeter struct {
	sum     float64
	start   time.Time
	updated time.Time
}

// decay reduces the sum by the time since the last call. The first call starts the measurement.
func (r *rateMeter) decay(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	} else {
		r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / rateWindow.Seconds())
	}
	r.updated = now
}

func (r *rateMeter) add(tokens int64, now time.Time) {
	r.decay(now)
	r.sum += float64(tokens)
}

// perSecond returns the rate, corrected for a window that is not yet full. It returns 0 in the first tenth of
// rateWindow, which has too few samples.
func (r *rateMeter) perSecond(now time.Time) float64 {
	age := now.Sub(r.start)
	if r.start.IsZero() || age < rateWindow/10 {
		return 0
	}
	r.decay(now)
	weight := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * weight)
}

// averageWeight is the weight of the newest value in an average.
const averageWeight = 0.05

// average is an exponentially weighted mean of values.
type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	a.count++
	a.value += (v - a.value) * max(averageWeight, 1/float64(a.count))
}
