// Package logstream defines the platform's append-only log as the rest of the
// system sees it: named streams of records with rising offsets.
package logstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of a Log.
var (
	// ErrUnavailable reports that the log refused the call; an append had no effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrOutcomeUnknown reports that an append may or may not have taken effect.
	// The caller appends the same record again; every fold counts it once.
	ErrOutcomeUnknown = errors.New("append outcome unknown")
	// ErrTrimmed reports a read before the first retained offset.
	ErrTrimmed = errors.New("offset is older than the log's retention")
)

// Record is one appended record. Offsets start at 1 in each stream.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// First is the oldest retained offset of the stream.
	First uint64
	// Next is the offset that the next append to the stream will get. A reader
	// that has folded Next-1 is at the end of the log as of this read.
	Next uint64
}

// Log is the platform's log service.
type Log interface {
	// Append adds data to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to max records from the offset on. At the end of the
	// stream it waits up to wait for a new record.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}
