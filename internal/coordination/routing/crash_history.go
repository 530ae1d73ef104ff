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

// Fingerprint identifies a request by its content instead of its request ID, so that a request that is
// repeated under a new ID is recognised. The zero value means that the request has no fingerprint.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It decodes the first 32 hexadecimal digits and ignores
// the rest of the text. A shorter text sets only the first bytes. An odd number of digits or another
// character among them is an error.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text[:min(len(text), 2*len(f))])
	return err
}

// FingerprintOf computes the fingerprint of a request from its entry, model and body. Each of them is hashed
// with its length, so that a different split of the same bytes gives a different fingerprint.
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

// CrashID identifies one crash in the whole fleet: the upstream, its incarnation and the number of the crash
// within the incarnation, as far as the router knows. Routers that see the same crash give it the same ID, so
// that it counts once. A router that has not heard of an earlier crash of the same incarnation may give two
// crashes the same ID. This can only lower the number of crashes attributed to a request.
type CrashID struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation,omitempty"`
	Number      int    `json:"n,omitempty"`
}

func (id CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(id.Upstream, o.Upstream), cmp.Compare(id.Incarnation, o.Incarnation),
		cmp.Compare(id.Number, o.Number))
}

// Observation says that a request was in flight in a crash. Routers exchange observations. A flag never
// returns to false and merging takes the union of the flags, so observations may arrive repeatedly and in any
// order.
type Observation struct {
	Crash       CrashID     `json:"crash"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Suspect is true when the request was a suspect when it was sent.
	Suspect bool `json:"suspect,omitempty"`
	// Clean is true when the request has since run without a crash.
	Clean bool `json:"clean,omitempty"`
	// UnixMilli is the time of the crash; the earliest one counts.
	UnixMilli int64 `json:"at"`
}

const (
	// crashesToQuarantine is the number of crashes with a request as the only suspect after which the request
	// is quarantined. A single one may coincide with an unrelated failure of the upstream.
	crashesToQuarantine = 2
	// DefaultCrashRetention is how long a crash is kept.
	DefaultCrashRetention = time.Hour
	// DefaultMaxObservations limits the memory of a CrashHistory to a few MB.
	DefaultMaxObservations = 32768
)

// CrashHistory holds the crashes of upstreams that are known in the fleet and the requests that were in
// flight in them. It is safe for concurrent use.
type CrashHistory struct {
	now             func() time.Time
	retention       time.Duration
	maxObservations int

	mu            sync.Mutex
	crashes       map[CrashID]*crash
	byFingerprint map[Fingerprint][]*crash
	// count is the number of observations over all crashes.
	count int
	// seq numbers the crashes in the order in which this router learned of them.
	seq uint64
}

type crash struct {
	id        CrashID
	unixMilli int64
	seq       uint64
	suspects  int
	requests  map[Fingerprint]requestFlags
}

type requestFlags struct{ suspect, clean bool }

// NewCrashHistory returns an empty CrashHistory.
func NewCrashHistory(now func() time.Time) *CrashHistory {
	return &CrashHistory{
		now: now, retention: DefaultCrashRetention, maxObservations: DefaultMaxObservations,
		crashes: make(map[CrashID]*crash), byFingerprint: make(map[Fingerprint][]*crash),
	}
}

// sameCrashWindow is the time within which all routers notice a crash, including the difference of their
// clocks. An upstream takes longer than this to restart.
const sameCrashWindow = 2 * time.Second

// crashID returns the ID of a crash that this router has just seen.
func (h *CrashHistory) crashID(upstream, incarnation string) CrashID {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now().UnixMilli()
	id := CrashID{Upstream: upstream, Incarnation: incarnation}
	for _, c := range h.crashes {
		if c.id.Upstream != upstream || c.id.Incarnation != incarnation {
			continue
		}
		if age := now - c.unixMilli; age <= sameCrashWindow.Milliseconds() && -age <= sameCrashWindow.Milliseconds() {
			return c.id
		}
		id.Number = max(id.Number, c.id.Number+1)
	}
	return id
}

// Merge adds observations of this router or a peer. The result does not depend on their order, and repeated
// observations have no effect.
func (h *CrashHistory) Merge(observations ...Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range observations {
		h.merge(o)
	}
	h.expire()
}

func (h *CrashHistory) merge(o Observation) {
	if o.Fingerprint == (Fingerprint{}) || o.UnixMilli <= h.now().Add(-h.retention).UnixMilli() {
		return
	}
	c := h.crashes[o.Crash]
	if c == nil {
		h.seq++
		c = &crash{id: o.Crash, unixMilli: o.UnixMilli, seq: h.seq, requests: make(map[Fingerprint]requestFlags)}
		h.crashes[o.Crash] = c
	}
	c.unixMilli = min(c.unixMilli, o.UnixMilli)
	old, known := c.requests[o.Fingerprint]
	if !known {
		h.count++
		h.byFingerprint[o.Fingerprint] = append(h.byFingerprint[o.Fingerprint], c)
	}
	if o.Suspect && !old.suspect {
		c.suspects++
	}
	c.requests[o.Fingerprint] = requestFlags{suspect: old.suspect || o.Suspect, clean: old.clean || o.Clean}
}

// expire removes crashes past their retention, then the oldest ones until the limit holds.
func (h *CrashHistory) expire() {
	oldest := h.now().Add(-h.retention).UnixMilli()
	for _, c := range h.crashes {
		if c.unixMilli <= oldest {
			h.remove(c)
		}
	}
	if h.count <= h.maxObservations {
		return
	}
	ordered := make([]*crash, 0, len(h.crashes))
	for _, c := range h.crashes {
		ordered = append(ordered, c)
	}
	slices.SortFunc(ordered, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.unixMilli, b.unixMilli), a.id.compare(b.id))
	})
	for i := 0; h.count > h.maxObservations; i++ {
		h.remove(ordered[i])
	}
}

func (h *CrashHistory) remove(c *crash) {
	delete(h.crashes, c.id)
	h.count -= len(c.requests)
	for f := range c.requests {
		rest := slices.DeleteFunc(h.byFingerprint[f], func(o *crash) bool { return o == c })
		if len(rest) == 0 {
			delete(h.byFingerprint, f)
		} else {
			h.byFingerprint[f] = rest
		}
	}
}

// Export returns all observations in a fixed order, to be sent to a peer.
func (h *CrashHistory) Export() []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Observation, 0, h.count)
	for _, c := range h.crashes {
		for f, flags := range c.requests {
			all = append(all, Observation{
				Crash: c.id, Fingerprint: f, Suspect: flags.suspect, Clean: flags.clean, UnixMilli: c.unixMilli,
			})
		}
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(a.Crash.compare(b.Crash), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all
}

// crashStatus is the conclusion from the crashes in which a request was in flight.
type crashStatus struct {
	// suspect is true when the request has not run cleanly since one of the crashes.
	suspect bool
	// soleSuspectCrashes is the number of crashes in which the request was the only suspect.
	soleSuspectCrashes int
}

func (h *CrashHistory) status(f Fingerprint) (status crashStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.now().Add(-h.retention).UnixMilli()
	for _, c := range h.byFingerprint[f] {
		flags := c.requests[f]
		if flags.clean || c.unixMilli <= oldest {
			continue
		}
		status.suspect = true
		// A crash with several suspects is attributed to none of them.
		if flags.suspect && c.suspects == 1 {
			status.soleSuspectCrashes++
		}
	}
	return status
}

// Suspect reports whether the request was in flight in a crash and has not run cleanly since.
func (h *CrashHistory) Suspect(f Fingerprint) bool { return h.status(f).suspect }

// Quarantined reports whether the request must be refused because of the crashes attributed to it. Routers
// exchange their observations, so the whole fleet refuses it.
func (h *CrashHistory) Quarantined(f Fingerprint) bool {
	return h.status(f).soleSuspectCrashes >= crashesToQuarantine
}

// knownCrashes returns the number of crashes that this router has learned of so far.
func (h *CrashHistory) knownCrashes() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seq
}

// markClean clears a request that ran without a crash. Only the crashes that were known when it was sent are
// affected.
func (h *CrashHistory) markClean(f Fingerprint, knownCrashes uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.byFingerprint[f] {
		if flags := c.requests[f]; c.seq <= knownCrashes {
			flags.clean = true
			c.requests[f] = flags
		}
	}
}
