// Package callrate keeps the calls of all routers to the log within the rate that the log accepts. The routers
// exchange no messages for it: each one takes an equal part of the rate, and more while the log accepts it.
// daemon.Gateway puts a Limiter in front of the platform's log.
//
// Writes and reads are limited separately. A call that the rate does not allow yet waits; when a token is there, the
// waiting call with the most urgent priority is made. A call that would wait too long fails with
// keyedlog.ErrRateLimited, before it was made.
package callrate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Priority is the urgency of a call; lower values come first.
type Priority int

// Priorities.
const (
	// Ending is for the calls of a process that ends. They may use the rate of the next seconds.
	Ending Priority = iota
	// Caller is for calls for which a caller waits.
	Caller
	// Control is for heartbeats, the configuration and upstreams.
	Control
	// ShareRaise is for raises of shares for which nothing waits.
	ShareRaise
	// Report is for reports of spending.
	Report
	// StreamOrigin is for records of the origins of streams.
	StreamOrigin
)

// Kind is the kind of a call.
type Kind int

// Kinds.
const (
	Write Kind = iota
	Read
	kinds
)

func (k Kind) String() string { return [...]string{"write", "read"}[k] }

const (
	// maxWait limits how long a call waits for the rate. A call with a deadline waits for half of the time until then at
	// most, so that the log has time to respond.
	maxWait = 2 * time.Second
	// maxTimer limits the time after which waiting calls are considered again, since the rate may have changed.
	maxTimer = 100 * time.Millisecond
	// logInterval is the least time between two log lines of one event.
	logInterval = time.Second
)

// Config configures a Limiter.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the limits of all routers together; 0 means no limit.
	WritesPerSecond, ReadsPerSecond float64
	// FleetSize returns the number of live routers, and whether it is known. While it is not, the router takes a
	// conservative part.
	FleetSize func() (routers int, known bool)
	Now       func() time.Time
	Logger    logrus.FieldLogger
}

// Limiter limits the calls of one process. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets [kinds]*bucket // nil without a limit
	timers  [kinds]*time.Timer
	// delayed and refused count calls since the last log line about them, which was written at loggedAt.
	delayed, refused                 [kinds]int
	delayedLoggedAt, refusedLoggedAt [kinds]time.Time
}

// New returns a Limiter.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg}
	for kind, rate := range map[Kind]float64{Write: cfg.WritesPerSecond, Read: cfg.ReadsPerSecond} {
		if rate > 0 {
			l.buckets[kind] = newBucket(rate, cfg.Now())
		}
	}
	return l
}

// Limited reports whether calls of a kind are limited.
func (l *Limiter) Limited(kind Kind) bool { return l.buckets[kind] != nil }

// Delaying reports whether calls wait for the rate, or the log has refused one within the last second.
func (l *Limiter) Delaying() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	return slices.ContainsFunc(l.buckets[:], func(b *bucket) bool {
		return b != nil && (len(b.waiting) > 0 || !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < time.Second)
	})
}

// updatePart sets the part of the rate from the number of routers. The caller holds l.mu.
func (l *Limiter) updatePart(b *bucket) {
	routers, known := l.cfg.FleetSize()
	if !known {
		routers = max(routers, conservativeRouters)
	}
	b.setRouters(routers)
	b.mayGrow = known
}

// acquire waits until the rate allows a call. It returns an error marked keyedlog.ErrRateLimited if that takes too long.
func (l *Limiter) acquire(ctx context.Context, kind Kind, priority func() Priority) error {
	b := l.buckets[kind]
	if b == nil {
		return nil
	}
	l.mu.Lock()
	l.updatePart(b)
	now := l.cfg.Now()
	if b.take(priority(), now) {
		l.mu.Unlock()
		return nil
	}
	c := &waitingCall{priority: priority, since: now, granted: make(chan struct{})}
	b.waiting = append(b.waiting, c)
	l.noteDelayed(kind, now)
	l.schedule(kind)
	l.mu.Unlock()
	limit := maxWait
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, deadline.Sub(now)/2)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.granted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.giveUp(ctx, kind, c)
}

// putBack gives back the token of a call that was not made.
func (l *Limiter) putBack(kind Kind) {
	if b := l.buckets[kind]; b != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		b.tokens++
	}
}

// giveUp removes a waiting call and returns the error, or nil if the call was granted in the meantime.
func (l *Limiter) giveUp(ctx context.Context, kind Kind, c *waitingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[kind]
	i := slices.Index(b.waiting, c)
	if i < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	obs.LogCallsGivenUpTotal.Add(1)
	if err := ctx.Err(); err != nil {
		return keyedlog.RateLimited(errors.Wrapf(err, "%s call waits for the rate limit", kind))
	}
	return keyedlog.RateLimited(errors.Newf("%s call waited too long for the rate limit", kind))
}

// schedule starts the timer of a bucket for its next waiting call. The caller holds l.mu.
func (l *Limiter) schedule(kind Kind) {
	if l.timers[kind] != nil || len(l.buckets[kind].waiting) == 0 {
		return
	}
	// A microsecond more, so that the token is there when the timer fires.
	wait := min(maxTimer, l.buckets[kind].wait()+time.Microsecond)
	l.timers[kind] = time.AfterFunc(wait, func() { l.dispatch(kind) })
}

// dispatch makes the waiting calls for which there are tokens.
func (l *Limiter) dispatch(kind Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timers[kind] = nil
	b := l.buckets[kind]
	l.updatePart(b)
	for c := b.grant(l.cfg.Now()); c != nil; c = b.grant(l.cfg.Now()) {
		close(c.granted)
	}
	l.schedule(kind)
}

// noteResult adapts the rate to the result of a call.
func (l *Limiter) noteResult(kind Kind, err error) {
	b := l.buckets[kind]
	if b == nil || !errors.Is(err, keyedlog.ErrRateLimited) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	b.noteRefusal(now)
	obs.LogCallsRefusedTotal.Add(1)
	l.refused[kind]++
	if now.Sub(l.refusedLoggedAt[kind]) >= logInterval {
		obs.EventLogCallsRefused.Log(l.cfg.Logger, l.fields(kind, l.refused[kind]))
		l.refused[kind], l.refusedLoggedAt[kind] = 0, now
	}
}

// noteDelayed counts a call that waits. The caller holds l.mu.
func (l *Limiter) noteDelayed(kind Kind, now time.Time) {
	obs.LogCallsDelayedTotal.Add(1)
	l.delayed[kind]++
	if now.Sub(l.delayedLoggedAt[kind]) >= logInterval {
		obs.EventLogCallsDelayed.Log(l.cfg.Logger, l.fields(kind, l.delayed[kind]))
		l.delayed[kind], l.delayedLoggedAt[kind] = 0, now
	}
}

func (l *Limiter) fields(kind Kind, calls int) logrus.Fields {
	b := l.buckets[kind]
	return logrus.Fields{
		"kind": kind.String(), "calls": calls, "waiting": len(b.waiting), "per_second": b.rate(), "part": b.part * b.correction,
		"fleet": b.fleetRate,
	}
}
