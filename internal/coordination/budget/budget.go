// Package budget decides what this process may spend. It holds shares of
// entries' budgets, granted by the order of the log, and reserves from them.
package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// ErrExhausted reports a budget that is proven to be spent or reserved.
var ErrExhausted = errors.New("budget exhausted")

// ErrBillingUnavailable reports that the bill buffer is full.
var ErrBillingUnavailable = errors.New("bill buffer is full")

// UnavailableError reports that the state of the budget could not be learned
// in time. The request did not run.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "budget state unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ReserveRequest asks for the upper bound of one request.
type ReserveRequest struct {
	RequestID string
	Entry     record.EntryKey
	Class     catalogue.Class
	// Amount is the upper bound in tokens, at least 1.
	Amount int64
	// Dispatcher is the process that sends the request when it is not the holder.
	Dispatcher record.HolderID
}

// Reservation is budget taken for one request. Its owner settles or releases
// it exactly once.
type Reservation struct {
	RequestID string
	Entry     record.EntryKey
	Holder    record.HolderID
	// Amount is in tokens.
	Amount int64
	// Dispatcher is the process that sends the request when it is not the holder.
	Dispatcher record.HolderID
}

// Settlement is what a request used.
type Settlement struct {
	// Target is the model or the service that ran the request.
	Target       string
	InputTokens  int64
	OutputTokens int64
	// Charged is in tokens, at most the reserved amount.
	Charged int64
	Outcome string
}

// Balance is what is left of an entry's budget, as far as this process knows.
type Balance struct {
	// Remaining is prepaid minus spent and reserved, in tokens.
	Remaining int64
}
