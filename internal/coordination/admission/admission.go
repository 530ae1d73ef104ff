// Package admission decides when a request may be dispatched. It orders requests by class and, within the class service, by
// priority, divides capacity fairly between teams, enforces the limits of entries and teams, and refuses requests early, with an
// estimated retry time, when the queue is too long. Each router runs one Controller; the HTTP API asks it
// before a request is sent.
//
// All decisions use an injected clock and do no I/O. Waiting requests are admitted only from within Admit,
// AdmitAsync, Done and Advance.
//
// A queued request is one of the class queued. A request of any class that is in the queue is a waiting
// request.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Request asks for the admission of one request.
type Request struct {
	Entry record.EntryKey
	Team  string
	Class catalogue.Class
	// Priority tells the requests of the class service apart: 1, the most urgent, to 9. Values below 1 count as 1 and values
	// above 9 as 9. It has no effect on other classes.
	Priority int
	// TimeLeft is the time until the caller no longer waits for the response, or 0 if it is unknown or the class alone decides
	// how long the request waits. With it, an expected wait up to TimeLeft is accepted if there is no Target, and the
	// time to retry of a refusal is spread, see RetryAfter of OverloadedError.
	TimeLeft time.Duration
	// Target is the latency that the caller expects, or 0. With a target and TimeLeft, the class's longest wait and a part of
	// the target limit the wait. It is used only with TimeLeft.
	Target time.Duration
	// Tokens is the largest number of tokens that the request may use.
	Tokens int64
	// Limits are the fleet-wide limits of the entry.
	Limits catalogue.Limits
	// Pool names the model or service whose upstreams the request competes for. Requests of different pools
	// do not wait for each other.
	Pool string
}

// RateLimitedError reports that a limit of the entry or team is reached. The request did not run.
type RateLimitedError struct {
	// Scope is the entry or team whose limit is reached.
	Scope string
	// Limit is the limit's name in the catalogue.
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("limit %s of %s is used up; retry after %s", e.Limit, e.Scope, e.RetryAfter)
}

// OverloadedError reports that the queue is full or that the request would wait longer than its class allows.
// The request did not run.
type OverloadedError struct {
	Class catalogue.Class
	// Wait is the estimated wait of the request in the queue.
	Wait time.Duration
	// RetryAfter is when the queue is expected to accept the request. Callers with a Request.TimeLeft get successive times, at
	// the rate at which requests end, so that they do not return at once; at most a third of their time.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("no capacity for class %s: estimated wait %s; retry after %s", e.Class, e.Wait, e.RetryAfter)
}

// Defaults of Config.
const (
	// DefaultQuantumTokens is the number of tokens admitted per team in one round of the round robin. It is
	// larger than most requests, so that a round normally serves each team.
	DefaultQuantumTokens = 8192
	// DefaultMaxQueue bounds the waiting requests of one router, and with them the memory used in an
	// overload.
	DefaultMaxQueue = 20000
	// DefaultReserveFraction is the fraction of the capacity that queued requests leave free, so that an
	// interactive request does not wait for a slot. Engines do not fill evenly: in simulations with a tenth
	// reserved, one in twenty interactive requests reached a full engine at 120% load.
	DefaultReserveFraction = 0.2
	// DefaultBurstFactor is the multiple of the router's capacity that the higher classes may use. Other
	// routers are usually below their capacity then, and engines serve urgent requests first. Without it,
	// interactive requests waited while other routers had free slots.
	DefaultBurstFactor = 1.25
	// DefaultLowerClassFraction is the fraction of the tokens that a class gets while it waits and higher
	// classes saturate the capacity. Queued requests are long, so they occupy about twice this fraction of
	// the slots.
	DefaultLowerClassFraction = 0.03
)

// Longest accepted estimated wait of each class. Interactive callers abort after a few seconds, and a request
// that is refused early costs nothing.
const (
	maxWaitInteractive = time.Second
	maxWaitService     = 5 * time.Second
	maxWaitQueued      = 30 * time.Minute
)

