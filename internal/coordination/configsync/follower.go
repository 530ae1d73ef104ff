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
	// pollWait is how long a read waits at the end of the stream. It is a quarter of the default
	// configuration lease, because the last completed read can be up to two waits old when the next response
	// arrives.
	pollWait      = time.Second
	pollBatch     = 256
	retryInterval = 200 * time.Millisecond
)

// Follower keeps the newest accepted configuration active. While it cannot read the log it applies records
// from peers that have read it, and compares them with the log later. It is safe for concurrent use.
type Follower struct {
	log    logstream.Log
	logger logrus.FieldLogger
	now    func() time.Time

	current atomic.Pointer[catalogue.Snapshot]

	// mu guards the fields below. It is not held during I/O.
	mu    sync.Mutex
	state *State
	asOf  time.Time
	// lastErr is the error of the newest read, or nil if it succeeded.
	lastErr error
	recent  recentRecords
	// unconfirmed holds the records from peers that were not yet compared with the log.
	unconfirmed []peerRecord
	// rebuilding is true while state is behind the active version: after the log contradicted a peer's record
	// or an older snapshot replaced peers' records, until state has reached the end of the log again.
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

// Current returns the active version: the configuration with which this router serves requests. Its number
// never decreases.
func (f *Follower) Current() *catalogue.Snapshot { return f.current.Load() }

// AsOf returns the time as of which the configuration is known to be the newest: the start of the last read
// that reached the end of the stream.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// LeaseInput returns the input of Lease as of now.
func (f *Follower) LeaseInput(lease time.Duration, peers []membership.MemberReport, listedLive int) LeaseInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	return LeaseInput{
		Lease: lease, LogAge: f.now().Sub(f.asOf), LogUnreachable: f.lastErr != nil,
		Next: f.state.Next(), Peers: peers, ListedLive: listedLive,
	}
}

// Status returns the configuration status that this router's heartbeats carry.
func (f *Follower) Status(peers []membership.MemberReport) peerapi.ConfigStatus {
	in := f.LeaseInput(0, peers, 0)
	return peerapi.ConfigStatus{
		Version: f.Current().Version, Next: in.Next, LogUnreachable: in.LogUnreachable,
		// Rounded up, so that a configuration never seems newer than it is.
		LogReadAgeMillis: int64(Staleness(in)/time.Millisecond) + 1,
	}
}

// Encode returns the encoded state for the snapshot stream. It fails while the state contains records from
// peers that were not yet compared with the log, and while it is rebuilt.
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

// CatchUp reads until the state contains every record that the stream had when the call began.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := f.now()
	for {
		if err := f.poll(ctx, 0); err != nil {
			return err
		}
		if !f.AsOf().Before(began) {
			return nil
		}
	}
}

// readFrom returns the offset to read from. Records received from peers are read again.
func (f *Follower) readFrom() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unconfirmed) > 0 {
		return f.unconfirmed[0].offset
	}
	return f.state.Next()
}

// poll reads and applies one page, and waits up to wait at the end of the stream. If the next record was
// trimmed, it restores the newest snapshot instead. It keeps its error as lastErr.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	begin, from := f.now(), f.readFrom()
	page, err := f.log.Read(ctx, record.ConfigStream, from, pollBatch, wait)
	if errors.Is(err, logstream.ErrTrimmed) {
		err = f.restoreTrimmed(ctx)
	} else if err == nil {
		err = f.apply(page, begin)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastErr = err
	return err
}

// restoreTrimmed replaces a state whose next record to read has been trimmed from the log by the newest
// snapshot. A snapshot that does not include all records from peers replaces them too; the active version
// then stays until the state has reached the end of the log.
func (f *Follower) restoreTrimmed(ctx context.Context) error {
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

// apply applies a page of a read that began at begin. It compares the records that peers had sent with those
// of the log and discards the state if one differs. It fails if the page leaves out records or ends before
// records that were already applied.
func (f *Follower) apply(page logstream.Page, begin time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range page.Records {
		switch {
		case r.Offset < f.state.Next():
			if !f.confirm(r) {
				return f.discardState(r.Offset)
			}
		case r.Offset == f.state.Next():
			changed = f.applyRecord(r.Offset, r.Data) || changed
		default:
			return errors.Wrapf(follow.ErrGap, "got record %d instead of %d", r.Offset, f.state.Next())
		}
	}
	if page.Next < f.state.Next() {
		// The response is older than what this router or a peer has read, so it neither renews the lease nor
		// contradicts a record.
		return errors.Wrapf(follow.ErrGap, "end %d is before next record %d", page.Next, f.state.Next())
	}
	if f.state.Next() == page.Next && len(f.unconfirmed) == 0 {
		f.asOf = begin
		changed = changed || f.rebuilding
		f.rebuilding = false
	}
	if changed && !f.rebuilding {
		f.activate()
	}
	return nil
}

// applyRecord applies the next record and keeps it for peers. It reports whether the record created a new
// version.
func (f *Follower) applyRecord(offset uint64, data []byte) (accepted bool) {
	outcome := f.state.Apply(offset, data).Outcome
	if outcome == Malformed {
		obs.ConfigRecordsSkipped.Add(1)
		obs.EventConfigMalformed.Log(f.logger, logrus.Fields{"offset": offset})
	}
	f.recent.add(peerapi.ConfigRecord{Offset: offset, Data: data})
	return outcome == Accepted
}

// confirm reports whether a record of the log matches the one that a peer sent, if any, and removes a match
// from unconfirmed. Records that were already read from the log always match. A record after the first
// unconfirmed one does not match, because the log then left that one out.
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

// discardState discards the state after a peer's record turned out not to be in the log. Later reads build it
// again. The router has no valid lease from the log until it has read the log to its end.
func (f *Follower) discardState(offset uint64) error {
	obs.ConfigPeerMismatchTotal.Add(1)
	obs.EventConfigPeerMismatch.Log(f.logger, logrus.Fields{"offset": offset})
	f.state, f.unconfirmed, f.asOf, f.rebuilding = NewState(), nil, time.Time{}, true
	f.recent.reset()
	return nil
}

// activate makes the newest version the active one.
func (f *Follower) activate() {
	f.current.Store(f.state.Snapshot())
	obs.EventConfigApplied.Log(f.logger, logrus.Fields{"version": f.state.Version()})
}
