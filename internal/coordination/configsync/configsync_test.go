package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// reach is one node's way to the log, which can be cut.
type reach struct {
	logstream.Log
	cut bool
}

func (r *reach) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if r.cut {
		return logstream.Page{}, logstream.ErrUnavailable
	}
	return r.Log.Read(ctx, stream, from, limit, wait)
}

// history keeps every append, as a log without retention would.
type history struct {
	*standin.Log
	records [][]byte
}

func (h *history) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if stream == record.ConfigStream {
		h.records = append(h.records, data)
	}
	return h.Log.Append(ctx, stream, data)
}

type node struct {
	*Follower
	reach *reach
	seen  uint64
}

func newNode(log logstream.Log) *node {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	r := &reach{Log: log}
	return &node{Follower: NewFollower(r, logger), reach: r}
}

// naive replays a whole stream without any state of its own: it returns the
// owner of each entry by version.
func naive(records [][]byte) (versions []map[string]string) {
	versions = []map[string]string{{}}
	ids := map[string]bool{}
	for _, data := range records {
		var p Update
		if json.Unmarshal(data, &p) != nil || p.ID == "" || ids[p.ID] {
			continue
		}
		ids[p.ID] = true
		if p.Base != uint64(len(versions)-1) {
			continue
		}
		next := map[string]string{}
		for name, owner := range versions[len(versions)-1] {
			next[name] = owner
		}
		for _, name := range p.Removals.Entries {
			delete(next, name)
		}
		for _, e := range p.Upserts.Entries {
			next[e.Name] = e.Owner
		}
		versions = append(versions, next)
	}
	return versions
}

func publishFor(id string, base uint64, entry, owner string) Update {
	p := Update{ID: id, Base: base, Author: "a"}
	p.Upserts.Entries = []catalogue.Entry{{Name: entry, Owner: owner}}
	if owner == "" {
		p.Upserts.Entries, p.Removals.Entries = nil, []string{entry}
	}
	return p
}

func owners(s *catalogue.Snapshot) map[string]string {
	got := map[string]string{}
	for e := range s.Entries {
		got[e.Name] = e.Owner
	}
	return got
}

// Guards against an accepted version that reverts, or differs between nodes or
// from a naive fold of the whole stream, with racing publishes, lost answers,
// retention, paused nodes, nodes that learn from peers and new nodes.
func TestAcceptedVersionsNeverRevertAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		log := &history{Log: standin.NewLog()}
		nodes := []*node{newNode(log), newNode(log), newNode(log)}
		check := func(n *node) {
			s, versions := n.Current(), naive(log.records)
			if s.Version < n.seen {
				t.Fatalf("version went back from %d to %d", n.seen, s.Version)
			}
			n.seen = s.Version
			if got, want := fmt.Sprint(owners(s)), fmt.Sprint(versions[s.Version]); got != want {
				t.Fatalf("version %d is %s, want %s", s.Version, got, want)
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "node")
			n, other := nodes[i], nodes[(i+1)%3]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1: // a publish, with a stale base or an old id at times
				base := n.Current().Version
				p := publishFor(fmt.Sprint("p", rapid.IntRange(0, 60).Draw(t, "id")), base,
					rapid.SampledFrom([]string{"x", "y"}).Draw(t, "entry"), rapid.SampledFrom([]string{"", "o1", "o2"}).Draw(t, "owner"))
				data, _ := json.Marshal(p)
				_, _ = log.Append(ctx, record.ConfigStream, data)
			case 2:
				n.reach.cut = !n.reach.cut
				_ = n.poll(ctx, 0)
			case 3:
				fetch(t, n, other)
			case 4: // retention, after a snapshot of a node at the log's end
				if other.CatchUp(ctx) == nil {
					s, err := other.Snapshot()
					parts, _ := snapshot.Split(s, snapshot.PartBytes)
					for _, part := range parts {
						_, _ = log.Append(ctx, record.ConfigSnapshotStream, part)
					}
					if err == nil {
						log.SetFaults(standin.LogFaults{Retain: rapid.IntRange(1, 3).Draw(t, "retain")})
						log.SetFaults(standin.LogFaults{})
					}
				}
			case 5:
				nodes[i] = newNode(log)
			default:
				_ = n.poll(ctx, 0)
			}
			check(nodes[i])
		}
		for _, n := range nodes {
			n.reach.cut = false
			if err := n.CatchUp(ctx); err != nil {
				t.Fatalf("catch up: %v", err)
			}
			check(n)
			if want := uint64(len(naive(log.records)) - 1); n.Current().Version != want {
				t.Fatalf("version %d in force, want %d", n.Current().Version, want)
			}
		}
	})
}

