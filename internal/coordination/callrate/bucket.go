package callrate

import (
	"slices"
	"time"
)

const (
	// burstFraction is the fraction of a router's rate that it may use at once. The rest is spread evenly, so that the calls
	// of one router in any second stay within its rate.
	burstFraction = 0.25
	// minBurst lets a router with a rate below a few calls per second make a call at all.
	minBurst = 1
	// conservativeRouters is the number of routers that a router assumes until it knows how many there are.
	conservativeRouters = 100
	// growth is what the rate gains per second while calls wait, as a fraction of the router's part. What exceeds the part
	// is given up as fast while no call waits.
	growth = 0.25
	// growthPause is how long the rate does not grow after a refusal by the log.
	growthPause = time.Second
	// refusalInterval is the least time between two refusals that halve the rate: calls that are under way at the same time
	// are refused together.
	refusalInterval = 100 * time.Millisecond
	// A refusal at the part itself may be due to other routers that take more, which halve their rates. If such refusals go
	// on for correctionDelay, the number of routers is too low, and the part is multiplied by correctionFactor, down to
	// minCorrection. It recovers by correctionGrowth per second.
	correctionDelay  = 2 * time.Second
	correctionFactor = 0.8
	minCorrection    = 0.1
	correctionGrowth = 0.05
	// fairAge is the time after which a call may come before those of a higher priority, and fairEvery how often: one of
	// fairEvery calls is the oldest one if that has waited for fairAge.
	fairAge   = time.Second
	fairEvery = 8
	// endingCredit is how much of its future rate a process that ends may use at once. It makes no calls afterwards.
	endingCredit = 2 * time.Second
)

// waitingCall is a call that waits for the rate.
type waitingCall struct {
	priority func() Priority
	since    time.Time
	granted  chan struct{}
}

// bucket limits the calls of one kind. It is not safe for concurrent use, and the times must not decrease.
type bucket struct {
	// fleetRate is the limit of all routers together, in calls per second.
	fleetRate float64
	// part is this router's part of it, and extra what it takes beyond its part, in calls per second.
	part, extra float64
	// mayGrow is false while the part is conservative: if all routers restart at once, all of them have calls to make.
	mayGrow bool
	// correction multiplies the part, see correctionDelay.
	correction float64
	tokens     float64
	at         time.Time
	waiting    []*waitingCall
	// served counts the calls that had waited.
	served int
	// refusedAt is when the log last refused a call, and refusedAtPartSince when the refusals at the part began.
	refusedAt, refusedAtPartSince time.Time
}

func newBucket(fleetRate float64, now time.Time) *bucket {
	b := &bucket{fleetRate: fleetRate, correction: 1, at: now}
	b.setRouters(conservativeRouters)
	b.tokens = b.burst()
	return b
}

// setRouters sets the number of routers that share the rate.
func (b *bucket) setRouters(routers int) { b.part = b.fleetRate / float64(max(1, routers)) }

// rate is what this router may use, in calls per second.
func (b *bucket) rate() float64 { return min(b.fleetRate, b.part*b.correction+b.extra) }

func (b *bucket) burst() float64 { return max(minBurst, burstFraction*b.rate()) }

// refillRate is how many tokens come back per second.
func (b *bucket) refillRate() float64 { return (1 - burstFraction) * b.rate() }

// advance adds the tokens of the time that has passed, and adapts the rate.
func (b *bucket) advance(now time.Time) {
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.burst(), b.tokens+dt*b.refillRate())
	if b.refusedAt.IsZero() || now.Sub(b.refusedAt) > growthPause {
		b.correction = min(1, b.correction+dt*correctionGrowth)
		b.refusedAtPartSince = time.Time{}
		if len(b.waiting) > 0 && b.mayGrow {
			b.extra += dt * growth * b.part
		}
	}
	if len(b.waiting) == 0 {
		b.extra -= dt * growth * b.part
	}
	b.extra = min(max(0, b.extra), max(0, b.fleetRate-b.part))
}

// take takes a token for a call that need not wait for others.
func (b *bucket) take(p Priority, now time.Time) bool {
	b.advance(now)
	least := 1.0
	if p == Ending {
		least = 1 - endingCredit.Seconds()*b.rate()
	} else if len(b.waiting) > 0 {
		return false
	}
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

// grant removes the next waiting call if there is a token for it.
func (b *bucket) grant(now time.Time) *waitingCall {
	b.advance(now)
	if b.tokens < 1 || len(b.waiting) == 0 {
		return nil
	}
	b.tokens--
	b.served++
	next := 0
	// The calls are in the order of their arrival.
	if oldest := b.waiting[0]; b.served%fairEvery != 0 || now.Sub(oldest.since) < fairAge {
		best := oldest.priority()
		for i, c := range b.waiting[1:] {
			if p := c.priority(); p < best {
				next, best = i+1, p
			}
		}
	}
	c := b.waiting[next]
	b.waiting = slices.Delete(b.waiting, next, next+1)
	return c
}

// wait is the time until a token for a waiting call is there, if nothing changes.
func (b *bucket) wait() time.Duration {
	return max(0, time.Duration((1-b.tokens)/b.refillRate()*float64(time.Second)))
}

// noteRefusal adapts the rate to a refusal by the log.
func (b *bucket) noteRefusal(now time.Time) {
	b.advance(now)
	b.tokens = min(b.tokens, 0)
	if now.Sub(b.refusedAt) < refusalInterval {
		return
	}
	b.refusedAt = now
	part := b.part * b.correction
	if b.extra > 0 {
		b.extra = max(0, (part+b.extra)/2-part)
		b.refusedAtPartSince = time.Time{}
		return
	}
	if b.refusedAtPartSince.IsZero() {
		b.refusedAtPartSince = now
	}
	if now.Sub(b.refusedAtPartSince) >= correctionDelay {
		b.correction = max(minCorrection, b.correction*correctionFactor)
	}
}
