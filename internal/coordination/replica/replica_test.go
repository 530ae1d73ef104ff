package replica

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

var stream = keyedlog.Stream{Name: "s"}

func newReplica(log keyedlog.Log, now func() time.Time) *Replica {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{Log: log, Stream: stream, RemovalGrace: 2 * time.Second, Now: now, Logger: logger})
}

func value(r *Replica, key string) string { return string(r.Records()[key].Value) }

// Guards against a record that replaces a newer one of its key, for any order in which the log and
// the peers provide them.
func TestOlderRecordsNeverReplaceNewer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := keyedlog.NewMemory()
		for i := range rapid.IntRange(1, 30).Draw(rt, "records") {
			rec := keyedlog.Record{Key: strconv.Itoa(rapid.IntRange(0, 3).Draw(rt, "key"))}
			if rapid.IntRange(0, 3).Draw(rt, "kind") > 0 {
				rec.Value = []byte(strconv.Itoa(i))
			}
			log.AppendUnconditionally(stream, rec)
		}
		all, _ := log.Read(context.Background(), stream, 0, 0)
		newest, _ := log.Newest(context.Background(), stream)
		r := newReplica(log, time.Now)
		seen := make(map[string]uint64)
		for range rapid.IntRange(1, 30).Draw(rt, "merges") {
			from := rapid.IntRange(0, len(all.Records)-1).Draw(rt, "from")
			to := rapid.IntRange(from+1, len(all.Records)).Draw(rt, "to")
			r.Merge(keyedlog.Page{Records: all.Records[from:to]})
			for key, rec := range r.Records() {
				if rec.Offset < seen[key] {
					rt.Fatalf("key %s went from %d back to %d", key, seen[key], rec.Offset)
				}
				seen[key] = rec.Offset
			}
		}
		r.Merge(all)
		if len(r.Records()) != len(newest.Records) {
			rt.Fatalf("%d keys, want %d", len(r.Records()), len(newest.Records))
		}
	})
}

// Guards against a replica that keeps keys whose removals were trimmed from the log before it read
// them.
func TestListingAfterTrim(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a", Value: []byte("1")}, keyedlog.Record{Key: "b", Value: []byte("1")})
	r := newReplica(log, time.Now)
	is.NoErr(r.poll(context.Background()))
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a"}, keyedlog.Record{Key: "c", Value: []byte("1")})
	log.Trim(stream, 4)
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "a"), "")
	is.Equal(value(r, "b"), "1")
	is.Equal(value(r, "c"), "1")
}

// Guards against keys that are dropped because their writers could not renew them during an outage
// of the log, and against keys that are kept although they are not renewed after it.
func TestDefersRemovalsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "lives", Value: []byte("1")}, keyedlog.Record{Key: "gone", Value: []byte("1")})
	r := newReplica(log, func() time.Time { return now })
	is.NoErr(r.poll(context.Background()))
	down := errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)
	log.FaultHook = func(string, keyedlog.Stream, bool) error { return down }
	now = now.Add(5 * time.Second)
	is.True(r.poll(context.Background()) != nil)
	log.FaultHook = nil
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "lives"}, keyedlog.Record{Key: "gone"})
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "lives"), "1")
	is.Equal(value(r, "gone"), "1")
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "lives", Value: []byte("2")})
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		is.NoErr(r.poll(context.Background()))
	}
	is.Equal(value(r, "lives"), "2")
	is.Equal(value(r, "gone"), "")
}

// Guards against a removal that is deferred without an outage of the log.
func TestRemovesAtOnceWithoutAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a", Value: []byte("1")})
	r := newReplica(log, func() time.Time { return now })
	is.NoErr(r.poll(context.Background()))
	now = now.Add(300 * time.Millisecond)
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a"})
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "a"), "")
}

// pagedLog is a log whose reads return one record at a time.
type pagedLog struct {
	*keyedlog.Memory
	reads, listings int
}

func (l *pagedLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	l.reads++
	page, err := l.Memory.Read(ctx, s, from, wait)
	if len(page.Records) > 1 {
		page.Records = page.Records[:1]
		page.Next = from + 1
	}
	return page, err
}

func (l *pagedLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	l.listings++
	return l.Memory.Newest(ctx, s)
}

