package streamorigin

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

const service = "care-notes"

var (
	testStream = keyedlog.Stream{Name: "stream-origins"}
	v1         = Origin{Service: service, Version: "v1"}
	v2         = Origin{Service: service, Version: "v2"}
)

func newTestRegistry(log keyedlog.Log, vm string, now func() time.Time) *Registry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	started := now()
	return New(Config{Log: log, Stream: testStream, VM: vm, Routers: func() int { return 1 }, Now: now, Logger: logger,
		Listed: func() (since, asOf time.Time) { return started, now() }})
}

func listed(origins ...Origin) map[Origin]struct{} {
	out := make(map[Origin]struct{})
	for _, o := range origins {
		out[o] = struct{}{}
	}
	return out
}

func resolve(r *Registry, id string) (Origin, Source, error) {
	return r.Resolve(context.Background(), id, service, func(name string) bool { return name == service })
}

// TestStreamsAreKnownAfterAllRoutersEnded guards against streams that are joined from two software versions after all
// routers were killed, because nobody knows any more which version began them.
func TestStreamsAreKnownAfterAllRoutersEnded(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	for _, vm := range []string{"vm-1", "vm-2"} {
		r := newTestRegistry(log, vm, time.Now)
		r.SetListed(listed(v1, v2))
		r.Begin(vm+"-old", v1)
		r.Begin(vm+"-new", v2)
		is.NoErr(r.step(context.Background()))
	}
	after := newTestRegistry(log, "vm-1", time.Now)
	after.SetListed(listed(v1, v2))
	for _, vm := range []string{"vm-1", "vm-2"} {
		for id, want := range map[string]Origin{vm + "-old": v1, vm + "-new": v2} {
			o, source, err := resolve(after, id)
			is.NoErr(err)
			is.Equal(o, want)
			is.Equal(source, SourceLog)
		}
	}
}

// TestUnknownStreamIsNotGuessed guards against streams that go on at a version that may not have begun them: beside two
// versions, and if the version that began them has just left.
func TestUnknownStreamIsNotGuessed(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	before := newTestRegistry(log, "vm-1", time.Now)
	before.SetListed(listed(v1, v2))
	is.NoErr(before.step(context.Background()))
	before.Begin("unwritten", v1)

	after := newTestRegistry(log, "vm-1", time.Now)
	after.SetListed(listed(v2))
	_, _, err := resolve(after, "unwritten")
	is.True(errors.Is(err, ErrUnknown))
	_, _, err = resolve(after, "")
	is.True(errors.Is(err, ErrUnknown))
}

// TestVersionsOfOneServiceDoNotBindAnother guards against refusals for versions of another service.
func TestVersionsOfOneServiceDoNotBindAnother(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(keyedlog.NewMemory(), "vm-1", time.Now)
	r.SetListed(listed(v1, Origin{Service: "counter", Version: "v7"}))
	o, source, err := resolve(r, "unknown")
	is.NoErr(err)
	is.Equal(o, v1)
	is.Equal(source, SourceOnlyVersion)
}

// TestOneVersionWritesNoStreams guards against calls to the log for each stream while a service has one version only.
func TestOneVersionWritesNoStreams(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	appends := 0
	log.FaultHook = func(call string, _ keyedlog.Stream, done bool) error {
		if call == "append" && done {
			appends++
		}
		return nil
	}
	r := newTestRegistry(log, "vm-1", time.Now)
	r.SetListed(listed(v1))
	for i := range 100 {
		id := fmt.Sprint("s", i)
		r.Begin(id, v1)
		is.NoErr(r.step(context.Background()))
		r.End(id, i%2 == 0)
	}
	is.Equal(appends, 1)

	// The streams of the time before are written once a second version appears.
	r.SetListed(listed(v1, v2))
	is.NoErr(r.step(context.Background()))
	is.Equal(appends, 2)
	other := newTestRegistry(log, "vm-2", time.Now)
	other.SetListed(listed(v1, v2))
	o, _, err := resolve(other, "s7")
	is.NoErr(err)
	is.Equal(o, v1)
}