// Config holds the settings of a Controller. A number that is 0 means its default.
type Config struct {
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
	// Capacity returns how many requests of a pool this router may have in flight; nil means no bound. Values
	// below 1 count as 1, so that a request is admitted and its router can report that no upstream is
	// available. Capacity is called for each request with the controller's lock held, so it must return
	// quickly, for example a value computed within the last fraction of a second, and must not call the
	// controller.
	Capacity func(pool string) int
	// Quotas supplies this router's quotas of fleet-wide limits; nil means the whole limits.
	Quotas Quotas
	// TeamLimits returns the fleet-wide limits of a team; nil means none.
	TeamLimits func(team string) catalogue.Limits
	// QuantumTokens is the number of tokens admitted per team in one round of the round robin.
	QuantumTokens int64
	// MaxQueue bounds the waiting requests of this router.
	MaxQueue int
	// ReserveFraction is the fraction of the capacity kept free of queued requests.
	ReserveFraction float64
	// BurstFactor is the multiple of the capacity that higher classes may use; a value below 1 means its
	// default.
	BurstFactor float64
	// LowerClassFraction is the fraction of the tokens that a class gets while it waits and higher classes
	// saturate the capacity.
	LowerClassFraction float64
	// MaxWait overrides the longest accepted wait of the classes that it contains.
	MaxWait map[catalogue.Class]time.Duration
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Quotas == nil {
		c.Quotas = singleRouter{}
	}
	if c.QuantumTokens <= 0 {
		c.QuantumTokens = DefaultQuantumTokens
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.ReserveFraction <= 0 {
		c.ReserveFraction = DefaultReserveFraction
	}
	if c.BurstFactor < 1 {
		c.BurstFactor = DefaultBurstFactor
	}
	if c.LowerClassFraction <= 0 {
		c.LowerClassFraction = DefaultLowerClassFraction
	}
	return c
}

// Controller admits requests on one router. It is safe for concurrent use.
type Controller struct {
	cfg     Config
	maxWait [classCount]time.Duration

	mu        sync.Mutex
	pools     map[string]*pool
	limiters  map[Scope]*limiter
	waiting   int
	lastSweep time.Time
}

// New returns a Controller without requests.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:      cfg.withDefaults(),
		pools:    make(map[string]*pool),
		limiters: make(map[Scope]*limiter),
	}
	c.setMaxWait(catalogue.ClassInteractive, maxWaitInteractive)
	c.setMaxWait(catalogue.ClassService, maxWaitService)
	c.setMaxWait(catalogue.ClassQueued, maxWaitQueued)
	for class, wait := range cfg.MaxWait {
		c.setMaxWait(class, wait)
	}
	return c
}

// setMaxWait sets the longest accepted wait of all levels of a class.
func (c *Controller) setMaxWait(class catalogue.Class, wait time.Duration) {
	for index := range c.maxWait {
		if classAt(index) == class {
			c.maxWait[index] = wait
		}
	}
}

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateAdmitted
	stateDone
)

// Ticket is one waiting or admitted request. Its owner must call Done when the request has ended; further
// calls of Done have no effect.
type Ticket struct {
	controller  *Controller
	pool        *pool
	entry, team *limiter
	entryKey    record.EntryKey
	teamName    string
	// class is the index of the level.
	class int
	// cost is the number of tokens that the request may use, at least 1.
	cost       int64
	state      ticketState
	admittedAt time.Time
	// timeLeft and target are those of the request.
	timeLeft, target time.Duration
	onAdmitted       func()
}

// Admit waits until the request may be dispatched. It returns RateLimitedError or OverloadedError when the
// request is refused, and the context's error when the context ends first.
func (c *Controller) Admit(ctx context.Context, req Request) (*Ticket, error) {
	var ready chan struct{}
	t, err := c.admitOrWait(req, func() func() {
		ready = make(chan struct{})
		return func() { close(ready) }
	})
	if err != nil || ready == nil {
		return t, err
	}
	select {
	case <-ready:
		return t, nil
	case <-ctx.Done():
		t.Done()
		return nil, errors.Wrap(ctx.Err(), "wait for admission")
	}
}

// AdmitAsync is Admit without waiting. When the request has to wait, onAdmitted is called once, later, from
// within Admit, AdmitAsync, Done or Advance; it must not call the controller. If Ticket.Admitted is true on
// return, onAdmitted is not called afterwards.
func (c *Controller) AdmitAsync(req Request, onAdmitted func()) (*Ticket, error) {
	return c.admitOrWait(req, func() func() { return onAdmitted })
}

