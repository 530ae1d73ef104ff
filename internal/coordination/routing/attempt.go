package routing

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Result is the outcome of an attempt.
type Result int

// Results of an attempt.
const (
	// ResultOK means that the response is complete.
	ResultOK Result = iota
	// ResultRefused means that the upstream responded that it did not run the request.
	ResultRefused
	// ResultFailed is a failure that no other result covers, such as a time-out.
	ResultFailed
	// ResultCrashed means that the upstream was lost while it ran the request.
	ResultCrashed
	// ResultDraining means that the upstream responded that it takes no new requests.
	ResultDraining
	// ResultAbandoned means that the caller canceled the attempt. It does not count for or against the
	// upstream and does not clear a suspect.
	ResultAbandoned
	// ResultUnreachable means that the upstream accepted no connection or that another process responded at
	// its address.
	ResultUnreachable
	// ResultLost means that the connection ended before the response did. The upstream may live.
	ResultLost
	// ResultError means that the upstream ran the request and responded with an error of its own.
	ResultError
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	router      *Router
	state       *upstreamState
	upstream    *catalogue.Upstream
	fingerprint Fingerprint
	suspect     bool
	// knownCrashes is the number of crashes known when the attempt was sent.
	knownCrashes uint64
	// crashEpoch is the upstream's crash epoch when the attempt was sent.
	crashEpoch      uint64
	prefixHashes    []uint64
	predictedBlocks int
	// uncachedBlocks is the number of prompt blocks that the upstream has to compute before it can send the
	// first event.
	uncachedBlocks int
	priority       int
	times          attemptTimes
	pool           *serviceTimes
	pickedAt       time.Time
	started        bool
	done           bool
}

// Upstream returns the upstream that the attempt is sent to.
func (a *Attempt) Upstream() *catalogue.Upstream { return a.upstream }

// PredictedBlocks returns the number of prompt blocks expected in the upstream's cache.
func (a *Attempt) PredictedBlocks() int { return a.predictedBlocks }

// Priority returns the priority passed to engines that support one. A lower number is more urgent.
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

func (r *Router) beginAttempt(a *Attempt, now time.Time) {
	s := a.state
	r.beginTimes(a, now)
	s.addOutstanding(1, now)
	a.pickedAt = now
	if s.limit.active() {
		obs.RequestsToLimitedTotal.Add(1)
	}
	if s.cold.limit.active() {
		obs.RequestsToColdTotal.Add(1)
	}
	s.attempts[a] = struct{}{}
	s.pendingBlocks += float64(a.uncachedBlocks)
	if a.suspect {
		s.suspects++
	}
	// The upstream has the prompt's blocks in its cache once it has run the request.
	r.prefix.addPrompt(a.prefixHashes, s.cacheID)
}

// Load applies the load that the upstream reported in a response. workPercent is 0 if the response does not state it.
func (a *Attempt) Load(running, waiting, concurrency, workPercent int) {
	a.router.Report(Report{
		Upstream: a.upstream.Name, Running: running, Waiting: waiting, Concurrency: concurrency, WorkPercent: workPercent,
	})
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	a.noteLoad(running, waiting, concurrency, workPercent, r.cfg.Now())
}

// Started records that the first event of the response has arrived, which shows that the prompt has been
// computed.
func (a *Attempt) Started() {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	a.markStarted()
}

func (a *Attempt) markStarted() {
	if !a.started {
		a.started = true
		a.state.pendingBlocks -= float64(a.uncachedBlocks)
	}
}

// UpstreamLeaves reports whether the upstream is known to leave: it is draining or no longer listed.
func (a *Attempt) UpstreamLeaves() bool {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	return a.state.draining(a.router.cfg.Now())
}