// TestRestartKeepsTheRecordOfTheVM guards against a process that overwrites what the process before it wrote.
func TestRestartKeepsTheRecordOfTheVM(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	for i := range 3 {
		r := newTestRegistry(log, "vm-1", time.Now)
		r.SetListed(listed(v1, v2))
		is.NoErr(r.step(context.Background()))
		r.Begin(fmt.Sprint("s", i), v2)
		is.NoErr(r.step(context.Background()))
	}
	other := newTestRegistry(log, "vm-2", time.Now)
	other.SetListed(listed(v1, v2))
	for i := range 3 {
		o, _, err := resolve(other, fmt.Sprint("s", i))
		is.NoErr(err)
		is.Equal(o, v2)
	}
}

// TestVersionThatAppearsWhileAllRoutersAreDown guards against streams that are refused because a second version came into
// service between the end of all routers and their start: the streams of the time before have one version.
func TestVersionThatAppearsWhileAllRoutersAreDown(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	for _, vm := range []string{"vm-1", "vm-2"} {
		r := newTestRegistry(log, vm, time.Now)
		r.SetListed(listed(v1))
		is.NoErr(r.step(context.Background()))
		r.Begin(vm, v1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var after []*Registry
	for _, vm := range []string{"vm-1", "vm-2"} {
		r := newTestRegistry(log, vm, time.Now)
		r.SetListed(listed(v1, v2))
		go r.Run(ctx)
		after = append(after, r)
	}
	for i, vm := range []string{"vm-2", "vm-1"} {
		o, _, err := resolve(after[i], vm)
		is.NoErr(err)
		is.Equal(o, v1)
	}
}

// TestRestoredLogGetsTheStreamsAgain guards against streams that are forgotten when the log comes back from an older copy.
func TestRestoredLogGetsTheStreamsAgain(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	r := newTestRegistry(log, "vm-1", time.Now)
	r.SetListed(listed(v1, v2))
	is.NoErr(r.step(context.Background()))
	older := log.Copy()
	r.Begin("s", v2)
	is.NoErr(r.step(context.Background()))
	log.Restore(older)
	is.NoErr(r.step(context.Background()))
	other := newTestRegistry(log, "vm-2", time.Now)
	other.SetListed(listed(v1, v2))
	o, _, err := resolve(other, "s")
	is.NoErr(err)
	is.Equal(o, v2)
}

// TestNewVersionWaitsForTheLog guards against streams of a version that nobody knows of when their router ends.
func TestNewVersionWaitsForTheLog(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	now := time.Unix(1_000_000, 0)
	r := newTestRegistry(log, "vm-1", func() time.Time { return now })
	announced := 0
	r.cfg.OnAnnounced = func() { announced++ }
	r.SetListed(listed(v1))
	is.True(!r.MayBegin(v1))
	is.NoErr(r.step(context.Background()))
	r.SetListed(listed(v1, v2))
	is.True(r.MayBegin(v1))
	is.True(!r.MayBegin(v2))
	is.NoErr(r.step(context.Background()))
	is.True(r.MayBegin(v2))
	is.Equal(announced, 2)

	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	v3, v4 := Origin{Service: service, Version: "v3"}, Origin{Service: service, Version: "v4"}
	r.SetListed(listed(v1, v2, v3))
	now = now.Add(announceTimeout)
	is.True(r.step(context.Background()) != nil)
	is.True(!r.MayBegin(v3)) // the others serve
	r.SetListed(listed(v3, v4))
	is.True(r.step(context.Background()) != nil)
	is.True(r.MayBegin(v3)) // a service must not be kept out for a log that is away
	is.True(!r.MayBegin(v4))
}

// TestVersionCountsUntilItsStreamsAreForgotten guards against a version that is forgotten while a stream that it began
// goes on.
func TestVersionCountsUntilItsStreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newTestRegistry(keyedlog.NewMemory(), "vm-1", func() time.Time { return now })
	r.SetListed(listed(v1))
	r.Begin("long", v1)
	r.SetListed(listed(v2))
	now = now.Add(3 * retention)
	_, _, err := resolve(r, "")
	is.True(errors.Is(err, ErrUnknown))
	r.End("long", false)
	now = now.Add(retention + time.Second)
	o, source, err := resolve(r, "")
	is.NoErr(err)
	is.Equal(o, v2)
	is.Equal(source, SourceOnlyVersion)
}

// TestOutdatedRecordDoesNotBind guards against refusals for a version that a VM wrote long ago and that is in service no
// more.
func TestOutdatedRecordDoesNotBind(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	now := time.Unix(1_000_000, 0)
	gone := newTestRegistry(log, "vm-gone", func() time.Time { return now })
	gone.SetListed(listed(v1))
	is.NoErr(gone.step(context.Background()))
	now = now.Add(recordLifetime + time.Second)
	r := newTestRegistry(log, "vm-1", func() time.Time { return now })
	r.SetListed(listed(v2))
	o, _, err := resolve(r, "unknown")
	is.NoErr(err)
	is.Equal(o, v2)
}

// TestRunWritesWhatIsBrokenOff guards against a stream that is taken up at another router before its own has written it.
func TestRunWritesWhatIsBrokenOff(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	own, other := newTestRegistry(log, "vm-1", time.Now), newTestRegistry(log, "vm-2", time.Now)
	for _, r := range []*Registry{own, other} {
		r.SetListed(listed(v1, v2))
		go r.Run(ctx)
	}
	for i := range 20 {
		id := fmt.Sprint("s", i)
		own.Begin(id, v2)
		own.End(id, true)
		o, source, err := resolve(other, id)
		is.NoErr(err)
		is.Equal(o, v2)
		is.Equal(source, SourceLog)
	}
}

// TestMalformedRecordIsSkipped guards against records of another writer that end the process or hide those beside them.
func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(testStream,
		keyedlog.Record{Key: "vm-odd", Value: []byte("\xff\x00 no record")}, keyedlog.Record{Key: "vm-1", Value: []byte{0xa0}})
	r := newTestRegistry(log, "vm-1", time.Now)
	r.SetListed(listed(v1, v2))
	r.Begin("s", v1)
	is.NoErr(r.step(context.Background()))
	other := newTestRegistry(log, "vm-2", time.Now)
	other.SetListed(listed(v1, v2))
	o, _, err := resolve(other, "s")
	is.NoErr(err)
	is.Equal(o, v1)
}

