package prepaid

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// predecessor is what an earlier process of this VM left in a stream.
type predecessor struct {
	beat beat
	// at is the offset of its last beat.
	at uint64
	// known is true once a beat was found, and recent once it is proven that the
	// process ended within OfflineAfter of it.
	known, recent bool
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

// foldOwn takes over the record of this VM. What was granted to an earlier
// process of the VM counts as spent, unless it is proven that it can have spent
// its open part only.
func (p *partition) foldOwn(a *account, h holding, offset uint64) {
	granted, open := a.granted, a.open
	if h.Process == string(p.cfg.Process) {
		a.logged, a.granted, a.open = h, h.Granted, h.Open
		if p.unsure != nil && offset < p.unsure.at {
			// A smaller part may still be written.
			a.granted, a.open = min(a.granted, granted), min(a.open, open)
		}
		return
	}
	a.takeOver(h, p.predecessor.recent && p.predecessor.beat.Process == h.Process)
	p.logTakeOver(a, offset)
}

func (p *partition) logTakeOver(a *account, offset uint64) {
	age, same := sameBoot(p.predecessor.beat.Stamp, p.cfg.Start)
	obs.EventShareTakenOver.Log(p.cfg.Logger, logrus.Fields{
		"entry": a.entry, "process": a.dead.Process, "offset": offset, "granted": a.dead.Granted,
		"stranded": a.base - a.dead.Spent, "recent": p.predecessor.recent, "age_ms": age.Milliseconds(), "same_boot": same,
		"wall_ms": p.wallAge().Milliseconds(),
	})
}

// takeOver counts what an earlier process of this VM was granted, or what was
// open to it, as spent.
func (a *account) takeOver(h holding, recent bool) {
	a.dead, a.deadRecent = h, recent
	used := h.Granted
	if recent {
		used = min(h.Granted, h.Open)
	}
	a.stranded = h.Stranded + used - h.Spent
	a.base = used
	a.logged, a.granted, a.open = h, h.Granted, 0
}

// release gives free what an earlier process of this VM cannot have spent.
func (a *account) release() {
	if a.deadRecent || a.dead.Process == "" {
		return
	}
	a.deadRecent = true
	used := min(a.dead.Granted, a.dead.Open)
	a.stranded += used - a.base
	a.base = used
}

// foldPredecessor takes over the last beat of an earlier process of this VM.
func (p *partition) foldPredecessor(b beat, offset uint64) {
	age, same := sameBoot(b.Stamp, p.cfg.Start)
	p.predecessor = predecessor{beat: b, at: offset, known: true, recent: same && p.cfg.Policy.recent(age)}
}

func (p *partition) wallAge() time.Duration {
	return time.Duration(p.cfg.Start.UnixMillis-p.predecessor.beat.Stamp.UnixMillis) * time.Millisecond
}

// collectEvidence asks the other routers how old the last beat of an earlier
// process of this VM was when this process started.
func (p *partition) collectEvidence(ctx context.Context) {
	for p.cfg.Peers != nil && p.sinceStart() < evidenceFor {
		if sleep(ctx, evidenceInterval) != nil {
			return
		}
		p.mu.Lock()
		loaded, pre := p.loaded, p.predecessor
		p.mu.Unlock()
		if !loaded {
			continue
		}
		if !pre.known || pre.recent {
			return
		}
		call, cancel := context.WithTimeout(ctx, evidenceCall)
		testimonies := p.cfg.Peers.Witness(call, p.index, pre.at)
		cancel()
		if p.cfg.Policy.verdict(p.wallAge(), testimonies, p.cfg.Routers(), p.sinceStart()) {
			p.proven(testimonies)
			return
		}
	}
}

// sinceStart is the time since this process started, also while it was suspended.
func (p *partition) sinceStart() time.Duration {
	return time.Duration(p.cfg.Stamp().BootMillis-p.cfg.Start.BootMillis) * time.Millisecond
}

// proven releases what the earlier process cannot have spent.
func (p *partition) proven(testimonies []Testimony) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessor.recent = true
	released := int64(0)
	for _, a := range p.accounts {
		before := a.base
		a.release()
		released += before - a.base
	}
	obs.EventShareReleased.Log(p.cfg.Logger, logrus.Fields{
		"partition": p.stream.Partition, "process": p.predecessor.beat.Process, "offset": p.predecessor.at,
		"tokens": released, "testimonies": len(testimonies), "routers": p.cfg.Routers(),
		"wall_ms": p.wallAge().Milliseconds(),
	})
	p.wake()
}

// Witness says how old the record at an offset of a partition is, for another
// router. It knows nothing before it has read the partition.
func (m *Manager) Witness(partition int, offset uint64) Testimony {
	none := Testimony{Age: -1, WallAge: -1}
	if partition < 0 || partition >= len(m.partitions) {
		return none
	}
	p := m.partitions[partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return none
	}
	now := p.cfg.Stamp()
	return Testimony{
		Age:     p.witness.age(offset, now.BootMillis),
		WallAge: wallAge(p.predecessor.beat, p.predecessor.at, offset, now),
	}
}