// Done records the result of the attempt. Further calls have no effect.
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
	if result == ResultCrashed && a.crashEpoch == s.crashEpoch {
		r.recordCrash(s, now)
	}
	a.markStarted()
	s.addOutstanding(-1, now)
	a.pool.outstanding--
	s.recordResult(result, now)
	s.noteLost(result, now)
	delete(s.attempts, a)
	if a.suspect {
		s.suspects--
	}
	switch result {
	case ResultOK:
		s.recordSuccess()
		if a.suspect {
			r.cfg.CrashHistory.markClean(a.fingerprint, a.knownCrashes)
		}
	case ResultFailed, ResultLost:
		r.recordFailure(s, now)
	case ResultUnreachable:
		r.eject(s, unreachableEjection, now)
	case ResultDraining:
		s.gotDrainingResponse = true
		if !s.notice.leaving {
			r.markDraining(s)
		}
	}
}

// recordCrash records one crash together with all requests in flight. The other attempts that the crash ended
// are part of it and do not count as further crashes.
func (r *Router) recordCrash(s *upstreamState, now time.Time) {
	id := r.cfg.CrashHistory.crashID(s.upstream.Name, s.report.Incarnation)
	observations := make([]Observation, 0, len(s.attempts))
	for a := range s.attempts {
		// Attempts of an earlier epoch were lost in an earlier crash; Done has not been called for them yet.
		if a.crashEpoch == s.crashEpoch {
			observations = append(observations, Observation{
				Crash: id, Fingerprint: a.fingerprint, Suspect: a.suspect, UnixMilli: now.UnixMilli(),
			})
		}
	}
	s.crashEpoch++
	r.cfg.CrashHistory.Merge(observations...)
	for _, o := range observations {
		if r.cfg.CrashHistory.Quarantined(o.Fingerprint) {
			r.notify(Change{Kind: ChangeQuarantined, Upstream: s.upstream.Name, Fingerprint: o.Fingerprint})
		}
	}
	r.notify(Change{Kind: ChangeCrashed, Upstream: s.upstream.Name})
	r.assignCacheID(s)
	r.eject(s, crashEjection, now)
}

// CacheEvent is a change of an engine's prefix cache. Events may arrive late, and some may be missing.
type CacheEvent struct {
	Upstream    string
	Incarnation string
	// Seq numbers the events of an incarnation.
	Seq     uint64
	Stored  []uint64
	Evicted []uint64
	// Cleared is true when the engine emptied its cache.
	Cleared bool
}

// ApplyCacheEvent applies a cache event. Events older than the last one are ignored. A gap in the sequence
// may hide evictions. The index keeps its entries nevertheless: a stale one costs one computation of the
// prefix, after which the upstream has the block.
func (r *Router) ApplyCacheEvent(e CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byName[e.Upstream]
	if s == nil || e.Seq <= s.cacheSeq || (s.report.Incarnation != "" && e.Incarnation != s.report.Incarnation) {
		return
	}
	if e.Cleared {
		r.assignCacheID(s)
	}
	s.cacheSeq = e.Seq
	for _, h := range e.Evicted {
		r.prefix.remove(h, s.cacheID)
	}
	for _, h := range e.Stored {
		r.prefix.add(h, s.cacheID)
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of change.
const (
	ChangeEjected ChangeKind = iota
	ChangeDraining
	ChangeCrashed
	ChangeQuarantined
	ChangeRequestLimit
	ChangePaused
	ChangeBrittle
	ChangeNotBrittle
	ChangeRejectionBudgetUsed
	ChangeRejectionLimitMalformed
	ChangeCold
	ChangeWarm
)

// Change describes an event at an upstream that is reported to the operator.
type Change struct {
	Kind     ChangeKind
	Upstream string
	// Fingerprint is set for ChangeQuarantined.
	Fingerprint Fingerprint
	// PerSecond and Previous are set for ChangeRequestLimit: the limit in requests per second, and the one before; 0
	// means none. PerSecond is also set for ChangeBrittle and ChangeRejectionBudgetUsed: the limit in rejections per second.
	PerSecond, Previous float64
	// For ChangeCold it is the rate of the permits in requests per second.
	// Pause is set for ChangePaused and ChangeRejectionBudgetUsed, and for ChangeCold: the time for which the upstream stays
	// cold according to its record.
	Pause time.Duration
	// Text is set for ChangeRejectionLimitMalformed.
	Text string
	// Reported is true if another router observed the change.
	Reported bool
}