// TestStreamsOfOneVersionAreNotRuledOut guards against a stream that is joined from two versions: a record names the streams of a
// service only while the service has several versions, and it is renewed for another service that has several.
func TestStreamsOfOneVersionAreNotRuledOut(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gone := newTestRegistry(log, "vm-3", time.Now)
	gone.SetListed(listed(v2))
	is.NoErr(gone.step(ctx))
	own, other := newTestRegistry(log, "vm-1", time.Now), newTestRegistry(log, "vm-2", time.Now)
	own.SetListed(listed(v1, Origin{Service: "counter", Version: "v7"}, Origin{Service: "counter", Version: "v8"}))
	is.NoErr(own.step(ctx))
	own.Begin("s", v1)
	go own.Run(ctx)
	other.SetListed(listed(v2))
	go other.Run(ctx)
	o, _, err := resolve(other, "s")
	if err == nil {
		is.Equal(o, v1) // or the stream is unknown
	}
}

// TestLateAppendProvesNothing guards against a stream that is joined from two versions: records of a living process that were
// built before the stream began are executed after the caller took it up, one by one.
func TestLateAppendProvesNothing(t *testing.T) {
	is := is.New(t)
	log, ctx := newFaultyLog(), context.Background()
	gone := newTestRegistry(log, "vm-3", time.Now)
	gone.SetListed(listed(v2))
	is.NoErr(gone.step(ctx))
	own, other := newTestRegistry(log, "vm-1", time.Now), newTestRegistry(log, "vm-2", time.Now)
	own.SetListed(listed(v1, v2))
	is.NoErr(own.step(ctx))
	log.next = fateLate
	for range 3 {
		is.True(own.step(ctx) != nil)
	}
	own.Begin("s", v1)
	first := make(map[string]record)
	_, ok := other.resolveNow("s", service, first)
	is.True(!ok)
	for _, do := range log.late {
		do()
		o, ok := other.resolveNow("s", service, first)
		is.True(!ok || o == v1)
	}
}

