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

// publishBackoff is the wait between two attempts to append an update or to read back its outcome.
const publishBackoff = 200 * time.Millisecond

// ErrSkipped reports an update that is in the log but that every router skips, because the record does not
// decode.
var ErrSkipped = errors.New("configuration update is skipped by every node")

// PublishResult is the outcome of an update, as read back from the log.
type PublishResult struct {
	Outcome Outcome
	// Base is the version that the update was prepared against.
	Base uint64
	// Version is the version that the update created or, on a conflict, the version that was the newest.
	Version uint64
}

// Publisher appends updates and reads their outcomes back.
type Publisher struct {
	log   logstream.Log
	state *State
	sleep func(context.Context, time.Duration)
}

// NewPublisher returns a publisher that keeps a state of its own.
func NewPublisher(log logstream.Log) *Publisher {
	return &Publisher{log: log, state: NewState(), sleep: follow.Sleep}
}

// Publish tries to append the update until its outcome can be read back or the context ends. After a lost
// response it reads the log and appends the update again only if the log does not hold its ID. An ID is
// accepted at most once in any case. Publish fails at once if the update does not decode.
func (p *Publisher) Publish(ctx context.Context, update Update) (PublishResult, error) {
	data, err := json.Marshal(update)
	if err != nil {
		return PublishResult{}, errors.Wrap(err, "encode configuration update")
	}
	if _, err := DecodeUpdate(data); err != nil {
		return PublishResult{}, err
	}
	maybeAppended := false
	for {
		if err := p.readToEnd(ctx); err == nil {
			if r, ok := p.state.Result(update.ID); ok {
				return p.result(update, r, maybeAppended), nil
			}
			_, err := p.log.Append(ctx, record.ConfigStream, data)
			maybeAppended = maybeAppended || err == nil || errors.Is(err, logstream.ErrOutcomeUnknown)
			if err == nil {
				continue
			}
		}
		p.sleep(ctx, publishBackoff)
		if ctx.Err() != nil {
			return PublishResult{}, errors.Wrapf(ctx.Err(), "publish configuration update %s: %s", update.ID, appendStatus(maybeAppended))
		}
	}
}

func appendStatus(appended bool) string {
	if appended {
		return "outcome unknown; publish again with the same id"
	}
	return "not appended"
}

// result returns the outcome r of the update. If the update was accepted, but this call cannot have appended
// it, an earlier call did, and the outcome is Duplicate.
func (p *Publisher) result(update Update, r Result, maybeAppended bool) PublishResult {
	if r.Outcome == Accepted && !maybeAppended {
		r.Outcome = Duplicate
	}
	return PublishResult{Outcome: r.Outcome, Base: update.Base, Version: r.Version}
}

func (p *Publisher) readToEnd(ctx context.Context) error {
	for {
		page, err := p.log.Read(ctx, record.ConfigStream, p.state.Next(), pollBatch, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			state, err := loadState(ctx, p.log, p.state.Next())
			if err != nil {
				return err
			}
			p.state = state
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			p.state.Apply(r.Offset, r.Data)
		}
		if p.state.Next() >= page.Next {
			return nil
		}
	}
}
