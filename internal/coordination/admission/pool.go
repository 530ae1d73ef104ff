package admission

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Classes in the order in which they are served.
const (
	indexInteractive = iota
	indexService
	indexQueued
	classCount
)

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

func className(index int) catalogue.Class {
	return [classCount]catalogue.Class{
		catalogue.ClassInteractive, catalogue.ClassService, catalogue.ClassQueued,
	}[index]
}

// pool holds the requests that compete for the same upstreams.
type pool struct {
	name     string
	classes  [classCount]classQueue
	inFlight int
	count    int
	// credit is what a waiting class is owed, in tokens. A class that is owed
	// a request of its mean size is served before higher classes.
	credit [classCount]float64
	// completed and dispatched measure tokens per second.
	completed  rate
	dispatched [classCount]rate
	capacity   int
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name}
		for i := range p.classes {
			p.classes[i].quantum = c.cfg.Quantum
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

// slots returns how many requests of a pool may be in flight for one more of
// the class to be admitted. Queued requests leave a reserve; higher classes may
// go over the node's part of the capacity.
func (c *Controller) slots(p *pool, class int) int {
	switch {
	case p.capacity == math.MaxInt:
		return p.capacity
	case class != indexQueued:
		return int(math.Ceil(float64(p.capacity) * c.cfg.Burst))
	case p.capacity < 2:
		return p.capacity
	default:
		return p.capacity - max(1, int(float64(p.capacity)*c.cfg.Reserve))
	}
}

// dispatch grants waiting requests while there are slots.
//
// Aging bound: while a lower class waits, every token that higher classes get
// earns it QueuedShare tokens of credit, and a class whose credit covers its mean
// request is served first. A request with A tokens ahead of it in its class is
// therefore admitted before higher classes get more than
// (A + 2 * largest request)/QueuedShare tokens.
func (c *Controller) dispatch(p *pool, now time.Time) {
	if p.count == 0 {
		return
	}
	if c.cfg.Capacity != nil {
		p.capacity = max(1, c.cfg.Capacity(p.name))
	}
	eligible := func(t *Ticket) bool { return c.eligible(t, now) }
	for p.count > 0 && p.inFlight < c.slots(p, indexInteractive) {
		t, owed := p.next(eligible, c.slots(p, indexQueued))
		if t == nil {
			return
		}
		p.account(t, owed, c.cfg.QueuedShare)
		c.leaveQueue(t)
		c.grant(t, now)
		if t.admitted != nil {
			t.admitted()
		}
	}
}

// next takes the next request: first of a lower class that is owed tokens, then
// in class order.
func (p *pool) next(eligible func(*Ticket) bool, queuedSlots int) (t *Ticket, owed bool) {
	for class := indexQueued; class > indexInteractive; class-- {
		if !p.owed(class) {
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

// owed reports whether a waiting class has earned a request of its mean size.
func (p *pool) owed(class int) bool {
	q := &p.classes[class]
	return q.count > 0 && p.credit[class]*float64(q.count) >= float64(q.tokens)
}

// account takes what a class got off what it is owed, and gives the lower
// classes that wait their share of the dispatch. What a class got in its turn
// does not leave it in debt.
func (p *pool) account(t *Ticket, owed bool, share float64) {
	credit := &p.credit[t.class]
	if owed {
		*credit -= float64(t.cost)
	} else if *credit > 0 {
		*credit = max(0, *credit-float64(t.cost))
	}
	for class := range p.classes {
		switch {
		case p.classes[class].count == 0:
			p.credit[class] = 0
		case class > t.class:
			p.credit[class] += float64(t.cost) * share
		}
	}
}

// minRetryAfter keeps callers from retrying faster than the queue moves.
const minRetryAfter = 100 * time.Millisecond

// checkQueue refuses a request that has to wait and would wait too long.
func (c *Controller) checkQueue(t *Ticket, now time.Time) error {
	if err := t.checkQueueLimits(c.retryAfter(t, now)); err != nil {
		obs.RateLimitedTotal.Add(1)
		return err
	}
	wait := t.pool.estimate(t, now, c.cfg.QueuedShare)
	if c.waiting < c.queueBound(t.class) && wait <= c.maxWait[t.class] {
		return nil
	}
	obs.OverloadedTotal.Add(1)
	return &OverloadedError{Class: className(t.class), Wait: wait, RetryAfter: c.retryAfter(t, now)}
}

// queueBound leaves room for higher classes, so that a full queue refuses the
// lowest class first and no waiting request has to be dropped.
func (c *Controller) queueBound(class int) int {
	return c.cfg.MaxQueue - c.cfg.MaxQueue*class/10
}

// retryAfter is the time until the queue is short enough to accept the request
// if no other request arrives before.
func (c *Controller) retryAfter(t *Ticket, now time.Time) time.Duration {
	wait := t.pool.estimate(t, now, c.cfg.QueuedShare)
	after := wait - c.maxWait[t.class]
	over := c.waiting - c.queueBound(t.class) + 1
	if over > 0 && c.waiting > 0 {
		after = max(after, time.Duration(float64(wait)*float64(over)/float64(c.waiting)))
	}
	return max(after, minRetryAfter)
}

// estimate returns how long the request would wait, from the queue and the
// measured service rate. A team with few waiting requests is not charged with
// the queue of a large team, because the round robin does not make it wait.
func (p *pool) estimate(t *Ticket, now time.Time, share float64) time.Duration {
	total := p.completed.perSecond(now)
	if total <= 0 {
		return 0
	}
	var above, aboveRate float64
	for class := range t.class {
		above += float64(p.classes[class].tokens)
		aboveRate += p.dispatched[class].perSecond(now)
	}
	q := &p.classes[t.class]
	own := float64(q.teamTokens(t.teamName)) * float64(max(1, len(q.ring)))
	ahead := min(own, float64(q.tokens))
	available := max(total-aboveRate, total*share)
	seconds := above/total + ahead/available
	return time.Duration(min(seconds, maxEstimate.Seconds()) * float64(time.Second))
}

// maxEstimate bounds an estimate so that it cannot overflow.
const maxEstimate = 24 * time.Hour
