// Package budget reserves tokens of prepaid budgets for this process's requests and settles them. A process
// reserves from its shares of the entries' budgets. Grants, spending reports and closes of shares are items of
// records in the platform's log. They take effect in the order of the log, so that all routers agree on every
// share.
//
// A Node makes the decisions and does no I/O. A Manager drives a Node with the log and the peer API. The
// daemon runs a Manager, package httpapi reserves and settles through it, and package sim drives Nodes in
// simulated fleets. Each router process runs one Node; as the owner of shares, a process is called a holder.
//
// The home of a partition is the router that the others ask to reserve for entries of which they get few
// requests or whose budget is scarce. It is selected by rendezvous hashing. A reservation that a holder makes
// for a request of another router is a loan: the holder is the lender, and the other router the requester,
// which also dispatches the request. The backup of a router keeps a replica of its reservations, with which it
// closes the router's shares after the router has terminated.
package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// ErrExhausted reports that the budget is proven to be spent or reserved.
var ErrExhausted = errors.New("budget exhausted")

// ErrBillingUnavailable reports that the bill buffer is full.
var ErrBillingUnavailable = errors.New("bill buffer is full")

// UnavailableError reports that the state of the budget could not be determined in time. The request was never
// sent.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "budget state unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ReserveRequest asks for the upper bound of the tokens of one request.
type ReserveRequest struct {
	RequestID string
	Entry     record.EntryKey
	Class     catalogue.Class
	// Amount is the upper bound in tokens, at least 1.
	Amount int64
	// Dispatcher is the process that sends the request if it is not the holder.
	Dispatcher record.HolderID
}

// Reservation is the budget reserved for one request. Its owner settles or releases it exactly once.
type Reservation struct {
	RequestID string
	Entry     record.EntryKey
	Holder    record.HolderID
	// Amount is in tokens.
	Amount int64
	// Dispatcher is the process that sends the request if it is not the holder.
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

// Balance is the unused part of an entry's budget, as far as this process knows.
type Balance struct {
	// Remaining is prepaid minus spent and reserved, in tokens.
	Remaining int64
}
