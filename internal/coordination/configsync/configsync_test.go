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

// logLink is one router's connection to the log. Reads fail while it is down.
type logLink struct {
	logstream.Log
	down bool
}

func (l *logLink) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if l.down {
		return logstream.Page{}, logstream.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// recordingLog keeps every appended config record, as a log without retention would.
type recordingLog struct {
	*standin.Log
	records [][]byte
}

func (l *recordingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if stream == record.ConfigStream {
		l.records = append(l.records, data)
	}
	return l.Log.Append(ctx, stream, data)
}

type testRouter struct {
	*Follower
	link        *logLink
	lastVersion uint64
}

func newTestRouter(log logstream.Log) *testRouter {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	link := &logLink{Log: log}
	return &testRouter{Follower: NewFollower(link, logger), link: link}
}

// replay is the reference model: it applies a whole stream from the start and returns, for each version, the
// owner of each entry.
func replay(records [][]byte) (versions []map[string]string) {
	versions = []map[string]string{{}}
	ids := map[string]bool{}
	for _, data := range records {
		var update Update
		if json.Unmarshal(data, &update) != nil || update.ID == "" || ids[update.ID] {
			continue
		}
		ids[update.ID] = true
		if update.Base != uint64(len(versions)-1) {
			continue
		}
		next := map[string]string{}
		for name, owner := range versions[len(versions)-1] {
			next[name] = owner
		}
		for _, name := range update.Removals.Entries {
			delete(next, name)
		}
		for _, e := range update.Upserts.Entries {
			next[e.Name] = e.Owner
		}
		versions = append(versions, next)
	}
	return versions
}

// ownerUpdate returns an update that sets the owner of an entry, or removes the entry if owner is empty.
func ownerUpdate(id string, base uint64, entry, owner string) Update {
	update := Update{ID: id, Base: base, Author: "a"}
	update.Upserts.Entries = []catalogue.Entry{{Name: entry, Owner: owner}}
	if owner == "" {
		update.Upserts.Entries, update.Removals.Entries = nil, []string{entry}
	}
	return update
}

func owners(s *catalogue.Snapshot) map[string]string {
	got := map[string]string{}
	for e := range s.Entries {
		got[e.Name] = e.Owner
	}
	return got
}

// Guards against an accepted version that reverts, or that differs between routers or from a replay of the
// whole stream, with concurrent updates, updates that are repeated as after a lost response, retention,
// disconnected and paused routers, routers that fetch from peers and new routers.
func TestAcceptedVersionsNeverRevertAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		log := &recordingLog{Log: standin.NewLog()}
		routers := []*testRouter{newTestRouter(log), newTestRouter(log), newTestRouter(log)}
		check := func(n *testRouter) {
			s, versions := n.Current(), replay(log.records)
			if s.Version < n.lastVersion {
				t.Fatalf("version reverted from %d to %d", n.lastVersion, s.Version)
			}
			n.lastVersion = s.Version
			if got, want := fmt.Sprint(owners(s)), fmt.Sprint(versions[s.Version]); got != want {
				t.Fatalf("version %d is %s, want %s", s.Version, got, want)
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "node")
			n, other := routers[i], routers[(i+1)%3]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1: // an update, sometimes with an outdated base or a repeated ID
				base := n.Current().Version
				update := ownerUpdate(fmt.Sprint("p", rapid.IntRange(0, 60).Draw(t, "id")), base,
					rapid.SampledFrom([]string{"x", "y"}).Draw(t, "entry"), rapid.SampledFrom([]string{"", "o1", "o2"}).Draw(t, "owner"))
				data, _ := json.Marshal(update)
				_, _ = log.Append(ctx, record.ConfigStream, data)
			case 2:
				n.link.down = !n.link.down
				_ = n.poll(ctx, 0)
			case 3:
				fetch(t, n, other)
			case 4: // trim the log after a snapshot by a router that has caught up
				if other.CatchUp(ctx) == nil {
					s, err := other.Encode()
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
				routers[i] = newTestRouter(log)
			default:
				_ = n.poll(ctx, 0)
			}
			check(routers[i])
		}
		for _, n := range routers {
			n.link.down = false
			if err := n.CatchUp(ctx); err != nil {
				t.Fatalf("catch up: %v", err)
			}
			check(n)
			if want := uint64(len(replay(log.records)) - 1); n.Current().Version != want {
				t.Fatalf("active version is %d, want %d", n.Current().Version, want)
			}
		}
	})
}

