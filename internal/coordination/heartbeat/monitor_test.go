package heartbeat

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// clock models the clocks of one VM.
type clock struct {
	monotonic time.Time
	boot      int64
	unix      int64
}

func (c *clock) advance(d time.Duration) {
	c.monotonic = c.monotonic.Add(d)
	c.boot += d.Milliseconds()
	c.unix += d.Milliseconds()
}

func (c *clock) timestamp() Timestamp { return Timestamp{BootMillis: c.boot, UnixMillis: c.unix} }

var stream = keyedlog.Stream{Name: "routers"}

const testMaxGap = 6 * time.Second

func newMonitor(log keyedlog.Log, vm, process string, c *clock) *Monitor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Log: log, Stream: stream, VM: vm, Self: Record{Process: process, Address: vm + ":1"}, Interval: time.Second,
		MaxProvableGap: testMaxGap, Timestamp: c.timestamp, Now: func() time.Time { return c.monotonic }, Logger: logger,
	})
}

// readStream reads the stream once and applies its records.
func (m *Monitor) readStream(is *is.I, log keyedlog.Log) {
	is.Helper()
	began := m.cfg.Timestamp().BootMillis
	page, err := log.Newest(context.Background(), stream)
	is.NoErr(err)
	m.replica.Merge(page)
	m.recordRead(began, page.End)
	m.update()
}

func newClock() *clock {
	return &clock{monotonic: time.Unix(1000, 0), boot: 50_000, unix: 1_700_000_000_000}
}

// Guards against a gap that ends although the heartbeat did not reach the log: while all heartbeats
// of a process fail, its gap must grow.
func TestGap(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	m := newMonitor(log, "vm-1", "p1", c)
	is.NoErr(m.send(context.Background()))
	down := errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)
	log.FaultHook = func(string, keyedlog.Stream, bool) error { return down }
	for i := range 13 {
		is.Equal(m.Gaps(), Gaps{SinceConfirmed: time.Duration(i) * 500 * time.Millisecond, Confirmed: true})
		c.advance(500 * time.Millisecond)
		is.True(m.send(context.Background()) != nil)
	}
	log.FaultHook = nil
	is.NoErr(m.send(context.Background()))
	is.Equal(m.Gaps(), Gaps{Confirmed: true})
}

// Guards against a heartbeat that is sent again with a newer timestamp while the earlier one may
// still take effect: a successor would measure too short a gap.
func TestUnresolvedHeartbeatKeepsItsTimestamp(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	m := newMonitor(log, "vm-1", "p1", c)
	lost := errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	log.FaultHook = func(_ string, _ keyedlog.Stream, done bool) error {
		if done {
			return lost
		}
		return nil
	}
	is.True(m.send(context.Background()) != nil)
	timestamp := m.pending.record.Timestamp
	c.advance(2 * time.Second)
	is.True(m.send(context.Background()) != nil)
	is.Equal(m.pending.record.Timestamp, timestamp)
	c.advance(testMaxGap - time.Second)
	is.Equal(m.Gaps(), Gaps{SincePending: testMaxGap + time.Second, Pending: true})
}

// Guards against a proof of a short gap when the predecessor may have run longer, the VM was
// rebooted or the time of day was set.
func TestPredecessorGap(t *testing.T) {
	for name, c := range map[string]struct {
		downtime time.Duration
		reboot   bool
		set      time.Duration
		want     bool
	}{
		"quick restart":                  {downtime: 2 * time.Second, want: true},
		"long downtime":                  {downtime: 7 * time.Second},
		"reboot of the VM":               {downtime: 2 * time.Second, reboot: true},
		"clock set back during downtime": {downtime: 7 * time.Second, set: -4 * time.Second},
		"clock set, short downtime":      {downtime: time.Second, set: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clocks, log := newClock(), keyedlog.NewMemory()
			is.NoErr(newMonitor(log, "vm-1", "p1", clocks).send(context.Background()))
			clocks.advance(c.downtime)
			clocks.unix += c.set.Milliseconds()
			if c.reboot {
				clocks.boot = 100
			}
			successor := newMonitor(log, "vm-1", "p2", clocks)
			successor.readStream(is, log)
			gap, _, proven := successor.PredecessorGap("p1")
			is.Equal(proven, c.want)
			is.True(!proven || gap >= c.downtime)
			_, _, proven = successor.PredecessorGap("p0")
			is.True(!proven)
		})
	}
}

