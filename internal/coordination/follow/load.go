package follow

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// snapshotPage is the number of parts asked for in one read. 16 parts of 512
// KiB take 11 MiB in the log's JSON.
const snapshotPage = 16

// Load returns the newest complete snapshot that decode accepts and that the
// retained records of the stream continue.
func Load(
	ctx context.Context, r Reader, snapshotStream, stream string, decode func(snapshot.Snapshot) error,
) (snapshot.Snapshot, error) {
	c := snapshot.NewCollector(decode)
	add := func(rec logstream.Record) { c.Add(rec.Data) }
	if _, err := scan(ctx, r, snapshotStream, 1, add); err != nil {
		return snapshot.Snapshot{}, errors.Wrapf(err, "read stream %s", snapshotStream)
	}
	best, found := c.Best()
	if !found {
		return snapshot.Snapshot{}, errors.Wrapf(ErrNoSnapshot, "stream %s, %d damaged parts", snapshotStream, c.Damaged())
	}
	_, err := r.Read(ctx, stream, best.Next, 1, 0)
	if errors.Is(err, logstream.ErrTrimmed) {
		return snapshot.Snapshot{}, errors.Wrapf(ErrSnapshotTooOld, "snapshot of %s at %d", stream, best.Next)
	}
	return best, err
}

// scan passes every retained record from an offset on to add, and returns the
// offset after the last one. Records that retention drops meanwhile are left out.
func scan(ctx context.Context, r Reader, stream string, from uint64, add func(logstream.Record)) (uint64, error) {
	for {
		page, err := r.Read(ctx, stream, from, snapshotPage, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			from, err = firstRetained(ctx, r, stream)
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

// firstRetained asks for a record far after the end of the stream, whose answer
// names the first retained offset.
func firstRetained(ctx context.Context, r Reader, stream string) (uint64, error) {
	page, err := r.Read(ctx, stream, 1<<62, 1, 0)
	return page.First, err
}
