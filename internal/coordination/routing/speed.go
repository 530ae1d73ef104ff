package routing

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

const (
	// lastingMemory and peerMemory are the time constants with which this router's own samples of a lasting speed and
	// those of other routers decay.
	lastingMemory = 90 * time.Second
	peerMemory    = 20 * time.Second
	// idleMemory is the time constant with which an upstream that no router measures is taken for a usual one again, so
	// that one that was found slow is measured again.
	idleMemory = 30 * time.Second
	// freshSample is the age up to which own samples are sent to other routers.
	freshSample = 10 * time.Second
	// lastingStart is the weight, in samples, of the assumption that an upstream has the usual speed.
	lastingStart = 3
	// lastingInterval is how long a lasting speed is used until it is computed again.
	lastingInterval = 500 * time.Millisecond
	// momentaryMemory is the time constant of the momentary slowness, and momentaryStart the weight in samples of the
	// assumption that there is none.
	momentaryMemory = 700 * time.Millisecond
	momentaryStart  = 2
	// workMemory is the time constant with which the reported duration of work loses its meaning.
	workMemory = 200 * time.Millisecond
	// maxSurprise bounds the change of the lasting speed by one sample, as a logarithm. Bursts of slow work are momentary.
	maxSurprise = 0.5
	// minSlowness and maxSlowness bound the estimate.
	minSlowness = 0.25
	maxSlowness = 6
	// trustMemory is the number of recent samples that the agreement of reports with measured times follows. startTrust
	// is the trust before any, and counts like reportWeight, in squared logarithms.
	trustMemory  = 30
	startTrust   = 0.3
	reportWeight = 1
	// heldMemory is the time constant of the part of predicted cache contents that were found. startHeld is assumed of
	// heldBefore samples before the first.
	heldMemory = 20 * time.Second
	startHeld  = 0.9
	heldBefore = 2
	// minMissRatio is how much longer a prompt has to take without the cached part for a sample to show whether the
	// part was cached. ambiguousWeight is the weight for the speed of a sample that may have missed the cache.
	minMissRatio    = 1.5
	ambiguousWeight = 0.3
	// minPaceEvents is the least number of events in a stream from which the pace is measured.
	minPaceEvents = 8
	// speedRetention is how long the speed of an upstream that is not in the configuration is kept. An upstream may be
	// missing for some seconds while it cannot renew its registration.
	speedRetention = time.Minute
	// sameSpeed is the logarithm of the least difference of speeds that counts. Without it, noise would decide between equal
	// upstreams, and all requests at a time of low load would go to one of them.
	sameSpeed = 0.02
	// timeNoise is the usual noise of a measured time, in seconds, from timers and the router's own delays. It keeps it from
	// looking like a speed in responses of a few milliseconds.
	timeNoise = 0.001
	// sameServiceSpeed and serviceTimeNoise are the same for plain services, whose responses take a few milliseconds at
	// times: delays of a router with a fraction of a core would then decide.
	sameServiceSpeed = 0.2
	serviceTimeNoise = 0.01
	// centerMemory is the number of recent samples that the mean logarithm of the slowness in a service follows.
	centerMemory = 100
	// slowCapacity is the part of the usual speed below which the speed of all upstreams of a service changes its capacity.
	slowCapacity = 0.9
)

// evidence is an exponentially decaying sum of weighted samples.
type evidence struct {
	sum, weight float64
	at          time.Time
}

// minEvidence is the weight below which evidence is forgotten.
const minEvidence = 1e-3

func (e *evidence) decay(now time.Time, memory time.Duration) {
	if e.weight == 0 {
		e.at = now
		return
	}
	age := now.Sub(e.at)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / memory.Seconds())
	e.sum, e.weight, e.at = e.sum*factor, e.weight*factor, now
	if e.weight < minEvidence {
		e.sum, e.weight = 0, 0
	}
}

func (e *evidence) add(value, weight float64, now time.Time, memory time.Duration) {
	e.decay(now, memory)
	e.sum += value * weight
	e.weight += weight
}

// decayed returns the weight at a time.
func (e *evidence) decayed(now time.Time, memory time.Duration) float64 {
	if e.weight == 0 {
		return 0
	}
	e.decay(now, memory)
	return e.weight
}

// mean returns the mean of the samples and of some earlier ones with the given value.
func (e *evidence) mean(earlier, value float64) float64 {
	return (e.sum + earlier*value) / (e.weight + earlier)
}

