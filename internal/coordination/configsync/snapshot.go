package configsync

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

const snapshotFormat = 1

// foldState is the stored form of a Fold. Lists are sorted, so equal folds have
// equal bytes and two writers complete each other's snapshots.
type foldState struct {
	Format      int
	Next        uint64
	Version     uint64
	Catalogue   catalogue.Catalogue
	Generations []uint64
	Results     []storedResult
}

type storedResult struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Outcome Outcome
	Version uint64
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the fold as a snapshot.
func (f *State) Encode() (snapshot.Snapshot, error) {
	state := foldState{Format: snapshotFormat, Next: f.next, Version: f.version, Catalogue: f.Catalogue()}
	for _, e := range state.Catalogue.Entries {
		state.Generations = append(state.Generations, f.generations[e.Name])
	}
	for _, id := range f.order {
		r := f.results[id]
		state.Results = append(state.Results, storedResult{ID: id, Outcome: r.Outcome, Version: r.Version})
	}
	data, err := encMode.Marshal(state)
	return snapshot.Snapshot{Next: f.next, Data: data}, errors.Wrap(err, "encode configuration")
}

// DecodeState returns the fold of a snapshot.
func DecodeState(s snapshot.Snapshot) (*State, error) {
	var state foldState
	if err := cbor.Unmarshal(s.Data, &state); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if state.Format != snapshotFormat || state.Next != s.Next || len(state.Generations) != len(state.Catalogue.Entries) {
		return nil, errors.Newf("configuration snapshot at %d is inconsistent", s.Next)
	}
	f := NewState()
	f.next, f.version = state.Next, state.Version
	for i, e := range state.Catalogue.Entries {
		f.entries[e.Name], f.generations[e.Name] = e, state.Generations[i]
	}
	for _, u := range state.Catalogue.Upstreams {
		f.upstreams[u.Name] = u
	}
	for _, o := range state.Catalogue.EngineOrders {
		f.orders[o.Name] = o
	}
	for _, r := range state.Results {
		f.remember(r.ID, Result{Outcome: r.Outcome, Version: r.Version})
	}
	return f, nil
}

// loadFold returns the fold of the newest snapshot, which must not be before an
// offset: a fold never goes back.
func loadFold(ctx context.Context, log snapshot.Reader, atLeast uint64) (*State, error) {
	var loaded *State
	_, err := snapshot.Load(ctx, log, record.ConfigSnapshotStream, record.ConfigStream, func(s snapshot.Snapshot) error {
		fold, err := DecodeState(s)
		if err == nil {
			loaded = fold
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if loaded.next < atLeast {
		return nil, errors.Wrapf(snapshot.ErrTooOld, "configuration snapshot at %d, needed from %d", loaded.next, atLeast)
	}
	return loaded, nil
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[T any](m map[string]T) []T {
	values := make([]T, 0, len(m))
	for _, key := range slices.SortedFunc(maps.Keys(m), cmp.Compare[string]) {
		values = append(values, m[key])
	}
	return values
}
