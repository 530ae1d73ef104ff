package routing

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// staleReport is the age from which a load report is not used. Engines
	// report every half second and reports lag by up to a second.
	staleReport = 5 * time.Second
	// slowStart is how long a new upstream takes to get its full share: its
	// caches are empty and its first steps are slow.
	slowStart = 20 * time.Second
	// slowStartFloor is the share at the beginning. Without any requests the
	// upstream could not warm up.
	slowStartFloor = 0.1
	// ejectAfter failures in a row eject an upstream.
	ejectAfter = 5
	// baseEjection doubles with each ejection up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = time.Minute
	// crashPause keeps requests away while a crashed upstream restarts.
	crashPause = 2 * time.Second
	// unreachablePause keeps requests away from an upstream that takes no
	// connection. Another look costs a connection attempt only.
	unreachablePause = time.Second
	// answerSign is how long an upstream's own answer that it is leaving holds
	// when no other sign follows. Reports do not end it: they lag.
	answerSign = time.Minute
	// defaultConcurrency is assumed for an upstream that states none.
	defaultConcurrency = 16
)

// Report is the load report of an upstream.
type Report struct {
	Upstream string
	// Age is the time since the upstream measured it.
	Age time.Duration
	// Incarnation changes when the upstream restarts.
	Incarnation string
	Running     int
	Waiting     int
	// Concurrency is the number of requests run at once; 0 means as declared.
	Concurrency int
	// Draining is true when the upstream takes no new work.
	Draining bool
	// Models and Adapters are what is loaded; nil means as declared.
	Models   []string
	Adapters []string
	Version  string
	Role     string
}

// sentWindow holds requests sent minus requests ended, in short steps, so that
// a report can be corrected from the time at which it was measured.
type sentWindow struct {
	net  [windowSteps]int32
	step int64
}

const (
	windowSteps = 64
	windowStep  = 100 * time.Millisecond
)

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(windowStep) }

func (w *sentWindow) forward(now int64) {
	if now-w.step >= windowSteps {
		*w = sentWindow{step: now}
	}
	for ; w.step < now; w.step++ {
		w.net[(w.step+1)%windowSteps] = 0
	}
}

func (w *sentWindow) add(at, now time.Time, n int) {
	w.forward(stepOf(now))
	if k := stepOf(at); k > w.step-windowSteps {
		w.net[min(k, w.step)%windowSteps] += int32(n)
	}
}

// since returns the sum of the steps that began after the given time.
func (w *sentWindow) since(at, now time.Time) int {
	w.forward(stepOf(now))
	sum := 0
	for k := max(stepOf(at)+1, w.step-windowSteps+1); k <= w.step; k++ {
		sum += int(w.net[k%windowSteps])
	}
	return sum
}

// upstreamState is what this router knows of one upstream.
type upstreamState struct {
	upstream *catalogue.Upstream
	nameHash uint64
	slot     slot
	present  bool

	outstanding int
	suspects    int
	attempts    map[*Attempt]struct{}

	report     Report
	measured   time.Time
	corrected  int // net requests since the report, of this router and its peers
	unseen     int // net requests of this router since the last peer message
	exported   int // net requests of this router since the last export
	sent       sentWindow
	readySince time.Time
	slowStart  time.Duration
	// pendingBlocks are the prompt blocks of this router's requests that wait
	// for their first event.
	pendingBlocks float64
	// recentFailures and recentResults fade with time.
	recentFailures float64
	recentResults  float64
	resultsAt      time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time

	listLeaving  bool
	answerAt     time.Time
	answeredHere bool
	// epoch counts the crashes seen by this router.
	epoch uint64

	cacheSeq uint64
}

func (s *upstreamState) note(n int, now time.Time) {
	s.outstanding += n
	s.corrected += n
	s.unseen += n
	s.exported += n
	s.sent.add(now, now, n)
}

const (
	// ownWeight is the part of the estimate that comes from this router's own
	// requests. They are known without lag, and routers that balance their own
	// requests balance the sum; reports show what others do differently. In the
	// modelled runs, reports alone made routers follow each other.
	ownWeight = 0.7
	// unseenWeight is how much of this router's requests since the last peer
	// message each peer is assumed to have sent too. All of it overstates noise.
	unseenWeight = 0.3
)

// load estimates the requests at the upstream from this router's own requests,
// as if peers had as many there, and from the report with what this router and
// its peers have sent since.
func (s *upstreamState) load(now time.Time, routers int) float64 {
	own := float64(s.outstanding * routers)
	if s.measured.IsZero() || now.Sub(s.measured) > staleReport {
		return own
	}
	return max((1-ownWeight)*s.reported(routers)+ownWeight*own, float64(s.outstanding))
}

