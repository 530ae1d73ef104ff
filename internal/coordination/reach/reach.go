// Package reach concludes, from the connection attempts of all requests together, that this router reaches no upstream of a
// service while its peers may, and chooses the peers that requests are passed on to. daemon.Gateway runs a Monitor; package
// httpapi asks it before it sends a request. The package does no I/O of its own.
package reach

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// addressesToConclude is the number of upstreams that must have failed before a service counts as unreachable. One
	// that has ended, or stands still, is no sign of a partition.
	addressesToConclude = 2
	// checksToReturn is the number of upstreams that checks must reach in a row before requests are sent to them again. In
	// some partitions a part of the connection attempts succeeds.
	checksToReturn = 2
	// silenceToCheck is how long all requests to a service may wait before a connection is opened to tell a partition from
	// slow upstreams. Requests on connections that died with the path show no failure for longer.
	silenceToCheck = 800 * time.Millisecond
	// minCheckPause and maxCheckPause limit the pause after such a check that found a path. It doubles each time, and starts anew
	// after checkPauseReset without one.
	minCheckPause   = time.Second
	maxCheckPause   = 8 * time.Second
	checkPauseReset = 30 * time.Second
	// checkInterval is the time between two checks of an unreachable service.
	checkInterval = 200 * time.Millisecond
)

// Config configures a Monitor.
type Config struct {
	// Upstreams returns the addresses of the upstreams of a service.
	Upstreams func(service string) []string
	// Services returns the names of all services.
	Services func() []string
	// Check opens a connection to an upstream of a service and reports it with Monitor.Connected. No request is sent.
	Check func(ctx context.Context, service, address string) error
	// Notify is called without a lock held when a conclusion changes.
	Notify func(Change)
	// Choose returns an index below n; nil means the first.
	Choose func(n int) int
	Now    func() time.Time
}

// Change is a changed conclusion.
type Change struct {
	Service     string
	Unreachable bool
	// Failed is the number of upstreams to which connection attempts had failed.
	Failed int
	// For is the time since the last sign of a path to an upstream, 0 without one, or, at the end, since the conclusion.
	For time.Duration
}

// Monitor knows the services of which this router reaches no upstream. It is safe for concurrent use. A nil Monitor
// reaches all.
type Monitor struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of the paths to the upstreams of a service.
type service struct {
	// provenAt is when the last connection was opened, or the last byte received.
	provenAt time.Time
	// failed holds the addresses to which connection attempts have failed since provenAt.
	failed map[string]struct{}
	// unreachableSince is zero while the service is reachable.
	unreachableSince time.Time
	// reached holds the addresses that were reached since, without a failure between.
	reached  map[string]struct{}
	checking bool
	// waiting is the number of requests at upstreams, and waitingSince when it last rose from 0.
	waiting      int
	waitingSince time.Time
	// silentAt is when silence led to the last check, and pause the time until the next one.
	silentAt time.Time
	pause    time.Duration
}

// New returns a Monitor for which all services are reachable.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg, services: make(map[string]*service)} }

func (m *Monitor) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{failed: make(map[string]struct{}), reached: make(map[string]struct{})}
		m.services[name] = s
	}
	return s
}

// Unreachable reports whether the router reaches no upstream of the service.
func (m *Monitor) Unreachable(name string) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	return s != nil && !s.unreachableSince.IsZero()
}