// Guards against usage that is collected while the process may still use more because of the gap,
// and against a heartbeat that did not take effect but ends the gap.
func TestHeartbeatReportsUsage(t *testing.T) {
	is := is.New(t)
	clocks, log := newClock(), keyedlog.NewMemory()
	first := newMonitor(log, "vm-1", "p1", clocks)
	undone := 0
	confirmed := 0
	first.cfg.HeartbeatUsage = func() (map[string]int64, func(bool)) {
		is.True(first.Gaps().Pending)
		is.Equal(first.Gaps().SincePending, time.Duration(0))
		return map[string]int64{"team": 7}, func(tookEffect bool) {
			is.True(first.Gaps().Pending)
			is.Equal(first.Gaps().SincePending, time.Duration(0))
			if tookEffect {
				confirmed++
			} else {
				undone++
			}
		}
	}
	is.NoErr(first.send(context.Background()))
	clocks.advance(2 * time.Second)
	log.FaultHook = func(string, keyedlog.Stream, bool) error {
		return errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)
	}
	is.True(first.send(context.Background()) != nil)
	is.Equal(undone, 1)
	is.Equal(confirmed, 1)
	is.Equal(first.Gaps(), Gaps{SinceConfirmed: 2 * time.Second, Confirmed: true})
	log.FaultHook = nil
	successor := newMonitor(log, "vm-1", "p2", clocks)
	successor.readStream(is, log)
	gap, usage, proven := successor.PredecessorGap("p1")
	is.True(proven)
	is.True(gap >= 2*time.Second)
	is.Equal(usage["team"], int64(7))
}

// Guards against a proof for one process that is used for another, and against an old heartbeat
// that replaces a newer one because its append took effect late.
func TestLateHeartbeatsOfEarlierProcesses(t *testing.T) {
	is := is.New(t)
	clocks, log := newClock(), keyedlog.NewMemory()
	oldest, first := newMonitor(log, "vm-1", "p0", clocks), newMonitor(log, "vm-1", "p1", clocks)
	late := oldest.nextHeartbeat().record
	clocks.advance(time.Second)
	old := first.nextHeartbeat().record
	clocks.advance(time.Second)
	is.NoErr(first.send(context.Background()))
	successor := newMonitor(log, "vm-1", "p2", clocks)
	successor.readStream(is, log)
	before, _, proven := successor.PredecessorGap("p1")
	is.True(proven)
	for i, r := range []Record{old, late} {
		value, err := cbor.Marshal(r)
		is.NoErr(err)
		successor.applyRecord("vm-1", keyedlog.Record{Key: "vm-1", Value: value, Offset: uint64(10 + i)}, clocks.monotonic)
	}
	gap, _, proven := successor.PredecessorGap("p1")
	is.True(proven)
	is.Equal(gap, before)
	_, _, proven = successor.PredecessorGap("p0")
	is.True(!proven)
}