// agreement measures how far reported logarithms of the duration of work agree with measured ones: the slope of the
// regression of the measured on the reported ones.
type agreement struct{ product, power float64 }

func (g *agreement) add(measured, reported float64) {
	g.product += measured*reported - g.product/trustMemory
	g.power += reported*reported - g.power/trustMemory
}

// trust returns the part of reports that is believed, from 0 to 1, given the trust before any sample.
func (g *agreement) trust(start float64) float64 {
	return max(0, min((g.product+start*reportWeight)/(g.power+reportWeight), 1))
}

// upstreamSpeed is what this router has measured of the speed of an upstream, relative to the other upstreams of its
// service. Logarithms of a slowness are above 0 for a slow upstream. It is kept by the name of the upstream.
type upstreamSpeed struct {
	// own and peers are the samples of the lasting slowness, of this router and of others.
	own, peers evidence
	// sampledAt is the time of the last own sample, measuredAt that of the last one of any router.
	sampledAt, measuredAt time.Time
	// lasting is the logarithm of the lasting slowness as of lastingAt.
	lasting   float64
	lastingAt time.Time
	// momentary is the deviation of the latest samples from lasting.
	momentary evidence
	// workLog is the logarithm of the last reported duration of work.
	workLog float64
	workAt  time.Time
	trust   agreement
	// held are the samples of whether predicted cache contents were found.
	held   evidence
	usedAt time.Time
}

// speedOf returns the speed of an upstream by name, and creates it if necessary. The caller holds r.mu.
func (r *Router) speedOf(upstream string, now time.Time) *upstreamSpeed {
	v := r.speeds[upstream]
	if v == nil {
		v = &upstreamSpeed{}
		r.speeds[upstream] = v
	}
	v.usedAt = now
	return v
}

// lastingLog returns the logarithm of the lasting slowness.
func (v *upstreamSpeed) lastingLog(now time.Time) float64 {
	if now.Sub(v.lastingAt) >= lastingInterval {
		v.own.decay(now, lastingMemory)
		v.peers.decay(now, peerMemory)
		v.lasting = (v.own.sum + v.peers.sum) / (v.own.weight + v.peers.weight + lastingStart)
		if v.lasting != 0 {
			v.lasting *= math.Exp(-now.Sub(v.measuredAt).Seconds() / idleMemory.Seconds())
		}
		v.lastingAt = now
	}
	return v.lasting
}

// reportTrust returns the part of the reports of an upstream that is believed.
func (v *upstreamSpeed) reportTrust(t *serviceTimes) float64 {
	return v.trust.trust(t.trust.trust(startTrust))
}

// slowness returns how long work takes at the upstream at present, as a multiple of the usual time of its service.
func (v *upstreamSpeed) slowness(t *serviceTimes, now time.Time) float64 {
	log := v.lastingLog(now) - t.center
	if v.momentary.weight > 0 {
		v.momentary.decay(now, momentaryMemory)
	}
	moment := v.momentary.sum / (v.momentary.weight + momentaryStart)
	if age := now.Sub(v.workAt); age < 8*workMemory {
		part := math.Exp(-age.Seconds()/workMemory.Seconds()) * v.reportTrust(t)
		moment = part*v.workLog + (1-part)*moment
	}
	if log += moment; math.Abs(log) <= t.sameSpeed {
		return 1
	}
	log -= math.Copysign(t.sameSpeed, log)
	return max(minSlowness, min(math.Exp(log), maxSlowness))
}

// lastingSlowness returns the lasting slowness as a multiple of the usual time.
func (v *upstreamSpeed) lastingSlowness(t *serviceTimes, now time.Time) float64 {
	if !t.inUse {
		return 1
	}
	return max(minSlowness, min(math.Exp(v.lastingLog(now)-t.center), maxSlowness))
}

// observe applies the ratio of a measured time to the usual one, which is corrected for load.
func (v *upstreamSpeed) observe(t *serviceTimes, ratio, weight float64, a attemptTimes, now time.Time) {
	obs.SpeedSamplesTotal.Add(1)
	log := math.Log(max(minSlowness, min(ratio, maxSlowness)))
	lasting := v.lastingLog(now)
	t.center += (lasting - t.center) / centerMemory
	surprise := log - lasting
	v.momentary.add(surprise, weight, now, momentaryMemory)
	if a.reported {
		surprise -= v.reportTrust(t) * a.workLog
		v.trust.add(log-lasting, a.workLog)
		t.trust.add(log-lasting, a.workLog)
	}
	surprise = max(-maxSurprise, min(surprise, maxSurprise))
	v.own.add(lasting+surprise, weight, now, lastingMemory)
	v.lastingAt, v.sampledAt, v.measuredAt = time.Time{}, now, now
}

