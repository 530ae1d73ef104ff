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
	// pollWait is a quarter of the default configuration lease: the age of the
	// newest read is up to two waits when the next answer arrives.
	pollWait      = time.Second
	pollBatch     = 256
	retryInterval = 200 * time.Millisecond
)

// Follower keeps the newest accepted configuration of the log in force. While
// the log cannot be heard it takes records from peers that have heard it; the
// log confirms them later. It is safe for concurrent use.
type Follower struct {
	log    logstream.Log
	logger logrus.FieldLogger
	now    func() time.Time

	current atomic.Pointer[catalogue.Snapshot]

	mu       sync.Mutex
	fold     *State
	lastRead time.Time
	lastErr  error
	recent   recentRecords
	// fromPeers holds the records that the log has not confirmed yet.
	fromPeers []peerRecord
	// rebuilding is true from the moment when the log contradicted a peer's
	// record until the fold has reached the end of the log again.
	rebuilding bool
}

// peerRecord identifies a record that came from a peer.
type peerRecord struct {
	offset uint64
	sum    [sha256.Size]byte
}

// NewFollower returns a follower with version 0 in force.
func NewFollower(log logstream.Log, logger logrus.FieldLogger) *Follower {
	f := &Follower{log: log, logger: logger, now: time.Now, fold: NewState()}
	f.current.Store(f.fold.Snapshot())
	return f
}

// Current returns the version in force. It never goes back.
func (f *Follower) Current() *catalogue.Snapshot { return f.current.Load() }

// LastRead returns the start of the last read that reached the stream's end.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// LeaseInput returns what Lease needs to know.
func (f *Follower) LeaseInput(lease time.Duration, peers []membership.MemberReport, listedLive int) LeaseInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	return LeaseInput{
		Lease: lease, LogAge: f.now().Sub(f.lastRead), LogUnreachable: f.lastErr != nil,
		Next: f.fold.Next(), Peers: peers, ListedLive: listedLive,
	}
}

// Status returns what this node's heartbeats say.
func (f *Follower) Status(peers []membership.MemberReport) peerapi.ConfigStatus {
	in := f.LeaseInput(0, peers, 0)
	return peerapi.ConfigStatus{
		Version: f.Current().Version, Next: in.Next, LogUnreachable: in.LogUnreachable,
		// Rounded up, so that a configuration never looks fresher than it is.
		HeardMillis: int64(Freshness(in)/time.Millisecond) + 1,
	}
}

// Snapshot returns the fold's state for the snapshot stream. It fails while the
// state holds records that the log has not confirmed.
func (f *Follower) Snapshot() (snapshot.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.fromPeers) > 0 || f.rebuilding {
		return snapshot.Snapshot{}, errors.New("configuration is not confirmed by the log")
	}
	return f.fold.Encode()
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

// CatchUp reads until it has seen the end of the stream as of a time after the
// call began.
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

// readFrom returns the offset to read from: records that came from peers are
// read again.
func (f *Follower) readFrom() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.fromPeers) > 0 {
		return f.fromPeers[0].offset
	}
	return f.fold.Next()
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

// restore replaces a fold whose next record to read is no longer retained by the
// newest snapshot. A snapshot between the records that peers sent replaces them:
// the version in force stays until the fold has reached the end of the log.
func (f *Follower) restore(ctx context.Context) error {
	from := f.readFrom()
	loaded, err := loadFold(ctx, f.log, from)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := loaded.next < f.fold.next
	if behind && len(f.fromPeers) == 0 {
		return nil
	}
	f.fold, f.fromPeers = loaded, nil
	f.recent.reset()
	f.rebuilding = f.rebuilding || behind
	if !f.rebuilding {
		f.swap()
	}
	return nil
}

func (f *Follower) apply(page logstream.Page, begin time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range page.Records {
		switch {
		case r.Offset < f.fold.Next():
			if !f.confirm(r) {
				return f.rebuild(r.Offset)
			}
		case r.Offset == f.fold.Next():
			changed = f.applyRecord(r.Offset, r.Data) || changed
		default:
			return errors.Wrapf(follow.ErrGap, "got record %d instead of %d", r.Offset, f.fold.Next())
		}
	}
	if page.Next < f.fold.Next() {
		// The answer is older than what this node or a peer has read, so it
		// neither refreshes the lease nor contradicts anything.
		return errors.Wrapf(follow.ErrGap, "end %d is before next record %d", page.Next, f.fold.Next())
	}
	if f.fold.Next() == page.Next && len(f.fromPeers) == 0 {
		f.lastRead = begin
		changed = changed || f.rebuilding
		f.rebuilding = false
	}
	if changed && !f.rebuilding {
		f.swap()
	}
	return nil
}

func (f *Follower) applyRecord(offset uint64, data []byte) (accepted bool) {
	outcome := f.fold.Apply(offset, data).Outcome
	if outcome == Malformed {
		obs.ConfigRecordsSkipped.Add(1)
		obs.EventConfigMalformed.Log(f.logger, logrus.Fields{"offset": offset})
	}
	f.recent.add(peerapi.ConfigRecord{Offset: offset, Data: data})
	return outcome == Accepted
}

// confirm compares a record of the log with the one that a peer sent. Records
// that were read from the log before are confirmed already.
func (f *Follower) confirm(r logstream.Record) bool {
	if len(f.fromPeers) == 0 || f.fromPeers[0].offset != r.Offset {
		return len(f.fromPeers) == 0 || r.Offset < f.fromPeers[0].offset
	}
	if sha256.Sum256(r.Data) != f.fromPeers[0].sum {
		return false
	}
	f.fromPeers = f.fromPeers[1:]
	return true
}

// rebuild starts again from the log after a peer's record turned out not to be
// in it. The lease has no footing until the end of the log is reached.
func (f *Follower) rebuild(offset uint64) error {
	obs.ConfigPeerMismatchTotal.Add(1)
	obs.EventConfigPeerMismatch.Log(f.logger, logrus.Fields{"offset": offset})
	f.fold, f.fromPeers, f.lastRead, f.rebuilding = NewState(), nil, time.Time{}, true
	f.recent.reset()
	return nil
}

func (f *Follower) swap() {
	f.current.Store(f.fold.Snapshot())
	obs.EventConfigApplied.Log(f.logger, logrus.Fields{"version": f.fold.Version()})
}
