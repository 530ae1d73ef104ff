// Package operator implements the commands of an operator: publish a catalogue, change prepaid amounts, read
// balances and bills from the log, and query or drain routers. It reports a change as accepted only after it
// has read the record back from the log and applied it with the same code as the routers. The prepaid changes
// of a catalogue are an exception: they are appended without waiting for the result. cmd/dotterelctl uses it.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// Errors that a Client returns.
var (
	// ErrNoEntry reports an entry that the accepted catalogue does not have or, from Balances, one that has
	// no account in the ledger. The first change of its prepaid amount creates the account.
	ErrNoEntry = errors.New("no such entry")
	// ErrIDUsed reports an adjustment ID that was used before with another amount, or an increase that the
	// ledger recorded as 0 because the prepaid amount would exceed record.MaxTokens.
	ErrIDUsed = errors.New("adjustment ID was already used for another amount")
)

const (
	readBatchRecords = 1000
	retryInterval    = 200 * time.Millisecond
)

// Client reads and appends to the log for an operator.
type Client struct {
	Log logstream.Log
	// Partitions is the number of ledger streams of the fleet.
	Partitions int
}

// readAll calls apply for every record of a stream from the given offset on, in order.
func (c *Client) readAll(ctx context.Context, stream string, from uint64, apply func(logstream.Record)) error {
	for {
		page, err := c.Log.Read(ctx, stream, from, readBatchRecords, 0)
		if err != nil {
			return errors.Wrapf(err, "read stream %s", stream)
		}
		for _, r := range page.Records {
			apply(r)
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
	}
}

// Config replays the config stream to its end, starting at its newest snapshot if there is one.
func (c *Client) Config(ctx context.Context) (*configsync.State, error) {
	state := configsync.NewState()
	reader := follow.New(c.Log, follow.Config{
		Stream: record.ConfigStream, SnapshotStream: record.ConfigSnapshotStream,
		Apply: func(records []logstream.Record) {
			for _, r := range records {
				state.Apply(r.Offset, r.Data)
			}
		},
		Decode: func(s snapshot.Snapshot) (func(), error) {
			loaded, err := configsync.DecodeState(s)
			return func() { state = loaded }, err
		},
	})
	err := reader.CatchUp(ctx)
	return state, errors.Wrap(err, "read config stream")
}

// EntryKey returns the key of an entry in the accepted catalogue. The key of an entry that was removed and
// created again has a new generation.
func (c *Client) EntryKey(ctx context.Context, name string) (record.EntryKey, error) {
	state, err := c.Config(ctx)
	if err != nil {
		return record.EntryKey{}, err
	}
	e := state.Snapshot().Entry(name)
	if e == nil {
		return record.EntryKey{}, errors.Wrapf(ErrNoEntry, "entry %q", name)
	}
	return e.Key, nil
}

// Ledger replays one ledger partition to its end, starting at its newest snapshot if there is one.
func (c *Client) Ledger(ctx context.Context, partition int) (*ledger.Ledger, error) {
	l := ledger.New()
	reader := follow.New(c.Log, follow.Config{
		Stream: record.LedgerStream(partition), SnapshotStream: record.LedgerSnapshotStream(partition),
		Apply: func(records []logstream.Record) {
			for _, r := range records {
				l.ApplyRecord(r.Offset, r.Data)
			}
		},
		Decode: func(s snapshot.Snapshot) (func(), error) {
			loaded, err := ledger.Decode(s.Data)
			return func() { l = loaded }, err
		},
	})
	err := reader.CatchUp(ctx)
	return l, errors.Wrapf(err, "read ledger partition %d", partition)
}

// appendWithRetry appends data until the outcome is known. If a response was lost, the log may then contain
// the record twice; it is applied only once.
func (c *Client) appendWithRetry(ctx context.Context, stream string, data []byte) error {
	for {
		_, err := c.Log.Append(ctx, stream, data)
		if !errors.Is(err, logstream.ErrOutcomeUnknown) {
			return errors.Wrapf(err, "append to stream %s", stream)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return errors.WithSecondaryError(errors.Wrap(logstream.ErrOutcomeUnknown, "append not confirmed within the time limit"), err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
