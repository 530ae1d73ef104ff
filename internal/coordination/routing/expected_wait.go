package routing

import (
	"cmp"
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// timeFeatures is the number of features of a request that its time is estimated from: a constant, the work, and the
	// load of the upstream.
	timeFeatures = 3
	// modelMemory is the number of recent samples that a timeModel follows. A router of a large fleet sees as many of one
	// service in about a minute.
	modelMemory = 200
	// startSamples is the weight of the start values of a timeModel, in samples.
	startSamples = 4
	// settleSamples is the number of samples of a service before speeds are derived from them.
	settleSamples = 10
	// maxDeviation bounds the ratio of a measured time to the estimate. A caller that reads slowly, or a router that had
	// no processor, must not change the estimate at once.
	maxDeviation = 4
	// minEstimate is the shortest time, in seconds, that a timeModel returns.
	minEstimate = 1e-4
	// startBase is the start value, in seconds, of the time that does not depend on the prompt.
	startBase = 0.01
	// startResponse is the start value, in seconds, of the time of a response of a plain service, and startPace that of
	// the time between two events. Little is known of either, so that they count as startUnknown samples.
	startResponse = 0.05
	startPace     = 0.02
	startUnknown  = 0.05
	// residenceMemory is the number of recent samples that the mean time of a request at an upstream follows.
	residenceMemory = 50
	// minSendMemory and maxSendMemory bound the time constant with which requests sent to an upstream decay. A router of a
	// large fleet has rarely more than one request at an engine, so that the count of outstanding ones says little about
	// its load. sendMemoryFactor is the time constant in multiples of the time between two requests of one router that
	// keep the upstream full: it must exceed 1, or all routers send their next request while it is still full.
	minSendMemory    = 5 * time.Second
	maxSendMemory    = 30 * time.Second
	sendMemoryFactor = 2
	// ownCountConfidence is the number of outstanding requests with which a router trusts the difference of its own count
	// from the mean of the service as much as the mean.
	ownCountConfidence = 0.3
	// maxSlowStartFactor bounds the effect of the speed on the duration of the slow start.
	maxSlowStartFactor = 2
	// serviceTimesRetention is how long the times of a service without upstreams are kept.
	serviceTimesRetention = time.Minute
)

// features are the inputs of a timeModel: 1, the work in blocks multiplied by 1 + load, and the load from 0 to 1.
type features [timeFeatures]float64

func featuresOf(blocks, load float64) features {
	load = min(load, 1)
	return features{1, blocks * (1 + load), load}
}

// timeModel estimates a time in seconds as a linear function of features. It minimizes the squared relative errors of
// the recent samples, with start values that count as some samples.
type timeModel struct {
	start, weights features
	startWeight    float64
	samples        int
	xx             [timeFeatures]features
	xy             features
}

func newTimeModel(startWeight float64, start features) timeModel {
	return timeModel{start: start, weights: start, startWeight: startWeight}
}

func (m *timeModel) estimate(x features) float64 {
	t := 0.0
	for i := range x {
		t += m.weights[i] * x[i]
	}
	return max(minEstimate, t)
}

// observe applies a measured time in seconds.
func (m *timeModel) observe(x features, seconds float64) {
	estimate := m.estimate(x)
	seconds = max(estimate/maxDeviation, min(seconds, estimate*maxDeviation))
	relative := 1 / (estimate * estimate)
	m.samples++
	for i := range x {
		m.xy[i] = m.xy[i]*(1-1.0/modelMemory) + relative*x[i]*seconds
		for j := range x {
			m.xx[i][j] = m.xx[i][j]*(1-1.0/modelMemory) + relative*x[i]*x[j]
		}
	}
	m.solve()
}

// settled reports whether the estimate no longer depends on the start values alone. Compared with those, the first
// upstream that is measured would look fast or slow.
func (m *timeModel) settled() bool { return m.samples >= settleSamples }