// fetch applies the records that one router fetches from another and returns how many were applied.
func fetch(t interface{ Fatalf(string, ...any) }, to, from *testRouter) int {
	result, err := from.HandleFetch(context.Background(), peerapi.Identity{}, mustJSON(peerapi.ConfigFetchParams{From: to.state.Next(), Max: 8}))
	if err != nil {
		t.Fatalf("fetch: %v", err)
	}
	return to.ApplyPeerRecords(result.(peerapi.ConfigFetchResult).Records)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against an update that is lost, applied twice or reported wrongly when responses are lost or an
// operator publishes on an outdated base.
func TestPublisherResolvesLostResponsesAndConflicts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	log := &recordingLog{Log: standin.NewLog()}
	log.SetFaults(standin.LogFaults{LoseResponses: 1})
	r, err := NewPublisher(log).Publish(ctx, ownerUpdate("p1", 0, "x", "o1"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Accepted, Base: 0, Version: 1})
	is.Equal(len(log.records), 1) // the lost response was resolved by reading
	r, err = NewPublisher(log).Publish(ctx, ownerUpdate("p1", 0, "x", "o1"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Duplicate, Base: 0, Version: 1})
	r, err = NewPublisher(log).Publish(ctx, ownerUpdate("p2", 0, "x", "o2"))
	is.NoErr(err)
	is.Equal(r, PublishResult{Outcome: Conflict, Base: 0, Version: 1})
}

// Guards against a peer's record that is not in the log and stays active, spreads to other routers, or is
// applied after a gap.
func TestPeerRecordsAreConfirmedByTheLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &recordingLog{Log: standin.NewLog()}
	_, err := log.Append(ctx, record.ConfigStream, mustJSON(ownerUpdate("p1", 0, "x", "o1")))
	is.NoErr(err)
	n := newTestRouter(log)
	forged := peerapi.ConfigRecord{Offset: 2, Data: mustJSON(ownerUpdate("p2", 1, "x", "forged"))}
	is.NoErr(n.CatchUp(ctx))
	is.Equal(n.ApplyPeerRecords([]peerapi.ConfigRecord{forged}), 0) // n can read the log
	n.link.down = true
	is.True(n.poll(ctx, 0) != nil)
	gap := forged
	gap.Offset = 3
	is.Equal(n.ApplyPeerRecords([]peerapi.ConfigRecord{{Offset: 1, Data: forged.Data}}), 0)
	is.Equal(n.ApplyPeerRecords([]peerapi.ConfigRecord{gap}), 0)
	is.Equal(n.ApplyPeerRecords([]peerapi.ConfigRecord{forged}), 1)
	other := newTestRouter(log)
	other.link.down = true
	is.True(other.poll(ctx, 0) != nil)
	is.Equal(fetch(t, other, n), 1) // only the record that n read from the log
	_, err = log.Append(ctx, record.ConfigStream, mustJSON(ownerUpdate("p3", 1, "x", "o3")))
	is.NoErr(err)
	n.link.down = false
	is.NoErr(n.CatchUp(ctx))
	is.Equal(owners(n.Current())["x"], "o3")
}

// Guards against a snapshot that reverts a router to an older version, or that loses the results by which a
// repeated update is detected.
func TestStaleSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	writer, n := newTestRouter(log), newTestRouter(log)
	for i := range 5 {
		_, err := log.Append(ctx, record.ConfigStream, mustJSON(ownerUpdate(fmt.Sprint("p", i), uint64(i), "x", "o")))
		is.NoErr(err)
		if i == 2 {
			is.NoErr(writer.CatchUp(ctx))
			s, err := writer.Encode()
			is.NoErr(err)
			parts, err := snapshot.Split(s, snapshot.PartBytes)
			is.NoErr(err)
			_, err = log.Append(ctx, record.ConfigSnapshotStream, parts[0])
			is.NoErr(err)
			state, err := DecodeState(s)
			is.NoErr(err)
			is.Equal(state.Apply(4, mustJSON(ownerUpdate("p0", 3, "x", "again"))).Outcome, Duplicate)
		}
	}
	is.NoErr(n.CatchUp(ctx))
	_, err := loadState(ctx, log, n.state.Next())
	is.True(err != nil) // older than the state of n
	is.Equal(n.Current().Version, uint64(5))
}

