// Package request implements the state machine of a caller's request and the table of this process's
// requests; the HTTP API drives both. The state decides what a caller may be told: "not run" only while no
// attempt may have run. A request is billed at most once.
package request

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// State is the state of a request.
type State uint8

// The states. Settled, Refused and Unknown are terminal, except that an unknown request becomes settled when
// its outcome is found.
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

// Terminal reports whether the response to the caller is decided.
func (s State) Terminal() bool { return s >= Settled }

// Errors of state transitions.
var (
	// ErrTransition reports a transition that the request's state does not allow.
	ErrTransition = errors.New("transition is not allowed")
	// ErrStaleAttempt reports a response to an attempt that was replaced by a later one or was recorded as
	// not run. It is also an ErrTransition.
	ErrStaleAttempt = errors.Wrap(ErrTransition, "response belongs to a replaced attempt")
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 32

// Bill is the charge for a request.
type Bill struct {
	Target       string `json:"target"`
	InputTokens  int64  `json:"input_tokens"`
	OutputTokens int64  `json:"output_tokens"`
	// Charged is in tokens.
	Charged int64  `json:"charged"`
	Outcome string `json:"outcome"`
}

// StoredResponse is a response that is stored for repeats of the request with the same idempotency key.
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
	// Outcome is the error code of a refused or unknown request, or the outcome on the bill.
	Outcome string `json:"outcome,omitempty"`
	// NotRun is true only for a refused request: it did not run and will not.
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
	notRun   uint64
	outcome  string
	bill     *Bill
	response *StoredResponse
	// isDone is true once done is closed.
	isDone bool
	// finished is true once the request is in the table's expiry queue.
	finished bool
	// claimed is set when a request that must not run twice has won its claim, that is the right to run.
	claimed bool
}

// ID returns the request ID.
func (r *Request) ID() string { return r.params.ID }

// Done returns a channel that is closed when the goroutine that serves the request has ended.
func (r *Request) Done() <-chan struct{} { return r.done }

// mayHaveRun reports whether an attempt was sent for which there is no proof that it did not run.
func (r *Request) mayHaveRun() bool {
	// sent has the bits 1 to r.attempts set.
	sent := uint64(1)<<(r.attempts+1) - 2
	return sent&^r.notRun != 0
}

func (r *Request) transitionError(action string) error {
	return errors.Mark(errors.Newf("request is %s, not allowed: %s", r.state, action), ErrTransition)
}

// Reserve records that the budget covers the request.
func (r *Request) Reserve() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received {
		return r.transitionError("reserve")
	}
	r.state = Reserved
	return nil
}

// Dispatch starts an attempt and returns its number, from 1. It must be called before the first byte is sent.
// The attempt replaces earlier ones, whose responses become stale.
func (r *Request) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (r.state != Reserved && r.state != Dispatched) || r.attempts == MaxAttempts {
		return 0, r.transitionError("dispatch")
	}
	r.state = Dispatched
	r.attempts++
	return r.attempts, nil
}

// AttemptNotRun records the proof that an attempt did not run: nothing was sent, or the upstream refused it.
// When this is proven for all attempts, the state returns to Reserved.
func (r *Request) AttemptNotRun(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	bit := uint64(1) << attempt
	if r.state != Dispatched || attempt < 1 || attempt > r.attempts || r.notRun&bit != 0 {
		return r.transitionError("attempt not run")
	}
	r.notRun |= bit
	if !r.mayHaveRun() {
		r.state = Reserved
	}
	return nil
}

// Stream records that the response of the current attempt is being sent to the caller. After that, no
// response of another attempt is accepted.
func (r *Request) Stream(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkResponse(attempt, "stream"); err != nil {
		return err
	}
	if r.state != Dispatched {
		return r.transitionError("stream")
	}
	r.state = Streaming
	return nil
}

// Settle ends the request with the bill for the current attempt.
func (r *Request) Settle(attempt int, bill Bill) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkResponse(attempt, "settle"); err != nil {
		return err
	}
	r.settle(bill)
	return nil
}

// SettleLastRun ends the request with the bill for the last attempt that may have run. Later attempts provably did not
// run, so that the response of that one is the request's.
func (r *Request) SettleLastRun(bill Bill) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched || !r.mayHaveRun() {
		return r.transitionError("settle")
	}
	r.settle(bill)
	return nil
}

func (r *Request) checkResponse(attempt int, action string) error {
	if r.state != Dispatched && r.state != Streaming {
		return r.transitionError(action)
	}
	if attempt != r.attempts || r.notRun&(1<<attempt) != 0 {
		return ErrStaleAttempt
	}
	return nil
}

func (r *Request) settle(bill Bill) {
	r.state, r.bill, r.outcome = Settled, &bill, bill.Outcome
	r.enqueueIfFinished()
}

// Refuse ends a request that did not run.
func (r *Request) Refuse(outcome string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Received && r.state != Reserved {
		return r.transitionError("refuse")
	}
	r.state, r.outcome = Refused, outcome
	r.enqueueIfFinished()
	return nil
}

// MarkUnknown records that the outcome of a request that was sent is not known. The error text calls this
// action "lose".
func (r *Request) MarkUnknown(outcome string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched && r.state != Streaming {
		return r.transitionError("lose")
	}
	r.state, r.outcome = Unknown, outcome
	return nil
}

// Resolve ends an unknown request with its bill.
func (r *Request) Resolve(bill Bill) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Unknown {
		return r.transitionError("resolve")
	}
	r.settle(bill)
	return nil
}

// MarkDone closes the channel of Done: the goroutine that serves the request has ended. This wakes the repeats
// that wait for the request. The response may be nil; it is stored if the request has an idempotency key.
func (r *Request) MarkDone(response *StoredResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone {
		return
	}
	r.isDone = true
	if r.params.Key != "" {
		r.response = response
	}
	close(r.done)
	r.enqueueIfFinished()
}

// enqueueIfFinished adds the request to the table's expiry queue when it is finished, that is, when nothing
// can change it any more. r.mu must be held; Table.mu must not be locked while it is held.
func (r *Request) enqueueIfFinished() {
	if r.isDone && !r.finished && (r.state == Settled || r.state == Refused) {
		r.finished = true
		r.table.finished(r, r.response)
	}
}

// SetClaimed records that the request won its claim.
func (r *Request) SetClaimed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = true
}

// Claimed reports whether the request won its claim, or inherited it from a refused request with the same
// key.
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

// NotRun reports whether the request provably has not run so far. It may still run, unlike with Info.NotRun.
func (r *Request) NotRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.mayHaveRun()
}

// StoredResponse returns the stored response, or nil.
func (r *Request) StoredResponse() *StoredResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.response
}

// dropResponse frees the stored response.
func (r *Request) dropResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.response = nil
}

// Info returns a consistent copy of the request.
func (r *Request) Info() Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Info{
		ID: r.params.ID, State: r.state, Entry: r.params.Entry, Attempts: r.attempts,
		Outcome: r.outcome, NotRun: r.state == Refused, Bill: r.bill, Started: r.started,
	}
}
