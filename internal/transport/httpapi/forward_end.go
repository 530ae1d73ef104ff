package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
)

// finishFailed ends a request without a successful attempt.
func (op *forwardOp) finishFailed(x *exchange, err error) *APIError {
	op.cause = err
	switch {
	case op.isWholeAfter(err):
		op.settleWith(x, outcomeComplete, x.request.SettleLastRun)
		op.completeStream(x)
		return errReplied
	case op.committed:
		op.abortConnection = true
		op.settle(x, outcomeUnknown)
		return errReplied
	case op.errorResponse != nil:
		// Later attempts may have been refused, so the response need not be that of the last one.
		op.settleWith(x, outcomeComplete, x.request.SettleLastRun)
		op.writeBuffered(x, op.errorResponse)
		return errReplied
	case !op.mayHaveRun && x.request.NotRun():
		return x.contextErrorOr(op.notRunError(x, err))
	}
	op.settle(x, outcomeUnknown)
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return failure(http.StatusGatewayTimeout, CodeDeadlineExceeded,
			"the time of the request ended; it may have run")
	}
	return failure(http.StatusBadGateway, CodeOutcomeUnknown,
		"the upstream's answer was lost; the request may have run")
}

// notRunError maps the last error of a request that did not run to the response for the caller.
func (op *forwardOp) notRunError(x *exchange, err error) *APIError {
	var none *routing.NoUpstreamError
	retryAfter := upstreamsFullRetryAfter
	switch {
	case errors.As(err, &none):
		retryAfter = none.RetryAfter
	case errors.Is(err, errNoPath):
		retryAfter = noPathRetryAfter
	}
	return refusal(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
		"no upstream took the request").withRetryAfter(retryAfter)
}

// upstreamsFullRetryAfter is sent to the caller when the upstreams that were tried did not run the request,
// usually because they are full.
const upstreamsFullRetryAfter = 300 * time.Millisecond

// settle bills the tokens of the prompt and of the output that was delivered. It is called only for a request
// that may have run.
func (op *forwardOp) settle(x *exchange, outcome string) {
	op.settleWith(x, outcome, func(bill request.Bill) error {
		return x.request.Settle(x.request.Info().Attempts, bill)
	})
}

// settleWith is settle with the transition of a request whose outcome is known.
func (op *forwardOp) settleWith(x *exchange, outcome string, transition func(request.Bill) error) {
	bill := newBill(op.billTarget(), nil, 0, outcome)
	if p := op.caller.Prompt; p != nil {
		bill.InputTokens = p.PromptTokens
		bill.OutputTokens = min(p.MaxOutputTokens, op.events*max(1, op.service.MaxTokensPerEvent))
		bill.Charged = min(x.maxCost, bill.InputTokens+bill.OutputTokens)
		op.charged = bill.Charged
	}
	if op.passedOn {
		// The router that ran the request charges it.
		x.releaseReservation()
		bill.Charged, op.charged = 0, 0
	}
	if outcome == outcomeUnknown {
		if x.request.MarkUnknown(string(CodeOutcomeUnknown)) == nil {
			obs.OutcomeUnknownTotal.Add(1)
			_ = x.request.Resolve(bill) // the state is Unknown
		}
	} else if err := transition(bill); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
	}
	if x.reserved {
		x.reserved = false
		x.api.Budget.Settle(x.reservation, settlement(bill))
	}
}

// replyForwardError ends the request with an error response from the router itself.
func (x *exchange) replyForwardError(op *forwardOp, e *APIError) {
	if e == nil || e == errReplied {
		return
	}
	if x.request != nil && e.NotRun {
		if err := x.request.Refuse(string(e.Code)); err == nil {
			x.releaseReservation()
		} else {
			e = failure(http.StatusBadGateway, CodeOutcomeUnknown, "the request may have run")
		}
	}
	if e.NotRun && e.Status == http.StatusGatewayTimeout || e.Status == statusClientClosedRequest {
		// The request did not run, so the caller may retry.
		e.Status = http.StatusServiceUnavailable
	}
	x.span.RecordError(e)
	op.status, op.code = e.Status, e.Code
	if op.cause = errors.CombineErrors(op.cause, x.reserveErr); op.cause == nil {
		op.cause = e
	}
	x.setHopResult(x.hopResult(e))
	header := x.w.Header()
	x.api.Forwarding.Headers.SetRefusal(header, x.id, time.Duration(e.RetryAfterMS)*time.Millisecond)
	header.Set("Content-Type", contentTypeJSON)
	x.announceClose()
	x.setWriteDeadline()
	if e.NotRun {
		obs.RefusalsTotal.Add(1)
	}
	x.w.WriteHeader(e.Status)
	_, _ = x.w.Write(errorJSON(e))
}

// repliedAfterPanic responds to a forwarded request that panicked before a part of its response was written. It returns
// false if it cannot.
func (x *exchange) repliedAfterPanic() bool {
	op, ok := x.op.(*forwardOp)
	if !ok || op.status != 0 {
		return false
	}
	x.replyForwardError(op, failure(http.StatusBadGateway, CodeOutcomeUnknown, "the router failed; the request may have run"))
	op.logResult(x)
	return true
}
