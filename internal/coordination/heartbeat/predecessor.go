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
	// at is the offset of its last beat.
	at    uint64
	known bool
	// gap is an upper bound of its last gap, once that is proven to be below
	// Config.LongestGap, and shown what the beat told that proves it; proven is closed
	// then.
	gap    time.Duration
	shown  map[string]int64
	found  bool
	proven chan struct{}
}

const (
	// evidenceInterval is the time between two rounds of questions.
	evidenceInterval = 400 * time.Millisecond
	// evidenceFor is how long after the start other routers are asked. By then
	// those that started together have read the log.
	evidenceFor = 12 * time.Second
	// evidenceCall bounds one round.
	evidenceCall = 300 * time.Millisecond
)

// foundPredecessor takes over the last beat of an earlier process of this VM. A beat
// of another process, or an earlier one of the same, was appended late.
func (b *Monitor) foundPredecessor(r Record, offset uint64) {
	p := &b.predecessor
	if p.known && (r.Process != p.record.Process || r.Timestamp.BootMillis <= p.record.Timestamp.BootMillis) {
		return
	}
	p.record, p.at, p.known = r, offset, true
	age, same := sameBoot(r.Timestamp, b.start)
	if same {
		b.prove(age)
	}
	obs.EventPredecessor.Log(b.cfg.Logger, logrus.Fields{
		"process": r.Process, "offset": offset, "age_ms": age.Milliseconds(), "same_boot": same,
		"wall_ms": wallBetween(r.Timestamp, b.start).Milliseconds(), "shown": len(r.Shown),
		"proven": p.found, "gap_ms": p.gap.Milliseconds(),
	})
}

// prove takes over an upper bound of the age of the predecessor's last beat at the
// start of this process. It reports whether the bound is short enough.
func (b *Monitor) prove(age time.Duration) bool {
	p := &b.predecessor
	gap := age + restartMargin
	if gap >= b.cfg.MaxProvableGap {
		return false
	}
	if !p.found {
		close(p.proven)
	}
	if !p.found || gap < p.gap {
		p.gap, p.shown, p.found = gap, p.record.Shown, true
	}
	return true
}

// LastGap returns an upper bound of the last gap of an earlier process of this VM,
// and what its beat told before that gap, if a bound below Config.LongestGap is proven.
func (b *Monitor) LastGap(process string) (gap time.Duration, shown map[string]int64, proven bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.predecessor
	return p.gap, p.shown, p.found && p.record.Process == process
}

// Proven is closed when LastGap becomes known for the last process of this VM.
func (b *Monitor) Proven() <-chan struct{} { return b.predecessor.proven }

// collectEvidence asks the other routers how old the predecessor's last beat was
// when this process started.
func (b *Monitor) collectEvidence(ctx context.Context) {
	for b.cfg.QueryAge != nil && b.sinceStart() < evidenceFor {
		select {
		case <-ctx.Done():
			return
		case <-time.After(evidenceInterval):
		}
		b.mu.Lock()
		p := b.predecessor
		b.mu.Unlock()
		if p.found || b.replica.Loaded() && !p.known {
			return
		}
		if !p.known {
			continue
		}
		call, cancel := context.WithTimeout(ctx, evidenceCall)
		testimonies := b.cfg.QueryAge(call, p.at)
		cancel()
		own := wallBetween(p.record.Timestamp, b.start)
		if age, ok := verdict(own, testimonies, b.Routers(), b.sinceStart()); ok && b.accept(testimonies, age) {
			return
		}
	}
}

func (b *Monitor) accept(testimonies []AgeBounds, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.prove(age) {
		return false
	}
	obs.EventPredecessorProven.Log(b.cfg.Logger, logrus.Fields{
		"process": b.predecessor.record.Process, "offset": b.predecessor.at, "testimonies": len(testimonies),
		"routers": b.live, "age_ms": age.Milliseconds(), "gap_ms": b.predecessor.gap.Milliseconds(),
	})
	return true
}

// sinceStart is the time since this process started, also while the VM was
// suspended.
func (b *Monitor) sinceStart() time.Duration {
	return time.Duration(b.cfg.Timestamp().BootMillis-b.start.BootMillis) * time.Millisecond
}

// mark notes a read of the stream, for testimonies.
func (b *Monitor) mark(began int64, end uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks.add(readMark{began: began, end: end})
}

// AgeOf says how old the beat at an offset is, for another router.
func (b *Monitor) AgeOf(offset uint64) AgeBounds {
	if !b.replica.Loaded() {
		return AgeBounds{Age: -1, WallAge: -1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Timestamp()
	return AgeBounds{Age: b.marks.age(offset, now.BootMillis), WallAge: wallAge(b.predecessor, offset, now)}
}
