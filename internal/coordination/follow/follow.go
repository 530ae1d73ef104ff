// Package follow keeps states that are built from streams of the platform's log. A Follower loads the newest
// snapshot of a state and applies the records after it in order. A SnapshotWriter writes new snapshots before
// the log trims the records that they replace. Routers use a Follower for claims and SnapshotWriters for all
// their snapshots; dotterelctl uses a Follower to read ledgers and the configuration. Routers follow the
// configuration with configsync.Follower, which can also apply records from peers.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// Sentinel errors of a Follower.
var (
	// ErrNotCaughtUp reports a state that has not reached the end of its stream since it started, or since
	// the log trimmed or left out records that it needs. Nothing may be served from it.
	ErrNotCaughtUp = errors.New("state has not caught up with the log")
	// ErrGap reports a response of the log that leaves out records or whose end is before the records that
	// were already applied.
	ErrGap = errors.New("log response does not continue the stream")
)

// Config describes a stream and the state that is built from it.
type Config struct {
	Stream string
	// SnapshotStream is empty for a stream without snapshots.
	SnapshotStream string
	// Apply applies records in ascending order of offset without gaps. Calls of Apply and of the function
	// that Decode returns never run concurrently.
	Apply func([]logstream.Record)
	// Decode checks a snapshot and returns the function that replaces the state with it. Records between the
	// old state and the snapshot are not passed to Apply.
	Decode func(snapshot.Snapshot) (install func(), err error)
	// OnCaughtUp, if not nil, is called after each read that reached the end of the stream. It never runs
	// concurrently with Apply or the function that Decode returns.
	OnCaughtUp func()
	// OnError, if not nil, is called with the first of consecutive errors.
	OnError func(error)
	// Now and Sleep default to the system clock.
	Now   func() time.Time
	Sleep func(context.Context, time.Duration)
}

const (
	pageRecords = 256
	// maxPollWait is how long a read waits for a record at the end of the stream. It is long because each
	// idle stream that a router follows costs one read per wait, and one router's control traffic is limited
	// to 28 KB/s. A router follows all claim streams, 16 by default, which costs 0.8 reads/s.
	maxPollWait = 20 * time.Second
	// The delay after a failed read doubles from minBackoff to maxBackoff. Each delay has jitter of up to a
	// half, so that the fleet does not retry at once.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Follower keeps one state up to date. It is safe for concurrent use.
type Follower struct {
	cfg    Config
	reader snapshot.Reader

	// mu serialises changes of the state. It is not held during I/O.
	mu   sync.Mutex
	next uint64
	// started is true once a snapshot was loaded or a page was applied.
	started  bool
	caughtUp bool
	asOf     time.Time
	lastErr  error
}

// New returns a follower that has read nothing yet.
func New(reader snapshot.Reader, cfg Config) *Follower {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Sleep == nil {
		cfg.Sleep = Sleep
	}
	return &Follower{cfg: cfg, reader: reader, next: 1}
}

// Next returns the offset of the next record to apply.
func (f *Follower) Next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Ready returns nil once the state has reached the end of the stream, and an error marked ErrNotCaughtUp
// before. After that an unreachable log does not make it fail again; missing records do.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caughtUp {
		return nil
	}
	if f.lastErr != nil {
		return errors.Mark(errors.Wrapf(f.lastErr, "stream %s", f.cfg.Stream), ErrNotCaughtUp)
	}
	return errors.Wrapf(ErrNotCaughtUp, "stream %s", f.cfg.Stream)
}

// AsOf returns the time as of which the state is known to be complete: the start of the last read that
// reached the end of the stream.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := f.poll(ctx, f.pollWait()); err != nil && ctx.Err() == nil {
			f.cfg.Sleep(ctx, backoff+rand.N(backoff/2))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// pollWait returns how long the next read waits for a record. A follower that has not caught up does not
// wait, because waiting would only delay its readiness.
func (f *Follower) pollWait() time.Duration {
	if f.Ready() != nil {
		return 0
	}
	return maxPollWait
}