// noteHeld records whether the upstream held what it was expected to have in its cache.
func (v *upstreamSpeed) noteHeld(held bool, now time.Time) {
	if held {
		obs.CachePredictionsHeldTotal.Add(1)
		v.held.add(1, 1, now, heldMemory)
		return
	}
	obs.CachePredictionsMissedTotal.Add(1)
	v.held.add(0, 1, now, heldMemory)
}

// SpeedReport is what a router has measured of the lasting speed of an upstream, for the other routers.
type SpeedReport struct {
	Upstream string `json:"u"`
	// Slowness is the logarithm of the lasting slowness in thousandths, from Samples samples of this router.
	Slowness int `json:"s"`
	Samples  int `json:"n"`
}

// SpeedReports are the speeds that a router sends at once.
type SpeedReports []SpeedReport

// Empty reports whether there is nothing to send.
func (s SpeedReports) Empty() bool { return len(s) == 0 }

const (
	// maxReportedSamples bounds the samples of one report, and maxPeerSamples those of all of them, so that a router's own
	// measurements change its choice too.
	maxReportedSamples = 10
	maxPeerSamples     = 20
	// minReportedSlowness is the logarithm of the least slowness that is reported, to keep the reports small.
	minReportedSlowness = 0.08
)

// ExportSpeeds returns the lasting speeds of which this router has recent samples of its own, except usual ones. What it knows
// from others is not passed on, so that no measurement is counted again and again.
func (r *Router) ExportSpeeds() (out SpeedReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for name, v := range r.speeds {
		v.own.decay(now, lastingMemory)
		mean := v.own.mean(lastingStart, 0)
		if r.byName[name] == nil || v.own.weight < 1 || now.Sub(v.sampledAt) > freshSample || math.Abs(mean) < minReportedSlowness {
			continue
		}
		out = append(out, SpeedReport{
			Upstream: name, Slowness: int(math.Round(1000 * v.own.sum / v.own.weight)), Samples: int(min(v.own.weight, maxReportedSamples)),
		})
	}
	return out
}

// MergeSpeeds applies the speeds that another router has measured.
func (r *Router) MergeSpeeds(reports SpeedReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, report := range reports {
		v := r.speeds[report.Upstream]
		if v == nil || report.Samples <= 0 {
			continue
		}
		log := max(math.Log(minSlowness), min(float64(report.Slowness)/1000, math.Log(maxSlowness)))
		v.peers.add(log, float64(min(report.Samples, maxReportedSamples)), now, peerMemory)
		v.measuredAt = now
		if v.peers.weight > maxPeerSamples {
			v.peers.sum *= maxPeerSamples / v.peers.weight
			v.peers.weight = maxPeerSamples
		}
	}
}

// UpstreamSpeed is the state of an upstream's speed for the operator. Percentages are of the usual time of the service.
type UpstreamSpeed struct {
	// LastingPercent and PresentPercent are how long work takes lastingly and at present.
	LastingPercent int `json:"lasting_percent"`
	PresentPercent int `json:"present_percent"`
	// ReportTrustPercent is the part of its reported figure that is believed, HeldPercent the part of the predicted cache
	// contents that is expected to be found.
	ReportTrustPercent int `json:"report_trust_percent"`
	HeldPercent        int `json:"held_percent"`
	// Samples is the weight of this router's own samples, PeerSamples of those of others.
	Samples     int `json:"samples"`
	PeerSamples int `json:"peer_samples"`
}

// Speeds returns the speeds of all upstreams in the configuration by name.
func (r *Router) Speeds() map[string]UpstreamSpeed {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	percent := func(f float64) int { return int(math.Round(100 * f)) }
	out := make(map[string]UpstreamSpeed, len(r.byName))
	for name, s := range r.byName {
		v := s.speed
		out[name] = UpstreamSpeed{
			LastingPercent: percent(v.lastingSlowness(s.times, now)), PresentPercent: percent(v.slowness(s.times, now)),
			ReportTrustPercent: percent(v.reportTrust(s.times)), HeldPercent: percent(s.holds(now)),
			Samples: int(v.own.weight), PeerSamples: int(v.peers.weight),
		}
	}
	return out
}