func fetch(t interface{ Fatalf(string, ...any) }, to, from *node) int {
	result, err := from.HandleFetch(context.Background(), peerapi.Identity{}, mustJSON(peerapi.ConfigFetchParams{From: to.fold.Next(), Max: 8}))
	if err != nil {
		t.Fatalf("fetch: %v", err)
	}
	return to.TakeFromPeer(result.(peerapi.ConfigFetchResult).Records)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a publish that is lost, applied twice or reported wrongly when
// answers are lost and operators race.
func TestPublisherResolvesLostAnswersAndConflicts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	log := &history{Log: standin.NewLog()}
	log.SetFaults(standin.LogFaults{LoseAnswers: 1})
	r, err := NewPublisher(log).Publish(ctx, publishFor("p1", 0, "x", "o1"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Accepted, Base: 0, Version: 1})
	is.Equal(len(log.records), 1) // the lost answer was resolved by reading
	r, err = NewPublisher(log).Publish(ctx, publishFor("p1", 0, "x", "o1"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Duplicate, Base: 0, Version: 1})
	r, err = NewPublisher(log).Publish(ctx, publishFor("p2", 0, "x", "o2"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Conflict, Base: 0, Version: 1})
}

// Guards against a peer's record that the log does not hold and that stays in
// force, travels on to other nodes, or fills a gap.
func TestPeersRecordsAreConfirmedByTheLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &history{Log: standin.NewLog()}
	_, err := log.Append(ctx, record.ConfigStream, mustJSON(publishFor("p1", 0, "x", "o1")))
	is.NoErr(err)
	n := newNode(log)
	forged := peerapi.ConfigRecord{Offset: 2, Data: mustJSON(publishFor("p2", 1, "x", "forged"))}
	is.NoErr(n.CatchUp(ctx))
	is.Equal(n.TakeFromPeer([]peerapi.ConfigRecord{forged}), 0) // the log can be heard
	n.reach.cut = true
	is.True(n.poll(ctx, 0) != nil)
	gap := forged
	gap.Offset = 3
	is.Equal(n.TakeFromPeer([]peerapi.ConfigRecord{{Offset: 1, Data: forged.Data}}), 0)
	is.Equal(n.TakeFromPeer([]peerapi.ConfigRecord{gap}), 0)
	is.Equal(n.TakeFromPeer([]peerapi.ConfigRecord{forged}), 1)
	other := newNode(log)
	other.reach.cut = true
	is.True(other.poll(ctx, 0) != nil)
	is.Equal(fetch(t, other, n), 1) // only the record that n read itself
	_, err = log.Append(ctx, record.ConfigStream, mustJSON(publishFor("p3", 1, "x", "o3")))
	is.NoErr(err)
	n.reach.cut = false
	is.NoErr(n.CatchUp(ctx))
	is.Equal(owners(n.Current())["x"], "o3")
}

// Guards against a snapshot that takes a node back, or that loses the outcomes
// by which a repeated publish is recognised.
func TestStaleSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	writer, n := newNode(log), newNode(log)
	for i := range 5 {
		_, err := log.Append(ctx, record.ConfigStream, mustJSON(publishFor(fmt.Sprint("p", i), uint64(i), "x", "o")))
		is.NoErr(err)
		if i == 2 {
			is.NoErr(writer.CatchUp(ctx))
			s, err := writer.Snapshot()
			is.NoErr(err)
			parts, err := snapshot.Split(s, snapshot.PartBytes)
			is.NoErr(err)
			_, err = log.Append(ctx, record.ConfigSnapshotStream, parts[0])
			is.NoErr(err)
			fold, err := DecodeState(s)
			is.NoErr(err)
			is.Equal(fold.Apply(4, mustJSON(publishFor("p0", 3, "x", "again"))).Outcome, Duplicate)
		}
	}
	is.NoErr(n.CatchUp(ctx))
	_, err := loadFold(ctx, log, n.fold.Next())
	is.True(err != nil) // older than the node
	is.Equal(n.Current().Version, uint64(5))
}