// solve sets the weights to the solution of the normal equations by Gaussian elimination. The start values make them
// positive definite.
func (m *timeModel) solve() {
	a, b := m.xx, m.xy
	for i, start := range m.start {
		if start > 0 {
			a[i][i] += m.startWeight / (start * start)
			b[i] += m.startWeight / start
		} else {
			a[i][i] = max(a[i][i], 1) // a feature that is always 0
		}
	}
	for i := range a {
		for j := i + 1; j < timeFeatures; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < timeFeatures; k++ {
				a[j][k] -= factor * a[i][k]
			}
			b[j] -= factor * b[i]
		}
	}
	for i := timeFeatures - 1; i >= 0; i-- {
		for k := i + 1; k < timeFeatures; k++ {
			b[i] -= a[i][k] * m.weights[k]
		}
		// A cost below 0 would send requests to busy upstreams or to those without the prefix.
		m.weights[i] = max(m.start[i]/100, b[i]/a[i][i])
	}
}

// MeasureMode says for which services measured times and speeds of upstreams are used.
type MeasureMode int

// Values of MeasureMode.
const (
	// MeasureNone uses them for none.
	MeasureNone MeasureMode = iota
	// MeasureReported uses them for services of which an upstream has reported how long work takes at present. Where upstreams
	// are alike, the measured times follow the noise of each request and read more prompts again than constant weights do.
	MeasureReported
	// MeasureAll uses them for all services.
	MeasureAll
)

// serviceTimes are the measured times of the upstreams of one model or service.
type serviceTimes struct {
	// first is the time to the first event of an engine, or to the complete response of a plain service. pace is the time
	// between two events.
	first, pace timeModel
	// noise is the usual noise of first in seconds, and sameSpeed the least difference of speeds that counts, see timeNoise.
	noise, sameSpeed float64
	// residence is the mean time in seconds that a request takes a slot.
	residence float64
	// center is the mean logarithm of the lasting slowness of the upstreams. Speeds are relative to it, so that they and the
	// models cannot drift together.
	center float64
	// trust holds how far reports of all upstreams agree with measured times.
	trust agreement
	// upstreams and outstanding count the upstreams and this router's requests in progress.
	upstreams, outstanding int
	usedAt                 time.Time
	// inUse is true if the choice uses the times, see MeasureMode.
	inUse bool
}

func newServiceTimes(w *Weights, kind catalogue.Kind) *serviceTimes {
	t := &serviceTimes{noise: timeNoise, sameSpeed: sameSpeed, pace: newTimeModel(startUnknown, features{startPace, 0, startPace / 10}), residence: w.Queued}
	if kind == catalogue.KindService {
		t.noise, t.sameSpeed = serviceTimeNoise, sameServiceSpeed
		t.first, t.residence = newTimeModel(startUnknown, features{startResponse, 0, startResponse / 10}), startResponse
	} else {
		t.first = newTimeModel(startSamples, features{startBase, w.Block, w.FullBatch})
	}
	return t
}

// timesOf returns the times of the first pool of an upstream. The caller holds r.mu.
func (r *Router) timesOf(s *upstreamState, now time.Time) *serviceTimes {
	name := servicePoolPrefix + s.upstream.Service
	if s.upstream.Kind != catalogue.KindService {
		name = ""
		if len(s.upstream.Models) > 0 {
			name = s.upstream.Models[0]
		}
	}
	t := r.times[name]
	if t == nil {
		t = newServiceTimes(&r.cfg.Weights, s.upstream.Kind)
		t.inUse = r.cfg.Measure == MeasureAll
		r.times[name] = t
	}
	t.usedAt = now
	return t
}

// pruneTimes removes the times and speeds of what is not in the configuration any more. The caller holds r.mu.
func (r *Router) pruneTimes(now time.Time) {
	for name, t := range r.times {
		t.upstreams = 0
		if t.outstanding == 0 && now.Sub(t.usedAt) > serviceTimesRetention && len(r.byName) > 0 {
			delete(r.times, name)
		}
	}
	for name, v := range r.speeds {
		if r.byName[name] == nil && now.Sub(v.usedAt) > speedRetention {
			delete(r.speeds, name)
		}
	}
}

