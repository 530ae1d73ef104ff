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

// Outcomes of a bill.
const (
	outcomeComplete = "complete"
	outcomeCanceled = "canceled"
	outcomeDeadline = "deadline_exceeded"
	// outcomeFound is a request whose usage was learned later.
	outcomeFound = "found"
	// outcomeUnknown is a request that is billed at its upper bound.
	outcomeUnknown = "unknown"
)

// maxTries bounds the attempts of one request, so that a request does not visit
// every upstream of a large pool.
const maxTries = 8

// cancelTimeout bounds the time to stop a run at an engine.
const cancelTimeout = 5 * time.Second

// errReplaced is the cause of an attempt that gave no answer in time.
var errReplaced = errors.New("attempt gave no answer in time")

// run makes attempts until one is answered or no other may be made.
func (x *exchange) run() *APIError {
	x.api.Retry.RecordRequest()
	var last error
	for {
		attempt, err := x.api.Routing.Pick(x.pick)
		if err != nil {
			return x.failed(errors.CombineErrors(last, err))
		}
		last = x.try(attempt)
		if last == nil {
			return nil
		}
		if !x.mayRetry(last) {
			return x.failed(last)
		}
		obs.RetriesTotal.Add(1)
		x.pick.Exclude = append(x.pick.Exclude, attempt.Upstream().Name)
	}
}

// try makes one attempt.
func (x *exchange) try(attempt Attempt) error {
	target := attempt.Upstream()
	n, err := x.record.Dispatch()
	if err != nil {
		attempt.Done(routing.ResultRefused)
		return err
	}
	x.tries++
	call := upstream.Call{
		Address: target.Address, RequestID: x.id, Attempt: chat.AttemptID(n, string(x.api.Holder)),
		Priority: attempt.Priority(), Body: x.body,
	}
	x.calls = append(x.calls, call)
	ctx, span := obs.StartSpan(x.ctx, obs.SpanAttempt, x.id)
	err = x.job.send(ctx, x, call, n)
	obs.EndSpan(span, err)
	if provablyNotRun(err) {
		if x.record.AttemptNotRun(n) == nil {
			x.calls = x.calls[:len(x.calls)-1]
		}
	}
	if err != nil && x.ctx.Err() == nil {
		obs.UpstreamFailuresTotal.Add(1)
	}
	if x.moved {
		// The engine that was chosen did not come back.
		attempt.Done(routing.ResultCrashed)
	} else {
		attempt.Done(x.job.result(err))
	}
	return err
}

func provablyNotRun(err error) bool {
	return errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRefused)
}

// result tells the routing how an attempt ended. A caller that left and an
// answer that was delivered say nothing against the upstream.
func result(err error) routing.Result {
	var refused *upstream.RefusedError
	switch {
	case errors.Is(err, errReplaced):
		return routing.ResultFailed
	case err == nil:
		return routing.ResultOK
	case errors.IsAny(err, errCallerGone, context.Canceled):
		// Whether the run would have crashed its upstream is not known.
		return routing.ResultAbandoned
	case errors.As(err, &refused) && refused.Draining:
		return routing.ResultDraining
	case errors.Is(err, upstream.ErrRefused):
		return routing.ResultRefused
	case errors.IsAny(err, upstream.ErrNotSent, context.DeadlineExceeded, upstream.ErrMismatch):
		return routing.ResultFailed
	default:
		return routing.ResultCrashed
	}
}

// mayRetry decides whether another upstream gets the request after an error.
//
// After a failed connection nothing was sent, so a retry costs no upstream
// anything. Whatever reached an upstream is repeated only for an idempotent
// request and within the retry budget.
func (x *exchange) mayRetry(err error) bool {
	var refused *upstream.RefusedError
	switch {
	case x.ctx.Err() != nil, x.streaming, x.tries >= maxTries, errors.Is(err, errCallerGone):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return true
	case !x.idempotent, errors.As(err, &refused) && !refused.Temporary():
		return false
	default:
		return x.api.Retry.TryRetry()
	}
}

// failed ends a request without an answer. It is refused only when no attempt
// may have run.
func (x *exchange) failed(err error) *APIError {
	switch {
	case x.record.NotRun():
		return x.stopped(notRunError(err))
	case x.ctx.Err() != nil || errors.Is(err, errCallerGone):
		return x.canceled(err)
	default:
		return x.lost(err)
	}
}