// admitOrWait admits or refuses the request, or adds it to the queue. Only if it has to wait, newCallback is
// called; the function that it returns is called when the request is admitted.
func (c *Controller) admitOrWait(req Request, newCallback func() func()) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	t := c.newTicket(req, now)
	if err := c.checkRateLimits(t, now); err != nil {
		obs.RateLimitedTotal.Add(1)
		return nil, err
	}
	t.pool.arrivedRates[t.class].add(t.cost, now)
	if t.pool.waiting() == 0 && c.eligible(t, now) && t.pool.inFlight < c.slots(t.pool, t.class) {
		c.markAdmitted(t, now)
		return t, nil
	}
	if err := c.checkQueue(t, now); err != nil {
		return nil, err
	}
	c.enqueue(t)
	c.admitWaiting(t.pool, now)
	if t.state == stateWaiting {
		t.onAdmitted = newCallback()
	}
	return t, nil
}

func (c *Controller) newTicket(req Request, now time.Time) *Ticket {
	t := &Ticket{
		controller: c, pool: c.pool(req.Pool), class: level(req.Class, req.Priority),
		entryKey: req.Entry, teamName: req.Team, cost: max(1, req.Tokens),
		timeLeft: req.TimeLeft, target: req.Target,
	}
	t.entry = c.limiter(Scope{Kind: ScopeEntry, Name: req.Entry.Name}, req.Limits, now)
	if c.cfg.TeamLimits != nil {
		t.team = c.limiter(Scope{Kind: ScopeTeam, Name: req.Team}, c.cfg.TeamLimits(req.Team), now)
	}
	return t
}

// Admitted reports whether the request may be dispatched.
func (t *Ticket) Admitted() bool {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	return t.state == stateAdmitted
}

// Done ends the request: an admitted one frees its slot, a waiting one is removed from the queue.
func (t *Ticket) Done() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	switch t.state {
	case stateWaiting:
		t.pool.classes[t.class].remove(t)
		c.countDequeued(t)
	case stateAdmitted:
		c.release(t, now)
	case stateDone:
		return
	}
	t.state = stateDone
	c.admitWaiting(t.pool, now)
}

// Advance admits waiting requests that refilled rate limits or a changed capacity now allow. The daemon calls
// it every few tens of milliseconds.
func (c *Controller) Advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	for _, p := range c.pools {
		c.admitWaiting(p, now)
	}
	c.sweep(now)
}

// Stats counts the requests of a controller.
type Stats struct {
	Waiting  int
	InFlight int
}

// Stats returns the numbers of waiting requests and of requests in flight over all pools.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Waiting: c.waiting}
	for _, p := range c.pools {
		s.InFlight += p.inFlight
	}
	return s
}

// Demand returns the number of concurrent requests of each pool that callers ask this router for: those in flight, those
// that wait, and the mean number that the requests refused for want of capacity in the time elapsed, since the last call,
// would have added.
func (c *Controller) Demand(elapsed time.Duration) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := make(map[string]float64, len(c.pools))
	for name, p := range c.pools {
		n := float64(p.inFlight + p.count)
		if elapsed > 0 {
			n += float64(p.refusedSinceDemand) / elapsed.Seconds() * p.meanSeconds.value
		}
		p.refusedSinceDemand = 0
		demand[name] = n
	}
	return demand
}

func (c *Controller) enqueue(t *Ticket) {
	t.pool.classes[t.class].push(t)
	t.pool.count++
	c.waiting++
	t.eachLimiter(func(l *limiter) { l.waiting++ })
}

func (c *Controller) countDequeued(t *Ticket) {
	t.pool.count--
	c.waiting--
	t.eachLimiter(func(l *limiter) { l.waiting-- })
}

// markAdmitted gives the request a slot and charges it to its limits. release frees the slot.
func (c *Controller) markAdmitted(t *Ticket, now time.Time) {
	t.state = stateAdmitted
	t.admittedAt = now
	t.pool.inFlight++
	t.pool.admittedRates[t.class].add(t.cost, now)
	t.eachLimiter(func(l *limiter) { l.take(t.cost, now) })
}

func (c *Controller) release(t *Ticket, now time.Time) {
	t.pool.inFlight--
	t.pool.meanSeconds.add(now.Sub(t.admittedAt).Seconds())
	t.pool.meanTokens.add(float64(t.cost))
	t.pool.completedRate.add(t.cost, now)
	t.eachLimiter(func(l *limiter) { l.inFlight-- })
}

func (t *Ticket) eachLimiter(visit func(*limiter)) {
	if t.entry != nil {
		visit(t.entry)
	}
	if t.team != nil {
		visit(t.team)
	}
}
