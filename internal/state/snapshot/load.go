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
	// ErrTooOld reports a snapshot that the retained records do not continue.
	ErrTooOld = errors.New("snapshot is older than the first retained record")
)

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logstream.Page, error)
}

// scanPage is the number of records asked for in one read. 16 parts of
// PartBytes take 11 MiB in the log's JSON.
const scanPage = 16

// Load returns the newest complete snapshot that decode accepts and that the
// retained records of the stream continue.
func Load(ctx context.Context, r Reader, snapshotStream, stream string, decode func(Snapshot) error) (Snapshot, error) {
	c := NewCollector(decode)
	add := func(rec logstream.Record) { c.Add(rec.Data) }
	if _, err := Scan(ctx, r, snapshotStream, 1, add); err != nil {
		return Snapshot{}, errors.Wrapf(err, "read stream %s", snapshotStream)
	}
	best, found := c.Best()
	if !found {
		return Snapshot{}, errors.Wrapf(ErrNoSnapshot, "stream %s, %d damaged parts", snapshotStream, c.Damaged())
	}
	_, err := r.Read(ctx, stream, best.Next, 1, 0)
	if errors.Is(err, logstream.ErrTrimmed) {
		return Snapshot{}, errors.Wrapf(ErrTooOld, "snapshot of %s at %d", stream, best.Next)
	}
	return best, err
}

// Scan passes every retained record from an offset on to add, and returns the
// offset after the last one. Records that retention drops meanwhile are left
// out; a caller that needs every record compares offsets.
func Scan(ctx context.Context, r Reader, stream string, from uint64, add func(logstream.Record)) (uint64, error) {
	for {
		page, err := r.Read(ctx, stream, from, scanPage, 0)
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

// FirstRetained returns the first retained offset of a stream. It asks for a record far after the end of the stream, whose
// answer names it.
func FirstRetained(ctx context.Context, r Reader, stream string) (uint64, error) {
	page, err := r.Read(ctx, stream, 1<<62, 1, 0)
	return page.First, err
}
