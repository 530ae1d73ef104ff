// Package operator does what an operator asks of the log: publish a catalogue,
// change prepaid amounts, read balances and bills. Everything it reports as
// accepted was read back from the log and passed by the fold that routers use.
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

// Errors of an operator's request.
var (
	// ErrNoEntry reports an entry that the accepted catalogue does not have.
	ErrNoEntry = errors.New("no such entry")
	// ErrIDUsed reports an adjustment ID that stands for another amount.
	ErrIDUsed = errors.New("adjustment id was used for another amount")
)

const (
	readBatch     = 1000
	retryInterval = 200 * time.Millisecond
)

// Client reads and writes the log for an operator.
type Client struct {
	Log logstream.Log
	// Partitions is the number of ledger streams of the fleet.
	Partitions int
}

// readAll calls apply for every retained record of a stream, in order.
func (c *Client) readAll(ctx context.Context, stream string, from uint64, apply func(logstream.Record)) error {
	for {
		page, err := c.Log.Read(ctx, stream, from, readBatch, 0)
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

// Config folds the config stream to its end, from its newest snapshot when there is one.
func (c *Client) Config(ctx context.Context) (*configsync.State, error) {
	fold := configsync.NewState()
	reader := follow.New(c.Log, follow.Config{
		Stream: record.ConfigStream, SnapshotStream: record.ConfigSnapshotStream,
		Apply: func(records []logstream.Record) {
			for _, r := range records {
				fold.Apply(r.Offset, r.Data)
			}
		},
		Decode: func(s snapshot.Snapshot) (func(), error) {
			loaded, err := configsync.DecodeState(s)
			return func() { fold = loaded }, err
		},
	})
	err := reader.CatchUp(ctx)
	return fold, errors.Wrap(err, "read configuration")
}

// EntryKey returns the account of an entry in the accepted catalogue.
func (c *Client) EntryKey(ctx context.Context, name string) (record.EntryKey, error) {
	fold, err := c.Config(ctx)
	if err != nil {
		return record.EntryKey{}, err
	}
	e := fold.Snapshot().Entry(name)
	if e == nil {
		return record.EntryKey{}, errors.Wrapf(ErrNoEntry, "entry %q", name)
	}
	return e.Key, nil
}

// Ledger folds one partition to its end, from its newest snapshot when there is one.
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

// appendUntilKnown appends data until the log has answered. A record whose
// answer was lost may then stand in the log twice; every fold counts it once.
func (c *Client) appendUntilKnown(ctx context.Context, stream string, data []byte) error {
	for {
		_, err := c.Log.Append(ctx, stream, data)
		if !errors.Is(err, logstream.ErrOutcomeUnknown) {
			return errors.Wrapf(err, "append to stream %s", stream)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return errors.WithSecondaryError(errors.Wrap(logstream.ErrOutcomeUnknown, "gave up"), err)
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
