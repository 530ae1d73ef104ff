// Package catalogue defines the operators' configuration: entries with their budgets and limits, upstreams,
// engine orders and routes. It parses, checks and compares catalogue files for the operator's tool, and
// indexes an accepted version as a Snapshot for the routers. A Snapshot is immutable and is replaced as a
// whole when a new version is accepted.
package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Class is the urgency of an entry's requests.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassService     Class = "service"
	ClassQueued      Class = "queued"
)

// Limits apply to an entry over the whole fleet. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	Queue             int     `yaml:"queue,omitempty" json:"queue,omitempty"`
}

// Prepaid is one change of an entry's prepaid amount, in tokens. The ledger applies it as an Adjust, once per
// ID.
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
	// Priority overrides the priority of a route if it is set.
	Priority *int `yaml:"-" json:"-"`
	// AllowedRegions are the regions whose upstreams may get the entry's requests; empty means all.
	AllowedRegions []string `yaml:"-" json:"-"`
}

// Kind is the kind of an upstream.
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
	// Models are the models that an engine serves; Service is the name of a plain service.
	Models   []string `yaml:"models,omitempty" json:"models,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Service  string   `yaml:"service,omitempty" json:"service,omitempty"`
	// Concurrency is the number of requests that the upstream runs concurrently.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// ChecksFencing is true if the upstream refuses orders with an outdated fencing token.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// IdempotentMethods are the HTTP methods of a plain service that may be retried.
	IdempotentMethods []string `yaml:"idempotent_methods,omitempty" json:"idempotent_methods,omitempty"`
	// RequestTokens is the cost of one call of a plain service, in tokens.
	RequestTokens int64 `yaml:"request_tokens,omitempty" json:"request_tokens,omitempty"`
	// Instance is the ID by which an upstream that registers itself recognises requests that are meant for
	// it.
	Instance string `yaml:"-" json:"-"`
	// MaxConnections bounds the connections of all routers together; 0 means no bound.
	MaxConnections int `yaml:"-" json:"-"`
	// ColdRemaining is the time for which the upstream stays cold, as of when it stated so. ColdStart and
	// ColdPerSecond are those of the service.
	ColdStart     time.Duration `yaml:"-" json:"-"`
	ColdRemaining time.Duration `yaml:"-" json:"-"`
	ColdPerSecond float64       `yaml:"-" json:"-"`
	// SoftwareVersion is the version of the upstream's software, which is not that of a model. Empty is a version too:
	// that of upstreams that state none.
	SoftwareVersion string `yaml:"-" json:"-"`
	// Draining is true for an upstream that has announced that it stops and takes no new work.
	Draining bool `yaml:"-" json:"-"`
}

// Catalogue is the content of a catalogue file.
type Catalogue struct {
	Entries   []Entry    `yaml:"entries" json:"entries"`
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	// EngineOrders is omitted from a configuration update without orders, so that a router of the previous
	// version, which rejects unknown keys, still accepts the update.
	EngineOrders []EngineOrder `yaml:"engine_orders,omitempty" json:"engine_orders,omitempty"`
}

// HashCredential returns the hash under which a credential is stored.
func HashCredential(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// BoundEntry is an entry with the key of its account in the ledger.
type BoundEntry struct {
	Entry
	Key record.EntryKey
}

// Snapshot is one accepted version of the configuration, indexed for lookups. It is immutable. It is not a
// snapshot in the sense of package snapshot, which is an encoded state in the log.
type Snapshot struct {
	Version      uint64
	entries      map[string]*BoundEntry
	byCredential map[string]*BoundEntry
	upstreams    map[string]*Upstream
	orders       []EngineOrder
	// forwarding is nil without routes.
	forwarding *forwardingIndex
	// evacuated holds the zones whose upstreams get nothing more.
	evacuated map[string]struct{}
}

// NewSnapshot indexes a version. generations maps the names of the entries to their generations.
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

// Entry returns the entry with a name, or nil.
func (s *Snapshot) Entry(name string) *BoundEntry { return s.entries[name] }

// EntryByCredential returns the entry with the credential that a caller sent, or nil.
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

// Upstream returns the upstream with a name, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.upstreams[name] }

// EngineOrders returns the desired states of the engines, sorted by name. The caller must not change the
// slice.
func (s *Snapshot) EngineOrders() []EngineOrder { return s.orders }
