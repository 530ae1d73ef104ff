package follow

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

const (
	testStream    = "s"
	testSnapshots = "s-snap"
	retention     = 80 * time.Second
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// chain is a folded state that shows each lost, doubled or reordered record:
// a number that depends on all records in order.
type chain struct {
	next  uint64
	value uint64
}

func (c *chain) apply(records []logstream.Record) {
	for _, r := range records {
		c.next = r.Offset + 1
		for _, b := range r.Data {
			c.value = c.value*1099511628211 + uint64(b)
		}
	}
}

func (c *chain) encode() (snapshot.Snapshot, error) {
	data := binary.BigEndian.AppendUint64(nil, c.next)
	return snapshot.Snapshot{Next: c.next, Data: binary.BigEndian.AppendUint64(data, c.value)}, nil
}

func (c *chain) decode(s snapshot.Snapshot) (func(), error) {
	if len(s.Data) != 16 {
		return nil, errors.New("wrong size")
	}
	return func() {
		c.next = binary.BigEndian.Uint64(s.Data)
		c.value = binary.BigEndian.Uint64(s.Data[8:])
	}, nil
}

// node is a reader that also writes snapshots.
type node struct {
	*Follower
	state  *chain
	writer *SnapshotWriter
}

func newNode(log Log, c *clock) *node {
	n := &node{state: &chain{next: 1}}
	n.Follower = New(log, Config{
		Stream: testStream, SnapshotStream: testSnapshots, Apply: n.state.apply, Decode: n.state.decode, Now: c.now,
	})
	n.writer = NewSnapshotWriter(log, SnapshotWriterConfig{
		SnapshotStream: testSnapshots, Retention: retention, Encode: n.state.encode, Next: n.Next,
		PartBytes: 5, Now: c.now,
	})
	return n
}

func mustAppend(t interface{ Fatal(...any) }, log Log, data ...byte) {
	if _, err := log.Append(context.Background(), testStream, data); err != nil {
		t.Fatal(err)
	}
}

// Guards against records lost or undone by retention: with two snapshot
// writers, faults shorter than a quarter of the retention and nodes that start
// from nothing, every reader reaches the state of a fold of the whole log.
func TestRetentionAndSnapshotsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		c := newClock()
		log := standin.NewLogAt(c.now)
		log.SetFaults(standin.LogFaults{RetainAge: retention})
		full := &chain{next: 1}
		var offset uint64
		nodes := []*node{newNode(log, c), newNode(log, c)}
		for range rapid.IntRange(30, 120).Draw(t, "steps") {
			log.SetFaults(standin.LogFaults{RetainAge: retention})
			c.at = c.at.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "records") {
				mustAppend(t, log, b)
				offset++
				full.apply([]logstream.Record{{Offset: offset, Data: []byte{b}}})
			}
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				log.SetFaults(standin.LogFaults{RetainAge: retention, LoseAnswers: 1})
			case 1:
				log.SetFaults(standin.LogFaults{RetainAge: retention, LateAppends: 1})
			case 2:
				continue // an outage: nobody reads or writes a snapshot
			}
			for i, n := range nodes {
				before := n.Next()
				if err := n.CatchUp(ctx); err != nil {
					t.Fatal(err)
				}
				if n.Next() < before || *n.state != *full {
					t.Fatalf("node %d: %+v, want %+v", i, *n.state, *full)
				}
				_, err := n.writer.Step(ctx)
				if err != nil && !errors.Is(err, logstream.ErrOutcomeUnknown) {
					t.Fatal(err)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				nodes[0] = newNode(log, c)
			}
		}
	})
}

// Guards against service from a state that has not reached the end of the log.
func TestNotReadyBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	c := newClock()
	log := standin.NewLogAt(c.now)
	for range pageRecords + 1 {
		mustAppend(t, log, 1)
	}
	n := newNode(log, c)
	is.NoErr(n.poll(context.Background(), 0))
	is.True(errors.Is(n.Ready(), ErrNotCaughtUp)) // one page of two
	is.NoErr(n.poll(context.Background(), 0))
	is.NoErr(n.Ready())
	log.SetFaults(standin.LogFaults{Down: true})
	is.True(n.CatchUp(context.Background()) != nil)
	is.NoErr(n.Ready()) // an outage does not take back what was read
}

// Guards against a node that serves from a state with a hole: without a
// snapshot that the log continues, it never becomes ready.
func TestRefusesSnapshotOlderThanRetention(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClock()
	log := standin.NewLogAt(c.now)
	old := newNode(log, c)
	mustAppend(t, log, 1)
	is.NoErr(old.CatchUp(ctx))
	complete, err := old.writer.Step(ctx)
	is.NoErr(err)
	is.True(complete)
	for range 20 {
		mustAppend(t, log, 2)
	}
	log.SetFaults(standin.LogFaults{Retain: 10})
	joining := newNode(log, c)
	is.True(errors.Is(joining.CatchUp(ctx), snapshot.ErrTooOld))
	is.True(errors.Is(joining.Ready(), ErrNotCaughtUp))
	is.True(errors.Is(joining.Ready(), snapshot.ErrTooOld)) // and says why
}