// canceled stops the run of a request whose caller left or whose time ended, and
// bills what it used.
func (x *exchange) canceled(cause error) *APIError {
	obs.CanceledTotal.Add(1)
	if !x.job.cancelable() || len(x.calls) == 0 {
		return x.lost(cause)
	}
	usage, err := x.stop(x.calls[len(x.calls)-1])
	if err != nil || !usage.Final() {
		return x.lost(cause)
	}
	outcome, code := outcomeCanceled, CodeCanceled
	status := statusClientClosed
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		outcome, code, status = outcomeDeadline, CodeDeadlineExceeded, http.StatusGatewayTimeout
	}
	if _, err := x.settle(x.record.Info().Attempts, &usage.Usage, outcome); err != nil {
		return x.lost(err)
	}
	return ran(status, code, "the request was stopped and what it used is billed")
}

// stop ends a run at its engine. It works after the caller has left.
func (x *exchange) stop(call upstream.Call) (chat.StreamUsage, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
	defer cancel()
	return x.api.Engines.Cancel(ctx, call)
}

// lost records that the outcome is not known. The reservation stays until the
// resolver finds the usage or bills the upper bound.
func (x *exchange) lost(cause error) *APIError {
	x.span.RecordError(cause)
	if x.record.MarkUnknown(string(CodeOutcomeUnknown)) == nil && x.reserved {
		x.reserved = false
		obs.OutcomeUnknownTotal.Add(1)
		x.api.UnknownOutcomes.Add(Lost{
			Request: x.record, Reservation: x.reservation, Target: x.job.target(), Calls: x.calls,
			Bound: x.bound, Asks: x.job.cancelable(),
		})
	}
	e := ran(http.StatusBadGateway, CodeOutcomeUnknown,
		"the upstream's answer was lost; the request may have run; ask GET /v1/requests/"+x.id)
	e.RequestID = x.id
	return e
}

// settle ends the request with the answer of an attempt and bills it. It fails,
// and bills nothing, for the answer of a replaced attempt.
func (x *exchange) settle(attempt int, usage *chat.Usage, outcome string) (budget.Balance, error) {
	_, span := obs.StartSpan(x.ctx, obs.SpanSettle, x.id)
	defer span.End()
	bill := newBill(x.job.target(), usage, x.bound, outcome)
	if err := x.record.Settle(attempt, bill); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
		return budget.Balance{}, err
	}
	x.reserved = false
	if usage != nil && usage.HeldByOther(string(x.api.Holder)) {
		// The bill of this request id is written by the router that holds the run,
		// or by its backup.
		obs.AttachedRunsTotal.Add(1)
		x.api.Budget.Release(x.reservation)
		return x.api.balance(x.entry.Key), nil
	}
	return x.api.Budget.Settle(x.reservation, settlement(bill)), nil
}

// balance returns what is left of a budget, if the budget tells it.
func (a *API) balance(key record.EntryKey) budget.Balance {
	balances, ok := a.Budget.(interface {
		Balance(record.EntryKey) budget.Balance
	})
	if !ok {
		return budget.Balance{}
	}
	return balances.Balance(key)
}

// newBill charges the engine's count, at most the bound. Without a count the
// request costs its bound.
func newBill(target string, usage *chat.Usage, bound int64, outcome string) request.Bill {
	bill := request.Bill{Target: target, Charged: bound, Outcome: outcome}
	if usage == nil {
		return bill
	}
	if usage.TotalTokens > bound {
		obs.SettleAboveReserveTotal.Add(1)
	}
	bill.InputTokens, bill.OutputTokens = usage.PromptTokens, usage.CompletionTokens
	bill.Charged = max(0, min(usage.TotalTokens, bound))
	return bill
}

func settlement(b request.Bill) budget.Settlement {
	return budget.Settlement{
		Target: b.Target, InputTokens: b.InputTokens, OutputTokens: b.OutputTokens,
		Charged: b.Charged, Outcome: b.Outcome,
	}
}

// deliver settles a whole answer and writes it to the caller.
func (x *exchange) deliver(attempt int, usage *chat.Usage, answer request.StoredResponse) error {
	balance, err := x.settle(attempt, usage, outcomeComplete)
	if err != nil {
		return err
	}
	if len(answer.Body) <= x.api.Limits.MaxAnswerBytes {
		x.answer = &answer
	}
	header := x.w.Header()
	header.Set(chat.HeaderRequestID, x.id)
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set(HeaderBillTokens, strconv.FormatInt(x.record.Info().Bill.Charged, 10))
	header.Set(HeaderBudgetRemaining, strconv.FormatInt(balance.Remaining, 10))
	if x.httpReq.Method != http.MethodHead && answer.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	x.setWriteDeadline()
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
	return nil
}
