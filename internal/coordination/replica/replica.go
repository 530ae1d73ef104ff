// Package replica keeps a process's copy of a keyed stream. The copy comes from
// the log and, while the log does not answer this process, from its peers.
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
	// callTimeout bounds a call besides the wait that it asks for. A log that is
	// slow by a factor of 75 still answers within it.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// lostAfter is the time without an answer after which the log counts as lost.
	lostAfter = time.Second
)

// Config holds the settings of a Replica.
type Config struct {
	Log    keyedlog.Log
	Stream keyedlog.Stream
	// Wait is how long a read may wait at the log for a record.
	Wait time.Duration
	// Interval is the pause between two reads.
	Interval time.Duration
	// RemovalGrace is how long after the return of the log removals are held back:
	// leases that lapsed while the log was away are renewed in that time.
	RemovalGrace time.Duration
	Now          func() time.Time
	// IntervalFunc returns a longer interval for large fleets; nil means Interval.
	IntervalFunc func() time.Duration
	// Clock is read before each call, and Read gets its value and the end of the
	// stream after the call. Both may be nil.
	Clock func() int64
	Read  func(began int64, end uint64)
	// OnChange is called after each change, one call at a time.
	OnChange func()
	Logger   logrus.FieldLogger
}

// Replica holds the newest record of each key. It is safe for concurrent use.
type Replica struct {
	cfg Config

	mu      sync.Mutex
	records map[string]keyedlog.Record
	// removed holds removals, so that a peer's older record does not return.
	removed map[string]uint64
	next    uint64
	loaded  bool
	// contact is the time of the log's last answer.
	contact time.Time
	lost    bool
	// holdUntil is the end of the grace time, and held the removals in it.
	holdUntil time.Time
	held      map[string]uint64
}

// New returns an empty replica.
func New(cfg Config) *Replica {
	return &Replica{
		cfg: cfg, records: make(map[string]keyedlog.Record), removed: make(map[string]uint64),
		held: make(map[string]uint64),
	}
}

// Run follows the log until the context ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.cfg.Interval
		if r.cfg.IntervalFunc != nil {
			pause = r.cfg.IntervalFunc()
		}
		if err := r.step(ctx); err != nil {
			pause = max(pause, retryPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step makes one call and takes over its records.
func (r *Replica) step(ctx context.Context) error {
	r.mu.Lock()
	next, loaded := r.next, r.loaded
	r.mu.Unlock()
	began := int64(0)
	if r.cfg.Clock != nil {
		began = r.cfg.Clock()
	}
	var page keyedlog.Page
	var err error
	if loaded {
		page, err = r.read(ctx, next)
	}
	whole := !loaded || errors.Is(err, keyedlog.ErrTrimmed)
	if whole {
		page, err = r.newest(ctx)
	}
	if err != nil {
		r.failed(err)
		return err
	}
	r.answered()
	if whole {
		r.replace(page)
	} else {
		r.Merge(page)
	}
	r.release()
	if r.cfg.Read != nil {
		r.cfg.Read(began, max(page.Next, page.End))
	}
	return nil
}

func (r *Replica) read(ctx context.Context, next uint64) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+r.cfg.Wait)
	defer cancel()
	return r.cfg.Log.Read(ctx, r.cfg.Stream, next, r.cfg.Wait)
}

func (r *Replica) newest(ctx context.Context) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Log.Newest(ctx, r.cfg.Stream)
}

func (r *Replica) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost && !r.contact.IsZero() && r.cfg.Now().Sub(r.contact) > lostAfter {
		r.lost = true
		obs.EventStreamUnreachable.Log(r.cfg.Logger, logrus.Fields{
			"stream": r.cfg.Stream.Name, "offset": r.next, "error": err.Error(),
		})
	}
}

func (r *Replica) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if !r.contact.IsZero() && now.Sub(r.contact) > lostAfter+r.cfg.Wait {
		r.holdUntil = now.Add(r.cfg.RemovalGrace)
	}
	if r.lost {
		r.lost = false
		obs.EventStreamRegained.Log(r.cfg.Logger, logrus.Fields{
			"stream": r.cfg.Stream.Name, "offset": r.next, "away_ms": now.Sub(r.contact).Milliseconds(),
		})
	}
	r.contact = now
}

// replace takes over a listing of all keys. Keys that are missing in it were
// removed.
func (r *Replica) replace(page keyedlog.Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		listed[rec.Key] = true
	}
	r.mu.Lock()
	if page.Next < r.next {
		// The listing is older than what a peer or an earlier read has told.
		page.Next = r.next
	}
	for key, rec := range r.records {
		if !listed[key] && rec.Offset < page.Next {
			page.Records = append(page.Records, keyedlog.Record{Key: key, Offset: page.Next - 1})
		}
	}
	r.loaded = true
	r.mu.Unlock()
	r.Merge(page)
}

// Merge takes over records of the log or of a peer. The newest record of a key
// wins, so that records may come repeatedly and in any order.
func (r *Replica) Merge(page keyedlog.Page) {
	r.mu.Lock()
	changed := false
	for _, rec := range page.Records {
		changed = r.merge(rec) || changed
	}
	r.next = max(r.next, page.Next)
	r.mu.Unlock()
	if changed && r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}

func (r *Replica) merge(rec keyedlog.Record) bool {
	known, ok := r.records[rec.Key]
	if ok && known.Offset >= rec.Offset {
		return false
	}
	if at, gone := r.removed[rec.Key]; gone && at >= rec.Offset {
		return false
	}
	if rec.Value != nil {
		delete(r.removed, rec.Key)
		delete(r.held, rec.Key)
		r.records[rec.Key] = rec
		return true
	}
	if ok && r.cfg.Now().Before(r.holdUntil) {
		r.held[rec.Key] = rec.Offset
		return false
	}
	r.remove(rec.Key, rec.Offset)
	return ok
}

func (r *Replica) remove(key string, offset uint64) {
	delete(r.records, key)
	delete(r.held, key)
	r.removed[key] = offset
	if len(r.removed) > maxRemoved {
		r.forgetRemoved()
	}
}

// maxRemoved bounds the remembered removals.
const maxRemoved = 4096

func (r *Replica) forgetRemoved() {
	for key, offset := range r.removed {
		if offset+maxRemoved < r.next {
			delete(r.removed, key)
		}
	}
}

// release carries out the removals that were held back.
func (r *Replica) release() {
	r.mu.Lock()
	if len(r.held) == 0 || r.cfg.Now().Before(r.holdUntil) {
		r.mu.Unlock()
		return
	}
	for key, offset := range r.held {
		r.remove(key, offset)
	}
	r.mu.Unlock()
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
}

// Since returns the records from an offset on, for a peer. Removals that were
// forgotten are missing in it.
func (r *Replica) Since(from uint64) keyedlog.Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := keyedlog.Page{Next: r.next}
	for _, rec := range r.records {
		if rec.Offset >= from {
			page.Records = append(page.Records, rec)
		}
	}
	for key, offset := range r.removed {
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

// Next returns the offset up to which the replica is known to be complete.
func (r *Replica) Next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// Loaded reports whether the log was ever read.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Staleness is the time since the log's last answer, or since the given start for a
// replica that never had one.
func (r *Replica) Staleness(start time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contact.IsZero() {
		return r.cfg.Now().Sub(start)
	}
	return r.cfg.Now().Sub(r.contact)
}
