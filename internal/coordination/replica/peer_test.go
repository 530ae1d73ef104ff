package replica

import (
	"context"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// fleet is a log and replicas of it that can be disconnected from it and fetch from each other.
type fleet struct {
	log      *keyedlog.Memory
	now      time.Time
	replicas []*Replica
	cut      []bool
}

// cutLog is the log as one replica reaches it.
type cutLog struct {
	*keyedlog.Memory
	cut *bool
}

func (l cutLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if *l.cut {
		return keyedlog.Page{}, keyedlog.ErrUnavailable
	}
	return l.Memory.Read(ctx, s, from, wait)
}

func (l cutLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	if *l.cut {
		return keyedlog.Page{}, keyedlog.ErrUnavailable
	}
	return l.Memory.Newest(ctx, s)
}

func newFleet(size int) *fleet {
	f := &fleet{log: keyedlog.NewMemory(), now: time.Unix(1000, 0), cut: make([]bool, size)}
	for i := range size {
		f.replicas = append(f.replicas, newReplica(cutLog{f.log, &f.cut[i]}, func() time.Time { return f.now }))
	}
	return f
}

func (f *fleet) put(key, text string) {
	f.log.AppendUnconditionally(stream, keyedlog.Record{Key: key, Value: []byte(text)})
}

func (f *fleet) remove(key string) { f.log.AppendUnconditionally(stream, keyedlog.Record{Key: key}) }

// poll reads the log once with each replica that is not disconnected from it.
func (f *fleet) poll() {
	for _, r := range f.replicas {
		_ = r.poll(context.Background()) // fails while the replica is disconnected
	}
}

func (f *fleet) fetch(to, from int) {
	f.replicas[to].Merge(f.replicas[from].Since(f.replicas[to].Next()))
}

// settle connects all replicas and lets all grace periods pass.
func (f *fleet) settle() {
	clear(f.cut)
	for range 12 {
		f.poll()
		f.now = f.now.Add(500 * time.Millisecond)
	}
}

// Guards against a removal that a disconnected replica misses for good, because the peer that it fetches from defers the
// removal and states an offset beyond it.
func TestPeerThatDefersRemovalDoesNotHideIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("leaves", "1")
	f.put("stays", "1")
	f.poll()
	f.cut[0], f.cut[1] = true, true
	f.now = f.now.Add(3 * time.Second)
	f.cut[0] = false
	f.poll()
	f.remove("leaves")
	f.put("stays", "2")
	f.poll()
	f.fetch(1, 0)
	is.Equal(value(f.replicas[1], "stays"), "2")
	f.settle()
	for _, r := range f.replicas {
		is.Equal(value(r, "leaves"), "")
	}
}

// Guards against a deferred removal that is cancelled by a record from before it, which a peer sends late.
func TestOlderRecordDoesNotCancelDeferredRemoval(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("a", "1")
	f.poll()
	f.cut[0] = true
	f.put("a", "2")
	f.poll()
	page := f.replicas[1].Since(f.replicas[0].Next())
	f.cut[0], f.cut[1] = false, true
	f.now = f.now.Add(3 * time.Second)
	f.remove("a")
	f.replicas[0].behind = true // the next read is a listing, which does not show the record in between
	is.NoErr(f.replicas[0].poll(context.Background()))
	is.Equal(value(f.replicas[0], "a"), "1")
	f.replicas[0].Merge(page)
	is.Equal(value(f.replicas[0], "a"), "2")
	f.settle()
	is.Equal(value(f.replicas[0], "a"), "")
}

// Guards against removals that a replica misses for good, because its peer has pruned their tombstones.
func TestPeerThatPrunedTombstonesDoesNotHideRemovals(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("leaves", "1")
	f.poll()
	f.cut[1] = true
	f.remove("leaves")
	for i := range 2 * maxTombstones {
		f.put(strconv.Itoa(i), "1")
		f.remove(strconv.Itoa(i))
	}
	f.poll()
	f.remove("0")
	f.poll()
	is.True(f.replicas[0].tombstones["leaves"] == 0) // pruned
	f.fetch(1, 0)
	f.settle()
	is.Equal(value(f.replicas[1], "leaves"), "")
}

// Guards against a record from a peer that a listing removes which was taken before the record was written.
func TestOlderListingKeepsNewerRecords(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("a", "1")
	f.poll()
	listing, err := f.log.Newest(context.Background(), stream)
	is.NoErr(err)
	f.put("new", "1")
	f.put("a", "2")
	is.NoErr(f.replicas[1].poll(context.Background()))
	f.fetch(0, 1)
	f.replicas[0].applyListing(listing)
	is.Equal(value(f.replicas[0], "new"), "1")
	is.Equal(value(f.replicas[0], "a"), "2")
}

// Guards against replicas that differ from the log for good after any order of changes, disconnections and fetches from
// peers.
func TestReplicasAgreeWithTheLogAfterDisconnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(3)
		member := rapid.IntRange(0, len(f.replicas)-1)
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		version := 0
		f.poll()
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				version++
				f.put(key.Draw(rt, "key"), strconv.Itoa(version))
			},
			"remove":  func(rt *rapid.T) { f.remove(key.Draw(rt, "key")) },
			"cut":     func(rt *rapid.T) { f.cut[member.Draw(rt, "replica")] = true },
			"connect": func(rt *rapid.T) { f.cut[member.Draw(rt, "replica")] = false },
			"wait": func(rt *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"poll":  func(*rapid.T) { f.poll() },
			"fetch": func(rt *rapid.T) { f.fetch(member.Draw(rt, "to"), member.Draw(rt, "from")) },
		})
		f.settle()
		want := make(map[string]string)
		newest, err := f.log.Newest(context.Background(), stream)
		if err != nil {
			rt.Fatal(err)
		}
		for _, rec := range newest.Records {
			want[rec.Key] = string(rec.Value)
		}
		for i, r := range f.replicas {
			got := make(map[string]string)
			for k, rec := range r.Records() {
				got[k] = string(rec.Value)
			}
			if !maps.Equal(got, want) {
				rt.Fatalf("replica %d has %v, the log %v", i, got, want)
			}
		}
	})
}
