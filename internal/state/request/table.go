package request

import (
	"bytes"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrKeyConflict reports an idempotency key that was used with another entry or request content.
var ErrKeyConflict = errors.New("idempotency key was used with another body or entry")

// Params are the fixed properties of a request.
type Params struct {
	ID    string
	Entry record.EntryKey
	// Team is the scope of the key, so that teams cannot see or block each other's keys.
	Team string
	// Key is the caller's idempotency key, or empty.
	Key string
	// RequestHash identifies the content of the request: entry name, method, URI and body.
	RequestHash []byte
}

// Config holds the parameters of a Table.
type Config struct {
	// Retention is the time for which a finished request is kept.
	Retention time.Duration
	// MaxFinished bounds the number of finished requests that are kept.
	MaxFinished int
	// MaxAnswerBytes bounds the bodies of all stored responses together. httpapi.Limits.MaxAnswerBytes bounds
	// each one.
	MaxAnswerBytes int
	// Now is the clock.
	Now func() time.Time
}

type scopedKey struct{ team, key string }

type finishedRequest struct {
	request    *Request
	finishedAt time.Time
	bodyBytes  int
}

// Table holds the open and the recently finished requests of this process. A request is finished when it is
// settled or refused and the goroutine that serves it has ended; nothing can change it then.
//
// The number of open requests is bounded by the limits of the callers' API. Finished requests are removed
// after Retention, or earlier when there are more than MaxFinished. An unknown request is kept until its
// outcome is found.
type Table struct {
	cfg Config

	mu    sync.Mutex
	byID  map[string]*Request
	byKey map[scopedKey]*Request

	// queueMu guards the fields below. It may be locked while a request's mutex is held, never the other way
	// round.
	queueMu sync.Mutex
	// queue holds the finished requests from index head on, oldest first.
	queue         []finishedRequest
	head          int
	responseBytes int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, byID: make(map[string]*Request), byKey: make(map[scopedKey]*Request)}
}

// Begin adds a request. If its idempotency key is already known, Begin returns the request of that key with
// repeated set; the caller of Begin waits for it or replays its response. The key of a refused request can be
// used again, since nothing ran; a request with the same entry and content then keeps the ID and the claim of
// the refused one.
func (t *Table) Begin(p Params) (r *Request, repeated bool, err error) {
	t.expire()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := scopedKey{p.Team, p.Key}
	claimed := false
	if p.Key != "" {
		if known := t.byKey[key]; known != nil && known.State() != Refused {
			if known.params.Entry != p.Entry || !bytes.Equal(known.params.RequestHash, p.RequestHash) {
				return nil, false, ErrKeyConflict
			}
			return known, true, nil
		} else if known != nil && known.params.Entry == p.Entry && bytes.Equal(known.params.RequestHash, p.RequestHash) {
			// The claim of the refused request is still valid for its ID.
			p.ID, claimed = known.params.ID, known.Claimed()
		}
	}
	r = &Request{table: t, params: p, started: t.cfg.Now(), done: make(chan struct{}), claimed: claimed}
	t.byID[p.ID] = r
	if p.Key != "" {
		t.byKey[key] = r
	}
	return r, false, nil
}

// Find returns a request by ID.
func (t *Table) Find(id string) (*Request, bool) {
	t.expire()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return r, ok
}

// Len returns the number of requests that are kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Count returns the number of kept requests in each state.
func (t *Table) Count() map[string]int {
	t.mu.Lock()
	requests := make([]*Request, 0, len(t.byID))
	for _, r := range t.byID {
		requests = append(requests, r)
	}
	t.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range requests {
		counts[r.State().String()]++
	}
	return counts
}

// finished adds a finished request to the expiry queue.
func (t *Table) finished(r *Request, response *StoredResponse) {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	f := finishedRequest{request: r, finishedAt: t.cfg.Now()}
	if response != nil {
		f.bodyBytes = len(response.Body)
		t.responseBytes += f.bodyBytes
	}
	t.queue = append(t.queue, f)
}

// expire removes the finished requests beyond Retention or MaxFinished, and drops the oldest stored responses
// beyond MaxAnswerBytes.
func (t *Table) expire() {
	expired, responseEvicted := t.dequeueExpired()
	for _, r := range responseEvicted {
		r.dropResponse()
	}
	if len(expired) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range expired {
		if t.byID[r.params.ID] == r {
			delete(t.byID, r.params.ID)
		}
		key := scopedKey{r.params.Team, r.params.Key}
		if t.byKey[key] == r {
			delete(t.byKey, key)
		}
	}
}

// dequeueExpired removes the requests beyond Retention or MaxFinished from the queue and returns them as
// expired. The requests in responseEvicted stay in the queue, but their stored responses exceed MaxAnswerBytes
// and must be dropped.
func (t *Table) dequeueExpired() (expired, responseEvicted []*Request) {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	oldest := t.cfg.Now().Add(-t.cfg.Retention)
	for t.head < len(t.queue) {
		f := t.queue[t.head]
		if len(t.queue)-t.head <= t.cfg.MaxFinished && f.finishedAt.After(oldest) {
			break
		}
		expired = append(expired, f.request)
		t.responseBytes -= f.bodyBytes
		t.queue[t.head] = finishedRequest{}
		t.head++
	}
	for i := t.head; i < len(t.queue) && t.responseBytes > t.cfg.MaxAnswerBytes; i++ {
		if t.queue[i].bodyBytes > 0 {
			responseEvicted = append(responseEvicted, t.queue[i].request)
			t.responseBytes -= t.queue[i].bodyBytes
			t.queue[i].bodyBytes = 0
		}
	}
	if t.head > len(t.queue)/2 {
		t.queue = append(t.queue[:0], t.queue[t.head:]...)
		t.head = 0
	}
	return expired, responseEvicted
}