// TestLateAppendOfEarlierProcessIsFenced guards against a record of a process that has ended and that is executed after those
// of its successor, whose streams and versions it would hide.
func TestLateAppendOfEarlierProcessIsFenced(t *testing.T) {
	is := is.New(t)
	log, ctx := newFaultyLog(), context.Background()
	before := newTestRegistry(log, "vm-1", time.Now)
	before.SetListed(listed(v1))
	is.NoErr(before.step(ctx))
	before.writer.dirty = true
	log.next = fateLate
	is.True(before.step(ctx) != nil)

	log.next = fateDone
	after := newTestRegistry(log, "vm-1", time.Now)
	after.SetListed(listed(v1, v2))
	is.NoErr(after.step(ctx))
	after.Begin("s", v2)
	is.NoErr(after.step(ctx))
	for _, do := range log.late {
		do()
	}
	other := newTestRegistry(log, "vm-2", time.Now)
	o, ok := other.resolveNow("s", service, make(map[string]record))
	is.True(ok)
	is.Equal(o, v2)
}

// TestProcessWritesAfterItsClockWasSetBack guards against a process whose records are all fenced by those of the one before.
func TestProcessWritesAfterItsClockWasSetBack(t *testing.T) {
	is := is.New(t)
	log, ctx := newFaultyLog(), context.Background()
	before := newTestRegistry(log, "vm-1", time.Now)
	before.SetListed(listed(v1, v2))
	is.NoErr(before.step(ctx))
	log.next = fateLate
	is.True(before.step(ctx) != nil)
	is.True(before.step(ctx) != nil)

	log.next = fateDone
	after := newTestRegistry(log, "vm-1", func() time.Time { return time.Now().Add(-time.Minute) })
	after.SetListed(listed(v1, v2))
	is.NoErr(after.step(ctx))
	for _, do := range log.late {
		do()
	}
	after.Begin("s", v1)
	is.NoErr(after.step(ctx))
	o, ok := newTestRegistry(log, "vm-2", time.Now).resolveNow("s", service, make(map[string]record))
	is.True(ok)
	is.Equal(o, v1)
}

// TestFlushWaitsForTheWriteInProgress guards against the last record of a process that is overwritten by the one before, whose
// append was under way when the process flushed.
func TestFlushWaitsForTheWriteInProgress(t *testing.T) {
	is := is.New(t)
	log, ctx := keyedlog.NewMemory(), context.Background()
	r := newTestRegistry(log, "vm-1", time.Now)
	r.SetListed(listed(v1, v2))
	is.NoErr(r.step(ctx))
	started, proceed, appends := make(chan struct{}), make(chan struct{}), 0
	log.FaultHook = func(call string, _ keyedlog.Stream, done bool) error {
		if call == "append" && !done {
			if appends++; appends == 1 {
				close(started)
				<-proceed
			}
		}
		return nil
	}
	stepped := make(chan error, 1)
	go func() { stepped <- r.step(ctx) }()
	<-started
	r.Begin("s", v2)
	time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
	is.NoErr(r.Flush(ctx))
	is.NoErr(<-stepped)
	o, ok := newTestRegistry(log, "vm-2", time.Now).resolveNow("s", service, make(map[string]record))
	is.True(ok)
	is.Equal(o, v2)
}

