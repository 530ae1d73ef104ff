package routing

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// maxReportAge is the age above which a load report is ignored. Engines report every 500 ms, and reports
	// are delayed by up to 1 s.
	maxReportAge = 5 * time.Second
	// defaultSlowStart is the time until a new upstream counts with its full concurrency. At first its caches
	// are empty and its first steps are slow.
	defaultSlowStart = 20 * time.Second
	// minSlowStart is the fraction of the concurrency at the beginning of a slow start. Without any requests
	// the upstream could not warm up.
	minSlowStart = 0.1
	// ejectAfterFailures is the number of consecutive failures that eject an upstream.
	ejectAfterFailures = 5
	// baseEjection is the duration of the first ejection. It doubles with each further one up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = time.Minute
	// crashEjection keeps requests away from a crashed upstream at the beginning of its restart.
	crashEjection = 2 * time.Second
	// unreachableEjection keeps requests away from an upstream that accepts no connection. It is short
	// because a new try costs only one connection attempt.
	unreachableEjection = time.Second
	// drainingResponseTTL is how long an upstream counts as draining after a response that says so. Only a
	// load report of a new incarnation ends this time earlier: any other report may have been measured before
	// the response.
	drainingResponseTTL = time.Minute
	// defaultConcurrency is assumed for an upstream without a declared or reported concurrency.
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
	// Concurrency is the number of requests that run at once; 0 means as declared in the catalogue.
	Concurrency int
	// WorkPercent is how long work takes at the upstream at present, in percent of the usual time; 0 means not stated.
	WorkPercent int
	// Draining is true when the upstream takes no new requests.
	Draining bool
	// Models and Adapters are the loaded ones; nil means as declared in the catalogue.
	Models   []string
	Adapters []string
	Version  string
	Role     string
}

// netWindow holds net counts, the requests sent minus the requests ended, for each of the last netSteps time
// steps. With it a load report can be corrected by what was sent after the report was measured.
type netWindow struct {
	net  [netSteps]int32
	step int64
}

const (
	netSteps = 64
	netStep  = 100 * time.Millisecond
)

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(netStep) }

// advance moves the window to the given step and clears the steps that have left it.
func (w *netWindow) advance(step int64) {
	if step-w.step >= netSteps {
		*w = netWindow{step: step}
	}
	for ; w.step < step; w.step++ {
		w.net[(w.step+1)%netSteps] = 0
	}
}

// add counts n at the time at. Times before the window are ignored; times after now count as now.
func (w *netWindow) add(at, now time.Time, n int) {
	w.advance(stepOf(now))
	if k := stepOf(at); k > w.step-netSteps {
		w.net[min(k, w.step)%netSteps] += int32(n)
	}
}

// sumSince returns the net count of the steps that began after the given time.
func (w *netWindow) sumSince(at, now time.Time) int {
	w.advance(stepOf(now))
	sum := 0
	for k := max(stepOf(at)+1, w.step-netSteps+1); k <= w.step; k++ {
		sum += int(w.net[k%netSteps])
	}
	return sum
}