// Guards against a replica that reads each of many large versions of a record that were appended during an
// outage, although only the newest one matters.
func TestSkipsOutdatedVersions(t *testing.T) {
	is := is.New(t)
	log := &pagedLog{Memory: keyedlog.NewMemory()}
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "config", Value: []byte("0")})
	r := newReplica(log, time.Now)
	is.NoErr(r.poll(context.Background()))
	for i := range 50 {
		log.AppendUnconditionally(stream, keyedlog.Record{Key: "config", Value: []byte(strconv.Itoa(i + 1))})
	}
	for range 2 {
		is.NoErr(r.poll(context.Background()))
	}
	is.Equal(value(r, "config"), "50")
	is.Equal(log.reads, 1)
	is.Equal(log.listings, 2)
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "config", Value: []byte("51")})
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "config"), "51") // a read again, because the listing reached the end
	is.Equal(log.listings, 2)
}

// waitLog records how long each read may wait.
type waitLog struct {
	*keyedlog.Memory
	waits []time.Duration
}

func (l *waitLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	l.waits = append(l.waits, wait)
	return l.Memory.Read(ctx, s, from, 0)
}

// Guards against a slow log whose responses to reads that wait all come too late, so that nothing is ever read.
func TestDoesNotWaitAfterFailedRead(t *testing.T) {
	is := is.New(t)
	log := &waitLog{Memory: keyedlog.NewMemory()}
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a", Value: []byte("1")})
	r := newReplica(log, time.Now)
	r.cfg.Wait = time.Second
	is.NoErr(r.poll(context.Background()))
	is.NoErr(r.poll(context.Background()))
	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	is.True(r.poll(context.Background()) != nil)
	log.FaultHook = nil
	is.NoErr(r.poll(context.Background()))
	is.NoErr(r.poll(context.Background()))
	is.Equal(log.waits, []time.Duration{time.Second, time.Second, 0, time.Second})
}

// Guards against a removal that is deferred because a read of this process was slow, or failed once, although the
// log was available to the writers.
func TestRemovesAtOnceAfterSlowRead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a", Value: []byte("1")})
	r := newReplica(log, func() time.Time { return now })
	is.NoErr(r.poll(context.Background()))
	now = now.Add(1400 * time.Millisecond)
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a"})
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "a"), "")
}

// Guards against a replica that says that it is complete up to the time of a response, which may be old, or through a time in which
// it did not read.
func TestCompletenessCountsFromTheReads(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "a", Value: []byte("1")})
	now := time.Unix(1_000_000, 0)
	r := newReplica(log, func() time.Time { return now })
	var late time.Duration
	var failure error
	log.FaultHook = func(string, keyedlog.Stream, bool) error {
		now = now.Add(late)
		return failure
	}
	since, asOf := r.CompleteBetween()
	is.True(since.IsZero())
	is.True(asOf.IsZero())
	first := now
	for range 3 {
		now = now.Add(maxReadGap)
		started := now
		if asOf.IsZero() {
			first = started
		}
		is.NoErr(r.poll(context.Background()))
		since, asOf = r.CompleteBetween()
		is.Equal(since, first)
		is.Equal(asOf, started)
	}
	failure = keyedlog.ErrUnavailable
	now = now.Add(time.Millisecond)
	is.True(r.poll(context.Background()) != nil)
	_, after := r.CompleteBetween()
	is.Equal(after, asOf)
	failure, late = nil, 10*time.Second
	now = now.Add(maxReadGap)
	started := now
	is.NoErr(r.poll(context.Background()))
	since, asOf = r.CompleteBetween()
	is.Equal(since, started)
	is.Equal(asOf, started)
}

// Guards against a record that is not renewed, such as an evacuation, and that is dropped because the log was restored from
// a copy without it; against one that is kept after its explicit removal, and one that is kept for good.
func TestKeepsRecordsThatARestoredLogLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	log := keyedlog.NewMemory()
	put := func(key, text string) {
		log.AppendUnconditionally(stream, keyedlog.Record{Key: key, Value: []byte(text)})
	}
	r := newReplica(log, func() time.Time { return now })
	r.cfg.RemovalGrace, r.cfg.RestoreGrace = 0, 10*time.Second
	put("kept", "1")
	copied := log.Copy()
	for _, key := range []string{"forgotten", "rewritten", "removed"} {
		put(key, "1")
	}
	is.NoErr(r.poll(context.Background()))
	log.Restore(copied)
	is.NoErr(r.poll(context.Background()))
	is.NoErr(r.poll(context.Background()))
	is.Equal(len(r.Records()), 4)
	put("rewritten", "2")
	log.AppendUnconditionally(stream, keyedlog.Record{Key: "removed"})
	now = now.Add(9 * time.Second)
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "forgotten"), "1")
	is.Equal(value(r, "removed"), "")
	now = now.Add(2 * time.Second)
	is.NoErr(r.poll(context.Background()))
	is.Equal(value(r, "forgotten"), "")
	is.Equal(value(r, "rewritten"), "2")
	is.Equal(value(r, "kept"), "1")
}
