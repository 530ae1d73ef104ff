// Package replica keeps a local replica of a keyed stream: the newest record of each key. The
// records come from the log and, while the log does not respond to this process, from its peers.
// daemon.Gateway uses replicas of the configuration and of the upstreams, package heartbeat one of
// the heartbeats.
package replica

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

const (
	// maxCallTime limits a call, in addition to the wait that it requests. A call in which nothing
	// arrives fails earlier, see keyedlog.Log. The limit leaves a small link the time to transfer a
	// listing of some hundred KB beside other traffic: a transfer that is aborted starts again from
	// the beginning.
	maxCallTime = 8 * time.Second
	// retryDelay follows a failed call.
	retryDelay = 150 * time.Millisecond
	// unreachableAfter is the time without a response after which the log counts as unreachable.
	unreachableAfter = time.Second
	// removalGraceAfter is the time without a response after which removals are deferred. A shorter outage
	// does not last long enough for records to expire that their writers renew every 1.2 s, and a single
	// slow or failed read of this process must not delay the removal of a record.
	removalGraceAfter = 2 * time.Second
	// maxReadGap is the time between two reads after which records may have come and gone unseen. It exceeds the time between
	// two reads in a large fleet.
	maxReadGap = 1500 * time.Millisecond
	// failureLogInterval is the least time between two log lines about failed calls.
	failureLogInterval = time.Second
)

// Config configures a Replica.
type Config struct {
	Log    keyedlog.Log
	Stream keyedlog.Stream
	// Wait is how long a read may wait at the log for a record. A read after a failed one does not wait,
	// because a log that responds late may still respond to it in time.
	Wait time.Duration
	// Interval is the pause between two reads.
	Interval time.Duration
	// RemovalGrace is how long after an outage of the log removals are deferred. Records that were
	// removed only because their writers could not renew them are written again in that time.
	RemovalGrace time.Duration
	// RestoreGrace is how long records are kept that are missing from the first listing after the log was restored from an
	// older copy, unless they are removed explicitly. It suits records that are not renewed; 0 means RemovalGrace, which
	// defers explicit removals too.
	RestoreGrace time.Duration
	Now          func() time.Time
	// IntervalFunc, if set, replaces Interval. It returns longer pauses for large fleets.
	IntervalFunc func() time.Duration
	// ReadClock is called before each read of the stream, and OnRead after a successful one with
	// the returned value and the end of the stream. Both may be nil.
	ReadClock func() int64
	OnRead    func(began int64, end uint64)
	// OnChange is called after each change. Calls may overlap if Merge is called concurrently. It
	// may be nil.
	OnChange func()
	Logger   logrus.FieldLogger
}

// Replica holds the newest record of each key. It is safe for concurrent use.
type Replica struct {
	cfg Config

	mu      sync.Mutex
	records map[string]keyedlog.Record
	// tombstones holds the offsets of removals, so that a peer's older record does not bring a key
	// back.
	tombstones map[string]uint64
	// prunedTo is the offset below which tombstones may have been pruned.
	prunedTo uint64
	// next is the offset from which the stream is read next.
	next   uint64
	loaded bool
	// listed is true if the last page is a listing.
	listed bool
	// behind is true if the last page did not reach the end of the stream.
	behind bool
	// lastResponse is the time of the log's last response, and zero before the first one.
	lastResponse time.Time
	// completeAsOf is when the last read started that reached the end of the stream. Its records are applied. completeSince
	// is when the first of them started that followed each other within maxReadGap.
	completeSince, completeAsOf time.Time
	unreachable                 bool
	// failures counts the failed calls since the last response. They were last logged at failureLoggedAt.
	failures        int
	failureLoggedAt time.Time
	// graceUntil is the end of the grace period, and deferred holds the offsets of the removals in
	// it.
	graceUntil time.Time
	deferred   map[string]uint64
	// restoredUntil is the end of Config.RestoreGrace.
	restoredUntil time.Time
}

// New returns an empty replica.
func New(cfg Config) *Replica {
	return &Replica{
		cfg: cfg, records: make(map[string]keyedlog.Record), tombstones: make(map[string]uint64),
		deferred: make(map[string]uint64),
	}
}

