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
	testStream         = "s"
	testSnapshotStream = "s-snap"
	retention          = 80 * time.Second
)

type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newFakeClock() *fakeClock { return &fakeClock{at: time.Unix(1000, 0)} }

// hashState is a state that reveals each lost, duplicated or reordered record: a hash that depends on all
// records and their order.
type hashState struct {
	next  uint64
	value uint64
}

func (h *hashState) apply(records []logstream.Record) {
	for _, r := range records {
		h.next = r.Offset + 1
		for _, b := range r.Data {
			h.value = h.value*1099511628211 + uint64(b)
		}
	}
}

func (h *hashState) encode() (snapshot.Snapshot, error) {
	data := binary.BigEndian.AppendUint64(nil, h.next)
	return snapshot.Snapshot{Next: h.next, Data: binary.BigEndian.AppendUint64(data, h.value)}, nil
}

func (h *hashState) decode(s snapshot.Snapshot) (func(), error) {
	if len(s.Data) != 16 {
		return nil, errors.New("wrong size")
	}
	return func() {
		h.next = binary.BigEndian.Uint64(s.Data)
		h.value = binary.BigEndian.Uint64(s.Data[8:])
	}, nil
}

// testRouter follows the test stream and writes its snapshots.
type testRouter struct {
	*Follower
	state  *hashState
	writer *SnapshotWriter
}

func newTestRouter(log Log, c *fakeClock) *testRouter {
	n := &testRouter{state: &hashState{next: 1}}
	n.Follower = New(log, Config{
		Stream: testStream, SnapshotStream: testSnapshotStream, Apply: n.state.apply, Decode: n.state.decode, Now: c.now,
	})
	n.writer = NewSnapshotWriter(log, SnapshotWriterConfig{
		SnapshotStream: testSnapshotStream, Retention: retention, Encode: n.state.encode, Next: n.Next,
		PartBytes: 5, Now: c.now,
	})
	return n
}

func mustAppend(t interface{ Fatal(...any) }, log Log, data ...byte) {
	if _, err := log.Append(context.Background(), testStream, data); err != nil {
		t.Fatal(err)
	}
}

// Guards against records that are lost or undone by retention: with two snapshot writers, faults shorter than
// a quarter of the retention period and routers that restart without state, every router reaches the state of
// a replay of the whole log.
func TestRetentionAndSnapshotsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		c := newFakeClock()
		log := standin.NewLogWithClock(c.now)
		log.SetFaults(standin.LogFaults{RetainAge: retention})
		reference := &hashState{next: 1}
		var offset uint64
		routers := []*testRouter{newTestRouter(log, c), newTestRouter(log, c)}
		for range rapid.IntRange(30, 120).Draw(t, "steps") {
			log.SetFaults(standin.LogFaults{RetainAge: retention})
			c.at = c.at.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "records") {
				mustAppend(t, log, b)
				offset++
				reference.apply([]logstream.Record{{Offset: offset, Data: []byte{b}}})
			}
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				log.SetFaults(standin.LogFaults{RetainAge: retention, LoseResponses: 1})
			case 1:
				log.SetFaults(standin.LogFaults{RetainAge: retention, LateAppends: 1})
			case 2:
				continue // an outage: no router reads or writes a snapshot
			}
			for i, n := range routers {
				before := n.Next()
				if err := n.CatchUp(ctx); err != nil {
					t.Fatal(err)
				}
				if n.Next() < before || *n.state != *reference {
					t.Fatalf("router %d: %+v, want %+v", i, *n.state, *reference)
				}
				_, err := n.writer.Step(ctx)
				if err != nil && !errors.Is(err, logstream.ErrOutcomeUnknown) {
					t.Fatal(err)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				routers[0] = newTestRouter(log, c)
			}
		}
	})
}

// Guards against a follower that is ready before its state has reached the end of the log.
func TestNotReadyBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	c := newFakeClock()
	log := standin.NewLogWithClock(c.now)
	for range pageRecords + 1 {
		mustAppend(t, log, 1)
	}
	n := newTestRouter(log, c)
	is.NoErr(n.poll(context.Background(), 0))
	is.True(errors.Is(n.Ready(), ErrNotCaughtUp)) // one page of two
	is.NoErr(n.poll(context.Background(), 0))
	is.NoErr(n.Ready())
	log.SetFaults(standin.LogFaults{Down: true})
	is.True(n.CatchUp(context.Background()) != nil)
	is.NoErr(n.Ready()) // an outage does not end readiness
}

// Guards against a router that serves from a state with missing records: if the log has trimmed records after
// the newest snapshot, the router does not become ready.
func TestRejectsSnapshotOlderThanRetention(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakeClock()
	log := standin.NewLogWithClock(c.now)
	old := newTestRouter(log, c)
	mustAppend(t, log, 1)
	is.NoErr(old.CatchUp(ctx))
	complete, err := old.writer.Step(ctx)
	is.NoErr(err)
	is.True(complete)
	for range 20 {
		mustAppend(t, log, 2)
	}
	log.SetFaults(standin.LogFaults{Retain: 10})
	joining := newTestRouter(log, c)
	is.True(errors.Is(joining.CatchUp(ctx), snapshot.ErrTooOld))
	is.True(errors.Is(joining.Ready(), ErrNotCaughtUp))
	is.True(errors.Is(joining.Ready(), snapshot.ErrTooOld)) // the error has the cause
}