// TestStreamsBeyondTheBoundsAreUnknown guards against a stream that is joined from two versions because its router began more
// streams than it remembers, or than its record holds.
func TestStreamsBeyondTheBoundsAreUnknown(t *testing.T) {
	for _, n := range []int{maxRecordStreams + 2000, maxStreams + 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			log, ctx := keyedlog.NewMemory(), context.Background()
			gone := newTestRegistry(log, "vm-3", time.Now)
			gone.SetListed(listed(v2))
			is.NoErr(gone.step(ctx))
			own, other := newTestRegistry(log, "vm-1", time.Now), newTestRegistry(log, "vm-2", time.Now)
			own.SetListed(listed(v1, v2))
			for i := range n {
				own.Begin(fmt.Sprint("s", i), v1)
			}
			is.NoErr(own.step(ctx))
			first := make(map[string]record)
			_, _ = other.resolveNow("unknown", service, first)
			is.NoErr(own.step(ctx))
			is.NoErr(own.step(ctx))
			l, err := other.list(ctx)
			is.NoErr(err)
			is.Equal(other.candidates(service, l, first), []string{"v1", "v2"})
		})
	}
}

// TestHangingLogDoesNotWithholdVersions guards against upstreams that get no streams for longer than announceTimeout: at the start,
// and when a version takes the place of another during a call that the log does not answer.
func TestHangingLogDoesNotWithholdVersions(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &hangingLog{Memory: keyedlog.NewMemory()}
	r := newTestRegistry(log, "vm-1", time.Now)
	announced := make(chan time.Time, 10)
	r.cfg.OnAnnounced = func() { announced <- time.Now() }
	const slack = 150 * time.Millisecond
	await := func(o Origin) {
		t.Helper()
		from := time.Now()
		select {
		case at := <-announced:
			is.True(at.Sub(from) < announceTimeout+slack)
		case <-time.After(announceTimeout + 3*time.Second):
			t.Fatal("the version is withheld")
		}
		is.True(r.MayBegin(o))
	}
	r.SetListed(listed(v1))
	go r.Run(ctx)
	await(v1)
	r.SetListed(listed(v2))
	await(v2)
}

// hangingLog answers no call.
type hangingLog struct{ *keyedlog.Memory }

func (l *hangingLog) AppendAs(ctx context.Context, _ keyedlog.Stream, _ []keyedlog.Record, _ keyedlog.Producer) (end uint64, err error) {
	<-ctx.Done()
	return 0, keyedlog.ErrOutcomeUnknown
}

func (l *hangingLog) Newest(ctx context.Context, _ keyedlog.Stream) (keyedlog.Page, error) {
	<-ctx.Done()
	return keyedlog.Page{}, keyedlog.ErrUnavailable
}

// TestOutdatedRecordIsNotInherited guards against refusals after a VM was down for long, for a version that it served before.
func TestOutdatedRecordIsNotInherited(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	now := time.Unix(1_000_000, 0)
	before := newTestRegistry(log, "vm-1", func() time.Time { return now })
	before.SetListed(listed(v1))
	is.NoErr(before.step(context.Background()))
	now = now.Add(recordLifetime + time.Second)
	after := newTestRegistry(log, "vm-1", func() time.Time { return now })
	after.SetListed(listed(v2))
	is.NoErr(after.step(context.Background()))
	for _, vm := range []string{"vm-1", "vm-2"} {
		r := after
		if vm != "vm-1" {
			r = newTestRegistry(log, vm, func() time.Time { return now })
			r.SetListed(listed(v2))
		}
		o, _, err := resolve(r, "")
		is.NoErr(err)
		is.Equal(o, v2)
	}
}

