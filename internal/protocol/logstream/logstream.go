// Package logstream defines the interface of the platform's append-only log: named streams of records with
// ascending offsets. Package logclient implements it over HTTP, and package standin in memory. The packages
// under coordination and package operator read and append.
package logstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of a Log.
var (
	// ErrUnavailable reports that the call failed and that an append had no effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrOutcomeUnknown reports that an append may or may not have taken effect. The caller appends the same
	// record again; every reader applies it once.
	ErrOutcomeUnknown = errors.New("append outcome unknown")
	// ErrTrimmed reports a read before the first retained offset.
	ErrTrimmed = errors.New("offset is older than the log's retention")
	// ErrRestored reports that the log was restored from an older copy while this process ran. Records that the process
	// has read or appended may be missing, and their offsets are given out again. It comes with ErrUnavailable, and no
	// call succeeds before the process is restarted.
	ErrRestored = errors.New("log was restored from an older copy")
)

// Record is one appended record. The offsets of each stream start at 1.
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
	// Next is the offset of the next append to the stream, not that of the next read (as in keyedlog.Page). A
	// reader that has applied Next-1 has caught up with the stream as of this read.
	Next uint64
}

// Log is the platform's log service.
type Log interface {
	// Append appends data to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records, starting at offset from. At the end of the stream it waits at most wait
	// for a new record.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}