// reported is the report corrected by what was sent since it was measured.
func (s *upstreamState) reported(routers int) float64 {
	known := s.report.Running + s.report.Waiting + s.corrected
	unseen := unseenWeight * float64(max(0, s.unseen)*(routers-1))
	return max(0, float64(known)+unseen)
}

func (s *upstreamState) concurrency(now time.Time) float64 {
	n := s.report.Concurrency
	if n <= 0 {
		n = s.upstream.Concurrency
	}
	if n <= 0 {
		n = defaultConcurrency
	}
	if s.readySince.IsZero() {
		return float64(n)
	}
	age := now.Sub(s.readySince)
	if age >= s.slowStart {
		return float64(n)
	}
	return float64(n) * max(slowStartFloor, age.Seconds()/s.slowStart.Seconds())
}

// leaving reports whether any sign says that the upstream takes no new work.
func (s *upstreamState) leaving(now time.Time) bool {
	if !s.present || s.listLeaving || s.report.Draining {
		return true
	}
	return !s.answerAt.IsZero() && now.Sub(s.answerAt) < answerSign
}

func (s *upstreamState) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

func (s *upstreamState) serves(req *Request) bool {
	models, adapters := s.upstream.Models, s.upstream.Adapters
	if s.report.Models != nil {
		models = s.report.Models
	}
	if s.report.Adapters != nil {
		adapters = s.report.Adapters
	}
	switch {
	case req.Service != "":
		return true
	case !slices.Contains(models, req.Model):
		return false
	case req.Adapter != "" && !slices.Contains(adapters, req.Adapter):
		return false
	case req.Version != "" && req.Version != s.report.Version:
		return false
	}
	return s.report.Role == "" || s.report.Role == req.Role || (req.Role == "" && s.report.Role == RoleBoth)
}

// Report takes over a load report. An older report than the last one is
// ignored. A report never takes an upstream out of use by its age or its
// absence, so that a late report cannot empty the pool.
func (r *Router) Report(rep Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byName[rep.Upstream]
	now := r.cfg.Now()
	measured := now.Add(-rep.Age)
	if s == nil || measured.Before(s.measured) {
		return
	}
	if rep.Incarnation != s.report.Incarnation {
		r.restarted(s, now)
	}
	s.report, s.measured = rep, measured
	s.corrected = s.sent.since(measured, now)
	r.refill()
}

// restarted starts a new incarnation: the signs and caches of the old one are
// void. The first report of an upstream is no restart.
func (r *Router) restarted(s *upstreamState, now time.Time) {
	if s.measured.IsZero() {
		return
	}
	s.answerAt, s.answeredHere = time.Time{}, false
	s.readySince = now
	r.newSlot(s)
}

// SetListedDraining takes over whether the list of the platform says that an
// upstream is leaving.
func (r *Router) SetListedDraining(upstream string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byName[upstream]; s != nil {
		s.listLeaving = leaving
		r.refill()
	}
}

// MarkDraining takes over a peer's message that the upstream has answered that it
// is leaving.
func (r *Router) MarkDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byName[upstream]; s != nil && !s.leaving(r.cfg.Now()) {
		r.markLeaving(s)
	}
}

// DrainingResponses returns the upstreams that have answered this router that they
// are leaving, for its peers. What peers have told is left out, so that a sign
// does not go round for ever.
func (r *Router) DrainingResponses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, s := range r.byName {
		if s.answeredHere && r.cfg.Now().Sub(s.answerAt) < answerSign {
			names = append(names, name)
		}
	}
	return names
}

func (r *Router) markLeaving(s *upstreamState) {
	r.notify(Change{Kind: ChangeLeaving, Upstream: s.upstream.Name})
	s.answerAt = r.cfg.Now()
	r.refill()
}

// SentDelta is what a router tells its peers of its own requests: those sent
// minus those ended since the last message.
type SentDelta struct {
	Upstream string `json:"upstream"`
	Net      int    `json:"net"`
}

// ExportSent returns this router's deltas since the last call.
func (r *Router) ExportSent() []SentDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []SentDelta
	for name, s := range r.byName {
		if s.exported != 0 {
			out = append(out, SentDelta{Upstream: name, Net: s.exported})
			s.exported = 0
		}
	}
	return out
}

// MergeSent takes over a peer's deltas. Age is the time since the middle of the
// interval that they cover.
func (r *Router) MergeSent(deltas []SentDelta, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	at := now.Add(-age)
	for _, d := range deltas {
		s := r.byName[d.Upstream]
		if s == nil {
			continue
		}
		s.sent.add(at, now, d.Net)
		if at.After(s.measured) {
			s.corrected += d.Net
		}
	}
}

// PeersMerged notes that every peer's deltas up to now have been merged.
func (r *Router) PeersMerged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byName {
		s.unseen = 0
	}
}
