// Package httpapi serves callers: chat completions and plain services, each
// request charged to the prepaid budget of one catalogue entry.
package httpapi

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Budget reserves and settles the callers' prepaid budgets.
type Budget interface {
	// Reserve takes the upper bound of a request before anything is sent.
	Reserve(ctx context.Context, req budget.ReserveRequest) (budget.Reservation, error)
	// Settle ends a reservation exactly once and bills it.
	Settle(res budget.Reservation, st budget.Settlement) budget.Balance
	// Release ends the reservation of a request that was not sent.
	Release(res budget.Reservation)
}

// Configuration returns the version in force.
type Configuration interface {
	Current() *catalogue.Snapshot
}

// Engines sends attempts to model engines.
type Engines interface {
	Complete(ctx context.Context, call upstream.Call) (chat.Response, error)
	Stream(ctx context.Context, call upstream.Call, emit func([]byte, chat.Response) error) error
}

// DefaultMaxBodyBytes bounds a request body.
const DefaultMaxBodyBytes = 8 << 20

// Headers of an answer.
const (
	HeaderBillTokens      = "X-Bill-Tokens"
	HeaderBudgetRemaining = "X-Budget-Remaining"
)

// API is the callers' HTTP API.
type API struct {
	Config  Configuration
	Budget  Budget
	Engines Engines
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int64
}

// Handler returns the handler chain.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", a.completions)
	return r
}

func (a *API) completions(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
	obs.RequestsTotal.Add(1)
	requestID := uuid.NewString()
	w.Header().Set(chat.HeaderRequestID, requestID)
	x, apiErr := a.prepare(w, httpReq, requestID)
	if apiErr != nil {
		apiErr.RequestID = requestID
		apiErr.write(w)
		return
	}
	res, err := a.Budget.Reserve(httpReq.Context(), budget.ReserveRequest{
		RequestID: requestID, Entry: x.entry.Key, Class: x.entry.Class, Amount: x.bound(),
	})
	if err != nil {
		budgetError(err, requestID).write(w)
		return
	}
	x.reservation = res
	if x.request.Stream {
		a.runStream(httpReq.Context(), w, x)
		return
	}
	a.runWhole(httpReq.Context(), w, x)
}

// exchange is one request on its way through the router.
type exchange struct {
	requestID   string
	entry       *catalogue.BoundEntry
	request     chat.Request
	body        []byte
	upstream    *catalogue.Upstream
	reservation budget.Reservation
}

// bound is the most that the request can cost, in tokens.
func (x *exchange) bound() int64 { return x.request.InputBound() + x.request.MaxTokens }

func (x *exchange) call() upstream.Call {
	return upstream.Call{Address: x.upstream.Address, RequestID: x.requestID, Attempt: 1, Body: x.body}
}

func (a *API) prepare(w http.ResponseWriter, httpReq *http.Request, requestID string) (*exchange, *APIError) {
	snapshot := a.Config.Current()
	secret, _ := strings.CutPrefix(httpReq.Header.Get("Authorization"), "Bearer ")
	entry := snapshot.EntryByCredential(secret)
	if entry == nil {
		e := refuse(http.StatusUnauthorized, CodeUnauthorized, "the credential names no catalogue entry")
		return nil, &e
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, httpReq.Body, a.MaxBodyBytes))
	if err != nil {
		e := refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, err.Error())
		return nil, &e
	}
	req, err := chat.Parse(body)
	if err != nil {
		e := refuse(http.StatusBadRequest, CodeBadRequest, err.Error())
		return nil, &e
	}
	if !slices.Contains(entry.Models, req.Model) {
		e := refuse(http.StatusForbidden, CodeNotAllowed, "the entry does not allow this model")
		return nil, &e
	}
	target := pickEngine(snapshot, req.Model)
	if target == nil {
		e := refuse(http.StatusServiceUnavailable, CodeUpstreamUnavailable, "no upstream serves this model")
		return nil, &e
	}
	return &exchange{requestID: requestID, entry: entry, request: req, body: body, upstream: target}, nil
}

func pickEngine(s *catalogue.Snapshot, model string) *catalogue.Upstream {
	for u := range s.Upstreams {
		if u.Kind == catalogue.KindEngine && slices.Contains(u.Models, model) {
			return u
		}
	}
	return nil
}