// expectedLoad estimates the number of requests at an upstream, like load, for a fleet in which each router has few
// requests at an upstream. Half of the weight is on the requests in progress: this router's own, and for each other router
// their number drawn towards the mean of the service. The other half is on the rate at which this router has sent
// requests recently.
func (s *upstreamState) expectedLoad(now time.Time, routers int) float64 {
	t := s.times
	mean := float64(t.outstanding) / float64(max(1, t.upstreams))
	k, others := float64(s.outstanding), float64(routers-1)
	shrunk := mean * (ownCountConfidence + k) / (ownCountConfidence + mean)
	memory := s.sendMemory(routers)
	rate := s.sends.decayed(now, memory) / memory.Seconds()
	own := k + others*(shrunk+min(rate*t.residence, k+1))/2
	if s.measuredAt.IsZero() || now.Sub(s.measuredAt) > maxReportAge {
		return own
	}
	return max((1-ownWeight)*s.correctedReport(routers)+ownWeight*own, k)
}

// sendMemory returns the time constant with which requests sent to the upstream decay.
func (s *upstreamState) sendMemory(routers int) time.Duration {
	slots := max(1, cmp.Or(s.report.Concurrency, s.upstream.Concurrency, defaultConcurrency))
	between := float64(routers) * s.times.residence / float64(slots)
	return max(minSendMemory, min(time.Duration(sendMemoryFactor*between*float64(time.Second)), maxSendMemory))
}

// expectedExcess returns how many requests are expected to wait at an upstream for which the given number of requests
// is estimated. The true number varies around the estimate like a Poisson variable, because this router does not know
// what the others send.
func expectedExcess(requests, slots float64, routers int) float64 {
	deviation := math.Sqrt(requests * float64(routers-1) / float64(routers))
	excess := requests - slots
	if deviation < 0.1 || excess < -4*deviation {
		return max(0, excess)
	}
	// The logistic distribution approximates the normal one: at 0 its mean excess is the same, 0.4 deviations.
	scale := logisticScale * deviation
	return scale*math.Log1p(math.Exp(min(excess/scale, 50))) + max(0, excess-50*scale)
}

// logisticScale is 1/(sqrt(2 pi) ln 2).
const logisticScale = 0.5755

// holds returns how likely an upstream holds what it is expected to have in its cache: after a restart its cache is empty,
// and it evicts parts when its memory is used up.
func (s *upstreamState) holds(now time.Time) float64 {
	p := s.speed.held.mean(heldBefore, startHeld)
	if s.slowStartAt.IsZero() {
		return p
	}
	return p * max(0, min(1, now.Sub(s.slowStartAt).Seconds()/s.slowStart.Seconds()))
}

// expectedTime estimates the time in seconds until an upstream sends the first event, or until a plain service responds:
// the wait for a slot, the time to read what is not cached, and the costs of failures, suspects and distance.
func (r *Router) expectedTime(s *upstreamState, req *Request, now time.Time, routers int) float64 {
	w, t := &r.cfg.Weights, s.times
	requests, slots := s.expectedLoad(now, routers), s.concurrency(now)
	load := requests / slots
	slowness := s.speed.slowness(t, now)
	otherRegion := s.upstream.Region != r.cfg.Region
	if req.Service != "" {
		// In multiples of the usual time of a response.
		score := slowness*(1+load) + w.ServiceFailures*s.failureRate(now)
		if otherRegion || s.upstream.Zone != r.cfg.Zone {
			score += w.ServiceZone
		}
		return score
	}
	blocks := 0.0
	if n := len(req.PrefixHashes); n > 0 {
		blocks = float64(n)
		if cached := r.cachedBlocks[s.cacheID]; cached > 0 {
			blocks -= float64(cached) * s.holds(now)
		}
	}
	x := featuresOf(blocks, load)
	// The measured cost of the load is what it costs the request itself. The request also delays others there, so that the
	// cost is never below its start value.
	externalCost := max(0, w.FullBatch-t.first.weights[2]) * x[2]
	score := slowness * (t.first.estimate(x) + externalCost +
		t.first.weights[1]*s.pendingBlocks + t.residence*expectedExcess(requests, slots, routers)/slots)
	score += w.Failures*s.failureRate(now) + r.distance(s)
	if s.suspects > 0 {
		score += w.Suspect
	}
	return score
}

// distance returns the cost in seconds of the network between this router and an engine.
func (r *Router) distance(s *upstreamState) float64 {
	switch {
	case s.upstream.Region != r.cfg.Region:
		return r.cfg.Weights.Region
	case s.upstream.Zone != r.cfg.Zone:
		return r.cfg.Weights.Zone
	}
	return 0
}