// Guards against a router that was disconnected for longer than the retention period and continues from its
// old state: it must load the newest snapshot instead.
func TestTrimmedReaderReloads(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakeClock()
	log := standin.NewLogWithClock(c.now)
	disconnected, writer := newTestRouter(log, c), newTestRouter(log, c)
	mustAppend(t, log, 1)
	is.NoErr(disconnected.CatchUp(ctx))
	for range 20 {
		mustAppend(t, log, 2)
	}
	is.NoErr(writer.CatchUp(ctx))
	_, err := writer.writer.Step(ctx)
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{Retain: 10})
	is.NoErr(disconnected.CatchUp(ctx))
	is.Equal(*disconnected.state, *writer.state)
}

// failAfter rejects appends after left of them have succeeded.
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

// Guards against a series that stays incomplete after an outage, and against parts that are written twice
// when the series is resumed.
func TestWriterResumesIncompleteSeries(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakeClock()
	log := &failAfter{Log: standin.NewLogWithClock(c.now), left: 3}
	n := newTestRouter(log, c)
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	_, err := n.writer.Step(ctx) // 2 of 4 parts
	is.True(errors.Is(err, logstream.ErrUnavailable))
	_, err = snapshot.Load(ctx, log, testSnapshotStream, testStream, nil)
	is.True(errors.Is(err, snapshot.ErrNoSnapshot))
	log.left = 2
	complete, err := n.writer.Step(ctx)
	is.NoErr(err)
	is.True(complete)
	got, err := snapshot.Load(ctx, log, testSnapshotStream, testStream, nil)
	is.NoErr(err)
	want, _ := n.state.encode()
	is.True(bytes.Equal(got.Data, want.Data))
	complete, err = n.writer.Step(ctx)
	is.NoErr(err)
	is.True(!complete) // the next snapshot is not due yet
}

// Guards against a response of the log that leaves out records or ends before records that were already
// applied.
func TestGapIsRejected(t *testing.T) {
	is := is.New(t)
	n := newTestRouter(standin.NewLog(), newFakeClock())
	err := n.apply(logstream.Page{First: 1, Next: 4, Records: []logstream.Record{{Offset: 1}, {Offset: 3}}}, time.Time{})
	is.True(errors.Is(err, ErrGap))
	is.NoErr(n.apply(logstream.Page{First: 1, Next: 3, Records: []logstream.Record{{Offset: 1}, {Offset: 2}}}, time.Time{}))
	err = n.apply(logstream.Page{First: 1, Next: 2}, time.Time{})
	is.True(errors.Is(err, ErrGap)) // the end of the log moved backwards
}

// Guards against the loss of an idle stream's state: its snapshot must be written again before the log trims
// it, although nothing has changed.
func TestIdleStreamKeepsItsSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakeClock()
	log := standin.NewLogWithClock(c.now)
	log.SetFaults(standin.LogFaults{RetainAge: retention})
	n := newTestRouter(log, c)
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	for range 20 {
		_, err := n.writer.Step(ctx)
		is.NoErr(err)
		c.at = c.at.Add(retention / 8)
	}
	joining := newTestRouter(log, c)
	is.NoErr(joining.CatchUp(ctx))
	is.Equal(*joining.state, *n.state)
}

// Guards against a state that reverts to a snapshot older than itself.
func TestStateNeverReverts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	n := newTestRouter(log, newFakeClock())
	mustAppend(t, log, 1)
	is.NoErr(n.CatchUp(ctx))
	_, err := n.writer.Step(ctx)
	is.NoErr(err)
	mustAppend(t, log, 2)
	is.NoErr(n.CatchUp(ctx))
	want := *n.state
	is.NoErr(n.loadSnapshot(ctx))
	is.Equal(*n.state, want)
	is.Equal(n.Next(), uint64(3))
}

// Guards against an error report for each retry during an outage, and against a canceled read that is taken
// for an outage.
func TestOutageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	reports := 0
	f := New(log, Config{Stream: testStream, OnError: func(error) { reports++ }})
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(f.CatchUp(canceled) != nil)
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

// waitRecorder records how long the last read was asked to wait for a record.
type waitRecorder struct {
	Log
	last time.Duration
}

func (w *waitRecorder) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logstream.Page, error) {
	w.last = wait
	return w.Log.Read(ctx, stream, from, max, 0)
}

// Guards against a router that waits for a new record of an idle stream before it becomes ready.
func TestJoiningDoesNotWaitForRecords(t *testing.T) {
	is := is.New(t)
	log := &waitRecorder{Log: standin.NewLog()}
	f := New(log, Config{Stream: testStream})
	for _, want := range []time.Duration{0, maxPollWait} {
		is.NoErr(f.poll(context.Background(), f.pollWait()))
		is.Equal(log.last, want)
		is.NoErr(f.Ready())
	}
}