// Guards against an age that neither a router which was running at the append nor more than half of
// the clocks confirm, and against one that is too low.
func TestAgeAtStart(t *testing.T) {
	low, medium, high, none := 2*time.Second, 3*time.Second, 9*time.Second, time.Duration(-1)
	for name, c := range map[string]struct {
		own     time.Duration
		bounds  []AgeBounds
		routers int
		want    time.Duration
	}{
		"one running router":           {own: low, bounds: []AgeBounds{{low, none}}, routers: 9, want: low},
		"lowest of running routers":    {own: low, bounds: []AgeBounds{{high, none}, {medium, none}}, routers: 9, want: medium},
		"own clock is higher":          {own: high, bounds: []AgeBounds{{low, low}, {low, low}}, routers: 3, want: high},
		"running router is higher":     {own: low, bounds: []AgeBounds{{high, none}}, routers: 9, want: high},
		"majority of clocks":           {own: low, bounds: []AgeBounds{{none, low}, {none, medium}}, routers: 5, want: medium},
		"majority without the highest": {own: low, bounds: []AgeBounds{{none, medium}, {none, high}}, routers: 3, want: medium},
		"half of the clocks":           {own: low, bounds: []AgeBounds{{none, low}}, routers: 4, want: none},
		"no bounds":                    {own: low, bounds: []AgeBounds{{none, none}, {none, none}}, routers: 3, want: none},
		"no response in fleet of two":  {own: low, routers: 2, want: none},
		"only router of the fleet":     {own: low, routers: 1, want: low},
		"own clock was set back":       {own: -low, bounds: []AgeBounds{{low, none}}, routers: 9, want: none},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			age, ok := ageAtStart(c.own, c.bounds, c.routers, 0)
			is.Equal(ok, c.want >= 0)
			is.True(!ok || age == c.want)
		})
	}
}

// Guards against reporting an age that is lower than the true age.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		log, clocks := keyedlog.NewMemory(), newClock()
		monitor := newMonitor(log, "vm-1", "p1", clocks)
		monitor.replica.Merge(keyedlog.Page{})
		appended := make(map[uint64]int64)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			clocks.advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "append") {
				// The value is an empty CBOR map.
				end := log.AppendUnconditionally(stream, keyedlog.Record{Key: "vm-2", Value: []byte{0xa0}})
				appended[end-1] = clocks.boot
			} else {
				monitor.readStream(is, log)
			}
		}
		for offset, at := range appended {
			if age := monitor.reads.age(offset, clocks.boot); age >= 0 && age.Milliseconds() < clocks.boot-at {
				rt.Fatalf("heartbeat %d is %d ms old, reported bound is %s", offset, clocks.boot-at, age)
			}
		}
	})
}

// Guards against routers that are counted after they have left, or dropped only because the log
// does not respond.
func TestLiveRouters(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	a, b := newMonitor(log, "vm-1", "p1", c), newMonitor(log, "vm-2", "p2", c)
	is.NoErr(a.send(context.Background()))
	is.NoErr(b.send(context.Background()))
	a.readStream(is, log)
	is.Equal(a.Routers(), 2)
	is.Equal(a.Addresses()["vm-2"], "vm-2:1")
	b.Leave(context.Background())
	a.replica.Merge(keyedlog.Page{Records: []keyedlog.Record{{Key: "vm-2", Offset: 2}}, Next: 3})
	a.update()
	is.Equal(a.Routers(), 1)
}

// Guards against routers that all restart after a power loss and take the smallest part of a rate for seconds, although
// the log has the heartbeats of the fleet.
func TestFleetSizeIsKnownAfterRestart(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		is.NoErr(newMonitor(log, vm, "before", c).send(context.Background()))
	}
	size := func(vm string) (routers int, known bool) {
		m := newMonitor(log, vm, "after", c)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go m.replica.Run(ctx)
		for ctx.Err() == nil && !m.replica.Loaded() {
			time.Sleep(time.Millisecond)
		}
		m.update()
		return m.FleetSize()
	}
	routers, known := size("vm-2")
	is.True(known)
	is.Equal(routers, 3)
	_, known = size("vm-4") // may be one of many that start for the first time
	is.True(!known)
}

// lateLog executes appends late while it delays them.
type lateLog struct {
	*keyedlog.Memory
	delays bool
	late   []func()
}

