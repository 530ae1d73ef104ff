package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// Code is a stable name for a kind of error.
type Code string

// The error codes of the callers' API.
const (
	CodeBadRequest          Code = "bad_request"
	CodeUnauthorized        Code = "unauthorized"
	CodeNotAllowed          Code = "not_allowed"
	CodeTooLarge            Code = "request_too_large"
	CodeBudgetExhausted     Code = "budget_exhausted"
	CodeBudgetUnavailable   Code = "budget_unavailable"
	CodeBillingUnavailable  Code = "billing_unavailable"
	CodeUpstreamUnavailable Code = "upstream_unavailable"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeDraining            Code = "draining"
)

// APIError is the error body of the callers' API.
type APIError struct {
	Status    int    `json:"-"`
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	// NotRun is true only when the request provably did not run.
	NotRun       bool  `json:"not_run"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

type errorBody struct {
	Error APIError `json:"error"`
}

func (e APIError) write(w http.ResponseWriter) {
	if e.NotRun {
		obs.RefusalsTotal.Add(1)
	}
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: e})
}

func refuse(status int, code Code, message string) APIError {
	return APIError{Status: status, Code: code, Message: message, NotRun: true}
}

// budgetError maps a failed reservation to the answer for the caller.
func budgetError(err error, requestID string) APIError {
	var unavailable *budget.UnavailableError
	var e APIError
	switch {
	case errors.Is(err, budget.ErrExhausted):
		e = refuse(http.StatusPaymentRequired, CodeBudgetExhausted, "the prepaid budget does not cover the request")
	case errors.Is(err, budget.ErrBillingUnavailable):
		e = refuse(http.StatusServiceUnavailable, CodeBillingUnavailable, err.Error())
		e.RetryAfterMS = time.Second.Milliseconds()
	case errors.As(err, &unavailable):
		obs.FalseRefusalsTotal.Add(1)
		e = refuse(http.StatusServiceUnavailable, CodeBudgetUnavailable, err.Error())
		e.RetryAfterMS = unavailable.RetryAfter.Milliseconds()
	default:
		e = refuse(http.StatusServiceUnavailable, CodeBudgetUnavailable, err.Error())
	}
	e.RequestID = requestID
	return e
}
