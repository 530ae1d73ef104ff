// Package beats tells which routers are alive, and how long a router that has
// died can have lived after its last sign of life.
//
// Each router renews one record, its beat, in a keyed stream. From the stream
// every router knows the live ones. A process that starts on a VM finds the last
// beat of its predecessor and learns from clocks and from the other routers
// whether the predecessor can have lived for longer than a given time after it.
package heartbeat

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Record is a router's beat.
type Record struct {
	Process string `cbor:"1,keyasint"`
	// Address is where the router's peers reach it.
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	// Timestamp is not later than the append.
	Timestamp Timestamp `cbor:"4,keyasint"`
	// Before is the stamp of the process's beat before, and BeforeEnd the end of
	// the stream after it.
	Before    Timestamp `cbor:"5,keyasint"`
	BeforeEnd uint64    `cbor:"6,keyasint,omitempty"`
	// Shown is what the process tells in its beats (Config.Show).
	Shown map[string]int64 `cbor:"7,keyasint,omitempty"`
}

// Config holds the settings of Beats.
type Config struct {
	Log    keyedlog.Log
	Stream keyedlog.Stream
	// VM names this VM. At most one process of a VM runs at a time.
	VM string
	// Self is this process's record without its stamps.
	Self Record
	// Interval is the least time between two beats; large fleets beat slower.
	Interval time.Duration
	// MaxProvableGap is the longest gap of a predecessor that is worth a proof.
	MaxProvableGap time.Duration
	// Timestamp reads the clocks of the VM.
	Timestamp func() Timestamp
	Now       func() time.Time
	// HeartbeatUsage returns what a beat tells besides: what the process has done that only a
	// gap allows, and that the log does not show yet. It is called while Gap is
	// short. undo is called if the beat was not carried out. It may be nil.
	HeartbeatUsage func() (shown map[string]int64, undo func())
	// QueryAge asks the other routers for the age of the beat at an offset.
	QueryAge func(ctx context.Context, offset uint64) []AgeBounds
	Logger   logrus.FieldLogger
}

const (
	// callTimeout bounds one beat.
	callTimeout = 1200 * time.Millisecond
	// beatsPerSecond bounds the beats of the whole fleet.
	beatsPerSecond = 50
	// missed is the number of intervals without a beat after which a router
	// counts as gone.
	missed = 5
	// minLife is the least time after which a router counts as gone.
	minLife = 6 * time.Second
	// retryPause follows a beat that the log did not take.
	retryPause = 200 * time.Millisecond
)

// member is a router and when its record was last seen to change.
type member struct {
	Record
	offset uint64
	at     time.Time
}

// Monitor sends this router's beats and follows those of the others. It is safe
// for concurrent use.
type Monitor struct {
	cfg     Config
	replica *replica.Replica
	// start is the state of the clocks when the process began.
	start   Timestamp
	started time.Time

	mu      sync.Mutex
	members map[string]member
	live    int
	// last is the beat that was sent last and may have reached the log.
	last Record
	// lastAt is when it was made, by the steady clock.
	lastAt time.Time
	// unsure is true while a beat without an answer may still be carried out.
	unsure      bool
	predecessor predecessor
	marks       marks
}

// New returns Beats that have not begun.
func New(cfg Config) *Monitor {
	b := &Monitor{
		cfg: cfg, start: cfg.Timestamp(), started: cfg.Now(), members: make(map[string]member), live: 1,
		predecessor: predecessor{proven: make(chan struct{})},
	}
	b.replica = replica.New(replica.Config{
		Log: cfg.Log, Stream: cfg.Stream, Interval: cfg.Interval, Now: cfg.Now, OnChange: b.update, Logger: cfg.Logger,
		Clock: func() int64 { return cfg.Timestamp().BootMillis }, Read: b.mark, IntervalFunc: b.interval,
	})
	return b
}

// Replica returns the copy of the stream, for the exchange with peers.
func (b *Monitor) Replica() *replica.Replica { return b.replica }