// upstreamState is this router's state of one upstream.
type upstreamState struct {
	upstream *catalogue.Upstream
	nameHash uint64
	cacheID  cacheID
	// inConfig is true while the upstream is in the active configuration.
	inConfig bool
	// evacuated is true while the configuration has the upstream's zone evacuated.
	evacuated bool

	// outstanding and suspects count this router's requests in flight and the suspects among them.
	outstanding int
	suspects    int
	limit       *requestLimit
	notice      *notice
	brittle     *brittleness
	cold        *coldness
	// isBrittle and ownSlots are set by shareBrittle.
	isBrittle bool
	ownSlots  int
	attempts  map[*Attempt]struct{}

	report     Report
	measuredAt time.Time
	// The following are net counts: requests sent minus requests ended.
	netSinceReport      int // since the report, of this router and its peers
	netSincePeerMessage int // since the last peer message, of this router
	netSinceExport      int // since the last export, of this router
	netWindow           netWindow
	// slowStartAt is when the slow start begins; zero means that the upstream had none.
	slowStartAt time.Time
	slowStart   time.Duration
	speed       *upstreamSpeed
	times       *serviceTimes
	// sends are the requests that this router has sent recently.
	sends evidence
	// pendingBlocks is the number of prompt blocks to be computed for this router's requests that have not
	// had their first event.
	pendingBlocks float64
	// recentFailures and recentResults decay exponentially. They were last updated at decayedAt.
	recentFailures float64
	recentResults  float64
	decayedAt      time.Time

	// ejections counts the times that consecutive failures led to a try to eject the upstream, since its last
	// success.
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time

	// listedDraining is true once a configuration or SetListedDraining said that the upstream is draining.
	// Update never sets it back to false.
	listedDraining bool
	// drainingResponseAt is when this router last received the upstream's response that it is draining, or a
	// peer's message of such a response.
	drainingResponseAt time.Time
	// gotDrainingResponse is true when the upstream has sent this router such a response itself.
	gotDrainingResponse bool
	// crashEpoch counts the crashes seen by this router.
	crashEpoch uint64

	// cacheSeq is the sequence number of the last cache event.
	cacheSeq uint64
}

// addOutstanding adds n to all counts of this router's requests.
func (s *upstreamState) addOutstanding(n int, now time.Time) {
	s.outstanding += n
	s.netSinceReport += n
	s.netSincePeerMessage += n
	s.netSinceExport += n
	s.netWindow.add(now, now, n)
}

const (
	// ownWeight is the weight of this router's own requests in the load estimate. They are known without
	// delay, and if each router balances its own requests, the sum is balanced. Reports add what other
	// routers do differently. In simulations, reports alone made routers follow each other to the same
	// upstreams.
	ownWeight = 0.7
	// peerSentWeight is the fraction of this router's net requests since the last peer message that each peer
	// is assumed to have sent too. A weight of 1 would amplify random differences.
	peerSentWeight = 0.3
)

// load estimates the number of requests at the upstream. It combines this router's own requests multiplied by
// the number of routers with the last report, corrected by what this router and its peers have sent since.
func (s *upstreamState) load(now time.Time, routers int) float64 {
	own := float64(s.outstanding * routers)
	if s.measuredAt.IsZero() || now.Sub(s.measuredAt) > maxReportAge {
		return own
	}
	return max((1-ownWeight)*s.correctedReport(routers)+ownWeight*own, float64(s.outstanding))
}

// correctedReport returns the reported requests plus what was sent since the report was measured.
func (s *upstreamState) correctedReport(routers int) float64 {
	known := s.report.Running + s.report.Waiting + s.netSinceReport
	unseen := peerSentWeight * float64(max(0, s.netSincePeerMessage)*(routers-1))
	return max(0, float64(known)+unseen)
}

// concurrency returns the number of requests that the upstream runs at once, reduced during a slow start.
func (s *upstreamState) concurrency(now time.Time) float64 {
	n := s.report.Concurrency
	if n <= 0 {
		n = s.upstream.Concurrency
	}
	if n <= 0 {
		n = defaultConcurrency
	}
	if s.slowStartAt.IsZero() {
		return float64(n)
	}
	age := now.Sub(s.slowStartAt)
	if age >= maxSlowStartFactor*s.slowStart {
		return float64(n)
	}
	// A slow upstream warms up slowly.
	duration := s.slowStart.Seconds() * max(1.0/maxSlowStartFactor, min(s.speed.lastingSlowness(s.times, now), maxSlowStartFactor))
	return float64(n) * min(1, max(minSlowStart, age.Seconds()/duration))
}

