// Package reach concludes, from the connection attempts of all requests together, that this router reaches no upstream of a
// service while its peers may, and chooses the peers that requests are passed on to. daemon.Gateway runs a Monitor; package
// httpapi asks it before it sends a request. The package does no I/O of its own.
package reach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// addressesToConclude is the number of upstreams that must have failed before a service counts as unreachable. Some may
	// have ended, or stand still, without a partition.
	addressesToConclude = 5
	// confirmations is the number of upstreams that are tried at once after a first failure.
	confirmations = addressesToConclude - 1
	// confirmDelay is the time after a failure in which other upstreams usually send something.
	confirmDelay = 100 * time.Millisecond
	// checksToReturn is the number of connections that must be opened within returnWindow before requests are sent to upstreams
	// again. In some partitions a part of the connection attempts succeeds.
	checksToReturn = 2
	returnWindow   = 2 * time.Second
	// checksAtOnce is the number of upstreams of an unreachable service that are tried at once.
	checksAtOnce = 2
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
	// failed holds the addresses to which connection attempts have failed since provenAt, the first at failedAt.
	failed   map[string]struct{}
	failedAt time.Time
	// unreachableSince is zero while the service is reachable.
	unreachableSince time.Time
	// reached holds when addresses were reached since, unless the last attempt failed, and returns counts the connections
	// opened since returnsFrom.
	reached     map[string]time.Time
	returns     int
	returnsFrom time.Time
	checking    bool
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
		s = &service{failed: make(map[string]struct{}), reached: make(map[string]time.Time)}
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
		s.reached[address] = now
		if now.Sub(s.returnsFrom) > returnWindow {
			s.returns, s.returnsFrom = 0, now
		}
		if s.returns++; s.returns < checksToReturn {
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
		if _, ok := s.reached[address]; ok {
			delete(s.reached, address)
			s.returns = 0
		}
		s.failed[address] = struct{}{}
		return Change{}, false
	case !began.After(s.provenAt):
		// The path worked after the attempt began.
		return Change{}, false
	}
	if len(s.failed) == 0 {
		s.failedAt = now
	}
	s.failed[address] = struct{}{}
	if len(s.failed) < m.enough(name, addressesToConclude) {
		return Change{}, false
	}
	s.unreachableSince = now
	clear(s.reached)
	s.returns = 0
	change := Change{Service: name, Unreachable: true, Failed: len(s.failed)}
	if !s.provenAt.IsZero() {
		change.For = now.Sub(s.provenAt)
	}
	return change, true
}

// enough returns n, or the number of upstreams if the service has fewer.
func (m *Monitor) enough(name string, n int) int { return max(1, min(n, len(m.cfg.Upstreams(name)))) }

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
		for _, c := range m.toCheck() {
			go m.check(ctx, c)
		}
	}
}

// checks are connection attempts to make at once.
type checks struct {
	service   string
	addresses []string
}

// toCheck returns the checks to make now, and marks their services as being checked: unreachable ones; those of which an
// attempt has failed, and that have shown no path since; silent ones; and, while a service is unreachable, those that have
// shown no path since then. A partition mostly concerns all services.
func (m *Monitor) toCheck() (all []checks) {
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
		n := 0
		switch {
		case s.checking:
			continue
		case !s.unreachableSince.IsZero():
			n = checksAtOnce
		case len(s.failed) > 0 && now.Sub(s.failedAt) >= confirmDelay, s.provenAt.Before(since):
			n = confirmations
		case s.isSilent(now):
			s.noteSilence(now)
			n = 1
		default:
			continue
		}
		addresses := m.addressesToCheck(s, name, n)
		if len(addresses) == 0 {
			// The service has no upstreams.
			s.unreachableSince = time.Time{}
			continue
		}
		s.checking = true
		all = append(all, checks{name, addresses})
	}
	return all
}

// addressesToCheck returns up to n upstreams at random: first those that were reached last, and last those that failed.
func (m *Monitor) addressesToCheck(s *service, name string, n int) []string {
	addresses := slices.Clone(m.cfg.Upstreams(name))
	for i := range addresses {
		j := i + m.choose(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	rank := func(address string) int {
		if _, ok := s.reached[address]; ok {
			return 0
		}
		if _, ok := s.failed[address]; ok && s.unreachableSince.IsZero() {
			return 2
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
	return addresses[:min(n, len(addresses))]
}

// check makes connection attempts, which report their results.
func (m *Monitor) check(ctx context.Context, c checks) {
	var attempts conc.WaitGroup
	for _, address := range c.addresses {
		attempts.Go(func() { _ = m.cfg.Check(ctx, c.service, address) })
	}
	attempts.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service(c.service).checking = false
}

// Path is what is known of the path to the upstreams of a service after one of them has refused a connection.
type Path int

const (
	// PathUntested means that nothing shows whether the path works: the service has no other upstream, or all others are known
	// to have ended for a reason of their own.
	PathUntested Path = iota
	// PathWorks means that another upstream of the service accepts connections.
	PathWorks
	// PathLost means that the path is probably lost, or that the upstreams have ended together: others fail too.
	PathLost
)

// CheckPath tells a lost path from the end of an upstream that refuses connections. It tries other upstreams until one can be
// reached. Those at the addresses in apart are known to have ended for a reason of their own, so that they show nothing.
func (m *Monitor) CheckPath(ctx context.Context, name, refusing string, apart map[string]struct{}) Path {
	if m == nil {
		return PathUntested
	}
	var others, ended []string
	for _, address := range m.cfg.Upstreams(name) {
		if address == refusing {
			continue
		}
		if _, ok := apart[address]; ok {
			ended = append(ended, address)
		} else {
			others = append(others, address)
		}
	}
	switch {
	case m.anyAccepts(ctx, name, others):
		return PathWorks
	case len(others) > 0:
		return PathLost
	case m.anyAccepts(ctx, name, ended): // they may be back
		return PathWorks
	case m.anyOtherUnreachable(name):
		return PathLost
	}
	return PathUntested
}

// confirmStagger is the time after which the next upstream is tried although an earlier one has not responded. Those without
// power do not.
const confirmStagger = 50 * time.Millisecond

// anyAccepts reports whether one of up to confirmations upstreams at random accepts a connection.
func (m *Monitor) anyAccepts(ctx context.Context, name string, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	var attempts conc.WaitGroup
	defer attempts.Wait()
	defer cancel()
	results := make(chan error, confirmations)
	started, failed := 0, 0
	for {
		if started < confirmations && len(addresses) > 0 {
			i := m.choose(len(addresses))
			address := addresses[i]
			addresses = slices.Delete(addresses, i, i+1)
			started++
			attempts.Go(func() { results <- m.cfg.Check(ctx, name, address) })
		}
		if failed == started {
			return false
		}
		select {
		case err := <-results:
			if err == nil {
				return true
			}
			failed++
		case <-time.After(confirmStagger):
		}
	}
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
