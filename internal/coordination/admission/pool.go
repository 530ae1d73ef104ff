package admission

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Levels in the order in which they are served. Level 0 is the class interactive, levels 1 to 9 are the priorities of the
// class service, and the last level is the class queued.
const (
	indexInteractive = 0
	indexService     = 1
	indexQueued      = indexService + maxPriority
	classCount       = indexQueued + 1
)

// maxPriority is the least urgent priority of the class service.
const maxPriority = 9

// classIndex returns the most urgent level of a class.
func classIndex(c catalogue.Class) int {
	switch c {
	case catalogue.ClassInteractive:
		return indexInteractive
	case catalogue.ClassService:
		return indexService
	default:
		return indexQueued
	}
}

// level returns the level of a request.
func level(c catalogue.Class, priority int) int {
	if c != catalogue.ClassService {
		return classIndex(c)
	}
	return min(max(priority, indexService), maxPriority)
}

// classAt returns the class that a level belongs to.
func classAt(index int) catalogue.Class {
	switch index {
	case indexInteractive:
		return catalogue.ClassInteractive
	case indexQueued:
		return catalogue.ClassQueued
	default:
		return catalogue.ClassService
	}
}

// pool holds the requests that compete for the same upstreams.
type pool struct {
	name     string
	classes  [classCount]classQueue
	inFlight int
	// count is the number of waiting requests.
	count int
	// credit holds the tokens that each waiting class has earned. A class whose credit covers a request of
	// its mean size is served before higher classes.
	credit [classCount]float64
	// completedRate and admittedRates measure tokens per second.
	completedRate rateMeter
	admittedRates [classCount]rateMeter
	// arrivedRates measures the tokens per second of all requests of a level, including refused ones.
	arrivedRates [classCount]rateMeter
	// refusals are the last refusals by level for want of capacity. Those of the class queued are not noted, because it
	// accepts long waits.
	refusals [classCount]lastRefusal
	// meanSeconds is the mean time from admission to the end of a request, and meanTokens its mean cost.
	meanSeconds, meanTokens average
	// nextReturn is the time to retry of the next refused caller.
	nextReturn time.Time
	// refusedSinceDemand counts the requests refused for want of capacity since the last call of Controller.Demand.
	refusedSinceDemand int
	// capacity is the value that Config.Capacity last returned, at least 1; math.MaxInt without that function.
	capacity int
}

// lastRefusal is when a request of a level was last refused for want of capacity, and its cost.
type lastRefusal struct {
	at   time.Time
	cost int64
}

// refusedLevelTTL is how long a level goes on earning credit after a refusal. It is longer than the time in which a small
// router serves a request of a higher level.
const refusedLevelTTL = 5 * time.Second

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name}
		for i := range p.classes {
			p.classes[i].quantum = c.cfg.QuantumTokens
		}
		c.pools[name] = p
	}
	p.capacity = math.MaxInt
	if c.cfg.Capacity != nil {
		p.capacity = max(1, c.cfg.Capacity(name))
	}
	return p
}

func (p *pool) waiting() int { return p.count }

// slots returns the number of requests in flight at which a pool admits no more requests of a class. Queued
// requests leave a reserve free, except those chosen for the credit of their class (see pickNext); higher
// classes may exceed the router's capacity.
func (c *Controller) slots(p *pool, class int) int {
	switch {
	case p.capacity == math.MaxInt:
		return p.capacity
	case class != indexQueued:
		return int(math.Ceil(float64(p.capacity) * c.cfg.BurstFactor))
	case p.capacity < 2:
		return p.capacity
	default:
		return p.capacity - max(1, int(float64(p.capacity)*c.cfg.ReserveFraction))
	}
}

// admitWaiting admits waiting requests while there are slots.
//
// Waiting is bounded: while a lower class waits, every token that higher classes get earns it
// LowerClassFraction tokens of credit, and a class whose credit covers its mean request is served first. A
// request that has n tokens ahead of it in its class is therefore admitted before higher classes get more
// than (n + 2 * largest request)/LowerClassFraction tokens, unless a limit holds it back.
func (c *Controller) admitWaiting(p *pool, now time.Time) {
	if p.count == 0 {
		return
	}
	if c.cfg.Capacity != nil {
		p.capacity = max(1, c.cfg.Capacity(p.name))
	}
	eligible := func(t *Ticket) bool { return c.eligible(t, now) }
	for p.count > 0 && p.inFlight < c.slots(p, indexInteractive) {
		t, onCredit := p.pickNext(eligible, c.slots(p, indexQueued), now)
		if t == nil {
			return
		}
		p.dropOldRefusals(now)
		p.updateCredit(t, onCredit, c.cfg.LowerClassFraction)
		c.countDequeued(t)
		c.markAdmitted(t, now)
		if t.onAdmitted != nil {
			t.onAdmitted()
		}
	}
}

