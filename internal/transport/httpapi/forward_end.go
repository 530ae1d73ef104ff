package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// ended ends a request that no upstream answered well.
func (j *forwardJob) ended(x *exchange, err error) *APIError {
	j.cause = err
	switch {
	case j.committed:
		j.cut = true
		j.settle(x, outcomeUnknown)
		return errReplied
	case j.failure != nil:
		j.settle(x, outcomeComplete)
		j.write(x, j.failure)
		return errReplied
	case !j.ran && x.record.NotRun():
		return j.notRun(x, err)
	}
	j.settle(x, outcomeUnknown)
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return ran(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the time of the request ended; it may have run")
	}
	return ran(http.StatusBadGateway, CodeOutcomeUnknown, "the upstream's answer was lost; the request may have run")
}

// notRun maps the last error of a request that did not run.
func (j *forwardJob) notRun(x *exchange, err error) *APIError {
	var none *routing.NoUpstreamError
	after := refusedRetryAfter
	if errors.As(err, &none) {
		after = none.RetryAfter
	}
	return refuse(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
		"no upstream took the request").after(after)
}

// refusedRetryAfter is told when the upstreams that were asked are full.
const refusedRetryAfter = 300 * time.Millisecond

// settle bills what the request used: its prompt if it may have run, and the
// output that was delivered.
func (j *forwardJob) settle(x *exchange, outcome string) {
	bill := newBill(j.target(), nil, 0, outcome)
	if p := j.caller.Prompt; p != nil {
		bill.InputTokens = p.PromptTokens
		bill.OutputTokens = min(p.MaxOutputTokens, j.events*max(1, j.service.MaxTokensPerEvent))
		bill.Charged = min(x.bound, bill.InputTokens+bill.OutputTokens)
	}
	if outcome == outcomeUnknown {
		if x.record.MarkUnknown(string(CodeOutcomeUnknown)) == nil {
			obs.OutcomeUnknownTotal.Add(1)
			_ = x.record.Resolve(bill) // the state is Unknown
		}
	} else if err := x.record.Settle(x.record.Info().Attempts, bill); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
	}
	if x.reserved {
		x.reserved = false
		x.api.Budget.Settle(x.reservation, settlement(bill))
	}
}

// replyForward ends the request with an error of the router itself.
func (x *exchange) replyForward(j *forwardJob, e *APIError) {
	if e == nil || e == errReplied {
		return
	}
	if x.record != nil && e.NotRun {
		if err := x.record.Refuse(string(e.Code)); err == nil {
			x.release()
		} else {
			e = ran(http.StatusBadGateway, CodeOutcomeUnknown, "the request may have run")
		}
	}
	if e.NotRun && e.Status == http.StatusGatewayTimeout || e.Status == statusClientClosed {
		// Nothing was sent, and the caller may still come back.
		e.Status = http.StatusServiceUnavailable
	}
	x.span.RecordError(e)
	j.status, j.code = e.Status, e.Code
	if j.cause = errors.CombineErrors(j.cause, x.refusedBy); j.cause == nil {
		j.cause = e
	}
	header := x.w.Header()
	x.api.Forwarding.Headers.SetRefusal(header, x.id, time.Duration(e.RetryAfterMS)*time.Millisecond)
	header.Set("Content-Type", contentJSON)
	x.setWriteDeadline()
	if e.NotRun {
		obs.RefusalsTotal.Add(1)
	}
	x.w.WriteHeader(e.Status)
	_, _ = x.w.Write(errorJSON(e))
}
