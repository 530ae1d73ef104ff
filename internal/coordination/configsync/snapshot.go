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

// storedState is the stored form of a State, encoded with its field names as keys. Lists are sorted, so equal
// states have equal bytes and two writers can complete each other's snapshots.
type storedState struct {
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

// Encode returns the state as a snapshot.
func (s *State) Encode() (snapshot.Snapshot, error) {
	stored := storedState{Format: snapshotFormat, Next: s.next, Version: s.version, Catalogue: s.Catalogue()}
	for _, e := range stored.Catalogue.Entries {
		stored.Generations = append(stored.Generations, s.generations[e.Name])
	}
	for _, id := range s.resultOrder {
		r := s.results[id]
		stored.Results = append(stored.Results, storedResult{ID: id, Outcome: r.Outcome, Version: r.Version})
	}
	data, err := encMode.Marshal(stored)
	return snapshot.Snapshot{Next: s.next, Data: data}, errors.Wrap(err, "encode configuration")
}

// DecodeState returns the state in a snapshot.
func DecodeState(s snapshot.Snapshot) (*State, error) {
	var stored storedState
	if err := cbor.Unmarshal(s.Data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if stored.Format != snapshotFormat || stored.Next != s.Next || len(stored.Generations) != len(stored.Catalogue.Entries) {
		return nil, errors.Newf("configuration snapshot at %d is inconsistent", s.Next)
	}
	state := NewState()
	state.next, state.version = stored.Next, stored.Version
	for i, e := range stored.Catalogue.Entries {
		state.entries[e.Name], state.generations[e.Name] = e, stored.Generations[i]
	}
	for _, u := range stored.Catalogue.Upstreams {
		state.upstreams[u.Name] = u
	}
	for _, o := range stored.Catalogue.EngineOrders {
		state.engineOrders[o.Name] = o
	}
	for _, r := range stored.Results {
		state.keepResult(r.ID, Result{Outcome: r.Outcome, Version: r.Version})
	}
	return state, nil
}

// loadState returns the state in the newest snapshot. It fails if the snapshot ends before the offset
// atLeast, because a state must never revert.
func loadState(ctx context.Context, log snapshot.Reader, atLeast uint64) (*State, error) {
	var loaded *State
	_, err := snapshot.Load(ctx, log, record.ConfigSnapshotStream, record.ConfigStream, func(s snapshot.Snapshot) error {
		state, err := DecodeState(s)
		if err == nil {
			loaded = state
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if loaded.next < atLeast {
		return nil, errors.Wrapf(snapshot.ErrTooOld, "configuration snapshot ends at %d, need at least %d", loaded.next, atLeast)
	}
	return loaded, nil
}

// sortedValues returns the values of a map, sorted by key.
func sortedValues[T any](m map[string]T) []T {
	values := make([]T, 0, len(m))
	for _, key := range slices.SortedFunc(maps.Keys(m), cmp.Compare[string]) {
		values = append(values, m[key])
	}
	return values
}
