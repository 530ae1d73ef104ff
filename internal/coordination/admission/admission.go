// Package admission decides when a request may be dispatched. It orders
// requests by class, shares capacity fairly between teams, holds limits per
// entry and team, and sheds load early with a truthful retry time.
//
// All decisions use an injected clock and do no I/O. Time passes only in calls:
// Admit, Done and Advance each dispatch what has become possible.
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
	// Tokens is the upper bound of the request, in tokens.
	Tokens int64
	// Limits are the fleet-wide limits of the entry.
	Limits catalogue.Limits
	// Pool names the upstreams that the request competes for: a model or a
	// service. Requests of different pools do not wait for each other.
	Pool string
}

// RateLimitedError reports that a limit of the entry or team is used up. The
// request did not run.
type RateLimitedError struct {
	// Scope is the entry or team whose limit is used up.
	Scope string
	// Limit names the limit as the catalogue does.
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("limit %s of %s is used up; retry after %s", e.Limit, e.Scope, e.RetryAfter)
}

// OverloadedError reports that the request would wait longer than its class
// allows. The request did not run.
type OverloadedError struct {
	Class catalogue.Class
	// Wait is the estimated wait of the request in the queue.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("no capacity for class %s: estimated wait %s; retry after %s", e.Class, e.Wait, e.RetryAfter)
}

// Defaults of Config.
const (
	// DefaultQuantum is the number of tokens that a team may send in one round.
	// It is above most requests, so that a round normally serves each team.
	DefaultQuantum = 8192
	// DefaultMaxQueue bounds the requests that wait on one node. Memory
	// stays bounded however long an overload lasts.
	DefaultMaxQueue = 20000
	// DefaultReserve is the part of the capacity that queued requests leave
	// free, so that an interactive request does not wait for a slot. Engines are
	// not filled evenly; with a tenth, one in twenty interactive requests met a
	// full engine at 120% load in the modelled runs.
	DefaultReserve = 0.2
	// DefaultBurst is how far the higher classes may go over the node's part of
	// the capacity. The other nodes are then usually below theirs, and engines
	// serve urgent requests first; a strict part made interactive requests wait
	// while other nodes had free slots.
	DefaultBurst = 1.25
	// DefaultQueuedShare is the part of the tokens that a waiting lower class
	// gets while higher classes use up the capacity. Queued requests are long,
	// so that they occupy about twice this part of the slots.
	DefaultQueuedShare = 0.03
)

// Longest estimated wait that is still accepted, per class. Interactive callers
// give up after a few seconds, and a request that is shed early costs nothing.
const (
	maxWaitInteractive = time.Second
	maxWaitService     = 5 * time.Second
	maxWaitQueued      = 30 * time.Minute
)

// Config holds the settings of a Controller.
type Config struct {
	// Now is the clock.
	Now func() time.Time
	// Capacity returns how many requests this node may have dispatched to a
	// pool at the same time. Values below 1 count as 1, so that the router
	// can report that no upstream is available. It is called for each request
	// with the controller's lock held, so it returns a value kept from the
	// last fraction of a second and does not call the controller.
	Capacity func(pool string) int
	// Quotas supplies this node's part of fleet-wide limits; nil means all.
	Quotas Quotas
	// TeamLimits returns the fleet-wide limits of a team; nil means none.
	TeamLimits func(team string) catalogue.Limits
	// Quantum is in tokens per team and round.
	Quantum int64
	// MaxQueue bounds the waiting requests of this node.
	MaxQueue int
	// Reserve is the part of the capacity kept free of queued requests.
	Reserve float64
	// Burst is the multiple of the capacity that higher classes may use.
	Burst float64
	// QueuedShare is the part of the tokens that a waiting lower class gets.
	QueuedShare float64
	// MaxWait overrides the longest accepted wait per class.
	MaxWait map[catalogue.Class]time.Duration
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Quotas == nil {
		c.Quotas = whole{}
	}
	if c.Quantum <= 0 {
		c.Quantum = DefaultQuantum
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.Reserve <= 0 {
		c.Reserve = DefaultReserve
	}
	if c.Burst < 1 {
		c.Burst = DefaultBurst
	}
	if c.QueuedShare <= 0 {
		c.QueuedShare = DefaultQueuedShare
	}
	return c
}

// Controller admits requests on one node. It is safe for concurrent use.
type Controller struct {
	cfg     Config
	maxWait [classCount]time.Duration

	mu      sync.Mutex
	pools   map[string]*pool
	scopes  map[Scope]*scope
	waiting int
	swept   time.Time
}

// New returns a controller without requests.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:     cfg.withDefaults(),
		maxWait: [classCount]time.Duration{maxWaitInteractive, maxWaitService, maxWaitQueued},
		pools:   make(map[string]*pool),
		scopes:  make(map[Scope]*scope),
	}
	for class, wait := range cfg.MaxWait {
		c.maxWait[classIndex(class)] = wait
	}
	return c
}

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateAdmitted
	stateDone
)