// Guards against each wrong answer of the lease rule.
func TestLeaseRule(t *testing.T) {
	is := is.New(t)
	const lease = 4 * time.Second
	fresh := func(vm string, next uint64) membership.MemberReport {
		return membership.MemberReport{VM: vm, Known: true, Listed: true, LogRead: true, LogReadAge: time.Second, Next: next}
	}
	down := func(vm string, age time.Duration) membership.MemberReport {
		return membership.MemberReport{VM: vm, Known: true, Listed: true, LogRead: true, LogReadAge: time.Hour, Next: 9, LogDown: true, LogDownAge: age}
	}
	gone := down("g", time.Second)
	gone.State = membership.StateGone
	unlisted := down("u", time.Second)
	unlisted.Listed = false
	reports := func(r ...membership.MemberReport) []membership.MemberReport { return r }
	cases := []struct {
		name   string
		logAge time.Duration
		peers  []membership.MemberReport
		listed int
		up     bool
		want   LeaseState
	}{
		{"log heard within the lease", lease, nil, 9, false, LeaseByLog},
		{"nobody heard", lease + 1, nil, 9, false, LeaseLapsed},
		{"a peer has heard the log", time.Hour, reports(fresh("a", 5)), 9, false, LeaseByPeer},
		{"a peer has a newer record", time.Hour, reports(fresh("a", 6)), 9, false, LeaseLapsed},
		{"a peer's news is too old", time.Hour, reports(down("a", time.Hour)), 9, false, LeaseLapsed},
		{"a strict majority reports an outage", time.Hour, reports(down("a", time.Second), down("b", lease)), 5, false, LeaseByOutage},
		{"exactly half is no majority", time.Hour, reports(down("a", 0)), 4, false, LeaseLapsed},
		{"an old report of an outage", time.Hour, reports(down("a", lease+1), down("b", 0)), 5, false, LeaseLapsed},
		{"a member that is gone does not count", time.Hour, reports(gone, down("b", 0)), 5, false, LeaseLapsed},
		{"a VM that is not listed does not count", time.Hour, reports(unlisted, down("b", 0)), 5, false, LeaseLapsed},
		{"a majority reports an outage but one has newer records", time.Hour, reports(down("a", 0), down("b", 0), fresh("c", 7)), 5, false, LeaseLapsed},
		{"this node's own read works again", time.Hour, reports(down("a", 0), down("b", 0)), 5, true, LeaseLapsed},
		{"a single node alone in an outage", time.Hour, nil, 1, false, LeaseByOutage},
	}
	for _, c := range cases {
		got := Lease(LeaseInput{Lease: lease, LogAge: c.logAge, LogUnreachable: !c.up, Next: 5, Peers: c.peers, ListedLive: c.listed})
		if got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
	late, all := RolloutStatus(3, reports(membership.MemberReport{VM: "a", Known: true, Version: 3}, membership.MemberReport{VM: "b", Known: true, Version: 2}))
	is.Equal(late, []string{"b"})
	is.True(!all)
}

// Guards against a decoder that panics or accepts a publish without an id.
func FuzzDecodePublish(f *testing.F) {
	f.Add(mustJSON(publishFor("p1", 0, "x", "o")))
	f.Add([]byte(`{"id":"p2","base":1,"removals":{"engine_orders":["o"]},"unknown":1}`))
	f.Add([]byte(`{"id":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePublish(data)
		if err == nil && p.ID == "" {
			t.Fatal("a publish without an id was accepted")
		}
		fold := NewState()
		fold.Apply(1, data)
		if fold.Next() != 2 || fold.Version() > 1 {
			t.Fatalf("next %d, version %d after one record", fold.Next(), fold.Version())
		}
	})
}

// Guards against a version that reverts when a node leaves its peers' records
// because retention has dropped them, and starts from an older snapshot.
func TestVersionStaysWhileTheFoldIsRebuilt(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	n, other := newNode(log), newNode(log)
	n.reach.cut = true
	is.True(n.poll(ctx, 0) != nil)
	for i := range 4 {
		_, err := log.Append(ctx, record.ConfigStream, mustJSON(publishFor(fmt.Sprint("p", i), uint64(i), "x", "o")))
		is.NoErr(err)
		is.NoErr(other.CatchUp(ctx))
		if i == 1 {
			s, err := other.Snapshot()
			is.NoErr(err)
			parts, err := snapshot.Split(s, snapshot.PartBytes)
			is.NoErr(err)
			_, err = log.Append(ctx, record.ConfigSnapshotStream, parts[0])
			is.NoErr(err)
		}
	}
	is.Equal(fetch(t, n, other), 4)
	log.SetFaults(standin.LogFaults{Retain: 2})
	n.reach.cut = false
	is.NoErr(n.poll(ctx, 0)) // restores the snapshot of version 2
	is.Equal(n.Current().Version, uint64(4))
	is.Equal(Lease(n.LeaseInput(time.Second, nil, 3)), LeaseLapsed)
	is.NoErr(n.CatchUp(ctx))
	is.Equal(n.Current().Version, uint64(4))
	is.Equal(Lease(n.LeaseInput(time.Minute, nil, 3)), LeaseByLog)
}
