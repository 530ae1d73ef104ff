// Package request holds the requests of this process and the states they pass
// through. The states decide what a caller may be told: "not run" is possible
// only while no attempt may have run, and a request is billed at most once.
package request

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// State is where a request stands.
type State uint8

// The states. Settled, Refused and Unknown are terminal, except that an unknown
// request becomes settled when its outcome is found.
const (
	Received State = iota
	Reserved
	Dispatched
	Streaming
	Settled
	Refused
	Unknown
)

var stateNames = [...]string{"received", "reserved", "dispatched", "streaming", "settled", "refused", "unknown"}

// String returns the state's name in the callers' API.
func (s State) String() string { return stateNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return errors.Newf("state %q does not exist", text)
	}
	*s = State(i)
	return nil
}

// Terminal reports whether the caller's answer is decided.
func (s State) Terminal() bool { return s >= Settled }

// Errors of a transition.
var (
	// ErrTransition reports a transition that the request's state does not allow.
	ErrTransition = errors.New("transition is not allowed")
	// ErrStaleAttempt reports an answer to an attempt that was replaced. It is
	// also an ErrTransition.
	ErrStaleAttempt = errors.Wrap(ErrTransition, "answer belongs to a replaced attempt")
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 32

// Bill is what a request was charged.
type Bill struct {
	Target       string `json:"target"`
	InputTokens  int64  `json:"input_tokens"`
	OutputTokens int64  `json:"output_tokens"`
	// Charged is in tokens.
	Charged int64  `json:"charged"`
	Outcome string `json:"outcome"`
}

// StoredResponse is a stored answer, for a repeat with the same idempotency key.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Info is a consistent copy of a request.
type Info struct {
	ID       string          `json:"request_id"`
	State    State           `json:"state"`
	Entry    record.EntryKey `json:"-"`
	Attempts int             `json:"attempts"`
	// Outcome is the error code of a refused or unknown request, or the outcome
	// on the bill.
	Outcome string `json:"outcome,omitempty"`
	// NotRun is true only when the request provably did not run.
	NotRun  bool      `json:"not_run"`
	Bill    *Bill     `json:"bill,omitempty"`
	Started time.Time `json:"started"`
}

// Request is one request of a caller. It is safe for concurrent use.
type Request struct {
	table   *Table
	params  Params
	started time.Time
	done    chan struct{}

	mu       sync.Mutex
	state    State
	attempts int
	// notRun has bit n set when attempt n provably did not run.
	notRun  uint64
	outcome string
	bill    *Bill
	answer  *StoredResponse
	ended   bool
	retired bool
	// claimed is true once the request has the right to run, for requests that
	// may not run twice.
	claimed bool
}

// ID returns the request id.
func (r *Request) ID() string { return r.params.ID }

// Done is closed when the request's worker has finished.
func (r *Request) Done() <-chan struct{} { return r.done }

// mayHaveRun reports whether an attempt was sent that is not proven not to have run.
func (r *Request) mayHaveRun() bool {
	sent := uint64(1)<<(r.attempts+1) - 2
	return sent&^r.notRun != 0
}

func (r *Request) notAllowed(to string) error {
	return errors.Mark(errors.Newf("request is %s, not allowed: %s", r.state, to), ErrTransition)
}

// Reserve records that the budget covers the request.
func (r *Request) Reserve() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return r.notAllowed("reserve")
	}
	r.state = Reserved
	return nil
}

// Dispatch begins an attempt and returns its number, from 1. It must be called
// before the first byte is sent. Attempts before it are replaced: their answers
// are stale.
func (r *Request) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (r.state != Reserved && r.state != Dispatched) || r.attempts == MaxAttempts {
		return 0, r.notAllowed("dispatch")
	}
	r.state = Dispatched
	r.attempts++
	return r.attempts, nil
}

// AttemptNotRun records the proof that an attempt did not run: nothing was sent,
// or the upstream refused it. When it holds for all attempts, the request is
// reserved again.
func (r *Request) AttemptNotRun(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	bit := uint64(1) << attempt
	if r.state != Dispatched || attempt < 1 || attempt > r.attempts || r.notRun&bit != 0 {
		return r.notAllowed("attempt not run")
	}
	r.notRun |= bit
	if !r.mayHaveRun() {
		r.state = Reserved
	}
	return nil
}

// Stream records that the answer of the current attempt goes to the caller. No
// other attempt can answer after that.
func (r *Request) Stream(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkAnswer(attempt, "stream"); err != nil {
		return err
	}
	if r.state != Dispatched {
		return r.notAllowed("stream")
	}
	r.state = Streaming
	return nil
}

// Settle ends the request with the bill for the current attempt.
func (r *Request) Settle(attempt int, bill Bill) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkAnswer(attempt, "settle"); err != nil {
		return err
	}
	r.settle(bill)
	return nil
}

func (r *Request) checkAnswer(attempt int, action string) error {
	if r.state != Dispatched && r.state != Streaming {
		return r.notAllowed(action)
	}
	if attempt != r.attempts || r.notRun&(1<<attempt) != 0 {
		return ErrStaleAttempt
	}
	return nil
}

func (r *Request) settle(bill Bill) {
	r.state, r.bill, r.outcome = Settled, &bill, bill.Outcome
	r.retire()
}

// Refuse ends a request that did not run.
func (r *Request) Refuse(outcome string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received && r.state != Reserved {
		return r.notAllowed("refuse")
	}
	r.state, r.outcome = Refused, outcome
	r.retire()
	return nil
}

// MarkUnknown records that the outcome of a sent request is not known.
func (r *Request) MarkUnknown(outcome string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched && r.state != Streaming {
		return r.notAllowed("lose")
	}
	r.state, r.outcome = Unknown, outcome
	return nil
}

// Resolve ends an unknown request with its bill.
func (r *Request) Resolve(bill Bill) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Unknown {
		return r.notAllowed("resolve")
	}
	r.settle(bill)
	return nil
}

// Finish records that the worker has finished and wakes the repeats that wait
// for it. The answer may be nil. It is kept for requests with a key.
func (r *Request) Finish(answer *StoredResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.params.Key != "" {
		r.answer = answer
	}
	close(r.done)
	r.retire()
}

// retire hands the request to the table's retention once nothing can change it.
// The caller holds r.mu; the table's mutex is not taken under it.
func (r *Request) retire() {
	if r.ended && !r.retired && (r.state == Settled || r.state == Refused) {
		r.retired = true
		r.table.retired(r, r.answer)
	}
}

// SetClaimed records that the request won its claim.
func (r *Request) SetClaimed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = true
}

// Claimed reports whether the request won its claim, or took it over from a
// refused request with the same key.
func (r *Request) Claimed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// NotRun reports whether the request provably has not run.
func (r *Request) NotRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.mayHaveRun()
}

// StoredResponse returns the stored answer, or nil.
func (r *Request) StoredResponse() *StoredResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// dropAnswer frees the stored answer.
func (r *Request) dropAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = nil
}

// Info returns a consistent copy.
func (r *Request) Info() Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Info{
		ID: r.params.ID, State: r.state, Entry: r.params.Entry, Attempts: r.attempts,
		Outcome: r.outcome, NotRun: r.state == Refused, Bill: r.bill, Started: r.started,
	}
}
