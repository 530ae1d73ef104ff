package beats

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
	// recent is true once it is proven that the process was never silent, or that
	// the log shows what it did then.
	recent bool
	// proven is closed then.
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

// foundPredecessor takes over the last beat of an earlier process of this VM.
func (b *Beats) foundPredecessor(r Record, offset uint64) {
	if b.predecessor.known && offset <= b.predecessor.at {
		return
	}
	age, same := sameBoot(r.Stamp, b.start)
	b.predecessor.record, b.predecessor.at, b.predecessor.known = r, offset, true
	if same && recent(age, b.cfg.Silence) && !r.Beyond {
		b.prove()
	}
	obs.EventPredecessor.Log(b.cfg.Logger, logrus.Fields{
		"process": r.Process, "offset": offset, "age_ms": age.Milliseconds(), "same_boot": same,
		"wall_ms": wallBetween(r.Stamp, b.start).Milliseconds(), "recent": b.predecessor.recent, "beyond": r.Beyond,
	})
}

func (b *Beats) prove() {
	if !b.predecessor.recent {
		b.predecessor.recent = true
		close(b.predecessor.proven)
	}
}

// NeverSilent reports whether it is proven that an earlier process of this VM was
// never silent up to its end, or that the log shows what it did then.
func (b *Beats) NeverSilent(process string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.predecessor.recent && b.predecessor.record.Process == process
}

// Proven is closed when NeverSilent becomes true for the last process of this VM.
func (b *Beats) Proven() <-chan struct{} { return b.predecessor.proven }

// collectEvidence asks the other routers how old the predecessor's last beat was
// when this process started.
func (b *Beats) collectEvidence(ctx context.Context) {
	for b.cfg.Witnesses != nil && b.sinceStart() < evidenceFor {
		select {
		case <-ctx.Done():
			return
		case <-time.After(evidenceInterval):
		}
		b.mu.Lock()
		p := b.predecessor
		b.mu.Unlock()
		if p.recent || p.record.Beyond || b.replica.Loaded() && !p.known {
			return
		}
		if !p.known {
			continue
		}
		call, cancel := context.WithTimeout(ctx, evidenceCall)
		testimonies := b.cfg.Witnesses(call, p.at)
		cancel()
		own := wallBetween(p.record.Stamp, b.start)
		if verdict(own, testimonies, b.Routers(), b.sinceStart(), b.cfg.Silence) {
			b.accept(testimonies, own)
			return
		}
	}
}

func (b *Beats) accept(testimonies []Testimony, own time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prove()
	obs.EventPredecessorProven.Log(b.cfg.Logger, logrus.Fields{
		"process": b.predecessor.record.Process, "offset": b.predecessor.at, "testimonies": len(testimonies),
		"routers": b.live, "wall_ms": own.Milliseconds(),
	})
}

// sinceStart is the time since this process started, also while the VM was
// suspended.
func (b *Beats) sinceStart() time.Duration {
	return time.Duration(b.cfg.Stamp().BootMillis-b.start.BootMillis) * time.Millisecond
}

// mark notes a read of the stream, for testimonies.
func (b *Beats) mark(began int64, end uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks.add(readMark{began: began, end: end})
}

// Witness says how old the beat at an offset is, for another router.
func (b *Beats) Witness(offset uint64) Testimony {
	if !b.replica.Loaded() {
		return Testimony{Age: -1, WallAge: -1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Stamp()
	return Testimony{Age: b.marks.age(offset, now.BootMillis), WallAge: wallAge(b.predecessor, offset, now)}
}