// UnreachableServices returns the names of the services for which Unreachable is true.
func (m *Monitor) UnreachableServices() (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.services {
		if !s.unreachableSince.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Received records that an upstream of the service sent something. It does not end a conclusion: open connections may
// live on while new ones fail.
func (m *Monitor) Received(name string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service(name).prove(m.cfg.Now())
}

// Begin records that a request is sent to an upstream of the service, and End that it has ended.
func (m *Monitor) Begin(name string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	if s.waiting++; s.waiting == 1 {
		s.waitingSince = m.cfg.Now()
	}
}

// End is the counterpart of Begin.
func (m *Monitor) End(name string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service(name).waiting--
}

// isSilent reports whether silence of all upstreams calls for a check now.
func (s *service) isSilent(now time.Time) bool {
	return s.waiting > 0 && now.Sub(s.waitingSince) >= silenceToCheck && now.Sub(s.provenAt) >= silenceToCheck &&
		now.Sub(s.silentAt) >= s.pause
}

// noteSilence sets the time of the next check.
func (s *service) noteSilence(now time.Time) {
	if now.Sub(s.silentAt) > checkPauseReset {
		s.pause = 0
	}
	s.pause, s.silentAt = min(maxCheckPause, max(minCheckPause, 2*s.pause)), now
}

func (s *service) prove(now time.Time) {
	s.provenAt = now
	clear(s.failed)
}

// Connected records the result of a connection attempt to an upstream, which began at the given time.
func (m *Monitor) Connected(name, address string, began time.Time, err error) {
	if m == nil {
		return
	}
	m.mu.Lock()
	change, changed := m.connected(m.service(name), name, address, began, err)
	m.mu.Unlock()
	if changed && m.cfg.Notify != nil {
		m.cfg.Notify(change)
	}
}

func (m *Monitor) connected(s *service, name, address string, began time.Time, err error) (Change, bool) {
	now := m.cfg.Now()
	unreachable := !s.unreachableSince.IsZero()
	switch {
	case err == nil && unreachable:
		s.reached[address] = struct{}{}
		if len(s.reached) < m.enough(name, checksToReturn) {
			return Change{}, false
		}
		change := Change{Service: name, Failed: len(s.failed), For: now.Sub(s.unreachableSince)}
		s.unreachableSince = time.Time{}
		s.prove(now)
		return change, true
	case err == nil:
		s.prove(now)
		return Change{}, false
	case unreachable:
		clear(s.reached)
		s.failed[address] = struct{}{}
		return Change{}, false
	case !began.After(s.provenAt):
		// The path worked after the attempt began.
		return Change{}, false
	}
	s.failed[address] = struct{}{}
	needed := m.enough(name, addressesToConclude)
	if m.anyUnreachable() {
		needed = 1
	}
	if len(s.failed) < needed {
		return Change{}, false
	}
	s.unreachableSince = now
	clear(s.reached)
	change := Change{Service: name, Unreachable: true, Failed: len(s.failed)}
	if !s.provenAt.IsZero() {
		change.For = now.Sub(s.provenAt)
	}
	return change, true
}

// enough returns n, or the number of upstreams if the service has fewer.
func (m *Monitor) enough(name string, n int) int { return max(1, min(n, len(m.cfg.Upstreams(name)))) }

func (m *Monitor) anyUnreachable() bool {
	for _, s := range m.services {
		if !s.unreachableSince.IsZero() {
			return true
		}
	}
	return false
}

// Run checks unreachable services until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, name := range m.toCheck() {
			go m.check(ctx, name)
		}
	}
}

// toCheck returns the services to check now, and marks them as being checked: unreachable ones, those that are silent and,
// while a service is unreachable, those that have shown no path since. A partition mostly concerns all services.
func (m *Monitor) toCheck() (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var since time.Time
	for _, s := range m.services {
		if s.unreachableSince.After(since) {
			since = s.unreachableSince
		}
	}
	for _, name := range m.cfg.Services() {
		s := m.service(name)
		silent := s.unreachableSince.IsZero() && s.isSilent(now)
		if s.checking || !silent && s.unreachableSince.IsZero() && !s.provenAt.Before(since) {
			continue
		}
		if silent {
			s.noteSilence(now)
		}
		s.checking = true
		names = append(names, name)
	}
	return names
}

// check opens connections to upstreams of a service: to return to an unreachable one as many as that needs, unless one
// fails, else until one succeeds or the service is unreachable.
func (m *Monitor) check(ctx context.Context, name string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.service(name).checking = false
	}()
	returning := m.Unreachable(name)
	for range max(checksToReturn, addressesToConclude) {
		address, ok := m.nextToCheck(name)
		if !ok {
			return
		}
		failed := m.cfg.Check(ctx, name, address) != nil
		if failed == returning || m.Unreachable(name) != returning {
			return
		}
	}
}

// Confirm reports whether the router reaches no upstream of the service, after a connection attempt at one of them failed. It
// tries another one.
func (m *Monitor) Confirm(ctx context.Context, name, failed string) bool {
	if m == nil {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(m.cfg.Upstreams(name)), func(a string) bool { return a == failed })
	if len(others) == 0 {
		return m.anyOtherUnreachable(name)
	}
	return m.cfg.Check(ctx, name, others[m.choose(len(others))]) != nil && m.Unreachable(name)
}

// anyOtherUnreachable reports whether another service is unreachable.
func (m *Monitor) anyOtherUnreachable(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, s := range m.services {
		if other != name && !s.unreachableSince.IsZero() {
			return true
		}
	}
	return false
}

func (m *Monitor) choose(n int) int {
	if m.cfg.Choose == nil {
		return 0
	}
	return m.cfg.Choose(n)
}

// nextToCheck returns an upstream that has not been tried since the last change. A service without upstreams counts as reachable again.
func (m *Monitor) nextToCheck(name string) (address string, ok bool) {
	addresses := m.cfg.Upstreams(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	if len(addresses) == 0 {
		s.unreachableSince = time.Time{}
		return "", false
	}
	tried := s.failed
	if !s.unreachableSince.IsZero() {
		tried = s.reached
	}
	var candidates []string
	for _, a := range addresses {
		if _, ok := tried[a]; !ok {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = addresses
	}
	return candidates[m.choose(len(candidates))], true
}
