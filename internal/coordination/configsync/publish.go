package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// publishBackoff is the wait between two attempts to append or to read back.
const publishBackoff = 200 * time.Millisecond

// ErrNotInForce reports a publish that is in the log but that every node skips,
// because the record does not decode.
var ErrNotInForce = errors.New("publish is skipped by every node")

// PublishResult is the outcome of a publish, as read back from the log.
type PublishResult struct {
	Outcome Outcome
	// Base is the version that the operator saw.
	Base uint64
	// Version is the version that the publish made, or with a conflict the
	// version that it met.
	Version uint64
}

// Publisher appends publishes and reads their outcomes back.
type Publisher struct {
	log   logstream.Log
	fold  *State
	sleep func(context.Context, time.Duration)
}

// NewPublisher returns a publisher that folds the stream on its own.
func NewPublisher(log logstream.Log) *Publisher {
	return &Publisher{log: log, fold: NewState(), sleep: follow.Sleep}
}

// Publish appends p until its outcome can be read back or the context ends. A
// lost answer is resolved by reading: the same ID is appended again only while
// the log does not hold it, and counts once in any case.
func (p *Publisher) Publish(ctx context.Context, publish Update) (PublishResult, error) {
	data, err := json.Marshal(publish)
	if err != nil {
		return PublishResult{}, errors.Wrap(err, "encode publish")
	}
	if _, err := DecodePublish(data); err != nil {
		return PublishResult{}, err
	}
	known := false
	for {
		if err := p.readToEnd(ctx); err == nil {
			if r, ok := p.fold.Result(publish.ID); ok {
				return p.result(publish, r, known), nil
			}
			_, err := p.log.Append(ctx, record.ConfigStream, data)
			known = known || err == nil || errors.Is(err, logstream.ErrOutcomeUnknown)
			if err == nil {
				continue
			}
		}
		p.sleep(ctx, publishBackoff)
		if ctx.Err() != nil {
			return PublishResult{}, errors.Wrapf(ctx.Err(), "publish %s: %s", publish.ID, pending(known))
		}
	}
}

func pending(appended bool) string {
	if appended {
		return "outcome unknown; publish again with the same id"
	}
	return "not appended"
}

// result reports an earlier publish of the same ID as a duplicate, unless this
// call may have appended it itself.
func (p *Publisher) result(publish Update, r Result, own bool) PublishResult {
	if r.Outcome == Accepted && !own {
		r.Outcome = Duplicate
	}
	return PublishResult{Outcome: r.Outcome, Base: publish.Base, Version: r.Version}
}

func (p *Publisher) readToEnd(ctx context.Context) error {
	for {
		page, err := p.log.Read(ctx, record.ConfigStream, p.fold.Next(), pollBatch, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			fold, err := loadFold(ctx, p.log, p.fold.Next())
			if err != nil {
				return err
			}
			p.fold = fold
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			p.fold.Apply(r.Offset, r.Data)
		}
		if p.fold.Next() >= page.Next {
			return nil
		}
	}
}
