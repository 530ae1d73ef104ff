package configsync

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

const (
	// pollWait is how long a read waits at the end of the stream. It is a quarter
	// of the default configuration lease, because the last completed read can be
	// up to two waits old when the next response arrives.
	pollWait      = time.Second
	pollBatch     = 256
	retryInterval = 200 * time.Millisecond
)

// Follower keeps the newest accepted configuration active. While it cannot read
// the log it applies records from peers that have read it, and compares them with
// the log later. It is safe for concurrent use.
type Follower struct {
	log    logstream.Log
	logger logrus.FieldLogger
	now    func() time.Time

	current atomic.Pointer[catalogue.Snapshot]

	mu       sync.Mutex
	state    *State
	lastRead time.Time
	lastErr  error
	recent   recentRecords
	// unconfirmed holds the records from peers that were not yet compared with
	// the log.
	unconfirmed []peerRecord
	// rebuilding is true while state is behind the active version: after the log
	// contradicted a peer's record or an older snapshot replaced peers' records,
	// until state has reached the end of the log again.
	rebuilding bool
}

// peerRecord identifies a record received from a peer.
type peerRecord struct {
	offset uint64
	sum    [sha256.Size]byte
}

// NewFollower returns a follower whose active version is 0.
func NewFollower(log logstream.Log, logger logrus.FieldLogger) *Follower {
	f := &Follower{log: log, logger: logger, now: time.Now, state: NewState()}
	f.current.Store(f.state.Snapshot())
	return f
}

// Current returns the active version. Its number never decreases.
func (f *Follower) Current() *catalogue.Snapshot { return f.current.Load() }

// LastRead returns the start of the last read that reached the stream's end.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// LeaseInput returns the input of Lease as of now.
func (f *Follower) LeaseInput(lease time.Duration, peers []membership.MemberReport, listedLive int) LeaseInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	return LeaseInput{
		Lease: lease, LogAge: f.now().Sub(f.lastRead), LogUnreachable: f.lastErr != nil,
		Next: f.state.Next(), Peers: peers, ListedLive: listedLive,
	}
}

// Status returns the configuration status that this node's heartbeats carry.
func (f *Follower) Status(peers []membership.MemberReport) peerapi.ConfigStatus {
	in := f.LeaseInput(0, peers, 0)
	return peerapi.ConfigStatus{
		Version: f.Current().Version, Next: in.Next, LogUnreachable: in.LogUnreachable,
		// Rounded up, so that a configuration never seems newer than it is.
		LogReadAgeMillis: int64(Staleness(in)/time.Millisecond) + 1,
	}
}

// Encode returns the encoded state for the snapshot stream. It fails while the
// state contains records that were not compared with the log.
func (f *Follower) Encode() (snapshot.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unconfirmed) > 0 || f.rebuilding {
		return snapshot.Snapshot{}, errors.New("configuration contains peer records not yet compared with the log")
	}
	return f.state.Encode()
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx, pollWait); err != nil {
			if ctx.Err() != nil {
				return
			}
			obs.EventConfigUnreachable.Log(f.logger, logrus.Fields{"error": err.Error()})
			follow.Sleep(ctx, retryInterval)
		}
	}
}

// CatchUp reads until the state contains every record that the stream had when
// the call began.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := f.now()
	for {
		if err := f.poll(ctx, 0); err != nil {
			return err
		}
		if !f.LastRead().Before(began) {
			return nil
		}
	}
}

// readFrom returns the offset to read from. Records received from peers are read
// again.
func (f *Follower) readFrom() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unconfirmed) > 0 {
		return f.unconfirmed[0].offset
	}
	return f.state.Next()
}

func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	begin, from := f.now(), f.readFrom()
	page, err := f.log.Read(ctx, record.ConfigStream, from, pollBatch, wait)
	if errors.Is(err, logstream.ErrTrimmed) {
		err = f.restore(ctx)
	} else if err == nil {
		err = f.apply(page, begin)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastErr = err
	return err
}

// restore replaces a state whose next record to read has been trimmed from the
// log by the newest snapshot. A snapshot that does not include all records from
// peers replaces them too; the active version then stays until the state has
// reached the end of the log.
func (f *Follower) restore(ctx context.Context) error {
	from := f.readFrom()
	loaded, err := loadState(ctx, f.log, from)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := loaded.next < f.state.next
	if behind && len(f.unconfirmed) == 0 {
		return nil
	}
	f.state, f.unconfirmed = loaded, nil
	f.recent.reset()
	f.rebuilding = f.rebuilding || behind
	if !f.rebuilding {
		f.activate()
	}
	return nil
}

func (f *Follower) apply(page logstream.Page, begin time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range page.Records {
		switch {
		case r.Offset < f.state.Next():
			if !f.confirm(r) {
				return f.rebuild(r.Offset)
			}
		case r.Offset == f.state.Next():
			changed = f.applyRecord(r.Offset, r.Data) || changed
		default:
			return errors.Wrapf(follow.ErrGap, "got record %d instead of %d", r.Offset, f.state.Next())
		}
	}
	if page.Next < f.state.Next() {
		// The response is older than what this node or a peer has read, so it
		// neither renews the lease nor contradicts a record.
		return errors.Wrapf(follow.ErrGap, "end %d is before next record %d", page.Next, f.state.Next())
	}
	if f.state.Next() == page.Next && len(f.unconfirmed) == 0 {
		f.lastRead = begin
		changed = changed || f.rebuilding
		f.rebuilding = false
	}
	if changed && !f.rebuilding {
		f.activate()
	}
	return nil
}

func (f *Follower) applyRecord(offset uint64, data []byte) (accepted bool) {
	outcome := f.state.Apply(offset, data).Outcome
	if outcome == Malformed {
		obs.ConfigRecordsSkipped.Add(1)
		obs.EventConfigMalformed.Log(f.logger, logrus.Fields{"offset": offset})
	}
	f.recent.add(peerapi.ConfigRecord{Offset: offset, Data: data})
	return outcome == Accepted
}

// confirm reports whether a record of the log matches the one that a peer sent,
// if any. Records that were already read from the log always match.
func (f *Follower) confirm(r logstream.Record) bool {
	if len(f.unconfirmed) == 0 || f.unconfirmed[0].offset != r.Offset {
		return len(f.unconfirmed) == 0 || r.Offset < f.unconfirmed[0].offset
	}
	if sha256.Sum256(r.Data) != f.unconfirmed[0].sum {
		return false
	}
	f.unconfirmed = f.unconfirmed[1:]
	return true
}

// rebuild discards the state after a peer's record turned out not to be in the
// log. The node has no valid lease from the log until it has read the log to its
// end.
func (f *Follower) rebuild(offset uint64) error {
	obs.ConfigPeerMismatchTotal.Add(1)
	obs.EventConfigPeerMismatch.Log(f.logger, logrus.Fields{"offset": offset})
	f.state, f.unconfirmed, f.lastRead, f.rebuilding = NewState(), nil, time.Time{}, true
	f.recent.reset()
	return nil
}

// activate makes the newest version the active one.
func (f *Follower) activate() {
	f.current.Store(f.state.Snapshot())
	obs.EventConfigApplied.Log(f.logger, logrus.Fields{"version": f.state.Version()})
}
