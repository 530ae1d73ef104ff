package routing

import (
	"math"
	"time"
)

const (
	// failureDecayTime is the time constant with which past results decay, so that an upstream that has
	// recovered gets requests again.
	failureDecayTime = 4 * time.Second
	// failurePriorSuccesses is the number of successes that every upstream is credited with, because a single
	// failure is weak evidence.
	failurePriorSuccesses = 4
	// minFailureRate is the rate below which an upstream counts as healthy. Without it, failures long past
	// would decide between otherwise equal upstreams.
	minFailureRate = 0.05
)

// recordResult counts the result of an attempt. Results that show neither a success nor a failure of the
// upstream are ignored.
func (s *upstreamState) recordResult(result Result, now time.Time) {
	failed := 0.0
	switch result {
	case ResultFailed, ResultLost, ResultCrashed, ResultError, ResultUnreachable:
		failed = 1
	case ResultOK:
	default:
		return
	}
	s.decay(now)
	s.recentFailures += failed
	s.recentResults++
}

// decay reduces the counts exponentially by the time since the last call.
func (s *upstreamState) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.decayedAt).Seconds() / failureDecayTime.Seconds())
	s.recentFailures *= factor
	s.recentResults *= factor
	s.decayedAt = now
}

// failureRate estimates the fraction of requests that fail at the upstream.
func (s *upstreamState) failureRate(now time.Time) float64 {
	if s.recentFailures == 0 {
		return 0
	}
	s.decay(now)
	rate := s.recentFailures / (s.recentResults + failurePriorSuccesses)
	if rate < minFailureRate {
		return 0
	}
	return rate
}
