// Package configsync replicates the configuration. Operators append updates to the config stream of the
// platform's log; every router applies them in order and reaches the same version. Routers follow the stream
// with a Follower and decide with Lease whether their version is recent enough to serve; dotterelctl
// publishes updates and reads the newest State.
package configsync

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Update is one record of the config stream.
type Update struct {
	// ID identifies an update that was appended again after a lost response.
	ID string `json:"id"`
	// Base is the version that the update was prepared against. The update is accepted only if that version
	// is still the newest.
	Base     uint64              `json:"base"`
	Author   string              `json:"author"`
	Upserts  catalogue.Catalogue `json:"upserts"`
	Removals Removals            `json:"removals"`
}

// Removals holds the names of the objects that an update removes.
type Removals struct {
	Entries      []string `json:"entries,omitempty"`
	Upstreams    []string `json:"upstreams,omitempty"`
	EngineOrders []string `json:"engine_orders,omitempty"`
}

// maxResults bounds the results that are kept to detect repeated updates: 14 days at 1,100 changes a day. An
// update that is repeated later than that still cannot be accepted twice, because its base is outdated by
// then.
const maxResults = 16384

// Outcome says how an update was applied.
type Outcome int

// The outcomes of an update.
const (
	// Malformed records are skipped by every router.
	Malformed Outcome = iota
	// Accepted updates created a new version.
	Accepted
	// Duplicate updates were accepted or rejected before under the same ID, or are records before Next.
	Duplicate
	// Conflict updates named a base that is not the newest version.
	Conflict
)

// Result is the outcome of one update and the version after it.
type Result struct {
	Outcome Outcome
	Version uint64
}

// State is the configuration built by applying the records of the config stream in order. It is not safe for
// concurrent use.
type State struct {
	next    uint64
	version uint64
	entries map[string]catalogue.Entry
	// generations holds, by entry name, the offset of the record that created the entry.
	generations  map[string]uint64
	upstreams    map[string]catalogue.Upstream
	engineOrders map[string]catalogue.EngineOrder
	results      map[string]Result
	// resultOrder lists the keys of results, oldest first.
	resultOrder []string
}

// NewState returns the state before the first update.
func NewState() *State {
	return &State{
		next:         1,
		entries:      make(map[string]catalogue.Entry),
		generations:  make(map[string]uint64),
		upstreams:    make(map[string]catalogue.Upstream),
		engineOrders: make(map[string]catalogue.EngineOrder),
		results:      make(map[string]Result),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Version returns the number of accepted updates.
func (s *State) Version() uint64 { return s.version }

// Result returns the result of the update with the given ID. It returns false for an update that was not
// applied, or so long ago that its result was dropped.
func (s *State) Result(id string) (Result, bool) {
	r, ok := s.results[id]
	return r, ok
}

// Apply applies the record at an offset. Records before Next are ignored and reported as Duplicate.
func (s *State) Apply(offset uint64, data []byte) Result {
	if offset < s.next {
		return Result{Outcome: Duplicate, Version: s.version}
	}
	s.next = offset + 1
	update, err := DecodeUpdate(data)
	if err != nil {
		return Result{Outcome: Malformed, Version: s.version}
	}
	if _, seen := s.results[update.ID]; seen {
		return Result{Outcome: Duplicate, Version: s.version}
	}
	if update.Base != s.version {
		r := Result{Outcome: Conflict, Version: s.version}
		s.keepResult(update.ID, r)
		return r
	}
	s.accept(offset, update)
	r := Result{Outcome: Accepted, Version: s.version}
	s.keepResult(update.ID, r)
	return r
}

func (s *State) keepResult(id string, r Result) {
	s.results[id] = r
	s.resultOrder = append(s.resultOrder, id)
	if len(s.resultOrder) > maxResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}

func (s *State) accept(offset uint64, update Update) {
	s.version++
	for _, name := range update.Removals.Entries {
		delete(s.entries, name)
		delete(s.generations, name)
	}
	for _, name := range update.Removals.Upstreams {
		delete(s.upstreams, name)
	}
	for _, name := range update.Removals.EngineOrders {
		delete(s.engineOrders, name)
	}
	for _, e := range update.Upserts.Entries {
		if _, exists := s.entries[e.Name]; !exists {
			s.generations[e.Name] = offset
		}
		s.entries[e.Name] = e
	}
	for _, u := range update.Upserts.Upstreams {
		s.upstreams[u.Name] = u
	}
	for _, o := range update.Upserts.EngineOrders {
		s.engineOrders[o.Name] = o
	}
}

// Catalogue returns a copy of the newest version, sorted by name.
func (s *State) Catalogue() catalogue.Catalogue {
	return catalogue.Catalogue{
		Entries: sortedValues(s.entries), Upstreams: sortedValues(s.upstreams), EngineOrders: sortedValues(s.engineOrders),
	}
}

// Snapshot returns an indexed copy of the newest version for requests. It is not the snapshot that is stored
// in the log, which Encode returns.
func (s *State) Snapshot() *catalogue.Snapshot {
	return catalogue.NewSnapshot(s.version, s.Catalogue(), s.generations)
}

// DecodeUpdate parses a record of the config stream. Unknown keys are errors, because ignoring one would
// accept something other than what the operator wrote.
func DecodeUpdate(data []byte) (Update, error) {
	var update Update
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&update); err != nil {
		return Update{}, errors.Wrap(err, "decode configuration update")
	}
	if update.ID == "" {
		return Update{}, errors.New("configuration update has no id")
	}
	return update, nil
}