// Run reads the stream repeatedly until the context ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.cfg.Interval
		if r.cfg.IntervalFunc != nil {
			pause = r.cfg.IntervalFunc()
		}
		if err := r.poll(ctx); err != nil || r.lastWasListing() {
			// Listings are large, so they must not follow each other without a pause.
			pause = max(pause, retryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// poll reads the stream once and applies the records. The first time, if the next records have been
// trimmed, and if the last page did not reach the end of the stream, it reads a listing instead: the
// newest record of each key. Older versions of a record need not be transferred.
func (r *Replica) poll(ctx context.Context) error {
	r.mu.Lock()
	next, readOn, wait := r.next, r.loaded && !r.behind, r.cfg.Wait
	if r.failures > 0 {
		wait = 0
	}
	r.mu.Unlock()
	started := r.cfg.Now()
	began := int64(0)
	if r.cfg.ReadClock != nil {
		began = r.cfg.ReadClock()
	}
	var page keyedlog.Page
	var err error
	if readOn {
		page, err = r.read(ctx, next, wait)
	}
	listing := !readOn || errors.Is(err, keyedlog.ErrTrimmed)
	if listing {
		page, err = r.newest(ctx)
	}
	if err != nil {
		r.noteFailure(err, r.cfg.Now().Sub(started))
		return err
	}
	r.noteResponse(listing, !listing && page.Next < page.End)
	if listing {
		r.applyListing(page)
	} else {
		r.Merge(page)
	}
	r.applyDeferred()
	r.noteApplied(started)
	if r.cfg.OnRead != nil {
		r.cfg.OnRead(began, max(page.Next, page.End))
	}
	return nil
}

func (r *Replica) lastWasListing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

func (r *Replica) read(ctx context.Context, next uint64, wait time.Duration) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime+wait)
	defer cancel()
	return r.cfg.Log.Read(ctx, r.cfg.Stream, next, wait)
}

func (r *Replica) newest(ctx context.Context) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	return r.cfg.Log.Newest(ctx, r.cfg.Stream)
}

// noteFailure logs a failed call and, if it fails more than unreachableAfter after the last response, the
// beginning of an outage.
func (r *Replica) noteFailure(err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
	if now := r.cfg.Now(); now.Sub(r.failureLoggedAt) >= failureLogInterval {
		r.failureLoggedAt = now
		fields := logrus.Fields{
			"stream": r.cfg.Stream.Name, "offset": r.next, "ms": took.Milliseconds(), "failures": r.failures, "error": err.Error(),
		}
		if !r.lastResponse.IsZero() {
			fields["since_ms"] = now.Sub(r.lastResponse).Milliseconds()
		}
		obs.EventStreamCallFailed.Log(r.cfg.Logger, fields)
	}
	if !r.unreachable && !r.lastResponse.IsZero() && r.cfg.Now().Sub(r.lastResponse) > unreachableAfter {
		r.unreachable = true
		obs.EventStreamUnreachable.Log(r.cfg.Logger, logrus.Fields{
			"stream": r.cfg.Stream.Name, "offset": r.next, "error": err.Error(),
		})
	}
}

// noteResponse logs the end of an outage. If the last response is old, it also starts the grace period
// in which removals are deferred. listed says that the response is a listing, behind that it did not reach the end of the
// stream.
func (r *Replica) noteResponse(listed, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.behind = listed, behind
	now := r.cfg.Now()
	if silence := now.Sub(r.lastResponse); !r.lastResponse.IsZero() && silence > removalGraceAfter+r.cfg.Wait {
		r.graceUntil = now.Add(r.cfg.RemovalGrace)
		if r.cfg.RemovalGrace > 0 {
			obs.EventRemovalsDeferred.Log(r.cfg.Logger, logrus.Fields{
				"stream": r.cfg.Stream.Name, "offset": r.next, "since_ms": silence.Milliseconds(), "failures": r.failures,
				"grace_ms": r.cfg.RemovalGrace.Milliseconds(),
			})
		}
	}
	r.failures = 0
	if r.unreachable {
		r.unreachable = false
		obs.EventStreamRecovered.Log(r.cfg.Logger, logrus.Fields{
			"stream": r.cfg.Stream.Name, "offset": r.next, "away_ms": now.Sub(r.lastResponse).Milliseconds(),
		})
	}
	r.lastResponse = now
}

// noteApplied notes that the records of a read are applied that was started at the given time.
func (r *Replica) noteApplied(started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behind {
		return
	}
	if started.Sub(r.completeAsOf) > maxReadGap {
		r.completeSince = started
	}
	r.completeAsOf = started
}

// applyListing applies a listing, the newest record of each key. Keys that are missing from it were removed. In the first
// listing after the log was restored, they may be missing only because their writers have not written them again, so
// their removals are deferred.
func (r *Replica) applyListing(page keyedlog.Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		listed[rec.Key] = true
	}
	r.mu.Lock()
	if r.loaded && keyedlog.Era(page.Next) > keyedlog.Era(r.next) {
		r.graceUntil = r.cfg.Now().Add(r.cfg.RemovalGrace)
		r.restoredUntil = r.cfg.Now().Add(r.cfg.RestoreGrace)
		obs.EventRestoredStreamRead.Log(r.cfg.Logger, logrus.Fields{
			"stream": r.cfg.Stream.Name, "era": keyedlog.Era(page.Next), "end": keyedlog.Position(page.Next), "offset": keyedlog.Position(r.next),
			"records": len(page.Records), "known": len(r.records), "grace_ms": max(r.cfg.RemovalGrace, r.cfg.RestoreGrace).Milliseconds(),
		})
	}
	// The listing may be older than what a peer has provided, which then holds.
	for key, rec := range r.records {
		switch {
		case listed[key] || rec.Offset >= page.Next:
		case r.cfg.Now().Before(r.restoredUntil):
			r.deferred[key] = max(r.deferred[key], page.Next-1)
		default:
			page.Records = append(page.Records, keyedlog.Record{Key: key, Offset: page.Next - 1})
		}
	}
	r.loaded = true
	r.mu.Unlock()
	r.Merge(page)
}

