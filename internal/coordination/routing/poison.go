package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"
)

// Fingerprint identifies a request by what an upstream runs, not by its request
// id, so that a repeated request is recognised. The zero Fingerprint is none.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text[:min(len(text), 2*len(f))])
	return err
}

// FingerprintOf computes the fingerprint of a request. Lengths are hashed too,
// so that parts cannot run into each other.
func FingerprintOf(entry, model string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(entry), []byte(model), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// CrashID names one crash in the whole fleet: the upstream, its incarnation and
// the number of the crash in it as far as known. Routers that see the same
// crash give it the same id, so that it counts once. A router that has not heard
// of an earlier crash of the same incarnation may give two crashes one id; then
// less is blamed, never more.
type CrashID struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation,omitempty"`
	N           int    `json:"n,omitempty"`
}

func (id CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(id.Upstream, o.Upstream), cmp.Compare(id.Incarnation, o.Incarnation), cmp.Compare(id.N, o.N))
}

// Observation is what a router tells its peers of one request and one crash.
// Each flag only ever becomes true, and merging takes their union, so that
// observations may arrive repeatedly and in any order.
type Observation struct {
	Crash       CrashID     `json:"crash"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Suspect is true when the request was a suspect when it was sent.
	Suspect bool `json:"suspect,omitempty"`
	// Clean is true when the request later ran without a crash.
	Clean bool `json:"clean,omitempty"`
	// UnixMilli is the time of the crash; the earliest one counts.
	UnixMilli int64 `json:"at"`
}

const (
	// blamesToQuarantine crashes with a single suspect stop a fingerprint. One
	// may be a coincidence with a failure of the upstream.
	blamesToQuarantine = 2
	// DefaultEvidenceLife is how long a crash is remembered.
	DefaultEvidenceLife = time.Hour
	// DefaultMaxObservations bounds the memory of the evidence to a few MB.
	DefaultMaxObservations = 32768
)

// CrashHistory holds what is known of crashes in the fleet. It is safe for
// concurrent use.
type CrashHistory struct {
	now  func() time.Time
	life time.Duration
	most int

	mu      sync.Mutex
	crashes map[CrashID]*crash
	byPrint map[Fingerprint][]*crash
	count   int
	// seq counts crashes as they become known here.
	seq uint64
}

type crash struct {
	id       CrashID
	at       int64
	seq      uint64
	suspects int
	items    map[Fingerprint]flags
}

type flags struct{ suspect, clean bool }

// NewCrashHistory returns empty evidence.
func NewCrashHistory(now func() time.Time) *CrashHistory {
	return &CrashHistory{
		now: now, life: DefaultEvidenceLife, most: DefaultMaxObservations,
		crashes: make(map[CrashID]*crash), byPrint: make(map[Fingerprint][]*crash),
	}
}

// sameCrash is the time within which routers notice one crash, with the
// difference of their clocks. An upstream takes longer to restart.
const sameCrash = 2 * time.Second

// crashID names a crash that this router sees now.
func (e *CrashHistory) crashID(upstream, incarnation string) CrashID {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now().UnixMilli()
	id := CrashID{Upstream: upstream, Incarnation: incarnation}
	for _, c := range e.crashes {
		if c.id.Upstream != upstream || c.id.Incarnation != incarnation {
			continue
		}
		if age := now - c.at; age <= sameCrash.Milliseconds() && -age <= sameCrash.Milliseconds() {
			return c.id
		}
		id.N = max(id.N, c.id.N+1)
	}
	return id
}

// Merge takes over observations of this router or a peer. The result does not
// depend on order or repetition.
func (e *CrashHistory) Merge(observations ...Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range observations {
		e.merge(o)
	}
	e.expire()
}

func (e *CrashHistory) merge(o Observation) {
	if o.Fingerprint == (Fingerprint{}) || o.UnixMilli <= e.now().Add(-e.life).UnixMilli() {
		return
	}
	c := e.crashes[o.Crash]
	if c == nil {
		e.seq++
		c = &crash{id: o.Crash, at: o.UnixMilli, seq: e.seq, items: make(map[Fingerprint]flags)}
		e.crashes[o.Crash] = c
	}
	c.at = min(c.at, o.UnixMilli)
	old, known := c.items[o.Fingerprint]
	if !known {
		e.count++
		e.byPrint[o.Fingerprint] = append(e.byPrint[o.Fingerprint], c)
	}
	if o.Suspect && !old.suspect {
		c.suspects++
	}
	c.items[o.Fingerprint] = flags{suspect: old.suspect || o.Suspect, clean: old.clean || o.Clean}
}

// expire forgets crashes past their life, and the oldest ones over the bound.
func (e *CrashHistory) expire() {
	oldest := e.now().Add(-e.life).UnixMilli()
	for _, c := range e.crashes {
		if c.at <= oldest {
			e.forget(c)
		}
	}
	if e.count <= e.most {
		return
	}
	ordered := make([]*crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		ordered = append(ordered, c)
	}
	slices.SortFunc(ordered, func(a, b *crash) int { return cmp.Or(cmp.Compare(a.at, b.at), a.id.compare(b.id)) })
	for i := 0; e.count > e.most; i++ {
		e.forget(ordered[i])
	}
}

func (e *CrashHistory) forget(c *crash) {
	delete(e.crashes, c.id)
	e.count -= len(c.items)
	for f := range c.items {
		rest := slices.DeleteFunc(e.byPrint[f], func(o *crash) bool { return o == c })
		if len(rest) == 0 {
			delete(e.byPrint, f)
		} else {
			e.byPrint[f] = rest
		}
	}
}

// Export returns all observations for a peer, in a fixed order.
func (e *CrashHistory) Export() []Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Observation, 0, e.count)
	for _, c := range e.crashes {
		for f, have := range c.items {
			all = append(all, Observation{Crash: c.id, Fingerprint: f, Suspect: have.suspect, Clean: have.clean, UnixMilli: c.at})
		}
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(a.Crash.compare(b.Crash), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all
}

// verdict is what the evidence says of a fingerprint.
type verdict struct {
	suspect bool
	blames  int
}

func (e *CrashHistory) verdict(f Fingerprint) (v verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := e.now().Add(-e.life).UnixMilli()
	for _, c := range e.byPrint[f] {
		have := c.items[f]
		if have.clean || c.at <= oldest {
			continue
		}
		v.suspect = true
		// A crash with several suspects blames none of them.
		if have.suspect && c.suspects == 1 {
			v.blames++
		}
	}
	return v
}

// Suspect reports whether the request was in flight in a crash and has not run
// cleanly since.
func (e *CrashHistory) Suspect(f Fingerprint) bool { return e.verdict(f).suspect }

// Quarantined reports whether the request is refused in the whole fleet.
func (e *CrashHistory) Quarantined(f Fingerprint) bool {
	return e.verdict(f).blames >= blamesToQuarantine
}

// known returns the number of crashes known so far.
func (e *CrashHistory) known() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq
}

// clean clears a request that ran without a crash of the crashes that were
// known when it was sent.
func (e *CrashHistory) clean(f Fingerprint, sentAt uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.byPrint[f] {
		if have := c.items[f]; c.seq <= sentAt {
			have.clean = true
			c.items[f] = have
		}
	}
}