// Run beats until the context ends.
func (b *Monitor) Run(ctx context.Context) {
	go b.replica.Run(ctx)
	go b.collectEvidence(ctx)
	for ctx.Err() == nil {
		pause := b.interval()
		// The predecessor's beat must be read before it is overwritten.
		if !b.replica.Loaded() || b.beat(ctx) != nil {
			pause = retryPause
		}
		b.update()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (b *Monitor) interval() time.Duration {
	return max(b.cfg.Interval, time.Duration(b.Routers())*time.Second/beatsPerSecond)
}

// beat appends one beat.
func (b *Monitor) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, undo := b.next()
	value, err := cbor.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode beat")
	}
	end, err := b.cfg.Log.Append(ctx, b.cfg.Stream, []keyedlog.Record{{Key: b.cfg.VM, Value: value}}, keyedlog.Anywhere)
	if err != nil {
		obs.BeatsFailedTotal.Add(1)
		if errors.Is(err, keyedlog.ErrUnavailable) {
			undo()
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsure = err != nil
	if err == nil {
		b.cfg.Self.Before, b.cfg.Self.BeforeEnd = next.Timestamp, end
	}
	return err
}

// next returns the beat to send. While a beat without an answer may still be
// carried out, it is sent again unchanged: the time that a successor measures from
// it must not be shorter than Gap. undo takes back a beat that was not carried out.
//
// Gap becomes short before Show is called: what was begun before is shown, and
// nothing more is begun. What was shown is taken back before Gap becomes long again.
func (b *Monitor) next() (r Record, undo func()) {
	b.mu.Lock()
	if b.unsure {
		defer b.mu.Unlock()
		return b.last, func() {}
	}
	before, beforeAt := b.last, b.lastAt
	made := b.cfg.Self
	b.lastAt, made.Timestamp = b.cfg.Now(), b.cfg.Timestamp()
	b.mu.Unlock()
	hide := func() {}
	if b.cfg.HeartbeatUsage != nil {
		made.Shown, hide = b.cfg.HeartbeatUsage()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = made
	return made, func() {
		hide()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.last, b.lastAt = before, beforeAt
	}
}

// Gap is the time since the last beat that may have reached the log. A successor
// never measures less.
func (b *Monitor) Gap() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastAt.IsZero() {
		return 0
	}
	return b.cfg.Now().Sub(b.lastAt)
}

// Leave removes this router's record.
func (b *Monitor) Leave(ctx context.Context) {
	_, err := b.cfg.Log.Append(ctx, b.cfg.Stream, []keyedlog.Record{{Key: b.cfg.VM}}, keyedlog.Anywhere)
	if err != nil {
		// The others find out when no beat follows.
		obs.BeatsFailedTotal.Add(1)
	}
}

// update takes over changed records and counts the live routers. While the log is
// away, the last known ones count on.
func (b *Monitor) update() {
	records := b.replica.Records()
	away := b.replica.Staleness(b.started)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	for vm, rec := range records {
		b.take(vm, rec, now)
	}
	life := max(minLife, missed*max(b.cfg.Interval, time.Duration(b.live)*time.Second/beatsPerSecond))
	live := 1
	for vm, m := range b.members {
		_, listed := records[vm]
		if !listed || now.Sub(m.at)-away > life {
			delete(b.members, vm)
			continue
		}
		if vm != b.cfg.VM {
			live++
		}
	}
	if live != b.live {
		obs.EventMemberChanged.Log(b.cfg.Logger, logrus.Fields{"routers": live, "before": b.live, "age_ms": away.Milliseconds()})
	}
	b.live = live
}

func (b *Monitor) take(vm string, rec keyedlog.Record, now time.Time) {
	known, ok := b.members[vm]
	if ok && known.offset == rec.Offset {
		return
	}
	var r Record
	if err := cbor.Unmarshal(rec.Value, &r); err != nil {
		obs.EventRecordMalformed.Log(b.cfg.Logger, logrus.Fields{
			"stream": b.cfg.Stream.Name, "key": vm, "offset": rec.Offset, "error": err.Error(),
		})
		return
	}
	if vm == b.cfg.VM && r.Process != b.cfg.Self.Process {
		b.foundPredecessor(r, rec.Offset)
	}
	b.members[vm] = member{r, rec.Offset, now}
}

// Routers returns the number of live routers, this one included.
func (b *Monitor) Routers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

// Addresses returns the peers' addresses of the other live routers by VM.
func (b *Monitor) Addresses() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]string, len(b.members))
	for vm, m := range b.members {
		if vm != b.cfg.VM && m.Address != "" {
			out[vm] = m.Address
		}
	}
	return out
}