// attemptTimes is what is known of the times of an attempt.
type attemptTimes struct {
	// load is the load of the upstream in multiples of its slots: as estimated when the attempt was sent, or as stated in
	// its response.
	load float64
	// workLog is the logarithm of the duration of work that the response states, if reported is true.
	workLog      float64
	reported     bool
	firstEventAt time.Time
	events       int
	complete     bool
}

// beginTimes records what is known when an attempt is sent. The caller holds r.mu.
func (r *Router) beginTimes(a *Attempt, now time.Time) {
	s := a.state
	a.pool = s.times
	a.pool.outstanding++
	if r.cfg.Measure == MeasureNone {
		return
	}
	routers := max(1, r.cfg.Routers())
	a.times.load = s.expectedLoad(now, routers) / s.concurrency(now)
	s.sends.add(1, 1, now, s.sendMemory(routers))
}

// noteLoad records the load that a response states. The caller holds r.mu.
func (a *Attempt) noteLoad(running, waiting, slots, workPercent int, now time.Time) {
	if slots > 0 {
		a.times.load = float64(running+waiting) / float64(slots)
	}
	if workPercent > 0 {
		a.times.workLog, a.times.reported = math.Log(float64(workPercent)/100), true
		a.pool.inUse = a.pool.inUse || a.router.cfg.Measure == MeasureReported
		a.state.speed.workLog, a.state.speed.workAt = a.times.workLog, now
	}
}

// Event records that an event of a stream has arrived.
func (a *Attempt) Event() {
	a.times.events++
	if a.times.events > 1 {
		return
	}
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	a.times.firstEventAt = now
	if r.cfg.Measure != MeasureNone && !a.done && a.upstream.Kind != catalogue.KindService {
		a.measureFirst(now)
	}
}

// Complete records that the whole response has arrived.
func (a *Attempt) Complete() {
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Measure == MeasureNone || a.done || a.times.complete {
		return
	}
	a.times.complete = true
	now := r.cfg.Now()
	t := a.pool
	t.residence += (now.Sub(a.pickedAt).Seconds() - t.residence) / residenceMemory
	switch {
	case a.upstream.Kind == catalogue.KindService:
		a.measureFirst(now)
	case a.times.events >= minPaceEvents:
		a.measurePace(now)
	}
}

// measureFirst applies the time to the first event, or that of the response of a plain service.
func (a *Attempt) measureFirst(now time.Time) {
	s, t := a.state, a.pool
	wait := t.residence * max(0, a.times.load-1)
	seconds := max(minEstimate, now.Sub(a.pickedAt).Seconds()-a.router.distance(s))
	slowness := s.speed.slowness(t, now)
	x := featuresOf(float64(a.uncachedBlocks), a.times.load)
	// A sample says the less the more of its time is waiting, which is known only roughly.
	estimate := t.first.estimate(x)
	weight := estimate / (estimate + wait)
	if a.predictedBlocks > 0 {
		missed := featuresOf(float64(a.uncachedBlocks+a.predictedBlocks), a.times.load)
		if missedEstimate := t.first.estimate(missed); missedEstimate > minMissRatio*estimate {
			held := seconds/slowness-wait < math.Sqrt(estimate*missedEstimate)
			s.speed.noteHeld(held, now)
			if !held {
				// The upstream has read all of the prompt, or is slow; which one is uncertain.
				x, weight = missed, weight*ambiguousWeight
			}
		}
	}
	net := max(seconds-wait*slowness, seconds/maxDeviation)
	if t.first.settled() {
		s.speed.observe(t, (net+t.noise)/(t.first.estimate(x)+t.noise), weight, a.times, now)
	}
	t.first.observe(x, net/slowness)
}

// measurePace applies the time between the events of a stream.
func (a *Attempt) measurePace(now time.Time) {
	s, t := a.state, a.pool
	n := float64(a.times.events - 1)
	seconds := max(minEstimate, now.Sub(a.times.firstEventAt).Seconds()/n)
	x := featuresOf(0, a.times.load)
	if t.pace.settled() {
		s.speed.observe(t, (seconds+timeNoise/n)/(t.pace.estimate(x)+timeNoise/n), n/(n+minPaceEvents), a.times, now)
	}
	t.pace.observe(x, seconds/s.speed.slowness(t, now))
}