// draining reports whether any source says that the upstream takes no new requests.
func (s *upstreamState) draining(now time.Time) bool {
	if !s.inConfig || s.listedDraining || s.report.Draining || s.notice.leaving {
		return true
	}
	return !s.drainingResponseAt.IsZero() && now.Sub(s.drainingResponseAt) < drainingResponseTTL
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
	case req.SoftwareVersion != nil && *req.SoftwareVersion != s.upstream.SoftwareVersion:
		return false
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

// Report applies a load report. It ignores a report of an unknown upstream and one that is older than the
// last. An upstream stays in use if its report is old or missing, so that delayed reports cannot empty a
// pool.
func (r *Router) Report(rep Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byName[rep.Upstream]
	now := r.cfg.Now()
	measured := now.Add(-rep.Age)
	if s == nil || measured.Before(s.measuredAt) {
		return
	}
	if rep.Incarnation != s.report.Incarnation {
		r.handleRestart(s, now)
	}
	s.report, s.measuredAt = rep, measured
	s.netSinceReport = s.netWindow.sumSince(measured, now)
	if s.brittle.named {
		s.noteRoom(now)
	}
	r.endExcessEjections()
}

// handleRestart begins a new incarnation: what the old one said about itself, its request limit and its cache no
// longer count. The first report of an upstream is not a restart.
func (r *Router) handleRestart(s *upstreamState, now time.Time) {
	if s.measuredAt.IsZero() {
		return
	}
	s.drainingResponseAt, s.gotDrainingResponse = time.Time{}, false
	*s.notice = notice{}
	s.slowStartAt = now
	*s.speed = upstreamSpeed{usedAt: now}
	r.setRequestLimit(s.upstream.Name, 0, now, false)
	r.setBrittle(s.upstream.Name, false, 0, now, false)
	r.assignCacheID(s)
}

// SetListedDraining sets whether the upstream is listed as draining. Only tests and the simulation call it;
// in production Update takes this from the configuration.
func (r *Router) SetListedDraining(upstream string, draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byName[upstream]; s != nil {
		s.listedDraining = draining
		r.endExcessEjections()
	}
}

// MarkDraining applies a peer's message that the upstream said in a response that it is draining.
func (r *Router) MarkDraining(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byName[upstream]; s != nil && !s.draining(r.cfg.Now()) {
		r.markDraining(s)
	}
}

// DrainingResponses returns the upstreams that said in a response to this router that they are draining, to
// be sent to its peers. It omits what came from peers, so that routers do not pass the same message on to
// each other forever.
func (r *Router) DrainingResponses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, s := range r.byName {
		if s.gotDrainingResponse && r.cfg.Now().Sub(s.drainingResponseAt) < drainingResponseTTL {
			names = append(names, name)
		}
	}
	return names
}

func (r *Router) markDraining(s *upstreamState) {
	r.notify(Change{Kind: ChangeDraining, Upstream: s.upstream.Name})
	s.drainingResponseAt = r.cfg.Now()
	r.endExcessEjections()
}

// SentDelta is a net count that a router sends to its peers: the requests that it has sent to an upstream
// minus those that have ended, since the last message.
type SentDelta struct {
	Upstream string `json:"upstream"`
	Net      int    `json:"net"`
}

// ExportSent returns the deltas of this router's own requests since the last call.
func (r *Router) ExportSent() []SentDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []SentDelta
	for name, s := range r.byName {
		if s.netSinceExport != 0 {
			out = append(out, SentDelta{Upstream: name, Net: s.netSinceExport})
			s.netSinceExport = 0
		}
	}
	return out
}

// MergeSent applies the deltas of a peer. age is the time since the middle of the interval that they cover.
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
		s.netWindow.add(at, now, d.Net)
		if at.After(s.measuredAt) {
			s.netSinceReport += d.Net
		}
	}
}

// PeersMerged records that the deltas of all peers up to now have been merged.
func (r *Router) PeersMerged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byName {
		s.netSincePeerMessage = 0
	}
}