// TestStreamOfMovedRouteKeepsItsVersion guards against a stream that is joined from two versions of the service that its route has
// moved to: the service runs the rest of it anew, and what tells where it began hides where it went on.
func TestStreamOfMovedRouteKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	log, ctx := keyedlog.NewMemory(), context.Background()
	all := listed(v1, v2, Origin{Service: "counter", Version: "v7"}, Origin{Service: "counter", Version: "v8"})
	var routers []*Registry
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		r := newTestRegistry(log, vm, time.Now)
		r.SetListed(all)
		is.NoErr(r.step(ctx))
		routers = append(routers, r)
	}
	write := func() {
		for _, r := range routers {
			is.NoErr(r.step(ctx))
		}
	}
	first, second := Origin{Service: "counter", Version: "v7"}, v2
	routers[0].Begin("s", first)
	routers[0].End("s", true)
	write()
	for _, r := range routers {
		o, _, err := resolve(r, "s")
		is.NoErr(err)
		is.Equal(o, first) // the route has no such target, so the stream is not bound
	}
	routers[1].Begin("s", second)
	routers[1].End("s", true)
	write()
	for range 20 { // the order of the records is random
		for _, r := range routers {
			o, _, err := resolve(r, "s")
			is.NoErr(err)
			is.Equal(o, second)
		}
	}
	routers[0].Begin("s", second)
	is.NoErr(routers[0].step(ctx))
	o, source, err := resolve(routers[0], "s")
	is.NoErr(err)
	is.Equal(o, second)
	is.Equal(source, SourceMemory)
}

// TestNewProcessDoesNotGuessWithoutTheLog guards against streams that go on at the only version in service after all routers were
// killed, while the log does not answer: another version may have begun them and left. A process that has seen all versions of the
// retention time knows.
func TestNewProcessDoesNotGuessWithoutTheLog(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	now := time.Unix(1_000_000, 0)
	before := newTestRegistry(log, "vm-1", func() time.Time { return now })
	before.SetListed(listed(v1))
	is.NoErr(before.step(context.Background()))
	before.Begin("s", v1)

	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	after := newTestRegistry(log, "vm-1", func() time.Time { return now })
	after.SetListed(listed(v2))
	_, _, err := resolve(after, "s")
	is.True(errors.Is(err, ErrUnknown))
	now = now.Add(retention + time.Second)
	o, source, err := resolve(after, "later")
	is.NoErr(err)
	is.Equal(o, v2)
	is.Equal(source, SourceOnlyVersion)
}

// TestRestoredLogLacksVersions guards against streams that are joined from two versions after all routers were killed and the log
// came back from a copy that is older than the second version.
func TestRestoredLogLacksVersions(t *testing.T) {
	is := is.New(t)
	log, ctx := keyedlog.NewMemory(), context.Background()
	before := newTestRegistry(log, "vm-1", time.Now)
	before.SetListed(listed(v1))
	is.NoErr(before.step(ctx))
	older := log.Copy()
	before.SetListed(listed(v1, v2))
	is.NoErr(before.step(ctx))
	before.Begin("s", v2)
	is.NoErr(before.step(ctx))
	log.Restore(older)

	own, other := newTestRegistry(log, "vm-1", time.Now), newTestRegistry(log, "vm-2", time.Now)
	own.SetListed(listed(v1, v2))
	other.SetListed(listed(v1, v2))
	resolveUnknown := func(r *Registry) {
		t.Helper()
		_, ok := r.resolveNow("s", service, make(map[string]record))
		is.True(!ok)
	}
	resolveUnknown(other)
	resolveUnknown(own)
	is.NoErr(own.step(ctx))
	resolveUnknown(other)
	resolveUnknown(own)
}

// TestCallsAreBoundedWhenAllRoutersStart guards against calls at the rate of a small fleet by all routers of a large one, while
// none has read the heartbeats of the others yet.
func TestCallsAreBoundedWhenAllRoutersStart(t *testing.T) {
	is := is.New(t)
	const vms = 200
	log, ctx := keyedlog.NewMemory(), context.Background()
	var r *Registry
	for i := range vms {
		r = newTestRegistry(log, fmt.Sprint("vm-", i), time.Now)
		r.SetListed(listed(v1, v2))
		is.NoErr(r.step(ctx))
	}
	r = newTestRegistry(log, "vm-0", time.Now)
	is.NoErr(r.step(ctx))
	is.Equal(r.fetchInterval(), vms*fetchIntervalPerRouter)
	is.Equal(r.writeInterval(), vms*writeIntervalPerRouter)
}
