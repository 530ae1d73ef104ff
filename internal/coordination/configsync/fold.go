// Package configsync decides which configuration is in force. Operators append
// publishes to the config stream of the platform's log; every node folds them
// in order and reaches the same version.
package configsync

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Update is one record of the config stream.
type Update struct {
	// ID recognises a publish that was sent again after a lost answer.
	ID string `json:"id"`
	// Base is the version that the operator saw. The publish is accepted only
	// if that version is still the newest.
	Base     uint64              `json:"base"`
	Author   string              `json:"author"`
	Upserts  catalogue.Catalogue `json:"upserts"`
	Removals Removals            `json:"removals"`
}

// Removals names what a publish takes out.
type Removals struct {
	Entries   []string `json:"entries,omitempty"`
	Upstreams []string `json:"upstreams,omitempty"`
	// EngineOrders are named like the entries.
	EngineOrders []string `json:"engine_orders,omitempty"`
}

// maxResults bounds the outcomes that are kept to recognise a repeated publish:
// 14 days at 1,100 changes a day. A publish that comes again later still cannot
// be accepted twice, because its base is old by then.
const maxResults = 16384

// Outcome says what the fold did with a publish.
type Outcome int

// The outcomes of a publish.
const (
	// Malformed records are skipped alike on every node.
	Malformed Outcome = iota
	// Accepted publishes made a new version.
	Accepted
	// Duplicate publishes were accepted or refused before under the same ID.
	Duplicate
	// Conflict publishes named a base that is not the newest version.
	Conflict
)

// Result is the outcome of one publish and the version after it.
type Result struct {
	Outcome Outcome
	Version uint64
}

// State is the state of the config stream. It is not safe for concurrent use.
type State struct {
	next        uint64
	version     uint64
	entries     map[string]catalogue.Entry
	generations map[string]uint64
	upstreams   map[string]catalogue.Upstream
	orders      map[string]catalogue.EngineOrder
	results     map[string]Result
	// order lists the keys of results, oldest first.
	order []string
}

// NewState returns the state before the first publish.
func NewState() *State {
	return &State{
		next:        1,
		entries:     make(map[string]catalogue.Entry),
		generations: make(map[string]uint64),
		upstreams:   make(map[string]catalogue.Upstream),
		orders:      make(map[string]catalogue.EngineOrder),
		results:     make(map[string]Result),
	}
}

// Next returns the offset of the next record to apply.
func (f *State) Next() uint64 { return f.next }

// Version returns the number of accepted publishes.
func (f *State) Version() uint64 { return f.version }

// Result returns the outcome of the publish with the given ID.
func (f *State) Result(id string) (Result, bool) {
	r, ok := f.results[id]
	return r, ok
}

// Apply folds the record at an offset. Records before Next are ignored.
func (f *State) Apply(offset uint64, data []byte) Result {
	if offset < f.next {
		return Result{Outcome: Duplicate, Version: f.version}
	}
	f.next = offset + 1
	p, err := DecodePublish(data)
	if err != nil {
		return Result{Outcome: Malformed, Version: f.version}
	}
	if _, seen := f.results[p.ID]; seen {
		return Result{Outcome: Duplicate, Version: f.version}
	}
	if p.Base != f.version {
		r := Result{Outcome: Conflict, Version: f.version}
		f.remember(p.ID, r)
		return r
	}
	f.accept(offset, p)
	r := Result{Outcome: Accepted, Version: f.version}
	f.remember(p.ID, r)
	return r
}

func (f *State) remember(id string, r Result) {
	f.results[id] = r
	f.order = append(f.order, id)
	if len(f.order) > maxResults {
		delete(f.results, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *State) accept(offset uint64, p Update) {
	f.version++
	for _, name := range p.Removals.Entries {
		delete(f.entries, name)
		delete(f.generations, name)
	}
	for _, name := range p.Removals.Upstreams {
		delete(f.upstreams, name)
	}
	for _, name := range p.Removals.EngineOrders {
		delete(f.orders, name)
	}
	for _, e := range p.Upserts.Entries {
		if _, exists := f.entries[e.Name]; !exists {
			f.generations[e.Name] = offset
		}
		f.entries[e.Name] = e
	}
	for _, u := range p.Upserts.Upstreams {
		f.upstreams[u.Name] = u
	}
	for _, o := range p.Upserts.EngineOrders {
		f.orders[o.Name] = o
	}
}

// Catalogue returns a copy of the newest version, sorted by name.
func (f *State) Catalogue() catalogue.Catalogue {
	return catalogue.Catalogue{
		Entries: sortedValues(f.entries), Upstreams: sortedValues(f.upstreams), EngineOrders: sortedValues(f.orders),
	}
}

// Snapshot returns the newest version, indexed.
func (f *State) Snapshot() *catalogue.Snapshot {
	return catalogue.NewSnapshot(f.version, f.Catalogue(), f.generations)
}

// DecodePublish parses a record of the config stream. Unknown keys are errors,
// because ignoring one would accept something else than the operator wrote.
func DecodePublish(data []byte) (Update, error) {
	var p Update
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Update{}, errors.Wrap(err, "decode publish")
	}
	if p.ID == "" {
		return Update{}, errors.New("publish has no id")
	}
	return p, nil
}
