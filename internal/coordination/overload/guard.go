// Package overload protects a router that gets more requests than its processor
// or its network link can serve. It refuses a part of them at once, so that their callers reach
// another router in time, instead of serving all of them late.
package overload

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the settings of a Guard.
type Config struct {
	// Lag is how late timers may fire before the process counts as overloaded. It
	// is above the pauses of a processor that is handed out in parts of a tenth of
	// a second.
	Lag time.Duration
	// Link is the part of the link's bandwidth from which the process counts as
	// overloaded.
	Link float64
	// Rand returns a number from 0 to 1; nil means a random source.
	Rand func() float64
}

// Defaults of Config.
const (
	DefaultLag = 130 * time.Millisecond
	// DefaultLink leaves room for what the counters do not see: packet headers,
	// and packets that are sent again.
	DefaultLink = 0.7
)

const (
	// SampleInterval is the time between two measurements.
	SampleInterval = 20 * time.Millisecond
	// step is the time between two changes of the refused part.
	step = 100 * time.Millisecond
	// raise and lower change the refused part in a step. The part rises within
	// half a second and falls within three.
	raise = 0.2
	lower = 0.03
	// most is refused at the most, so that a recovery shows.
	most = 0.9
	// busyAt is the refused part from which the router is not ready for new
	// connections.
	busyAt = 0.3
	// ranks is the number of ranks that are refused one after the other.
	ranks = 3
)

// Shedder decides which requests are refused. It is safe for concurrent use.
type Shedder struct {
	cfg Config

	mu      sync.Mutex
	refused float64
	worst   time.Duration
	since   time.Duration
	// link is the part of the link's bandwidth in use, over linkWindow.
	link float64
}

// linkWindow is the time constant with which the use of the link is averaged. A
// burst that is shorter waits in the network.
const linkWindow = 200 * time.Millisecond

// New returns a guard that refuses nothing yet.
func New(cfg Config) *Shedder {
	if cfg.Lag <= 0 {
		cfg.Lag = DefaultLag
	}
	if cfg.Link <= 0 {
		cfg.Link = DefaultLink
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Shedder{cfg: cfg}
}

// Sample takes a measurement: took is the time since the last one, which was due
// after Interval, and link is the part of the link's bandwidth used in it. It
// returns the refused part and whether it has just begun or ended.
func (g *Shedder) Sample(took time.Duration, link float64) (refused float64, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.worst = max(g.worst, took-SampleInterval)
	g.link += (link - g.link) * min(1, took.Seconds()/linkWindow.Seconds())
	if g.since += took; g.since < step {
		return g.refused, false
	}
	before := g.refused
	if g.worst > g.cfg.Lag || g.link > g.cfg.Link {
		g.refused = min(most, g.refused+raise)
	} else {
		g.refused = max(0, g.refused-lower)
	}
	g.worst, g.since = 0, 0
	return g.refused, (before == 0) != (g.refused == 0)
}

// Refuse decides on one request of a rank; 0 is the most urgent. Less urgent
// requests are refused first.
func (g *Shedder) Refuse(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refused == 0 {
		return false
	}
	// The part of this rank that is refused when the least urgent ones go first.
	from := float64(ranks-1-min(max(rank, 0), ranks-1)) / (2 * ranks)
	return g.cfg.Rand() < (g.refused-from)/(1-from)
}

// Busy reports whether new connections should go to other routers.
func (g *Shedder) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused > busyAt
}
