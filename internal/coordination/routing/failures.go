package routing

import (
	"math"
	"time"
)

const (
	// failureMemory is the time constant with which results are forgotten, so
	// that an upstream that has recovered gets work again.
	failureMemory = 4 * time.Second
	// failurePrior is the number of successes that every upstream is credited
	// with: one failure alone says little.
	failurePrior = 4
	// failureNoise is the share below which an upstream counts as sound. Without
	// it, equal upstreams would be told apart by failures long past.
	failureNoise = 0.05
)

// outcome notes how an attempt ended.
func (s *upstreamState) outcome(result Result, now time.Time) {
	failed := 0.0
	switch result {
	case ResultFailed, ResultCrashed, ResultError, ResultUnreachable:
		failed = 1
	case ResultOK:
	default:
		return
	}
	s.fade(now)
	s.recentFailures += failed
	s.recentResults++
}

func (s *upstreamState) fade(now time.Time) {
	factor := math.Exp(-now.Sub(s.resultsAt).Seconds() / failureMemory.Seconds())
	s.recentFailures *= factor
	s.recentResults *= factor
	s.resultsAt = now
}

// failureShare estimates the part of the requests that an upstream fails.
func (s *upstreamState) failureShare(now time.Time) float64 {
	if s.recentFailures == 0 {
		return 0
	}
	s.fade(now)
	share := s.recentFailures / (s.recentResults + failurePrior)
	if share < failureNoise {
		return 0
	}
	return share
}
