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

// clock is the clocks of one VM.
type clock struct {
	steady time.Time
	boot   int64
	unix   int64
}

func (c *clock) pass(d time.Duration) {
	c.steady = c.steady.Add(d)
	c.boot += d.Milliseconds()
	c.unix += d.Milliseconds()
}

func (c *clock) stamp() Timestamp { return Timestamp{BootMillis: c.boot, UnixMillis: c.unix} }

var stream = keyedlog.Stream{Name: "routers"}

const testLongestGap = 6 * time.Second

func newBeats(log keyedlog.Log, vm, process string, c *clock) *Monitor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Log: log, Stream: stream, VM: vm, Self: Record{Process: process, Address: vm + ":1"}, Interval: time.Second,
		MaxProvableGap: testLongestGap, Timestamp: c.stamp, Now: func() time.Time { return c.steady }, Logger: logger,
	})
}

// read lets a router read the stream once.
func (b *Monitor) read(is *is.I, log keyedlog.Log) {
	is.Helper()
	began := b.cfg.Timestamp().BootMillis
	page, err := log.Newest(context.Background(), stream)
	is.NoErr(err)
	b.replica.Merge(page)
	b.mark(began, page.End)
	b.update()
}

func newClock() *clock {
	return &clock{steady: time.Unix(1000, 0), boot: 50_000, unix: 1_700_000_000_000}
}

// Guards against a process that counts as heard although its last beats never
// reached the log, and against one that beats in vain for ever without noticing.
func TestGap(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	b := newBeats(log, "vm-1", "p1", c)
	is.NoErr(b.beat(context.Background()))
	down := errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)
	log.Fault = func(string, keyedlog.Stream, bool) error { return down }
	for i := range 13 {
		is.Equal(b.Gap(), time.Duration(i)*500*time.Millisecond)
		c.pass(500 * time.Millisecond)
		is.True(b.beat(context.Background()) != nil)
	}
	log.Fault = nil
	is.NoErr(b.beat(context.Background()))
	is.Equal(b.Gap(), time.Duration(0))
}

// Guards against a beat that is sent again with a newer stamp while an earlier one
// may still arrive: a successor would measure too short a time.
func TestBeatWithoutAnswerKeepsItsStamp(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	b := newBeats(log, "vm-1", "p1", c)
	lost := errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	log.Fault = func(_ string, _ keyedlog.Stream, done bool) error {
		if done {
			return lost
		}
		return nil
	}
	is.True(b.beat(context.Background()) != nil)
	stamp := b.last.Timestamp
	c.pass(2 * time.Second)
	is.True(b.beat(context.Background()) != nil)
	is.Equal(b.last.Timestamp, stamp)
	c.pass(testLongestGap - time.Second)
	is.Equal(b.Gap(), testLongestGap+time.Second)
}

// Guards against a successor that takes its predecessor for never silent when the
// predecessor lived longer, the VM was restarted or the time of day was set.
func TestPredecessor(t *testing.T) {
	for name, c := range map[string]struct {
		away   time.Duration
		reboot bool
		set    time.Duration
		want   bool
	}{
		"quick restart":                {away: 2 * time.Second, want: true},
		"long away":                    {away: 7 * time.Second},
		"restart of the VM":            {away: 2 * time.Second, reboot: true},
		"clock set back while away":    {away: 7 * time.Second, set: -4 * time.Second},
		"clock set, though soon after": {away: time.Second, set: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk, log := newClock(), keyedlog.NewMemory()
			is.NoErr(newBeats(log, "vm-1", "p1", clk).beat(context.Background()))
			clk.pass(c.away)
			clk.unix += c.set.Milliseconds()
			if c.reboot {
				clk.boot = 100
			}
			next := newBeats(log, "vm-1", "p2", clk)
			next.read(is, log)
			gap, _, proven := next.LastGap("p1")
			is.Equal(proven, c.want)
			is.True(!proven || gap >= c.away)
			_, _, proven = next.LastGap("p0")
			is.True(!proven)
		})
	}
}

// Guards against a beat that is made while the process may still begin what only a
// gap allows, and against one that was not carried out and ends the gap.
func TestBeatShows(t *testing.T) {
	is := is.New(t)
	clk, log := newClock(), keyedlog.NewMemory()
	first := newBeats(log, "vm-1", "p1", clk)
	hidden := 0
	first.cfg.HeartbeatUsage = func() (map[string]int64, func()) {
		is.Equal(first.Gap(), time.Duration(0))
		return map[string]int64{"team": 7}, func() {
			is.Equal(first.Gap(), time.Duration(0))
			hidden++
		}
	}
	is.NoErr(first.beat(context.Background()))
	clk.pass(2 * time.Second)
	log.Fault = func(string, keyedlog.Stream, bool) error {
		return errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)
	}
	is.True(first.beat(context.Background()) != nil)
	is.Equal(hidden, 1)
	is.Equal(first.Gap(), 2*time.Second)
	log.Fault = nil
	next := newBeats(log, "vm-1", "p2", clk)
	next.read(is, log)
	gap, shown, proven := next.LastGap("p1")
	is.True(proven)
	is.True(gap >= 2*time.Second)
	is.Equal(shown["team"], int64(7))
}