// pickNext removes and returns the next request: first one of a lower class with enough credit, then one in
// class order. It also returns whether the request was chosen for its class's credit. queuedSlots limits only
// the queued requests that are chosen in class order.
func (p *pool) pickNext(eligible func(*Ticket) bool, queuedSlots int, now time.Time) (t *Ticket, onCredit bool) {
	for class := indexQueued; class > indexInteractive; class-- {
		if !p.hasCredit(class) || !p.mayOvertake(class, now) {
			continue
		}
		if t := p.classes[class].pop(eligible); t != nil {
			return t, true
		}
	}
	for class := range p.classes {
		if class == indexQueued && p.inFlight >= queuedSlots {
			continue
		}
		if t := p.classes[class].pop(eligible); t != nil {
			return t, false
		}
	}
	return nil, false
}

// hasCredit reports whether the credit of a waiting class covers a request of its mean size.
func (p *pool) hasCredit(class int) bool {
	q := &p.classes[class]
	return q.count > 0 && p.credit[class]*float64(q.count) >= float64(q.tokens)
}

// mayOvertake reports whether the credit of a level may be used. It may not while a smaller fraction of the waiting
// requests of a more urgent priority is served: LowerClassFraction can be all that a level with few requests asks for, and
// its served fraction would then be above that of more urgent ones. The class queued has no such rule, because its requests
// are waited for and not refused.
func (p *pool) mayOvertake(class int, now time.Time) bool {
	if class == indexQueued {
		return true
	}
	served, known := p.servedFraction(class, now)
	if !known {
		return true
	}
	for higher := range class {
		if p.classes[higher].count == 0 {
			continue
		}
		if fraction, known := p.servedFraction(higher, now); known && fraction < served {
			return false
		}
	}
	return true
}

// servedFraction returns the fraction of the tokens of a level that was admitted recently.
func (p *pool) servedFraction(class int, now time.Time) (fraction float64, known bool) {
	arrived := p.arrivedRates[class].perSecond(now)
	if arrived <= 0 {
		return 0, false
	}
	return p.admittedRates[class].perSecond(now) / arrived, true
}

// updateCredit subtracts an admitted request from the credit of its class and adds a fraction of it to the
// credit of each lower class that waits or of which a request was refused recently. A request that was admitted in
// class order does not make the credit negative.
func (p *pool) updateCredit(t *Ticket, onCredit bool, fraction float64) {
	credit := &p.credit[t.class]
	if onCredit {
		*credit -= float64(t.cost)
	} else if *credit > 0 {
		*credit = max(0, *credit-float64(t.cost))
	}
	for class := range p.classes {
		switch {
		case p.classes[class].count == 0 && p.refusals[class].at.IsZero():
			p.credit[class] = 0
		case class > t.class:
			p.credit[class] += float64(t.cost) * fraction
			if p.classes[class].count == 0 {
				p.credit[class] = min(p.credit[class], maxIdleCredit*float64(p.refusals[class].cost))
			}
		}
	}
}

// maxIdleCredit bounds the credit of a level without waiting requests, in requests.
const maxIdleCredit = 2

// dropOldRefusals forgets refusals older than refusedLevelTTL.
func (p *pool) dropOldRefusals(now time.Time) {
	for class := range p.refusals {
		if r := &p.refusals[class]; !r.at.IsZero() && now.Sub(r.at) > refusedLevelTTL {
			*r = lastRefusal{}
		}
	}
}

// coveredByCredit reports whether the credit that a level has earned while its requests were refused covers the request.
// Without it, a level whose requests may wait only for a short time would be starved: the queue of the higher levels is
// always longer than that.
func (p *pool) coveredByCredit(t *Ticket, now time.Time) bool {
	return p.classes[t.class].count == 0 && p.credit[t.class] >= float64(t.cost) && p.mayOvertake(t.class, now)
}

// minRetryAfter keeps callers from retrying faster than the queue drains.
const minRetryAfter = 100 * time.Millisecond

// checkQueue refuses a request that cannot be admitted now and for which the queue is full or the estimated
// wait too long.
func (c *Controller) checkQueue(t *Ticket, now time.Time) error {
	if err := t.checkQueueLimits(c.retryAfter(t, now)); err != nil {
		obs.RateLimitedTotal.Add(1)
		return err
	}
	wait := t.pool.estimateWait(t, now, c.cfg.LowerClassFraction)
	if c.waiting < c.queueLimit(t.class) && (wait <= c.waitLimit(t) || t.pool.coveredByCredit(t, now)) {
		return nil
	}
	if t.class != indexQueued {
		t.pool.refusals[t.class] = lastRefusal{at: now, cost: t.cost}
	}
	t.pool.refusedSinceDemand++
	obs.OverloadedTotal.Add(1)
	return &OverloadedError{Class: classAt(t.class), Wait: wait, RetryAfter: t.pool.spreadReturn(t, c.retryAfter(t, now), now)}
}

