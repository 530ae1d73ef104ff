package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Outcomes that are written to bills.
const (
	outcomeComplete = "complete"
	outcomeCanceled = "canceled"
	outcomeDeadline = "deadline_exceeded"
	// outcomeFound is for a request whose outcome was unknown until an engine reported its usage.
	outcomeFound = "found"
	// outcomeUnknown is for a request that is billed without a reported usage: at its maximum cost or, if it
	// was forwarded, for its prompt and the delivered output.
	outcomeUnknown = "unknown"
)

// maxAttempts bounds the attempts of one request, so that a request is not tried at every upstream of a large
// pool.
const maxAttempts = 8

// cancelTimeout bounds a call to cancel a run at an engine.
const cancelTimeout = 5 * time.Second

// errAttemptTimeout reports an attempt without a response within the attempt timeout.
var errAttemptTimeout = errors.New("no response to the attempt in time")

// run makes attempts until one succeeds or no retry is allowed.
func (x *exchange) run() *APIError {
	x.api.Retry.RecordRequest()
	var lastErr error
	for {
		attempt, err := x.api.Routing.Pick(x.routingReq)
		if err != nil {
			return x.fail(errors.CombineErrors(lastErr, err))
		}
		x.attempt = attempt
		lastErr = x.runAttempt(attempt)
		if lastErr == nil {
			x.noteAnswer()
			return nil
		}
		x.noteFailedAttempt(lastErr)
		if !x.mayRetry(lastErr) {
			return x.fail(lastErr)
		}
		obs.RetriesTotal.Add(1)
		x.routingReq.Exclude = append(x.routingReq.Exclude, attempt.Upstream().Name)
	}
}

// noteFailedAttempt records a crash of the upstream if the error of the attempt in progress may be due to one.
func (x *exchange) noteFailedAttempt(err error) {
	if x.op.routingResult(err) != routing.ResultCrashed {
		return
	}
	target := x.attempt.Upstream()
	x.noteCrash(target.Name, probedLoss(func(ctx context.Context) bool { return upstream.RefusesConnections(ctx, target.Address) }))
}

// runAttempt makes one attempt and reports its result to the routing.
func (x *exchange) runAttempt(attempt Attempt) error {
	target := attempt.Upstream()
	n, err := x.request.Dispatch()
	if err != nil {
		attempt.Done(routing.ResultRefused)
		return err
	}
	x.attemptCount++
	x.progress = attemptProgress{sentAt: x.api.Now()}
	call := upstream.Call{
		Address: target.Address, RequestID: x.id, Attempt: chat.AttemptID(x.api.attempts.Add(1), string(x.api.Holder)),
		Priority: attempt.Priority(), Body: x.body,
	}
	if reporter, ok := attempt.(NoticeReporter); ok {
		call.OnNotice = func(n upstream.Notice) { x.reportNotice(reporter, n) }
	}
	// Calls that may have run are asked about later, for which the body is not needed.
	x.calls = append(x.calls, call.WithoutBody())
	ctx, span := obs.StartSpan(x.ctx, obs.SpanAttempt, x.id)
	err = x.op.send(ctx, x, call, n)
	obs.EndSpan(span, err)
	if provablyNotRun(err) {
		if x.request.AttemptNotRun(n) == nil {
			x.calls = x.calls[:len(x.calls)-1]
		}
	}
	if err != nil && x.ctx.Err() == nil && !errors.Is(err, errUnmarkedEnd) {
		obs.UpstreamFailuresTotal.Add(1)
	}
	switch {
	case x.failedOver:
		// Another engine continued the stream, so the chosen one counts as crashed.
		attempt.Done(routing.ResultCrashed)
	case errors.Is(err, errUnmarkedEnd):
		// The result depends on what another upstream has of the stream.
	case err != nil && x.stopped():
		attempt.Done(routing.ResultAbandoned)
	default:
		attempt.Done(x.op.routingResult(err))
	}
	return err
}

func provablyNotRun(err error) bool {
	return errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRefused)
}

// routingResult maps the error of an attempt to the result that is reported to the routing. The disconnection
// of a caller does not count as a failure of the upstream.
func routingResult(err error) routing.Result {
	var refused *upstream.RefusedError
	switch {
	case errors.Is(err, errAttemptTimeout):
		return routing.ResultFailed
	case err == nil:
		return routing.ResultOK
	case errors.IsAny(err, errCallerWriteFailed, context.Canceled):
		// It is unknown whether the run would have crashed the upstream.
		return routing.ResultAbandoned
	case errors.As(err, &refused) && refused.Draining:
		return routing.ResultDraining
	case errors.Is(err, upstream.ErrRefused):
		return routing.ResultRefused
	case errors.IsAny(err, upstream.ErrNotSent, context.DeadlineExceeded, upstream.ErrMismatch, upstream.ErrUnmarked):
		// A response without a marked end does not show that the upstream was lost.
		return routing.ResultFailed
	default:
		return routing.ResultCrashed
	}
}

// mayRetry decides whether the request is sent to another upstream after an error.
//
// If no connection was made, nothing was sent, so a retry adds no load to any upstream and needs no retry
// budget. An attempt that reached an upstream is retried only if the request is idempotent and within the retry
// budget, and not if the upstream refused it for a reason that applies to every upstream.
func (x *exchange) mayRetry(err error) bool {
	var refused *upstream.RefusedError
	switch {
	case x.ctx.Err() != nil, x.streaming, x.attemptCount >= maxAttempts, errors.Is(err, errCallerWriteFailed):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return true
	case !x.idempotent, !provablyNotRun(err) && x.suspected(), errors.As(err, &refused) && !refused.RetryableElsewhere():
		return false
	default:
		return x.api.Retry.TryRetry()
	}
}