// Merge applies records from the log or from a peer. The newest record of a key wins, so records
// may come repeatedly and in any order. There is one exception: while the removal of a key is
// deferred, a record that is newer than the known one but older than the removal cancels the removal.
// The next listing removes the key.
func (r *Replica) Merge(page keyedlog.Page) {
	r.mu.Lock()
	changed := false
	for _, rec := range page.Records {
		changed = r.mergeRecord(rec) || changed
	}
	r.next = max(r.next, page.Next)
	r.mu.Unlock()
	if changed && r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}

// mergeRecord applies one record. It reports whether the records changed. The caller holds r.mu.
func (r *Replica) mergeRecord(rec keyedlog.Record) bool {
	known, ok := r.records[rec.Key]
	if ok && known.Offset >= rec.Offset {
		return false
	}
	if at, removed := r.tombstones[rec.Key]; removed && at >= rec.Offset {
		return false
	}
	if rec.Value != nil {
		delete(r.tombstones, rec.Key)
		if r.deferred[rec.Key] < rec.Offset {
			delete(r.deferred, rec.Key)
		}
		r.records[rec.Key] = rec
		return true
	}
	if ok && r.cfg.Now().Before(r.graceUntil) {
		r.deferred[rec.Key] = max(r.deferred[rec.Key], rec.Offset)
		return false
	}
	r.remove(rec.Key, rec.Offset)
	return ok
}

// remove removes a key and keeps a tombstone. The caller holds r.mu.
func (r *Replica) remove(key string, offset uint64) {
	delete(r.records, key)
	delete(r.deferred, key)
	r.tombstones[key] = offset
	if len(r.tombstones) > maxTombstones {
		r.pruneTombstones()
	}
}

// maxTombstones is the number of tombstones above which old ones are pruned: those that are more
// than this many offsets behind the next offset to read.
const maxTombstones = 4096

// pruneTombstones drops old tombstones. The caller holds r.mu.
func (r *Replica) pruneTombstones() {
	for key, offset := range r.tombstones {
		if offset+maxTombstones < r.next {
			delete(r.tombstones, key)
			r.prunedTo = max(r.prunedTo, offset+1)
		}
	}
}

// applyDeferred applies the deferred removals after the grace period.
func (r *Replica) applyDeferred() {
	r.mu.Lock()
	if now := r.cfg.Now(); len(r.deferred) == 0 || now.Before(r.graceUntil) || now.Before(r.restoredUntil) {
		r.mu.Unlock()
		return
	}
	for key, offset := range r.deferred {
		r.remove(key, offset)
	}
	r.mu.Unlock()
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}

// Since returns the records and the tombstones from an offset on, for a peer. Deferred removals and pruned tombstones are
// missing from the result, and so are they before Next: the peer must not take what it has not been told for read.
func (r *Replica) Since(from uint64) keyedlog.Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := keyedlog.Page{Next: r.next}
	for _, offset := range r.deferred {
		page.Next = min(page.Next, offset)
	}
	if from < r.prunedTo {
		page.Next = min(page.Next, from)
	}
	for _, rec := range r.records {
		if rec.Offset >= from {
			page.Records = append(page.Records, rec)
		}
	}
	for key, offset := range r.tombstones {
		if offset >= from {
			page.Records = append(page.Records, keyedlog.Record{Key: key, Offset: offset})
		}
	}
	return page
}

// Records returns the newest record of each key.
func (r *Replica) Records() map[string]keyedlog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.records)
}

// Next returns the offset up to which the log or a peer was read. Removals before it that are deferred are not applied yet.
func (r *Replica) Next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// Loaded reports whether the log was ever read successfully.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// CompleteBetween returns the time for which the replica has had all records of the log, but for those that came and went within
// maxReadGap, or zero times if it never had all. Unlike Staleness it does not count from a response, which may have waited in this
// process or on its way.
func (r *Replica) CompleteBetween() (since, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeSince, r.completeAsOf
}

// Staleness is the time since the log's last response, or since the given start if it has never
// responded.
func (r *Replica) Staleness(start time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastResponse.IsZero() {
		return r.cfg.Now().Sub(start)
	}
	return r.cfg.Now().Sub(r.lastResponse)
}
