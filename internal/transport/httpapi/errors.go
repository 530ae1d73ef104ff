package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/claim"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Code is the stable, machine-readable name of an error. docs/callers.md describes each.
type Code string

// The error codes of the callers' API.
const (
	CodeBadRequest               Code = "bad_request"
	CodeNotFound                 Code = "not_found"
	CodeUnauthorized             Code = "unauthorized"
	CodeNotAllowed               Code = "not_allowed"
	CodeTooLarge                 Code = "request_too_large"
	CodeRequestTimeout           Code = "request_timeout"
	CodeConfigurationUnavailable Code = "configuration_unavailable"
	CodeBudgetExhausted          Code = "budget_exhausted"
	CodeBudgetUnavailable        Code = "budget_unavailable"
	CodeBillingUnavailable       Code = "billing_unavailable"
	CodeRateLimited              Code = "rate_limited"
	CodeOverloaded               Code = "overloaded"
	CodeUpstreamUnavailable      Code = "upstream_unavailable"
	CodeUpstreamRejected         Code = "upstream_rejected"
	CodeStreamVersionUnknown     Code = "stream_version_unknown"
	CodeQuarantined              Code = "request_quarantined"
	CodeOutcomeUnknown           Code = "outcome_unknown"
	CodeDeadlineExceeded         Code = "deadline_exceeded"
	CodeCanceled                 Code = "canceled"
	CodeKeyRequired              Code = "idempotency_key_required"
	CodeKeyConflict              Code = "idempotency_conflict"
	CodeInProgress               Code = "request_in_progress"
	CodeAnswerNotKept            Code = "answer_not_kept"
	CodeClaimUnavailable         Code = "claim_unavailable"
	CodeClaimed                  Code = "request_claimed"
)

// errCallerWriteFailed marks a failed write to the caller, who disconnected or does not read the response.
var errCallerWriteFailed = errors.New("writing the response to the caller failed")

// statusClientClosedRequest is the non-standard status, introduced by nginx, of a request whose caller
// disconnected and so does not receive it. replyForwardError replaces it with 503.
const statusClientClosedRequest = 499

// defaultRetryAfter is sent to callers when no better estimate is known.
const defaultRetryAfter = time.Second

// APIError is an error response of the callers' API.
type APIError struct {
	Status    int    `json:"-"`
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	// NotRun is true only when the request provably did not run.
	NotRun       bool  `json:"not_run"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string { return string(e.Code) + ": " + e.Message }

type errorBody struct {
	Error *APIError `json:"error"`
}

func (e *APIError) write(w http.ResponseWriter) {
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

func (e *APIError) withRetryAfter(d time.Duration) *APIError {
	e.RetryAfterMS = max(1, d.Milliseconds())
	return e
}

// refusal returns an error response for a request that provably did not run.
func refusal(status int, code Code, message string) *APIError {
	return &APIError{Status: status, Code: code, Message: message, NotRun: true}
}

// failure returns an error response for a request that may have run.
func failure(status int, code Code, message string) *APIError {
	return &APIError{Status: status, Code: code, Message: message}
}

// budgetError maps the error of a failed reservation to the response for the caller.
func budgetError(err error) *APIError {
	var unavailable *budget.UnavailableError
	switch {
	case errors.Is(err, budget.ErrExhausted):
		return refusal(http.StatusPaymentRequired, CodeBudgetExhausted,
			"the prepaid budget does not cover the request")
	case errors.Is(err, budget.ErrBillingUnavailable):
		return refusal(http.StatusServiceUnavailable, CodeBillingUnavailable,
			"bills cannot be written now").withRetryAfter(defaultRetryAfter)
	case errors.As(err, &unavailable):
		return refusal(http.StatusServiceUnavailable, CodeBudgetUnavailable,
			"the state of the budget could not be learned in time").withRetryAfter(unavailable.RetryAfter)
	default:
		return refusal(http.StatusServiceUnavailable, CodeBudgetUnavailable,
			"the budget could not be reserved").withRetryAfter(defaultRetryAfter)
	}
}

func admissionError(err error) *APIError {
	var limited *admission.RateLimitedError
	var overloaded *admission.OverloadedError
	switch {
	case errors.As(err, &limited):
		return refusal(http.StatusTooManyRequests, CodeRateLimited,
			limited.Error()).withRetryAfter(limited.RetryAfter)
	case errors.As(err, &overloaded):
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			overloaded.Error()).withRetryAfter(overloaded.RetryAfter)
	default:
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			"the request was not admitted").withRetryAfter(defaultRetryAfter)
	}
}

func claimError(err error) *APIError {
	var conflict *claim.ConflictError
	var unavailable *claim.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return refusal(http.StatusUnprocessableEntity, CodeKeyConflict, request.ErrKeyConflict.Error())
	case errors.Is(err, claim.ErrInvalid):
		return refusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	case errors.As(err, &unavailable):
		return refusal(http.StatusServiceUnavailable, CodeClaimUnavailable,
			"the right to run the request could not be recorded").withRetryAfter(unavailable.RetryAfter)
	default:
		return refusal(http.StatusServiceUnavailable, CodeClaimUnavailable,
			"the right to run the request could not be recorded").withRetryAfter(defaultRetryAfter)
	}
}

// notRunError maps the last error of a request that provably did not run to the response for the caller.
func notRunError(err error) *APIError {
	var refused *upstream.RefusedError
	var quarantined *routing.QuarantinedError
	var none *routing.NoUpstreamError
	switch {
	case errors.As(err, &quarantined):
		return refusal(http.StatusUnprocessableEntity, CodeQuarantined,
			"this request crashed the upstreams that ran it and is stopped")
	case errors.As(err, &refused) && !refused.RetryableElsewhere():
		return refusal(http.StatusBadRequest, CodeUpstreamRejected, refused.Message)
	case errors.As(err, &none):
		return refusal(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
			"no upstream can take the request now").withRetryAfter(none.RetryAfter)
	default:
		return refusal(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
			"no upstream took the request").withRetryAfter(defaultRetryAfter)
	}
}