// fail ends a request without a response. The request is refused only if no attempt may have run.
func (x *exchange) fail(err error) *APIError {
	switch {
	case x.request.NotRun():
		return x.contextErrorOr(notRunError(err))
	case x.ctx.Err() != nil || errors.Is(err, errCallerWriteFailed):
		return x.cancelRun(err)
	default:
		return x.markUnknown(err)
	}
}

// cancelRun cancels the run of a request whose caller disconnected or whose deadline passed, and bills what it
// used.
func (x *exchange) cancelRun(cause error) *APIError {
	obs.CanceledTotal.Add(1)
	if !x.op.cancelable() || len(x.calls) == 0 {
		return x.markUnknown(cause)
	}
	usage, err := x.stopRun(x.calls[len(x.calls)-1])
	if err != nil || !usage.Final() {
		return x.markUnknown(cause)
	}
	outcome, code := outcomeCanceled, CodeCanceled
	status := statusClientClosedRequest
	if x.stopped() {
		status = http.StatusBadGateway
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		outcome, code, status = outcomeDeadline, CodeDeadlineExceeded, http.StatusGatewayTimeout
	}
	if _, err := x.settle(x.request.Info().Attempts, &usage.Usage, outcome); err != nil {
		return x.markUnknown(err)
	}
	return failure(status, code, "the request was stopped and what it used is billed")
}

// stopRun cancels a run at its engine. It works after the context of the request has ended.
func (x *exchange) stopRun(call upstream.Call) (chat.RunUsage, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
	defer cancel()
	return x.api.Engines.Cancel(ctx, call)
}

// markUnknown records that the outcome is unknown. The reservation is kept until the OutcomeResolver learns the
// usage or bills the maximum cost.
func (x *exchange) markUnknown(cause error) *APIError {
	x.span.RecordError(cause)
	if x.request.MarkUnknown(string(CodeOutcomeUnknown)) == nil && x.reserved {
		x.reserved = false
		obs.OutcomeUnknownTotal.Add(1)
		x.api.UnknownOutcomes.Add(UnknownRequest{
			Request: x.request, Reservation: x.reservation, Target: x.op.billTarget(), Calls: x.calls,
			MaxCost: x.maxCost, ReportsUsage: x.op.cancelable(),
		})
	}
	e := failure(http.StatusBadGateway, CodeOutcomeUnknown,
		"the upstream's answer was lost; the request may have run; ask GET /v1/requests/"+x.id)
	e.RequestID = x.id
	return e
}

// settle ends the request with the response of an attempt and bills it. It fails, and bills nothing, if a later
// attempt has replaced this one.
func (x *exchange) settle(attemptNumber int, usage *chat.Usage, outcome string) (budget.Balance, error) {
	_, span := obs.StartSpan(x.ctx, obs.SpanSettle, x.id)
	defer span.End()
	bill := newBill(x.op.billTarget(), usage, x.maxCost, outcome)
	if err := x.request.Settle(attemptNumber, bill); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
		return budget.Balance{}, err
	}
	x.reserved = false
	if usage != nil && usage.HeldByOther(string(x.api.Holder)) {
		// The bill for this request ID is written by the router whose attempt holds the run, or by the router that
		// replicates its reservations.
		obs.AttachedRunsTotal.Add(1)
		x.api.Budget.Release(x.reservation)
		return x.api.balance(x.entry.Key), nil
	}
	return x.api.Budget.Settle(x.reservation, settlement(bill)), nil
}

// balance returns the remaining budget of an entry, or the zero value if a.Budget does not provide it.
func (a *API) balance(key record.EntryKey) budget.Balance {
	provider, ok := a.Budget.(interface {
		Balance(record.EntryKey) budget.Balance
	})
	if !ok {
		return budget.Balance{}
	}
	return provider.Balance(key)
}

// newBill returns a bill for the usage that the engine counted, but at most for the maximum cost. Without a
// usage it charges the maximum cost.
func newBill(target string, usage *chat.Usage, maxCost int64, outcome string) request.Bill {
	bill := request.Bill{Target: target, Charged: maxCost, Outcome: outcome}
	if usage == nil {
		return bill
	}
	if usage.TotalTokens > maxCost {
		obs.SettleAboveReserveTotal.Add(1)
	}
	bill.InputTokens, bill.OutputTokens = usage.PromptTokens, usage.CompletionTokens
	bill.Charged = max(0, min(usage.TotalTokens, maxCost))
	return bill
}

func settlement(bill request.Bill) budget.Settlement {
	return budget.Settlement{
		Target: bill.Target, InputTokens: bill.InputTokens, OutputTokens: bill.OutputTokens,
		Charged: bill.Charged, Outcome: bill.Outcome,
	}
}

// deliver settles a complete response and writes it to the caller.
func (x *exchange) deliver(attemptNumber int, usage *chat.Usage, response request.StoredResponse) error {
	balance, err := x.settle(attemptNumber, usage, outcomeComplete)
	if err != nil {
		return err
	}
	if len(response.Body) <= x.api.Limits.MaxAnswerBytes {
		x.response = &response
	}
	header := x.w.Header()
	header.Set(chat.HeaderRequestID, x.id)
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	header.Set(HeaderBillTokens, strconv.FormatInt(x.request.Info().Bill.Charged, 10))
	header.Set(HeaderBudgetRemaining, strconv.FormatInt(balance.Remaining, 10))
	if x.httpReq.Method != http.MethodHead && response.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	x.setWriteDeadline()
	x.w.WriteHeader(response.Status)
	_, _ = x.w.Write(response.Body)
	return nil
}
