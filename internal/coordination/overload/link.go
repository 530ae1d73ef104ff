package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// linkWindow is the time in which a full link transfers what the most urgent requests may have ahead of them. Less urgent
	// ones are refused earlier, by linkWindowStep for each priority.
	linkWindow     = 250 * time.Millisecond
	linkWindowStep = 0.07
	// needWindow is the time constant of the measured need of a request.
	needWindow = 5 * time.Second
	// priorRequests and priorNeed stand for the requests before the first: their number, and the bytes of each beside its body.
	priorRequests = 20
	priorNeed     = 2000
	// maxNeed bounds the measured bytes of a request beside its body. Other traffic of the process would otherwise count as
	// that of a few requests.
	maxNeed = 256 << 10
	// packetOverhead is the traffic of a request that the counters do not see: packet headers and those of its connection.
	packetOverhead = 400
	// refusalBytes is the size of a refusal.
	refusalBytes = 400
	// minDrain is the least fraction of the link that admitted requests get when refused bodies arrive all the same.
	minDrain = 0.4
	// refusedCredit is the part of a request that each refusal of a priority earns it. A request that is earned is admitted
	// although more urgent ones fill the link, so that no priority is starved.
	refusedCredit = 0.05
	// refusingTime is the time after a refusal for which the link counts as full.
	refusingTime = time.Second
)

// LinkConfig holds the settings of a Link.
type LinkConfig struct {
	// Bandwidth is that of the link in bytes per second, in each direction. 0 means that it is unknown, and nothing is refused.
	Bandwidth float64
	// MaxUse is the fraction of the bandwidth that admitted requests may fill; 0 means DefaultMaxLinkUse.
	MaxUse float64
	Now    func() time.Time
}

// Link decides which requests the router's network link can carry. Each admitted request adds the bytes that it is expected
// to need to a backlog, which shrinks at the rate of the link. A request is refused if the backlog is too long for its
// priority, whatever its own size. It is safe for concurrent use.
//
// The need of a request is known when it is admitted, before its traffic is measured. A ratio that follows the measured use
// reacts late: it rises while what was admitted earlier still fills the link, and refuses long after that has passed.
type Link struct {
	cfg LinkConfig

	mu sync.Mutex
	// backlog is in bytes, as of updated.
	backlog float64
	updated time.Time
	// drain is the rate in bytes per second at which the backlog shrinks.
	drain float64
	// The following are sums over the last needWindow: bytes sent, admitted requests and their bodies, and refused requests.
	sent, admitted, bodies, refused float64
	// inboundExcess is the rate of bytes received above that of bytes sent, which are mostly bodies of refused requests.
	inboundExcess float64
	credit        [priorityLevels]float64
	lastRefusal   time.Time
	refusing      bool
}

// NewLink returns a Link without a backlog.
func NewLink(cfg LinkConfig) *Link {
	if cfg.MaxUse <= 0 {
		cfg.MaxUse = DefaultMaxLinkUse
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Link{cfg: cfg, updated: cfg.Now(), drain: cfg.MaxUse * cfg.Bandwidth}
}

// Sample records the bytes received and sent since the last call, elapsed ago. It reports whether the link has just become
// full or ceased to be.
func (l *Link) Sample(elapsed time.Duration, in, out int64) (full, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shrink()
	kept := math.Exp(-elapsed.Seconds() / needWindow.Seconds())
	l.sent, l.admitted, l.bodies, l.refused = l.sent*kept+float64(out), l.admitted*kept, l.bodies*kept, l.refused*kept
	excess := max(0, float64(in-out)) / max(elapsed.Seconds(), 1e-3)
	l.inboundExcess += (excess - l.inboundExcess) * min(1, elapsed.Seconds()/linkAverageTime.Seconds())
	l.drain = max(minDrain*l.cfg.Bandwidth, l.cfg.MaxUse*l.cfg.Bandwidth-l.inboundExcess)
	before := l.refusing
	l.refusing = !l.lastRefusal.IsZero() && l.cfg.Now().Sub(l.lastRefusal) < refusingTime
	return l.refusing, l.refusing != before
}

// shrink reduces the backlog by what the link has transferred since the last call.
func (l *Link) shrink() {
	now := l.cfg.Now()
	l.backlog = max(0, l.backlog-l.drain*now.Sub(l.updated).Seconds())
	l.updated = now
}

// ShouldRefuse reports whether a request of the given priority, 0 being the most urgent, is refused. body is the length of its
// body in bytes, or negative if it is unknown.
func (l *Link) ShouldRefuse(priority int, body int64) bool {
	if l.cfg.Bandwidth <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shrink()
	priority = clampPriority(priority)
	limit := linkWindow.Seconds() * l.cfg.MaxUse * l.cfg.Bandwidth
	if l.backlog > limit*(1-linkWindowStep*float64(priority)) && !l.takeCredit(priority, 2*limit) {
		l.refused++
		l.lastRefusal = l.cfg.Now()
		return true
	}
	size := float64(body)
	if body < 0 {
		size = l.bodies / (l.admitted + priorRequests)
	}
	l.backlog += size + l.need()
	l.admitted++
	l.bodies += size
	return false
}

// takeCredit earns a priority its part of a refused request, and reports whether it has earned a whole one, which is then
// taken. A backlog above limit allows none.
func (l *Link) takeCredit(priority int, limit float64) bool {
	l.credit[priority] = min(1, l.credit[priority]+refusedCredit)
	if l.credit[priority] < 1-1e-9 || l.backlog > limit {
		return false
	}
	l.credit[priority] = 0
	return true
}

// need returns the expected bytes of a request beside its body, in the direction that carries more of them.
func (l *Link) need() float64 {
	measured := max(0, l.sent-l.bodies-l.refused*refusalBytes)
	return min(maxNeed, (measured+priorRequests*priorNeed)/(l.admitted+priorRequests)) + packetOverhead
}

// Busy reports whether so many requests are refused that new connections should go to other routers.
func (l *Link) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusing && l.refused > busyRefused*(l.refused+l.admitted)
}
