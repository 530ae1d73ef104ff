// Package keyedlog is the contract of a log of records with keys that keeps the
// newest record of each key. Older records expire.
//
// An append may name the offset at which the stream must end. Such an append
// takes effect at most once, however often and however late it is carried out,
// because any other record moves the end.
package keyedlog

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Log.
var (
	// ErrConflict reports a conditional append to a stream that ends elsewhere.
	// Nothing was appended.
	ErrConflict = errors.New("stream does not end at the expected offset")
	// ErrTrimmed reports a read of records that have expired. Newest tells what
	// they left.
	ErrTrimmed = errors.New("records have expired")
	// ErrUnavailable reports a call that was not carried out.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrFenced reports an append of a producer whose epoch or sequence number is
	// not the one that is due. Nothing was appended.
	ErrFenced = errors.New("producer is fenced")
	// ErrOutcomeUnknown reports an append without an answer. It may be carried
	// out later.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
)

// AnyOffset appends wherever the stream ends.
const AnyOffset = math.MaxUint64

// Stream names one totally ordered sequence of records.
type Stream struct {
	Name      string
	Partition int
}

// Producer names a writer of a stream and orders its appends. A higher epoch shuts
// out the appends of lower ones, also those that are carried out late. Within an
// epoch the sequence numbers count up by one, and an append that is sent again takes
// effect once.
type Producer struct {
	ID       string
	Epoch    uint64
	Sequence uint64
}

// Record is one record. A nil Value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Next is the offset from which a Read goes on.
	Next uint64
	// End is the end of the stream when it was read; it is above Next if there is
	// more to read.
	End uint64
}

// Log is a log service. Its methods are safe for concurrent use.
type Log interface {
	// Append adds the records in one step and returns the offset after them.
	// They are appended only if the stream ends at the offset at, unless that is
	// Anywhere.
	Append(ctx context.Context, s Stream, records []Record, at uint64) (end uint64, err error)
	// AppendAs adds the records in one step wherever the stream ends, in the order
	// of the producer's appends, and returns the offset after them. Without records
	// it only sets the producer's epoch and sequence number.
	AppendAs(ctx context.Context, s Stream, records []Record, p Producer) (end uint64, err error)
	// Read returns records from an offset on, in order. It waits up to the given
	// time for the first one. A page without records is no error.
	Read(ctx context.Context, s Stream, from uint64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key. Records that were appended
	// meanwhile may be missing; a Read from Next has them.
	Newest(ctx context.Context, s Stream) (Page, error)
}