// targetWaitFraction is the fraction of a latency target that a request may wait. The rest is for the upstream.
const targetWaitFraction = 0.5

// waitLimit returns the longest accepted estimated wait of a request.
func (c *Controller) waitLimit(t *Ticket) time.Duration {
	switch {
	case t.timeLeft <= 0:
		return c.maxWait[t.class]
	case t.target <= 0:
		return t.timeLeft
	default:
		return min(c.maxWait[t.class], t.timeLeft, time.Duration(targetWaitFraction*float64(t.target)))
	}
}

// maxReturnFraction is the fraction of the time left to a caller that it is willing to wait before it retries.
const maxReturnFraction = 1.0 / 3

// spreadReturn returns the time to retry of a refused request, given the time until the queue is short enough. Successive
// callers get successive times, one for each request that ends meanwhile: if all came back at the same time, most would be
// refused again. The class alone decides for requests without a known time left.
func (p *pool) spreadReturn(t *Ticket, after time.Duration, now time.Time) time.Duration {
	if t.timeLeft <= 0 {
		return after
	}
	at := now.Add(after)
	if p.nextReturn.After(at) {
		at = p.nextReturn
	}
	if latest := now.Add(time.Duration(maxReturnFraction * float64(t.timeLeft))); at.After(latest) {
		at = latest
	}
	next := at
	if rate := p.drainRate(t, now); rate > 0 {
		next = at.Add(time.Duration(p.meanTokens.value / rate * float64(time.Second)))
	}
	// A caller with little time left returns earlier, and does not draw those after it forward.
	if next.After(p.nextReturn) {
		p.nextReturn = next
	}
	return max(at.Sub(now), time.Millisecond)
}

// drainRate returns the tokens per second that the pool completes while it is full. The measured rate is lower while the
// pool is not full, so for requests with a known time left it is at least that of the capacity and the mean request.
func (p *pool) drainRate(t *Ticket, now time.Time) float64 {
	rate := p.completedRate.perSecond(now)
	if t.timeLeft > 0 && p.capacity < math.MaxInt && p.meanSeconds.value > 0 {
		rate = max(rate, float64(p.capacity)*p.meanTokens.value/p.meanSeconds.value)
	}
	return rate
}

// queueLimit returns the number of waiting requests from which a level is refused. It leaves room for higher
// levels, so that a filling queue refuses the lowest level first and no waiting request has to be dropped: a tenth from the
// level of the class service on, rising to a fifth for the class queued.
func (c *Controller) queueLimit(class int) int {
	if class == indexInteractive {
		return c.cfg.MaxQueue
	}
	return c.cfg.MaxQueue - c.cfg.MaxQueue/10 - c.cfg.MaxQueue*(class-indexService)/(10*(indexQueued-indexService))
}

// retryAfter returns the estimated time until the queue is short enough to accept the request, if no other
// request arrives before.
func (c *Controller) retryAfter(t *Ticket, now time.Time) time.Duration {
	wait := t.pool.estimateWait(t, now, c.cfg.LowerClassFraction)
	after := wait - c.waitLimit(t)
	excess := c.waiting - c.queueLimit(t.class) + 1
	if excess > 0 && c.waiting > 0 {
		after = max(after, time.Duration(float64(wait)*float64(excess)/float64(c.waiting)))
	}
	return max(after, minRetryAfter)
}

// estimateWait returns how long the request would wait, from the queue and the measured service rate. The
// queue of a large team does not count fully for a team with few waiting requests, because round robin serves
// both in turn.
func (p *pool) estimateWait(t *Ticket, now time.Time, fraction float64) time.Duration {
	totalRate := p.drainRate(t, now)
	if totalRate <= 0 {
		return 0
	}
	var higherTokens, higherRate float64
	for class := range t.class {
		higherTokens += float64(p.classes[class].tokens)
		higherRate += p.admittedRates[class].perSecond(now)
	}
	q := &p.classes[t.class]
	roundRobinTokens := float64(q.teamTokens(t.teamName)) * float64(max(1, len(q.ring)))
	tokensAhead := min(roundRobinTokens, float64(q.tokens))
	if t.timeLeft > 0 {
		// The time until the next slot is free.
		tokensAhead += p.meanTokens.value / 2
	}
	availableRate := max(totalRate-higherRate, totalRate*fraction)
	seconds := higherTokens/totalRate + tokensAhead/availableRate
	return time.Duration(min(seconds, maxWaitEstimate.Seconds()) * float64(time.Second))
}

// maxWaitEstimate keeps an estimate from overflowing a time.Duration.
const maxWaitEstimate = 24 * time.Hour
