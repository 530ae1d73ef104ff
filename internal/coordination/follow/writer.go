package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// Log reads and appends.
type Log interface {
	snapshot.Reader
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// dueParts is the part of the retention after which a snapshot is replaced. It
// is a quarter, so that an outage of another quarter still leaves the new
// snapshot complete before half of the retention has passed.
const dueParts = 4

// SnapshotWriterConfig describes the snapshots of one stream.
type SnapshotWriterConfig struct {
	SnapshotStream string
	// Retention is how long the log keeps a record; RetainRecords is how many it
	// keeps, or 0 when it bounds only the age.
	Retention     time.Duration
	RetainRecords uint64
	// Encode returns the current state.
	Encode func() (snapshot.Snapshot, error)
	// Next returns the offset of the current state.
	Next func() uint64
	// PartBytes defaults to snapshot.PartBytes.
	PartBytes int
	// Now defaults to the system's clock.
	Now func() time.Time
}

// SnapshotWriter writes the snapshots of one stream. A second writer at the same time
// does no harm: the parts of both are told apart, and equal ones are shared.
// It is not safe for concurrent use.
type SnapshotWriter struct {
	cfg SnapshotWriterConfig
	log Log

	scanned  uint64
	seen     map[snapshot.Series]map[uint32]bool
	newest   snapshot.Series
	newestAt time.Time

	// The series that is being written.
	series    snapshot.Series
	parts     [][]byte
	startedAt time.Time
}

// NewSnapshotWriter returns a writer that knows of no snapshot yet.
func NewSnapshotWriter(log Log, cfg SnapshotWriterConfig) *SnapshotWriter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.PartBytes == 0 {
		cfg.PartBytes = snapshot.PartBytes
	}
	return &SnapshotWriter{cfg: cfg, log: log, scanned: 1, seen: make(map[snapshot.Series]map[uint32]bool)}
}

// Step reads which parts exist, starts a new series when one is due, and
// appends the parts that are missing. It returns whether the series that it
// wrote is complete. After an error the next Step resumes the series.
func (w *SnapshotWriter) Step(ctx context.Context) (complete bool, err error) {
	if w.scanned, err = snapshot.Scan(ctx, w.log, w.cfg.SnapshotStream, w.scanned, w.note); err != nil {
		return false, err
	}
	if w.parts != nil && w.cfg.Now().Sub(w.startedAt) > w.cfg.Retention/dueParts {
		w.parts = nil
	}
	if w.parts == nil {
		if !w.due() {
			return false, nil
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := w.appendMissing(ctx); err != nil {
		return false, err
	}
	w.parts = nil
	return true, nil
}

// note records that a part is in the stream.
func (w *SnapshotWriter) note(r logstream.Record) {
	p, err := snapshot.DecodePart(r.Data)
	if err != nil || p.Series.Next < w.newest.Next {
		return
	}
	parts := w.seen[p.Series]
	if parts == nil {
		parts = make(map[uint32]bool)
		w.seen[p.Series] = parts
	}
	parts[p.Number] = true
	if len(parts) < int(p.Series.Count) {
		return
	}
	w.newest, w.newestAt = p.Series, r.Time
	for s := range w.seen {
		if s.Next <= p.Series.Next && s != w.series {
			delete(w.seen, s)
		}
	}
}

func (w *SnapshotWriter) due() bool {
	next := w.cfg.Next()
	if w.newest.Next == 0 {
		return next > 1
	}
	if next < w.newest.Next {
		return false
	}
	if w.cfg.RetainRecords > 0 && next-w.newest.Next >= w.cfg.RetainRecords/dueParts {
		return true
	}
	return w.cfg.Now().Sub(w.newestAt) >= w.cfg.Retention/dueParts
}

func (w *SnapshotWriter) start() error {
	snap, err := w.cfg.Encode()
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	parts, err := snapshot.Split(snap, w.cfg.PartBytes)
	if err != nil {
		return err
	}
	first, err := snapshot.DecodePart(parts[0])
	if err != nil {
		return err
	}
	w.parts, w.series, w.startedAt = parts, first.Series, w.cfg.Now()
	// Older copies of the same parts may be dropped by retention soon.
	delete(w.seen, w.series)
	return nil
}

// appendMissing appends each part that has not been read back. A part whose
// answer was lost is appended again by the next Step unless it is read first.
func (w *SnapshotWriter) appendMissing(ctx context.Context) error {
	for i, part := range w.parts {
		if w.seen[w.series][uint32(i)] {
			continue
		}
		if _, err := w.log.Append(ctx, w.cfg.SnapshotStream, part); err != nil {
			return errors.Wrapf(err, "append part %d of %d", i+1, len(w.parts))
		}
	}
	return nil
}