// Guards against a node that was cut off for longer than the retention and
// goes on from the old state: it takes the newest snapshot instead.
func TestTrimmedReaderReloads(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClock()
	log := standin.NewLogAt(c.now)
	cut, writer := newNode(log, c), newNode(log, c)
	mustAppend(t, log, 1)
	is.NoErr(cut.CatchUp(ctx))
	for range 20 {
		mustAppend(t, log, 2)
	}
	is.NoErr(writer.CatchUp(ctx))
	_, err := writer.writer.Step(ctx)
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{Retain: 10})
	is.NoErr(cut.CatchUp(ctx))
	is.Equal(*cut.state, *writer.state)
}

// failAfter refuses appends once a number of them succeeded.
type failAfter struct {
	Log
	left int
}

func (f *failAfter) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if f.left == 0 {
		return 0, logstream.ErrUnavailable
	}
	f.left--
	return f.Log.Append(ctx, stream, data)
}

// Guards against a series that stays broken after an outage, and against parts
// that are written twice when they are resumed.
func TestWriterResumesBrokenSeries(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClock()
	log := &failAfter{Log: standin.NewLogAt(c.now), left: 3}
	n := newNode(log, c)
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	_, err := n.writer.Step(ctx) // 2 of 4 parts
	is.True(errors.Is(err, logstream.ErrUnavailable))
	_, err = snapshot.Load(ctx, log, testSnapshots, testStream, nil)
	is.True(errors.Is(err, snapshot.ErrNoSnapshot))
	log.left = 2
	complete, err := n.writer.Step(ctx)
	is.NoErr(err)
	is.True(complete)
	got, err := snapshot.Load(ctx, log, testSnapshots, testStream, nil)
	is.NoErr(err)
	want, _ := n.state.encode()
	is.True(bytes.Equal(got.Data, want.Data))
	complete, err = n.writer.Step(ctx)
	is.NoErr(err)
	is.True(!complete) // the next one is not due yet
}

// Guards against an answer of the log that leaves out records.
func TestGapIsRefused(t *testing.T) {
	is := is.New(t)
	n := newNode(standin.NewLog(), newClock())
	err := n.apply(logstream.Page{First: 1, Next: 4, Records: []logstream.Record{{Offset: 1}, {Offset: 3}}}, time.Time{})
	is.True(errors.Is(err, ErrGap))
	is.NoErr(n.apply(logstream.Page{First: 1, Next: 3, Records: []logstream.Record{{Offset: 1}, {Offset: 2}}}, time.Time{}))
	err = n.apply(logstream.Page{First: 1, Next: 2}, time.Time{})
	is.True(errors.Is(err, ErrGap)) // the end of the log went back
}

// Guards against the loss of a quiet stream: its snapshot is written anew
// before the log drops it, although nothing has changed.
func TestQuietStreamKeepsItsSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClock()
	log := standin.NewLogAt(c.now)
	log.SetFaults(standin.LogFaults{RetainAge: retention})
	n := newNode(log, c)
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	for range 20 {
		_, err := n.writer.Step(ctx)
		is.NoErr(err)
		c.at = c.at.Add(retention / 8)
	}
	joining := newNode(log, c)
	is.NoErr(joining.CatchUp(ctx))
	is.Equal(*joining.state, *n.state)
}

// Guards against a state that reverts to the newest snapshot.
func TestStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	n := newNode(log, newClock())
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	_, err := n.writer.Step(ctx)
	is.NoErr(err)
	mustAppend(t, log, 2)
	is.NoErr(n.CatchUp(ctx))
	want := *n.state
	is.NoErr(n.restore(ctx))
	is.Equal(*n.state, want)
	is.Equal(n.Next(), uint64(3))
}

// Guards against a log line for each retry of an outage, and against an ended
// wait that is taken for one.
func TestOutageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	reports := 0
	f := New(log, Config{Stream: testStream, OnError: func(error) { reports++ }})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(f.CatchUp(ended) != nil)
	is.True(!f.Failing())
	log.SetFaults(standin.LogFaults{Down: true})
	for range 3 {
		is.True(f.CatchUp(context.Background()) != nil)
	}
	is.Equal(reports, 1)
	is.True(f.Failing())
	log.SetFaults(standin.LogFaults{})
	is.NoErr(f.CatchUp(context.Background()))
	is.True(!f.Failing())
}

// waits notes how long reads wait for a record.
type waits struct {
	Log
	last time.Duration
}

func (w *waits) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logstream.Page, error) {
	w.last = wait
	return w.Log.Read(ctx, stream, from, max, 0)
}

// Guards against a node that waits for a record of a quiet stream before it
// becomes ready.
func TestJoiningDoesNotWaitForRecords(t *testing.T) {
	is := is.New(t)
	log := &waits{Log: standin.NewLog()}
	f := New(log, Config{Stream: testStream})
	for _, want := range []time.Duration{0, pollWait} {
		is.NoErr(f.poll(context.Background(), f.pollWait()))
		is.Equal(log.last, want)
		is.NoErr(f.Ready())
	}
}