// Guards against wrong decisions of the lease rule: serving while a newer version may be active, and refusing
// although none can be.
func TestLeaseRule(t *testing.T) {
	is := is.New(t)
	const lease = 4 * time.Second
	logRead := func(vm string, next uint64) membership.MemberReport {
		return membership.MemberReport{VM: vm, Known: true, Listed: true, LogRead: true, LogReadAge: time.Second, Next: next}
	}
	logDown := func(vm string, age time.Duration) membership.MemberReport {
		return membership.MemberReport{VM: vm, Known: true, Listed: true, LogRead: true, LogReadAge: time.Hour, Next: 9, LogDown: true, LogDownAge: age}
	}
	gone := logDown("g", time.Second)
	gone.State = membership.StateGone
	unlisted := logDown("u", time.Second)
	unlisted.Listed = false
	reports := func(r ...membership.MemberReport) []membership.MemberReport { return r }
	cases := []struct {
		name        string
		logAge      time.Duration
		peers       []membership.MemberReport
		listed      int
		logReadable bool
		want        LeaseState
	}{
		{"the log was read within the lease", lease, nil, 9, false, LeaseByLog},
		{"nobody has read the log", lease + 1, nil, 9, false, LeaseExpired},
		{"a peer has read the log", time.Hour, reports(logRead("a", 5)), 9, false, LeaseByPeer},
		{"a peer has a newer record", time.Hour, reports(logRead("a", 6)), 9, false, LeaseExpired},
		{"a peer's read is older than the lease", time.Hour, reports(logDown("a", time.Hour)), 9, false, LeaseExpired},
		{"a strict majority reports an outage", time.Hour, reports(logDown("a", time.Second), logDown("b", lease)), 5, false, LeaseByOutage},
		{"exactly half is not a majority", time.Hour, reports(logDown("a", 0)), 4, false, LeaseExpired},
		{"a report of an outage is older than the lease", time.Hour, reports(logDown("a", lease+1), logDown("b", 0)), 5, false, LeaseExpired},
		{"a member that is gone does not count", time.Hour, reports(gone, logDown("b", 0)), 5, false, LeaseExpired},
		{"a VM that is not listed does not count", time.Hour, reports(unlisted, logDown("b", 0)), 5, false, LeaseExpired},
		{"a majority reports an outage but a peer has newer records", time.Hour, reports(logDown("a", 0), logDown("b", 0), logRead("c", 7)), 5, false, LeaseExpired},
		{"this router's own read succeeds again", time.Hour, reports(logDown("a", 0), logDown("b", 0)), 5, true, LeaseExpired},
		{"a single router during an outage", time.Hour, nil, 1, false, LeaseByOutage},
	}
	for _, c := range cases {
		got := Lease(LeaseInput{Lease: lease, LogAge: c.logAge, LogUnreachable: !c.logReadable, Next: 5, Peers: c.peers, ListedLive: c.listed})
		if got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
	pending, complete := RolloutStatus(3, reports(membership.MemberReport{VM: "a", Known: true, Version: 3}, membership.MemberReport{VM: "b", Known: true, Version: 2}))
	is.Equal(pending, []string{"b"})
	is.True(!complete)
}

// Guards against a decoder that panics or accepts an update without an ID, and against a record that moves
// the state by more than one offset or version.
func FuzzDecodeUpdate(f *testing.F) {
	f.Add(mustJSON(ownerUpdate("p1", 0, "x", "o")))
	f.Add([]byte(`{"id":"p2","base":1,"removals":{"engine_orders":["o"]},"unknown":1}`))
	f.Add([]byte(`{"id":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		update, err := DecodeUpdate(data)
		if err == nil && update.ID == "" {
			t.Fatal("an update without an id was accepted")
		}
		state := NewState()
		state.Apply(1, data)
		if state.Next() != 2 || state.Version() > 1 {
			t.Fatalf("next %d, version %d after one record", state.Next(), state.Version())
		}
	})
}

// Guards against a version that reverts when a router discards records from peers, because the log has
// trimmed them, and restarts from an older snapshot.
func TestVersionStaysWhileStateIsRebuilt(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	n, other := newTestRouter(log), newTestRouter(log)
	n.link.down = true
	is.True(n.poll(ctx, 0) != nil)
	for i := range 4 {
		_, err := log.Append(ctx, record.ConfigStream, mustJSON(ownerUpdate(fmt.Sprint("p", i), uint64(i), "x", "o")))
		is.NoErr(err)
		is.NoErr(other.CatchUp(ctx))
		if i == 1 {
			s, err := other.Encode()
			is.NoErr(err)
			parts, err := snapshot.Split(s, snapshot.PartBytes)
			is.NoErr(err)
			_, err = log.Append(ctx, record.ConfigSnapshotStream, parts[0])
			is.NoErr(err)
		}
	}
	is.Equal(fetch(t, n, other), 4)
	log.SetFaults(standin.LogFaults{Retain: 2})
	n.link.down = false
	is.NoErr(n.poll(ctx, 0)) // restores the snapshot of version 2
	is.Equal(n.Current().Version, uint64(4))
	is.Equal(Lease(n.LeaseInput(time.Second, nil, 3)), LeaseExpired)
	is.NoErr(n.CatchUp(ctx))
	is.Equal(n.Current().Version, uint64(4))
	is.Equal(Lease(n.LeaseInput(time.Minute, nil, 3)), LeaseByLog)
}
