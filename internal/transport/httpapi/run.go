package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Outcomes of a bill.
const (
	outcomeComplete = "complete"
	outcomeUnknown  = "unknown"
)

func (a *API) runWhole(ctx context.Context, w http.ResponseWriter, x *exchange) {
	resp, err := a.Engines.Complete(ctx, x.call())
	if err != nil {
		a.failed(x, err).write(w)
		return
	}
	balance := a.settle(x, resp.Usage)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderBillTokens, strconv.FormatInt(charged(x, resp.Usage), 10))
	w.Header().Set(HeaderBudgetRemaining, strconv.FormatInt(balance.Remaining, 10))
	_ = json.NewEncoder(w).Encode(resp)
}

func (a *API) runStream(ctx context.Context, w http.ResponseWriter, x *exchange) {
	var usage *chat.Usage
	started := false
	controller := http.NewResponseController(w)
	err := a.Engines.Stream(ctx, x.call(), func(data []byte, chunk chat.Response) error {
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return errors.Wrap(err, "write to caller")
		}
		return controller.Flush()
	})
	if err != nil {
		e := a.failed(x, err)
		if !started {
			e.write(w)
			return
		}
		writeStreamError(w, e)
		return
	}
	balance := a.settle(x, usage)
	fmt.Fprintf(w, "event: bill\ndata: {\"request_id\":%q,\"tokens\":%d,\"remaining\":%d}\n\n",
		x.requestID, charged(x, usage), balance.Remaining)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeStreamError ends a stream whose answer cannot be completed.
func writeStreamError(w http.ResponseWriter, e APIError) {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
}

// failed ends the reservation of an attempt without an answer. The budget is
// released only when the request provably did not run; otherwise the upper
// bound is billed.
func (a *API) failed(x *exchange, err error) APIError {
	obs.UpstreamFailuresTotal.Add(1)
	if errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRefused) {
		a.Budget.Release(x.reservation)
		e := refuse(http.StatusServiceUnavailable, CodeUpstreamUnavailable, err.Error())
		e.RequestID = x.requestID
		return e
	}
	if errors.Is(err, upstream.ErrMismatch) {
		obs.MismatchedAnswersTotal.Add(1)
	}
	obs.OutcomeUnknownTotal.Add(1)
	a.Budget.Settle(x.reservation, budget.Settlement{
		Target: x.request.Model, InputTokens: x.request.InputBound(), OutputTokens: x.request.MaxTokens,
		Charged: x.bound(), Outcome: outcomeUnknown,
	})
	return APIError{
		Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, RequestID: x.requestID,
		Message: "the upstream's answer was lost; the request may have run",
	}
}

func (a *API) settle(x *exchange, usage *chat.Usage) budget.Balance {
	st := budget.Settlement{Target: x.request.Model, Charged: charged(x, usage), Outcome: outcomeComplete}
	if usage != nil {
		st.InputTokens, st.OutputTokens = usage.PromptTokens, usage.CompletionTokens
	}
	return a.Budget.Settle(x.reservation, st)
}

// charged returns what the request costs: the engine's count, at most the bound.
func charged(x *exchange, usage *chat.Usage) int64 {
	if usage == nil {
		return x.bound()
	}
	if usage.TotalTokens > x.bound() {
		obs.SettleAboveReserveTotal.Add(1)
	}
	return min(usage.TotalTokens, x.bound())
}
