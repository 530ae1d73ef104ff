// Package keyedlog defines the interface of a compacted log: records have keys, the newest record of each key
// is retained, and older records expire. The gateway reads its configuration and upstreams from such a log
// and keeps heartbeats and budget shares in it; package platform implements it.
//
// A conditional append states the offset at which the stream must end. It takes effect at most once, however
// often it is retried and however late it is executed, because every appended record moves the end.
package keyedlog

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Log.
var (
	// ErrConflict reports a conditional append to a stream that ends at another offset. Nothing was appended.
	ErrConflict = errors.New("stream does not end at the expected offset")
	// ErrTrimmed reports a read of records that have expired, or from an offset of an earlier era. Newest returns
	// the records that were retained.
	ErrTrimmed = errors.New("records have expired")
	// ErrUnavailable reports a call that was not executed.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrRateLimited reports a call that was not executed because all routers together call more often than the log
	// accepts. It is no outage: the log serves other calls. Such an error is also marked ErrUnavailable, see RateLimited.
	ErrRateLimited = errors.New("rate limit of the log is reached")
	// ErrFenced reports an append whose epoch is lower than the producer's highest one, or whose sequence
	// number is not the next one. Nothing was appended.
	ErrFenced = errors.New("producer is fenced")
	// ErrOutcomeUnknown reports an append without a response. It may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
)

// RateLimited marks an error as ErrRateLimited, and as ErrUnavailable, since the call was not executed.
func RateLimited(err error) error {
	return errors.Mark(errors.Mark(err, ErrUnavailable), ErrRateLimited)
}

// AnyOffset is the expected offset of an unconditional append.
const AnyOffset = math.MaxUint64

// Stream identifies one totally ordered sequence of records.
type Stream struct {
	Name      string
	Partition int
}

// Producer identifies a writer of a stream and numbers its appends. A higher epoch fences all appends of lower
// epochs, including those that are executed late. Within an epoch the sequence numbers increase by one, and a
// retried append takes effect once.
type Producer struct {
	ID       string
	Epoch    uint64
	Sequence uint64
}

// Record is one record. A nil Value removes the key. Routers exchange records and pages as CBOR under the
// names of the Go fields.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Next is the offset at which the next Read continues.
	Next uint64
	// End is the end of the stream at the time of the read; it is above Next if there is more to read.
	End uint64
}

// Log is a log service. It may be restored from a copy that is some seconds old, see OffsetIn. A conditional
// append whose offset is of an earlier era is not executed, or reported as ErrOutcomeUnknown if that is not
// certain.
//
// The methods are safe for concurrent use. Read and Newest fail soon after the service has stopped sending. The
// time of a transfer depends on its size, so only the context limits it.
type Log interface {
	// Append appends the records atomically and returns the offset after them. Unless at is AnyOffset, it
	// appends them only if the stream ends at offset at.
	Append(ctx context.Context, s Stream, records []Record, at uint64) (end uint64, err error)
	// AppendAs appends the records atomically at the end of the stream, in the order of the producer's
	// appends, and returns the offset after them. Without records it only sets the producer's epoch and
	// sequence number.
	AppendAs(ctx context.Context, s Stream, records []Record, p Producer) (end uint64, err error)
	// Read returns records in order, starting at offset from. It waits at most wait for the first one. A page
	// without records is not an error. A page holds at least one record if there is one, and may hold fewer
	// than there are: then Next is below End.
	Read(ctx context.Context, s Stream, from uint64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key. Records appended during the call may be missing; a Read
	// from Next returns them.
	Newest(ctx context.Context, s Stream) (Page, error)
	// CurrentEra returns the newest era that the log has named in a response, see OffsetIn.
	CurrentEra() uint64
}
