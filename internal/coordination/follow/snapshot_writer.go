package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// Log is the part of the platform's log that followers and writers use.
type Log interface {
	snapshot.Reader
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// snapshotsPerRetention is the number of snapshots written within the retention of the log, in time or in
// records. A snapshot is replaced after a quarter of the retention, so that even after an outage of another
// quarter the new one is complete before half of the retention has passed.
const snapshotsPerRetention = 4

// SnapshotWriterConfig describes the snapshots of one stream.
type SnapshotWriterConfig struct {
	SnapshotStream string
	// Retention is how long the log keeps a record. RetainRecords is how many records it keeps, or 0 if it
	// limits only their age.
	Retention     time.Duration
	RetainRecords uint64
	// Encode returns the current state.
	Encode func() (snapshot.Snapshot, error)
	// Next returns the offset of the next record to apply to the current state.
	Next func() uint64
	// PartBytes defaults to snapshot.PartBytes.
	PartBytes int
	// Now defaults to the system clock.
	Now func() time.Time
}

// SnapshotWriter writes the snapshots of one stream. A snapshot is written as a series of parts, one record
// each. Several processes may write the same snapshot stream: parts of different states are kept apart, and
// equal parts are not written again. It is not safe for concurrent use.
type SnapshotWriter struct {
	cfg SnapshotWriterConfig
	log Log

	// nextScan is the offset of the next record of the snapshot stream to read.
	nextScan uint64
	// storedParts holds the numbers of the parts of each series that are in the stream.
	storedParts map[snapshot.Series]map[uint32]bool
	// newestComplete is the series with the latest state of which all parts are in the stream.
	newestComplete   snapshot.Series
	newestCompleteAt time.Time

	// The series that is being written; parts is nil if there is none.
	series    snapshot.Series
	parts     [][]byte
	startedAt time.Time
}

// NewSnapshotWriter returns a writer that has not read the snapshot stream yet.
func NewSnapshotWriter(log Log, cfg SnapshotWriterConfig) *SnapshotWriter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.PartBytes == 0 {
		cfg.PartBytes = snapshot.PartBytes
	}
	return &SnapshotWriter{cfg: cfg, log: log, nextScan: 1, storedParts: make(map[snapshot.Series]map[uint32]bool)}
}

// Step reads which parts exist, starts a new series if one is due, and appends the parts that are missing. It
// returns true if it completed a series. After an error the next Step resumes the series.
func (w *SnapshotWriter) Step(ctx context.Context) (complete bool, err error) {
	if w.nextScan, err = snapshot.Scan(ctx, w.log, w.cfg.SnapshotStream, w.nextScan, w.recordPart); err != nil {
		return false, err
	}
	if w.parts != nil && w.cfg.Now().Sub(w.startedAt) > w.cfg.Retention/snapshotsPerRetention {
		w.parts = nil
	}
	if w.parts == nil {
		if !w.isDue() {
			return false, nil
		}
		if err := w.startSeries(); err != nil {
			return false, err
		}
	}
	if err := w.appendMissing(ctx); err != nil {
		return false, err
	}
	w.parts = nil
	return true, nil
}

// recordPart records that a part is in the stream.
func (w *SnapshotWriter) recordPart(r logstream.Record) {
	p, err := snapshot.DecodePart(r.Data)
	if err != nil || p.Series.Next < w.newestComplete.Next {
		return
	}
	parts := w.storedParts[p.Series]
	if parts == nil {
		parts = make(map[uint32]bool)
		w.storedParts[p.Series] = parts
	}
	parts[p.Number] = true
	if len(parts) < int(p.Series.Count) {
		return
	}
	w.newestComplete, w.newestCompleteAt = p.Series, r.Time
	for s := range w.storedParts {
		if s.Next <= p.Series.Next && s != w.series {
			delete(w.storedParts, s)
		}
	}
}

// isDue reports whether the newest complete snapshot is to be replaced, or the first one to be written.
func (w *SnapshotWriter) isDue() bool {
	next := w.cfg.Next()
	if w.newestComplete.Next == 0 {
		return next > 1
	}
	if next < w.newestComplete.Next {
		return false
	}
	if w.cfg.RetainRecords > 0 && next-w.newestComplete.Next >= w.cfg.RetainRecords/snapshotsPerRetention {
		return true
	}
	return w.cfg.Now().Sub(w.newestCompleteAt) >= w.cfg.Retention/snapshotsPerRetention
}

// startSeries encodes the state and splits it into the parts of a new series.
func (w *SnapshotWriter) startSeries() error {
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
	// Write all parts again: the log may trim older copies of the same parts soon.
	delete(w.storedParts, w.series)
	return nil
}

// appendMissing appends each part that has not been read back. If the response to an append was lost, the
// next Step appends the part again unless it reads it first.
func (w *SnapshotWriter) appendMissing(ctx context.Context) error {
	for i, part := range w.parts {
		if w.storedParts[w.series][uint32(i)] {
			continue
		}
		if _, err := w.log.Append(ctx, w.cfg.SnapshotStream, part); err != nil {
			return errors.Wrapf(err, "append snapshot part %d of %d", i+1, len(w.parts))
		}
	}
	return nil
}