func (l *lateLog) delay(execute func()) (uint64, error) {
	l.late = append(l.late, execute)
	return 0, errors.Mark(errors.New("late"), keyedlog.ErrOutcomeUnknown)
}

func (l *lateLog) Append(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, at uint64) (uint64, error) {
	if l.delays {
		return l.delay(func() { _, _ = l.Memory.Append(ctx, s, records, at) }) // nobody waits for the outcome
	}
	return l.Memory.Append(ctx, s, records, at)
}

func (l *lateLog) AppendAs(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, p keyedlog.Producer) (uint64, error) {
	if l.delays {
		return l.delay(func() { _, _ = l.Memory.AppendAs(ctx, s, records, p) }) // nobody waits for the outcome
	}
	return l.Memory.AppendAs(ctx, s, records, p)
}

// Guards against a heartbeat that the log executes late and that replaces a later one of the process: a successor finds the
// usage of before, and counts too little as spent.
func TestLateHeartbeatReplacesNoLaterOne(t *testing.T) {
	is := is.New(t)
	clocks, log := newClock(), &lateLog{Memory: keyedlog.NewMemory()}
	m := newMonitor(log, "vm-1", "p1", clocks)
	used := int64(0)
	m.cfg.HeartbeatUsage = func() (map[string]int64, func(bool)) {
		used++
		return map[string]int64{"team": used}, func(bool) {}
	}
	is.NoErr(m.send(context.Background()))
	clocks.advance(time.Second)
	log.delays = true
	is.True(m.send(context.Background()) != nil) // executed late
	log.delays = false
	is.NoErr(m.send(context.Background())) // the same heartbeat again
	clocks.advance(time.Second)
	is.NoErr(m.send(context.Background()))
	for _, execute := range log.late {
		execute()
	}
	successor := newMonitor(log, "vm-1", "p2", clocks)
	successor.readStream(is, log)
	gap, usage, proven := successor.PredecessorGap("p1")
	is.True(proven)
	is.Equal(usage["team"], int64(3))
	is.Equal(gap, clockMargin)
}

// Guards against a heartbeat that the log executes after the process has left: other routers would wait for one that is gone,
// and its successor for the proof of a gap.
func TestNoHeartbeatFollowsTheLastRecord(t *testing.T) {
	is := is.New(t)
	clocks, log := newClock(), &lateLog{Memory: keyedlog.NewMemory(), delays: true}
	m := newMonitor(log, "vm-1", "p1", clocks)
	is.True(m.send(context.Background()) != nil) // executed late
	log.delays = false
	m.Leave(context.Background())
	is.NoErr(m.send(context.Background()))
	for _, execute := range log.late {
		execute()
	}
	page, err := log.Newest(context.Background(), stream)
	is.NoErr(err)
	is.Equal(len(page.Records), 0)
}

// Guards against a router without heartbeats after its time of day was set back or the log was restored from an older copy:
// the log refuses its epoch or its sequence number then.
func TestHeartbeatsAfterRefusedEpochs(t *testing.T) {
	is := is.New(t)
	clocks, log := newClock(), keyedlog.NewMemory()
	first := newMonitor(log, "vm-1", "p1", clocks)
	is.NoErr(first.send(context.Background()))
	copied := log.Copy()
	is.NoErr(first.send(context.Background()))
	log.Restore(copied)
	is.True(errors.Is(first.send(context.Background()), keyedlog.ErrFenced))
	is.NoErr(first.send(context.Background()))

	const setBack = 24 * time.Hour
	clocks.monotonic = clocks.monotonic.Add(setBack)
	before := newMonitor(log, "vm-1", "p2", clocks)
	is.NoErr(before.send(context.Background()))
	clocks.monotonic = clocks.monotonic.Add(-setBack)
	after := newMonitor(log, "vm-1", "p3", clocks)
	attempts := 1
	for after.send(context.Background()) != nil {
		attempts++
		is.True(attempts <= 10)
	}
	is.NoErr(after.send(context.Background()))
}
