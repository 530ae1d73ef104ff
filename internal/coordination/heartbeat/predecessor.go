package heartbeat

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// predecessor is the last process of this VM before this one.
type predecessor struct {
	record Record
	// offset is that of its last heartbeat.
	offset uint64
	known  bool
	// gap is an upper bound of its last heartbeat gap, once that is proven to be below
	// Config.MaxProvableGap, and usage what the heartbeat before the gap reported. gapProven is
	// true, and provenCh closed, from then on.
	gap       time.Duration
	usage     map[string]int64
	gapProven bool
	provenCh  chan struct{}
}

const (
	// peerQueryInterval is the time between two rounds of queries.
	peerQueryInterval = 400 * time.Millisecond
	// peerQueryPeriod is how long after the start other routers are queried. By then routers that
	// started at the same time have read the log.
	peerQueryPeriod = 12 * time.Second
	// peerQueryTimeout bounds one round.
	peerQueryTimeout = 300 * time.Millisecond
)

// setPredecessor applies a heartbeat of an earlier process of this VM. Once a predecessor is known,
// it ignores heartbeats of other processes and older heartbeats of the predecessor: their appends
// took effect late. The caller holds m.mu.
func (m *Monitor) setPredecessor(r Record, offset uint64) {
	p := &m.predecessor
	if p.known && (r.Process != p.record.Process || r.Timestamp.BootMillis <= p.record.Timestamp.BootMillis) {
		return
	}
	p.record, p.offset, p.known = r, offset, true
	age, sameBoot := elapsed(r.Timestamp, m.startTimestamp)
	if sameBoot {
		m.proveGap(age)
	}
	obs.EventPredecessorFound.Log(m.cfg.Logger, logrus.Fields{
		"process": r.Process, "offset": offset, "age_ms": age.Milliseconds(), "same_boot": sameBoot,
		"wall_ms": wallElapsed(r.Timestamp, m.startTimestamp).Milliseconds(), "shown": len(r.Usage),
		"proven": p.gapProven, "gap_ms": p.gap.Milliseconds(),
	})
}

// proveGap applies an upper bound of the age of the predecessor's last heartbeat at the start of
// this process. It reports whether the bound is low enough to be used. The caller holds m.mu.
func (m *Monitor) proveGap(age time.Duration) bool {
	p := &m.predecessor
	gap := age + clockMargin
	if gap >= m.cfg.MaxProvableGap {
		return false
	}
	if !p.gapProven {
		close(p.provenCh)
	}
	if !p.gapProven || gap < p.gap {
		p.gap, p.usage, p.gapProven = gap, p.record.Usage, true
	}
	return true
}

// PredecessorGap returns an upper bound of the predecessor's last heartbeat gap, and the usage that
// its heartbeat before the gap reported. proven is false if no bound below Config.MaxProvableGap is
// proven or the process is not the predecessor.
func (m *Monitor) PredecessorGap(process string) (gap time.Duration, usage map[string]int64, proven bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.predecessor
	return p.gap, p.usage, p.gapProven && p.record.Process == process
}

// WhenPredecessorGapProven returns a channel that is closed once PredecessorGap is proven.
func (m *Monitor) WhenPredecessorGapProven() <-chan struct{} { return m.predecessor.provenCh }

// queryPeers asks the other routers how old the predecessor's last heartbeat was when this process
// started.
func (m *Monitor) queryPeers(ctx context.Context) {
	for m.cfg.QueryAge != nil && m.sinceStart() < peerQueryPeriod {
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerQueryInterval):
		}
		m.mu.Lock()
		p := m.predecessor
		m.mu.Unlock()
		if p.gapProven || m.replica.Loaded() && !p.known {
			return
		}
		if !p.known {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
		bounds := m.cfg.QueryAge(callCtx, p.offset)
		cancel()
		ownAge := wallElapsed(p.record.Timestamp, m.startTimestamp)
		if age, ok := ageAtStart(ownAge, bounds, m.Routers(), m.sinceStart()); ok && m.proveGapByPeers(bounds, age) {
			return
		}
	}
}

// proveGapByPeers applies the age that the bounds of other routers confirm. It reports whether the
// age is low enough to be used.
func (m *Monitor) proveGapByPeers(bounds []AgeBounds, age time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.proveGap(age) {
		return false
	}
	obs.EventPredecessorGapProven.Log(m.cfg.Logger, logrus.Fields{
		"process": m.predecessor.record.Process, "offset": m.predecessor.offset, "testimonies": len(bounds),
		"routers": m.live, "age_ms": age.Milliseconds(), "gap_ms": m.predecessor.gap.Milliseconds(),
	})
	return true
}

// sinceStart is the time since this process started, including the time for which the VM was
// suspended.
func (m *Monitor) sinceStart() time.Duration {
	return time.Duration(m.cfg.Timestamp().BootMillis-m.startTimestamp.BootMillis) * time.Millisecond
}

// recordRead adds a read of the stream to the history that AgeOf uses.
func (m *Monitor) recordRead(began int64, end uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads.add(streamRead{began: began, end: end})
}

// AgeOf bounds the age of the heartbeat at an offset, for another router.
func (m *Monitor) AgeOf(offset uint64) AgeBounds {
	if !m.replica.Loaded() {
		return AgeBounds{Age: -1, WallAge: -1}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Timestamp()
	return AgeBounds{Age: m.reads.age(offset, now.BootMillis), WallAge: wallAge(m.predecessor, offset, now)}
}