// Ticket is one admitted or waiting request. Its owner calls Done exactly once
// after the request has ended; further calls have no effect.
type Ticket struct {
	controller  *Controller
	pool        *pool
	entry, team *scope
	entryKey    record.EntryKey
	teamName    string
	class       int
	cost        int64
	state       ticketState
	admitted    func()
}

// Admit waits until the request may be dispatched. It returns RateLimitedError
// or OverloadedError when the request is refused, and the context's error when
// the caller gave up while waiting.
func (c *Controller) Admit(ctx context.Context, req Request) (*Ticket, error) {
	var ready chan struct{}
	t, err := c.offer(req, func() func() {
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

// AdmitAsync is Admit without waiting. When the request has to wait, admitted is
// called later, once, from within Admit, Offer, Done or Advance; it must not
// call the controller.
func (c *Controller) AdmitAsync(req Request, admitted func()) (*Ticket, error) {
	return c.offer(req, func() func() { return admitted })
}

func (c *Controller) offer(req Request, notify func() func()) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	t := c.newTicket(req, now)
	if err := c.checkRates(t, now); err != nil {
		obs.RateLimitedTotal.Add(1)
		return nil, err
	}
	if t.pool.waiting() == 0 && c.eligible(t, now) && t.pool.inFlight < c.slots(t.pool, t.class) {
		c.grant(t, now)
		return t, nil
	}
	if err := c.checkQueue(t, now); err != nil {
		return nil, err
	}
	c.enqueue(t)
	c.dispatch(t.pool, now)
	if t.state == stateWaiting {
		t.admitted = notify()
	}
	return t, nil
}

func (c *Controller) newTicket(req Request, now time.Time) *Ticket {
	t := &Ticket{
		controller: c, pool: c.pool(req.Pool), class: classIndex(req.Class),
		entryKey: req.Entry, teamName: req.Team, cost: max(1, req.Tokens),
	}
	t.entry = c.scope(Scope{Kind: ScopeEntry, Name: req.Entry.Name}, req.Limits, now)
	if c.cfg.TeamLimits != nil {
		t.team = c.scope(Scope{Kind: ScopeTeam, Name: req.Team}, c.cfg.TeamLimits(req.Team), now)
	}
	return t
}

// Admitted reports whether the request may be dispatched.
func (t *Ticket) Admitted() bool {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	return t.state == stateAdmitted
}

// Done ends the request: an admitted one frees its slot, a waiting one leaves
// the queue.
func (t *Ticket) Done() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	switch t.state {
	case stateWaiting:
		t.pool.classes[t.class].remove(t)
		c.leaveQueue(t)
	case stateAdmitted:
		c.release(t, now)
	case stateDone:
		return
	}
	t.state = stateDone
	c.dispatch(t.pool, now)
}

// Advance dispatches what the passing of time has made possible: refilled rate
// limits and changed capacity. The daemon calls it every few tens of
// milliseconds.
func (c *Controller) Advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	for _, p := range c.pools {
		c.dispatch(p, now)
	}
	c.sweep(now)
}

// Stats counts the requests of this node.
type Stats struct {
	Waiting  int
	InFlight int
}

// Stats returns the present counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Waiting: c.waiting}
	for _, p := range c.pools {
		s.InFlight += p.inFlight
	}
	return s
}

func (c *Controller) enqueue(t *Ticket) {
	t.pool.classes[t.class].push(t)
	t.pool.count++
	c.waiting++
	t.eachScope(func(s *scope) { s.waiting++ })
}

func (c *Controller) leaveQueue(t *Ticket) {
	t.pool.count--
	c.waiting--
	t.eachScope(func(s *scope) { s.waiting-- })
}

func (c *Controller) grant(t *Ticket, now time.Time) {
	t.state = stateAdmitted
	t.pool.inFlight++
	t.pool.dispatched[t.class].add(t.cost, now)
	t.eachScope(func(s *scope) { s.take(t.cost, now) })
}

func (c *Controller) release(t *Ticket, now time.Time) {
	t.pool.inFlight--
	t.pool.completed.add(t.cost, now)
	t.eachScope(func(s *scope) { s.inFlight-- })
}

func (t *Ticket) eachScope(visit func(*scope)) {
	if t.entry != nil {
		visit(t.entry)
	}
	if t.team != nil {
		visit(t.team)
	}
}
