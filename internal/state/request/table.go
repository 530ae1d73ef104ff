package request

import (
	"bytes"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrKeyConflict reports an idempotency key that was used with another body or entry.
var ErrKeyConflict = errors.New("idempotency key was used with another body or entry")

// Params are the fixed properties of a request.
type Params struct {
	ID    string
	Entry record.EntryKey
	// Team scopes the key, so that teams cannot see or block each other's keys.
	Team string
	// Key is the caller's idempotency key, or empty.
	Key      string
	BodyHash []byte
}

// Config holds the bounds of a Table.
type Config struct {
	// Retention is how long a finished request can be asked for.
	Retention time.Duration
	// MaxFinished bounds the finished requests kept.
	MaxFinished int
	// MaxAnswerBytes bounds the sum of the stored answers.
	MaxAnswerBytes int
	// Now is the clock.
	Now func() time.Time
}

type keyID struct{ team, key string }

type finished struct {
	request *Request
	at      time.Time
	answer  int
}

// Table holds the open and the recently finished requests of this process.
//
// Open requests are bounded by the limits of the callers' API. Finished ones
// leave after Retention, or earlier when there are more than MaxFinished. An
// unknown request stays until its outcome is found.
type Table struct {
	cfg Config

	mu    sync.Mutex
	byID  map[string]*Request
	byKey map[keyID]*Request

	// finishedMu guards the queue below. It is taken under a request's mutex,
	// and never the other way round.
	finishedMu sync.Mutex
	// queue has the finished requests, oldest first, from head on.
	queue       []finished
	head        int
	answerBytes int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, byID: make(map[string]*Request), byKey: make(map[keyID]*Request)}
}

// Begin adds a request. A request with a key that is already known is returned
// with repeated set; the caller waits for it or replays its answer. A key whose
// request was refused is free again, since nothing ran; the same request then
// keeps its id and its claim.
func (t *Table) Begin(p Params) (r *Request, repeated bool, err error) {
	t.expire()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := keyID{p.Team, p.Key}
	claimed := false
	if p.Key != "" {
		if known := t.byKey[key]; known != nil && known.State() != Refused {
			if known.params.Entry != p.Entry || !bytes.Equal(known.params.BodyHash, p.BodyHash) {
				return nil, false, ErrKeyConflict
			}
			return known, true, nil
		} else if known != nil && known.params.Entry == p.Entry && bytes.Equal(known.params.BodyHash, p.BodyHash) {
			// The claim of the refused request still holds for its id.
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

// Find returns a request by id.
func (t *Table) Find(id string) (*Request, bool) {
	t.expire()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return r, ok
}

// Len returns the number of requests kept.
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

func (t *Table) retired(r *Request, answer *StoredResponse) {
	t.finishedMu.Lock()
	defer t.finishedMu.Unlock()
	f := finished{request: r, at: t.cfg.Now()}
	if answer != nil {
		f.answer = len(answer.Body)
		t.answerBytes += f.answer
	}
	t.queue = append(t.queue, f)
}

// expire removes the finished requests that are over a bound.
func (t *Table) expire() {
	gone, answers := t.takeExpired()
	for _, r := range answers {
		r.dropAnswer()
	}
	if len(gone) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range gone {
		if t.byID[r.params.ID] == r {
			delete(t.byID, r.params.ID)
		}
		key := keyID{r.params.Team, r.params.Key}
		if t.byKey[key] == r {
			delete(t.byKey, key)
		}
	}
}

// takeExpired takes the requests over a bound from the queue, and names those
// that stay without their answer.
func (t *Table) takeExpired() (gone, answers []*Request) {
	t.finishedMu.Lock()
	defer t.finishedMu.Unlock()
	oldest := t.cfg.Now().Add(-t.cfg.Retention)
	for t.head < len(t.queue) {
		f := t.queue[t.head]
		if len(t.queue)-t.head <= t.cfg.MaxFinished && f.at.After(oldest) {
			break
		}
		gone = append(gone, f.request)
		t.answerBytes -= f.answer
		t.queue[t.head] = finished{}
		t.head++
	}
	for i := t.head; i < len(t.queue) && t.answerBytes > t.cfg.MaxAnswerBytes; i++ {
		if t.queue[i].answer > 0 {
			answers = append(answers, t.queue[i].request)
			t.answerBytes -= t.queue[i].answer
			t.queue[i].answer = 0
		}
	}
	if t.head > len(t.queue)/2 {
		t.queue = append(t.queue[:0], t.queue[t.head:]...)
		t.head = 0
	}
	return gone, answers
}
