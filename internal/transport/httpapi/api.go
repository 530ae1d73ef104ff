// Package httpapi serves callers: chat completions and plain services, each
// request charged to the prepaid budget of one catalogue entry.
package httpapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
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
	Complete(ctx context.Context, call upstream.Call) (upstream.Completion, error)
	Stream(ctx context.Context, call upstream.Call, emit func(upstream.Event) error) error
	Resume(ctx context.Context, call upstream.Call, offset int, emit func(upstream.Event) error) error
	Cancel(ctx context.Context, call upstream.Call) (chat.StreamUsage, error)
	Usage(ctx context.Context, call upstream.Call) (chat.StreamUsage, error)
}

// Services sends attempts to plain services.
type Services interface {
	Call(ctx context.Context, call upstream.ServiceCall) (upstream.ServiceResponse, error)
}

// Ticket is the admission of one request.
type Ticket interface {
	// Done ends the request. It is called exactly once.
	Done()
}

// Admission limits and orders the requests. Admit may wait. It fails with an
// admission.RateLimitedError or an admission.OverloadedError.
type Admission interface {
	Admit(ctx context.Context, req admission.Request) (Ticket, error)
}

// Attempt is the choice of an upstream for one attempt.
type Attempt interface {
	Upstream() *catalogue.Upstream
	// Priority is the engine's priority; lower runs first.
	Priority() int
	// Done reports how the attempt ended. It is called exactly once.
	Done(result routing.Result)
}

// Routing chooses upstreams. Pick fails with a routing.NoUpstreamError or a
// routing.QuarantinedError.
type Routing interface {
	Pick(req routing.Request) (Attempt, error)
}

// RetryBudget bounds the retries to a part of the traffic.
type RetryBudget interface {
	// RecordRequest records a first attempt.
	RecordRequest()
	// TryRetry reports whether one more attempt may be sent.
	TryRetry() bool
}

// Claims decides which router runs a non-idempotent request.
type Claims interface {
	// Claim returns the first claim of the key in log order. An error means that
	// nothing may be sent; it is a claim.ConflictError for a key that was used
	// with another body.
	Claim(ctx context.Context, c record.Claim) (winner record.Claim, won bool, err error)
}

// Remote finds requests of other routers.
type Remote interface {
	FindRequest(ctx context.Context, id string, entry record.EntryKey) (request.Info, bool)
}

// Headers of the callers' API.
const (
	HeaderBillTokens      = "X-Bill-Tokens"
	HeaderBudgetRemaining = "X-Budget-Remaining"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderReplayed marks an answer that was stored for the idempotency key.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderTimeout is the longest time for the request, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
)

// Limits bound what one caller can take of the router.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time for which a caller may not read its answer.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request that names no timeout, and those that do.
	RequestTimeout time.Duration
	// AttemptTimeout is the time without an answer after which an idempotent
	// request is tried on another upstream; 0 waits for RequestTimeout.
	AttemptTimeout time.Duration
	// ResumeTimeout bounds the time without progress of a broken stream.
	ResumeTimeout time.Duration
	// RepeatWait bounds the wait of a repeat for the request that runs.
	RepeatWait time.Duration
	// UnknownBillDelay is the time after which an unknown request is billed at
	// its upper bound.
	UnknownBillDelay time.Duration
	// MaxOpenRequests bounds the requests in progress.
	MaxOpenRequests int64
	// MaxAnswerBytes bounds an answer that is stored for its idempotency key.
	MaxAnswerBytes int
}

// API is the callers' HTTP API. Its fields are set before Handler is called.
type API struct {
	Config    Configuration
	Budget    Budget
	Engines   Engines
	Services  Services
	Admission Admission
	Routing   Routing
	Retry     RetryBudget
	Claimer   Claims
	// PeerRequests may be nil.
	PeerRequests Remote
	// CheckConfigLease fails while the configuration at hand may be out of date. It may be nil.
	CheckConfigLease func() error
	// Forwarding is set for a router that forwards requests by host and path.
	Forwarding      Forwarding
	Requests        *request.Table
	UnknownOutcomes *OutcomeResolver
	Holder          record.HolderID
	Limits          Limits
	Logger          logrus.FieldLogger
	Now             func() time.Time

	open atomic.Int64
}

// Handler returns the handler chain.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	// The path of a plain service is passed on as it is.
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleMethodNotAllowed = false, false, false
	r.HandleOPTIONS = false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(http.StatusNotFound, CodeNotFound, "no such path").write(w)
	})
	r.POST("/v1/chat/completions", func(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
		a.serve(w, httpReq, (*exchange).parseChat)
	})
	for _, method := range serviceMethods {
		r.Handle(method, "/v1/services/:service/*path", func(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
			a.serve(w, httpReq, (*exchange).parseService)
		})
	}
	r.GET("/v1/requests/:id", a.findRequest)
	return r
}

// WaitIdle returns when no request is in progress, or when the context ends.
func (a *API) WaitIdle(ctx context.Context) {
	for a.InProgress() > 0 && ctx.Err() == nil {
		time.Sleep(waitInterval)
	}
}

// waitInterval is the time between two looks at the open requests at a stop.
const waitInterval = 10 * time.Millisecond

// InProgress returns the number of requests in progress.
func (a *API) InProgress() int64 { return a.open.Load() }
