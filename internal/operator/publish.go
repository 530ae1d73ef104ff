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

// ConflictError reports that the base of an update is not the newest version, usually because another operator
// has published since.
type ConflictError struct {
	// Base is the version that the update was based on; Newest is the newest accepted version.
	Base, Newest uint64
	// Changes lead from the operator's file to the newest version.
	Changes []catalogue.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the file was made for version %d, version %d is accepted", e.Base, e.Newest)
}

// PublishResult describes an accepted configuration update.
type PublishResult struct {
	Version uint64 `json:"version"`
	// Changes lead from the base version to the accepted version. They are empty if this call changed
	// nothing.
	Changes []catalogue.Change `json:"changes"`
}

// Publish makes want the accepted catalogue if base is still the newest version, and appends its prepaid
// changes to the ledger. If want equals the base version, it appends nothing and returns base. A repeated call
// with the same catalogue, base and author, for example after a lost response, returns the same version
// without changes. An error together with a version means that the catalogue was accepted, but that not all
// prepaid changes were appended.
func (c *Client) Publish(ctx context.Context, want catalogue.Catalogue, base uint64, author string) (PublishResult, error) {
	id, err := updateID(want, base, author)
	if err != nil {
		return PublishResult{}, err
	}
	state, err := c.Config(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	if r, done := state.Result(id); done {
		result, err := publishResult(r, nil, base, state, want)
		if err != nil {
			return PublishResult{}, err
		}
		return result, c.applyPrepaid(ctx, state.Snapshot(), author)
	}
	if state.Version() != base {
		return PublishResult{}, conflictError(base, state, want)
	}
	delta := catalogue.Diff(state.Catalogue(), want)
	if delta.Empty() {
		return PublishResult{Version: base}, nil
	}
	if err := c.appendUpdate(ctx, id, base, author, delta); err != nil {
		return PublishResult{}, err
	}
	if state, err = c.Config(ctx); err != nil {
		return PublishResult{}, err
	}
	r, ok := state.Result(id)
	if !ok {
		return PublishResult{}, errors.New("the configuration update is not in the log")
	}
	result, err := publishResult(r, delta.Changes, base, state, want)
	if err != nil {
		return PublishResult{}, err
	}
	return result, c.applyPrepaid(ctx, state.Snapshot(), author)
}

// applyPrepaid appends the prepaid changes of a catalogue to the ledger. Each ID is applied once, so
// appending a change again has no effect.
func (c *Client) applyPrepaid(ctx context.Context, s *catalogue.Snapshot, author string) error {
	batches := make(map[int][]record.Item)
	for e := range s.Entries {
		partition := record.Partition(e.Name, c.Partitions)
		for _, change := range e.Prepaid {
			batches[partition] = append(batches[partition], record.Item{Adjust: &record.Adjust{
				Entry: e.Key, ID: change.ID, Delta: change.Tokens, Author: author,
			}})
		}
	}
	for partition, items := range batches {
		data, err := record.Encode(items)
		if err != nil {
			return err
		}
		if err := c.appendWithRetry(ctx, record.LedgerStream(partition), data); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) appendUpdate(ctx context.Context, id string, base uint64, author string, d catalogue.Delta) error {
	data, err := json.Marshal(configsync.Update{
		ID: id, Base: base, Author: author, Upserts: d.Upserts,
		Removals: configsync.Removals{
			Entries: d.RemovedEntries, Upstreams: d.RemovedUpstreams, EngineOrders: d.RemovedEngineOrders,
		},
	})
	if err != nil {
		return errors.Wrap(err, "encode configuration update")
	}
	return c.appendWithRetry(ctx, record.ConfigStream, data)
}

func publishResult(
	r configsync.Result, changes []catalogue.Change, base uint64, state *configsync.State, want catalogue.Catalogue,
) (PublishResult, error) {
	if r.Outcome != configsync.Accepted {
		return PublishResult{}, conflictError(base, state, want)
	}
	return PublishResult{Version: r.Version, Changes: changes}, nil
}

func conflictError(base uint64, state *configsync.State, want catalogue.Catalogue) error {
	return &ConflictError{
		Base: base, Newest: state.Version(), Changes: catalogue.Diff(want, state.Catalogue()).Changes,
	}
}

// updateID derives the ID from the catalogue, base and author, so that a process that repeats an update
// after a lost response uses the same ID.
func updateID(want catalogue.Catalogue, base uint64, author string) (string, error) {
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
