package routing

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Result says how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultOK is a complete answer.
	ResultOK Result = iota
	// ResultRefused is an upstream's answer that it did not run the request.
	ResultRefused
	// ResultFailed is any other failure, such as no connection.
	ResultFailed
	// ResultCrashed is the loss of the upstream while it ran the request.
	ResultCrashed
	// ResultDraining is an upstream's answer that it takes no new work.
	ResultDraining
	// ResultAbandoned is an attempt that the caller gave up. It says nothing
	// about the upstream and does not clear a suspect.
	ResultAbandoned
	// ResultUnreachable is an upstream that took no connection, or another
	// process at its address.
	ResultUnreachable
	// ResultError is an upstream's own failure answer to a request that it ran.
	ResultError
)

// Attempt is one request at one upstream.
type Attempt struct {
	router      *Router
	state       *upstreamState
	upstream    *catalogue.Upstream
	fingerprint Fingerprint
	suspect     bool
	// known is the number of crashes known when the attempt was sent.
	known     uint64
	epoch     uint64
	hashes    []uint64
	predicted int
	// computes is the number of prompt blocks that the upstream has to compute
	// before the first event.
	computes int
	priority int
	started  bool
	done     bool
}

// Upstream returns where the attempt is sent.
func (a *Attempt) Upstream() *catalogue.Upstream { return a.upstream }

// PredictedBlocks returns how many prompt blocks the router expects in the
// upstream's cache.
func (a *Attempt) PredictedBlocks() int { return a.predicted }

// Priority returns the priority for engines that honour one; a lower number is
// more urgent.
func (a *Attempt) Priority() int { return a.priority }

func priorityOf(c catalogue.Class) int {
	switch c {
	case catalogue.ClassInteractive:
		return 0
	case catalogue.ClassService:
		return 1
	default:
		return 2
	}
}

func (r *Router) begin(a *Attempt, now time.Time) {
	s := a.state
	s.note(1, now)
	s.attempts[a] = struct{}{}
	s.pendingBlocks += float64(a.computes)
	if a.suspect {
		s.suspects++
	}
	// The upstream will hold the prompt's blocks once it has run the request.
	r.prefix.expect(a.hashes, s.slot)
}

// Load takes over what the upstream says of its load in an answer.
func (a *Attempt) Load(running, waiting, slots int) {
	a.router.Report(Report{
		Upstream: a.upstream.Name, Running: running, Waiting: waiting, Concurrency: slots,
	})
}

// Started notes the first event of the answer: the prompt has been computed.
func (a *Attempt) Started() {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	a.start()
}

func (a *Attempt) start() {
	if !a.started {
		a.started = true
		a.state.pendingBlocks -= float64(a.computes)
	}
}

// Done ends the attempt. Further calls have no effect.
func (a *Attempt) Done(result Result) {
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	now := r.cfg.Now()
	s := a.state
	if result == ResultCrashed && a.epoch == s.epoch {
		r.crashed(s, now)
	}
	a.start()
	s.note(-1, now)
	s.outcome(result, now)
	delete(s.attempts, a)
	if a.suspect {
		s.suspects--
	}
	switch result {
	case ResultOK:
		s.succeeded()
		if a.suspect {
			r.cfg.CrashHistory.clean(a.fingerprint, a.known)
		}
	case ResultFailed:
		r.failed(s, now)
	case ResultUnreachable:
		r.eject(s, unreachablePause, now)
	case ResultDraining:
		s.answeredHere = true
		r.markLeaving(s)
	}
}

// crashed records one crash with all requests in flight. The others that died
// with it belong to the same crash and do not count again.
func (r *Router) crashed(s *upstreamState, now time.Time) {
	id := r.cfg.CrashHistory.crashID(s.upstream.Name, s.report.Incarnation)
	observations := make([]Observation, 0, len(s.attempts))
	for a := range s.attempts {
		// Attempts of an earlier epoch died in an earlier crash and have only
		// not been ended yet.
		if a.epoch == s.epoch {
			observations = append(observations, Observation{
				Crash: id, Fingerprint: a.fingerprint, Suspect: a.suspect, UnixMilli: now.UnixMilli(),
			})
		}
	}
	s.epoch++
	r.cfg.CrashHistory.Merge(observations...)
	for _, o := range observations {
		if r.cfg.CrashHistory.Quarantined(o.Fingerprint) {
			r.notify(Change{Kind: ChangeQuarantined, Upstream: s.upstream.Name, Fingerprint: o.Fingerprint})
		}
	}
	r.notify(Change{Kind: ChangeCrashed, Upstream: s.upstream.Name})
	r.newSlot(s)
	r.eject(s, crashPause, now)
}

// CacheEvent is a change of an engine's prefix cache. Events come late and with
// gaps.
type CacheEvent struct {
	Upstream    string
	Incarnation string
	// Seq counts the events of an incarnation.
	Seq     uint64
	Stored  []uint64
	Evicted []uint64
	// Cleared is true when the engine dropped its whole cache.
	Cleared bool
}

// ApplyCacheEvent takes over a cache event. An event older than the last one is ignored.
// A gap may hide evictions; the entries stay, because a wrong one costs one
// prefix computation and the next use of the block corrects it.
func (r *Router) ApplyCacheEvent(e CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byName[e.Upstream]
	if s == nil || e.Seq <= s.cacheSeq || (s.report.Incarnation != "" && e.Incarnation != s.report.Incarnation) {
		return
	}
	if e.Cleared {
		r.newSlot(s)
	}
	s.cacheSeq = e.Seq
	for _, h := range e.Evicted {
		r.prefix.remove(h, s.slot)
	}
	for _, h := range e.Stored {
		r.prefix.add(h, s.slot)
	}
}

// ChangeKind says what changed.
type ChangeKind int

// The kinds of change.
const (
	ChangeEjected ChangeKind = iota
	ChangeLeaving
	ChangeCrashed
	ChangeQuarantined
)

// Change is something that an operator may want to know of.
type Change struct {
	Kind     ChangeKind
	Upstream string
	// Fingerprint is set for ChangeQuarantined.
	Fingerprint Fingerprint
}
