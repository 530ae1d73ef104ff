package snapshot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
)

// Sentinel errors of Load.
var (
	// ErrNoSnapshot reports a snapshot stream without a complete snapshot.
	ErrNoSnapshot = errors.New("no complete snapshot")
	// ErrTooOld reports a snapshot after which records have been trimmed from the log.
	ErrTooOld = errors.New("snapshot is older than the first retained record")
)

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logstream.Page, error)
}

// scanPageRecords is the number of records requested in one read. 16 parts of PartBytes take 11 MiB in the
// log's JSON.
const scanPageRecords = 16

// Load returns the newest complete snapshot in snapshotStream that decode accepts. stream is the stream whose
// state the snapshot holds. Load returns ErrNoSnapshot if there is no such snapshot, and ErrTooOld if the log no
// longer retains the first record of stream after the snapshot.
func Load(ctx context.Context, r Reader, snapshotStream, stream string, decode func(Snapshot) error) (Snapshot, error) {
	c := NewCollector(decode)
	add := func(rec logstream.Record) { c.Add(rec.Data) }
	if _, err := Scan(ctx, r, snapshotStream, 1, add); err != nil {
		return Snapshot{}, errors.Wrapf(err, "read stream %s", snapshotStream)
	}
	newest, found := c.Newest()
	if !found {
		return Snapshot{}, errors.Wrapf(ErrNoSnapshot, "stream %s, %d parts or states skipped", snapshotStream, c.Skipped())
	}
	_, err := r.Read(ctx, stream, newest.Next, 1, 0)
	if errors.Is(err, logstream.ErrTrimmed) {
		return Snapshot{}, errors.Wrapf(ErrTooOld, "snapshot of %s at %d", stream, newest.Next)
	}
	return newest, err
}

// Scan passes every retained record from an offset on to add, and returns the offset after the last one.
// Records that the log trims during the scan are left out; a caller that needs every record compares offsets.
func Scan(ctx context.Context, r Reader, stream string, from uint64, add func(logstream.Record)) (uint64, error) {
	for {
		page, err := r.Read(ctx, stream, from, scanPageRecords, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			from, err = FirstRetained(ctx, r, stream)
			if err != nil {
				return from, err
			}
			continue
		}
		if err != nil {
			return from, err
		}
		for _, rec := range page.Records {
			add(rec)
			from = rec.Offset + 1
		}
		if len(page.Records) == 0 {
			return from, nil
		}
	}
}

// FirstRetained returns the first retained offset of a stream. The response to a read far after the end of
// the stream contains it.
func FirstRetained(ctx context.Context, r Reader, stream string) (uint64, error) {
	page, err := r.Read(ctx, stream, 1<<62, 1, 0)
	return page.First, err
}
