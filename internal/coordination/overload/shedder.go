// Package overload implements load shedding for a router that gets more requests than its CPU or its network
// link can serve. It refuses a fraction of them at once, so that their callers can reach another router in
// time, instead of serving all of them late. Package daemon's Gateway, a router that forwards requests by
// host and path, uses it.
package overload

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the settings of a Shedder.
type Config struct {
	// MaxLag is the timer lag, which is how late a timer fires, above which the process counts as overloaded;
	// 0 means the default. The default is longer than the pauses of a process under a CPU quota that is
	// enforced in periods of 100 ms.
	MaxLag time.Duration
	// MaxLinkUse is the fraction of the link's bandwidth that requests may fill, see Link; 0 means the default. If the measured
	// use is well above it, the Shedder refuses requests too.
	MaxLinkUse float64
	// Rand returns a number from 0 to 1; nil means a random source.
	Rand func() float64
}

// Defaults of Config.
const (
	DefaultMaxLag = 130 * time.Millisecond
	// DefaultMaxLinkUse leaves room for traffic that the counters do not see: packet headers and
	// retransmissions.
	DefaultMaxLinkUse = 0.8
)

const (
	// SampleInterval is the time between two measurements.
	SampleInterval = 20 * time.Millisecond
	// adjustInterval is the time between two changes of the refused ratio.
	adjustInterval = 100 * time.Millisecond
	// linkTolerance is the use of the link above MaxLinkUse from which the refused ratio rises, and linkRatioRange the use in
	// which it rises to its limit.
	linkTolerance  = 0.06
	linkRatioRange = 0.12
	// raiseStep and lowerStep are the changes of the refused ratio for late timers per adjustInterval. The ratio rises to its
	// limit within half a second and falls to 0 within three.
	raiseStep = 0.2
	lowerStep = 0.03
	// maxRefused limits the refused ratio. The remaining requests show when the overload has ended.
	maxRefused = 0.9
	// busyRefused is the refused ratio above which the router is not ready for new connections.
	busyRefused = 0.3
	// priorityLevels is the number of priorities: 0, the most urgent, to 9. Less urgent ones are refused
	// first.
	priorityLevels = 10
	// mostUrgentStart is the refused ratio from which a priority is refused if nearly all requests are less urgent.
	mostUrgentStart = 0.4
	// arrivalWindow is the time constant of the numbers of requests by priority.
	arrivalWindow = time.Second
)

// Shedder decides which requests are refused. It is safe for concurrent use.
type Shedder struct {
	cfg Config

	mu sync.Mutex
	// refusedRatio decides, with the arrivals, which fraction of each priority is refused. It is the larger one of lagRatio and
	// that of the link.
	refusedRatio float64
	// lagRatio is the ratio for late timers.
	lagRatio float64
	// arrivals are the numbers of recent requests by priority.
	arrivals [priorityLevels]float64
	// highestLag and sinceAdjust cover the time since the last change of refusedRatio.
	highestLag  time.Duration
	sinceAdjust time.Duration
	// averageLinkUse is the fraction of the link's bandwidth in use, averaged over linkAverageTime.
	averageLinkUse float64
}

// linkAverageTime is the time constant for averaging the use of the link. Shorter bursts are buffered in the
// network, and Link admits bursts of half that length.
const linkAverageTime = 500 * time.Millisecond

// New returns a Shedder that refuses nothing yet.
func New(cfg Config) *Shedder {
	if cfg.MaxLag <= 0 {
		cfg.MaxLag = DefaultMaxLag
	}
	if cfg.MaxLinkUse <= 0 {
		cfg.MaxLinkUse = DefaultMaxLinkUse
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Shedder{cfg: cfg}
}

// Sample records a measurement. elapsed is the time since the last one. It should be SampleInterval; the
// excess is the timer lag, which grows when the process gets too little CPU. linkUse is the fraction of the
// link's bandwidth used in this time. Sample returns the refused ratio and whether the refusals have just
// begun or ended.
func (s *Shedder) Sample(elapsed time.Duration, linkUse float64) (refusedRatio float64, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestLag = max(s.highestLag, elapsed-SampleInterval)
	remaining := max(0, 1-elapsed.Seconds()/arrivalWindow.Seconds())
	for priority := range s.arrivals {
		s.arrivals[priority] *= remaining
	}
	s.averageLinkUse += (linkUse - s.averageLinkUse) * min(1, elapsed.Seconds()/linkAverageTime.Seconds())
	if s.sinceAdjust += elapsed; s.sinceAdjust < adjustInterval {
		return s.refusedRatio, false
	}
	before := s.refusedRatio
	if s.highestLag > s.cfg.MaxLag {
		s.lagRatio = min(maxRefused, s.lagRatio+raiseStep)
	} else {
		s.lagRatio = max(0, s.lagRatio-lowerStep)
	}
	s.refusedRatio = max(s.lagRatio, s.linkRatio())
	s.highestLag, s.sinceAdjust = 0, 0
	return s.refusedRatio, (before == 0) != (s.refusedRatio == 0)
}

// linkRatio returns the refused ratio for a link that is fuller than Link intends, because of traffic that it does not know.
// It follows the measured use without a memory of its own, so that it ends with its cause.
func (s *Shedder) linkRatio() float64 {
	return maxRefused * min(1, max(0, (s.averageLinkUse-s.cfg.MaxLinkUse-linkTolerance)/linkRatioRange))
}

// ShouldRefuse reports whether a request of the given priority is refused; 0 is the most urgent. Less urgent
// requests are refused first.
func (s *Shedder) ShouldRefuse(priority int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	priority = clampPriority(priority)
	s.arrivals[priority]++
	if s.refusedRatio == 0 {
		return false
	}
	return s.cfg.Rand() < s.refusedFraction(priority)
}

func clampPriority(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// refusedFraction returns the fraction of the requests of a priority that is refused. It rises linearly from 0 to 1, which it
// would reach at a refused ratio of 1, from a ratio on that is higher the more urgent the priority is, and the more of the
// requests are less urgent.
func (s *Shedder) refusedFraction(priority int) float64 {
	total, lessUrgent := 0.0, 0.0
	for other, n := range s.arrivals {
		total += n
		if other > priority {
			lessUrgent += n
		}
	}
	start := max(refusalStart(priority), mostUrgentStart*lessUrgent/max(1, total))
	return min(maxRefused, max(0, (s.refusedRatio-start)/(1-start)))
}

// refusalStart returns the refused ratio up to which no request of a priority is refused: a pause of the process raises the
// ratio for a moment, which urgent requests should not notice.
func refusalStart(priority int) float64 { return max(0, float64(2-priority)) / 6 }

// Busy reports whether new connections should go to other routers.
func (s *Shedder) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedRatio > busyRefused
}
