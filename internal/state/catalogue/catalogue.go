// Package catalogue holds the operators' declared state: entries with their
// budgets and limits, and the upstreams. A Snapshot is immutable and is swapped
// whole when a new version is accepted.
package catalogue

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Class says how urgent an entry's requests are.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassService     Class = "service"
	ClassQueued      Class = "queued"
)

// Limits bound an entry over the whole fleet. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	Queue             int     `yaml:"queue,omitempty" json:"queue,omitempty"`
}

// Prepaid is one change of the prepaid amount. Its ID counts once.
type Prepaid struct {
	ID     string `yaml:"id" json:"id"`
	Tokens int64  `yaml:"tokens" json:"tokens"`
}

// Entry is one catalogue entry.
type Entry struct {
	Name     string   `yaml:"name" json:"name"`
	Owner    string   `yaml:"owner" json:"owner"`
	Team     string   `yaml:"team" json:"team"`
	Class    Class    `yaml:"class" json:"class"`
	Models   []string `yaml:"models,omitempty" json:"models,omitempty"`
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// Credentials are SHA-256 hashes in hexadecimal.
	Credentials []string  `yaml:"credentials" json:"credentials"`
	Limits      Limits    `yaml:"limits,omitempty" json:"limits,omitzero"`
	Prepaid     []Prepaid `yaml:"prepaid,omitempty" json:"prepaid,omitempty"`
	// Priority takes precedence over the priority of a route when it is set.
	Priority *int `yaml:"-" json:"-"`
}

// Kind says what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Upstream is a model engine or a plain service.
type Upstream struct {
	Name    string `yaml:"name" json:"name"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone,omitempty" json:"zone,omitempty"`
	Region  string `yaml:"region,omitempty" json:"region,omitempty"`
	// Models are served by an engine; Service is the name of a plain service.
	Models   []string `yaml:"models,omitempty" json:"models,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Service  string   `yaml:"service,omitempty" json:"service,omitempty"`
	// Concurrency is the number of requests that the upstream runs at once.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// ChecksFencing is true when the upstream refuses an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// IdempotentMethods are the HTTP methods of a plain service that may be repeated.
	IdempotentMethods []string `yaml:"idempotent_methods,omitempty" json:"idempotent_methods,omitempty"`
	// RequestTokens is what one call of a plain service costs, in tokens.
	RequestTokens int64 `yaml:"request_tokens,omitempty" json:"request_tokens,omitempty"`
	// Instance is the id by which an upstream that registers itself tells
	// whether a request is meant for it.
	Instance string `yaml:"-" json:"-"`
	// MaxConnections bounds the connections of all routers together; 0 is no bound.
	MaxConnections int `yaml:"-" json:"-"`
	// Draining is true for an upstream that has announced that it stops.
	Draining bool `yaml:"-" json:"-"`
}

// Catalogue is the content of a catalogue file.
type Catalogue struct {
	Entries   []Entry    `yaml:"entries" json:"entries"`
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	// EngineOrders is left out of a publish without orders, so that a router of
	// the version before, which refuses unknown keys, still takes it.
	EngineOrders []EngineOrder `yaml:"engine_orders,omitempty" json:"engine_orders,omitempty"`
}

// HashCredential returns the form in which a credential is kept.
func HashCredential(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// BoundEntry is an entry with the key of its account.
type BoundEntry struct {
	Entry
	Key record.EntryKey
}

// Snapshot is one accepted version of the configuration. It is never changed.
type Snapshot struct {
	Version      uint64
	entries      map[string]*BoundEntry
	byCredential map[string]*BoundEntry
	upstreams    map[string]*Upstream
	orders       []EngineOrder
	// forward is nil without routes.
	forward *forwarding
}

// NewSnapshot indexes a version. generations maps entry names to generations.
func NewSnapshot(version uint64, c Catalogue, generations map[string]uint64) *Snapshot {
	s := &Snapshot{
		Version:      version,
		entries:      make(map[string]*BoundEntry, len(c.Entries)),
		byCredential: make(map[string]*BoundEntry, len(c.Entries)),
		upstreams:    make(map[string]*Upstream, len(c.Upstreams)),
		orders:       c.EngineOrders,
	}
	for _, e := range c.Entries {
		bound := &BoundEntry{Entry: e, Key: record.EntryKey{Name: e.Name, Generation: generations[e.Name]}}
		s.entries[e.Name] = bound
		for _, hash := range e.Credentials {
			s.byCredential[hash] = bound
		}
	}
	for _, u := range c.Upstreams {
		s.upstreams[u.Name] = &u
	}
	return s
}

// Entry returns the entry of a name, or nil.
func (s *Snapshot) Entry(name string) *BoundEntry { return s.entries[name] }

// EntryByCredential returns the entry that a caller's secret names, or nil.
func (s *Snapshot) EntryByCredential(secret string) *BoundEntry {
	return s.byCredential[HashCredential(secret)]
}

// Entries calls yield for each entry until it returns false.
func (s *Snapshot) Entries(yield func(*BoundEntry) bool) {
	for _, e := range s.entries {
		if !yield(e) {
			return
		}
	}
}

// Upstreams calls yield for each upstream until it returns false.
func (s *Snapshot) Upstreams(yield func(*Upstream) bool) {
	for _, u := range s.upstreams {
		if !yield(u) {
			return
		}
	}
}

// Upstream returns the upstream of a name, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.upstreams[name] }

// EngineOrders returns the desired state of the engines by name. The caller
// must not change the slice.
func (s *Snapshot) EngineOrders() []EngineOrder { return s.orders }
