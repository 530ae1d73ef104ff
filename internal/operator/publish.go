package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// ConflictError reports that another operator published first.
type ConflictError struct {
	// Base is the version that the operator saw; Newest is the accepted one.
	Base, Newest uint64
	// Changes are what the other publishes changed since the base, as far as
	// they differ from the operator's file.
	Changes []catalogue.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the file was made for version %d, version %d is accepted", e.Base, e.Newest)
}

// Published is the result of an accepted publish.
type Published struct {
	Version uint64             `json:"version"`
	Changes []catalogue.Change `json:"changes"`
}

// Publish makes the catalogue the accepted one if the version that the operator
// saw is still the newest. The same call sent again after a lost answer is
// recognised and has the same result.
func (c *Client) Publish(ctx context.Context, want catalogue.Catalogue, base uint64, author string) (Published, error) {
	id, err := publishID(want, base, author)
	if err != nil {
		return Published{}, err
	}
	fold, err := c.Config(ctx)
	if err != nil {
		return Published{}, err
	}
	if r, done := fold.Result(id); done {
		result, err := published(r, nil, base, fold, want)
		if err != nil {
			return Published{}, err
		}
		return result, c.applyPrepaid(ctx, fold.Snapshot(), author)
	}
	if fold.Version() != base {
		return Published{}, conflict(base, fold, want)
	}
	delta := catalogue.Diff(fold.Catalogue(), want)
	if delta.Empty() {
		return Published{Version: base}, nil
	}
	if err := c.appendPublish(ctx, id, base, author, delta); err != nil {
		return Published{}, err
	}
	if fold, err = c.Config(ctx); err != nil {
		return Published{}, err
	}
	r, ok := fold.Result(id)
	if !ok {
		return Published{}, errors.New("the publish is not in the log")
	}
	result, err := published(r, delta.Changes, base, fold, want)
	if err != nil {
		return Published{}, err
	}
	return result, c.applyPrepaid(ctx, fold.Snapshot(), author)
}

// applyPrepaid appends the prepaid changes of a catalogue. Each ID counts once,
// so changes that the ledger has already are appended again without effect.
func (c *Client) applyPrepaid(ctx context.Context, s *catalogue.Snapshot, author string) error {
	batches := make(map[int][]record.Item)
	for e := range s.Entries {
		p := record.Partition(e.Name, c.Partitions)
		for _, change := range e.Prepaid {
			batches[p] = append(batches[p], record.Item{Adjust: &record.Adjust{
				Entry: e.Key, ID: change.ID, Delta: change.Tokens, Author: author,
			}})
		}
	}
	for p, items := range batches {
		data, err := record.Encode(items)
		if err != nil {
			return err
		}
		if err := c.appendUntilKnown(ctx, record.LedgerStream(p), data); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) appendPublish(ctx context.Context, id string, base uint64, author string, d catalogue.Delta) error {
	data, err := json.Marshal(configsync.Update{
		ID: id, Base: base, Author: author, Upserts: d.Upserts,
		Removals: configsync.Removals{
			Entries: d.RemovedEntries, Upstreams: d.RemovedUpstreams, EngineOrders: d.RemovedEngineOrders,
		},
	})
	if err != nil {
		return errors.Wrap(err, "encode publish")
	}
	return c.appendUntilKnown(ctx, record.ConfigStream, data)
}

func published(
	r configsync.Result, changes []catalogue.Change, base uint64, fold *configsync.State, want catalogue.Catalogue,
) (Published, error) {
	if r.Outcome != configsync.Accepted {
		return Published{}, conflict(base, fold, want)
	}
	return Published{Version: r.Version, Changes: changes}, nil
}

func conflict(base uint64, fold *configsync.State, want catalogue.Catalogue) error {
	return &ConflictError{
		Base: base, Newest: fold.Version(), Changes: catalogue.Diff(want, fold.Catalogue()).Changes,
	}
}

// publishID is a function of the content, so that the same publish sent by a
// second process after a lost answer has the same ID.
func publishID(want catalogue.Catalogue, base uint64, author string) (string, error) {
	data, err := json.Marshal(struct {
		Want   catalogue.Catalogue
		Base   uint64
		Author string
	}{want, base, author})
	if err != nil {
		return "", errors.Wrap(err, "encode catalogue")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16]), nil
}