// Guards against a proof for one process that is taken for another one's, and
// against an old beat, appended late, that replaces a newer one.
func TestLateBeatsOfEarlierProcesses(t *testing.T) {
	is := is.New(t)
	clk, log := newClock(), keyedlog.NewMemory()
	oldest, first := newBeats(log, "vm-1", "p0", clk), newBeats(log, "vm-1", "p1", clk)
	late, _ := oldest.next()
	clk.pass(time.Second)
	old, _ := first.next()
	clk.pass(time.Second)
	is.NoErr(first.beat(context.Background()))
	next := newBeats(log, "vm-1", "p2", clk)
	next.read(is, log)
	before, _, proven := next.LastGap("p1")
	is.True(proven)
	for i, r := range []Record{old, late} {
		value, err := cbor.Marshal(r)
		is.NoErr(err)
		next.take("vm-1", keyedlog.Record{Key: "vm-1", Value: value, Offset: uint64(10 + i)}, clk.steady)
	}
	gap, _, proven := next.LastGap("p1")
	is.True(proven)
	is.Equal(gap, before)
	_, _, proven = next.LastGap("p0")
	is.True(!proven)
}

// Guards against a verdict on less than one witness that was there, or on less
// than half of the clocks, and against one that understates the age.
func TestVerdict(t *testing.T) {
	soon, later, late, none := 2*time.Second, 3*time.Second, 9*time.Second, time.Duration(-1)
	for name, c := range map[string]struct {
		own       time.Duration
		testimony []AgeBounds
		routers   int
		want      time.Duration
	}{
		"one that was there":             {own: soon, testimony: []AgeBounds{{soon, none}}, routers: 9, want: soon},
		"the best of those there":        {own: soon, testimony: []AgeBounds{{late, none}, {later, none}}, routers: 9, want: later},
		"own clock says late":            {own: late, testimony: []AgeBounds{{soon, soon}, {soon, soon}}, routers: 3, want: late},
		"it was there and says late":     {own: soon, testimony: []AgeBounds{{late, none}}, routers: 9, want: late},
		"most clocks":                    {own: soon, testimony: []AgeBounds{{none, soon}, {none, later}}, routers: 5, want: later},
		"most clocks without the latest": {own: soon, testimony: []AgeBounds{{none, later}, {none, late}}, routers: 3, want: later},
		"half of the clocks":             {own: soon, testimony: []AgeBounds{{none, soon}}, routers: 4, want: none},
		"nobody knows":                   {own: soon, testimony: []AgeBounds{{none, none}, {none, none}}, routers: 3, want: none},
		"alone after a restart of a VM":  {own: soon, routers: 2, want: none},
		"the only router of a small one": {own: soon, routers: 1, want: soon},
		"own clock was set back":         {own: -soon, testimony: []AgeBounds{{soon, none}}, routers: 9, want: none},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			age, ok := verdict(c.own, c.testimony, c.routers, 0)
			is.Equal(ok, c.want >= 0)
			is.True(!ok || age == c.want)
		})
	}
}

// Guards against a testimony that makes a beat younger than it is.
func TestWitnessNeverUnderstates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		log, clk := keyedlog.NewMemory(), newClock()
		watcher := newBeats(log, "vm-1", "p1", clk)
		watcher.replica.Merge(keyedlog.Page{})
		appended := make(map[uint64]int64)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			clk.pass(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "append") {
				end := log.Publish(stream, keyedlog.Record{Key: "vm-2", Value: []byte{0xa0}})
				appended[end-1] = clk.boot
			} else {
				watcher.read(is, log)
			}
		}
		for offset, at := range appended {
			if age := watcher.marks.age(offset, clk.boot); age >= 0 && age.Milliseconds() < clk.boot-at {
				rt.Fatalf("beat %d is %d ms old, testimony says %s", offset, clk.boot-at, age)
			}
		}
	})
}

// Guards against routers that are counted after they have gone, or dropped while
// only the log is away.
func TestRouters(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	a, b := newBeats(log, "vm-1", "p1", c), newBeats(log, "vm-2", "p2", c)
	is.NoErr(a.beat(context.Background()))
	is.NoErr(b.beat(context.Background()))
	a.read(is, log)
	is.Equal(a.Routers(), 2)
	is.Equal(a.Addresses()["vm-2"], "vm-2:1")
	b.Leave(context.Background())
	a.replica.Merge(keyedlog.Page{Records: []keyedlog.Record{{Key: "vm-2", Offset: 2}}, Next: 3})
	a.update()
	is.Equal(a.Routers(), 1)
}