// CatchUp reads until the state contains every record that the stream had when the call began.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := f.cfg.Now()
	for {
		if err := f.poll(ctx, 0); err != nil {
			return err
		}
		f.mu.Lock()
		done := f.caughtUp && !f.asOf.Before(began)
		f.mu.Unlock()
		if done {
			return nil
		}
	}
}

// poll calls readAndApply and keeps its error for Ready and Failing. It reports the first of consecutive
// errors to OnError.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	err := f.readAndApply(ctx, wait)
	if err != nil && ctx.Err() != nil {
		// The caller canceled the read, so the error says nothing about the stream.
		return err
	}
	f.mu.Lock()
	first := f.lastErr == nil
	f.lastErr = err
	f.mu.Unlock()
	if err != nil && first && f.cfg.OnError != nil {
		f.cfg.OnError(err)
	}
	return err
}

// Failing reports whether the newest read failed. Run may then be in its backoff delay.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastErr != nil
}

// readAndApply reads one page and applies it, after loading the newest snapshot if nothing was read yet. If
// the next record was trimmed, it loads the newest snapshot instead.
func (f *Follower) readAndApply(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	from, started := f.next, f.started
	f.mu.Unlock()
	if !started && f.cfg.SnapshotStream != "" {
		if err := f.loadSnapshot(ctx); err != nil && !errors.Is(err, snapshot.ErrNoSnapshot) {
			return err
		}
		from = f.Next()
	}
	begin := f.cfg.Now()
	page, err := f.reader.Read(ctx, f.cfg.Stream, from, pageRecords, wait)
	if errors.Is(err, logstream.ErrTrimmed) {
		return f.recover(ctx, err)
	}
	if err != nil {
		return err
	}
	return f.apply(page, begin)
}

// recover replaces a state whose next record has been trimmed from the log by the newest snapshot. It fails
// if no snapshot is ahead of the state.
func (f *Follower) recover(ctx context.Context, cause error) error {
	f.mu.Lock()
	f.caughtUp = false
	f.mu.Unlock()
	if f.cfg.SnapshotStream == "" {
		return cause
	}
	before := f.Next()
	if err := f.loadSnapshot(ctx); err != nil {
		return err
	}
	if f.Next() == before {
		return errors.Wrapf(cause, "no snapshot after record %d", before)
	}
	return nil
}

// loadSnapshot loads the newest snapshot and installs it if it is ahead of the state.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	var install func()
	snap, err := snapshot.Load(ctx, f.reader, f.cfg.SnapshotStream, f.cfg.Stream, func(s snapshot.Snapshot) error {
		candidate, err := f.cfg.Decode(s)
		if err == nil {
			install = candidate
		}
		return err
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	if snap.Next <= f.next {
		// A state never reverts, whatever the snapshot stream holds.
		return nil
	}
	install()
	f.next = snap.Next
	return nil
}

// apply applies a page of a read that began at begin. It fails if the page leaves out records or ends before
// records that were already applied.
func (f *Follower) apply(page logstream.Page, begin time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Next < f.next {
		f.caughtUp = false
		return errors.Wrapf(ErrGap, "end %d is before next record %d", page.Next, f.next)
	}
	records := page.Records
	for len(records) > 0 && records[0].Offset < f.next {
		records = records[1:]
	}
	for i, r := range records {
		if r.Offset != f.next+uint64(i) {
			f.caughtUp = false
			return errors.Wrapf(ErrGap, "got record %d instead of %d", r.Offset, f.next+uint64(i))
		}
	}
	if len(records) > 0 {
		f.cfg.Apply(records)
		f.next += uint64(len(records))
	}
	f.started = true
	if f.next >= page.Next {
		f.caughtUp = true
		f.asOf = begin
		if f.cfg.OnCaughtUp != nil {
			f.cfg.OnCaughtUp()
		}
	}
	return nil
}

// Sleep waits for the duration d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
