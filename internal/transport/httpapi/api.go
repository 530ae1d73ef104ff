// Package httpapi implements the HTTP API of the router. API serves the callers, in one of two ways: Handler
// serves chat completions and plain services under fixed paths, and ForwardHandler forwards requests to
// upstreams by host and path. Each request is charged to the prepaid budget of one catalogue entry.
// AdminHandler serves the operators. Package daemon creates the API and connects it to the other parts of the
// router; package platform implements HeaderCodec.
package httpapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/coordination/streamorigin"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Budget reserves tokens of the entries' prepaid budgets and settles the reservations.
type Budget interface {
	// Reserve reserves the maximum cost of a request. It is called before anything is sent to an upstream.
	Reserve(ctx context.Context, req budget.ReserveRequest) (budget.Reservation, error)
	// Settle bills a request and ends its reservation. A reservation is ended exactly once, by Settle or
	// by Release.
	Settle(res budget.Reservation, st budget.Settlement) budget.Balance
	// Release ends a reservation without a bill: the request did not run, or another router bills it.
	Release(res budget.Reservation)
}

// Configuration provides the active version of the catalogue.
type Configuration interface {
	Current() *catalogue.Snapshot
}

// Engines sends requests to model engines.
type Engines interface {
	Complete(ctx context.Context, call upstream.Call) (upstream.Completion, error)
	Stream(ctx context.Context, call upstream.Call, emit func(upstream.Event) error) error
	Resume(ctx context.Context, call upstream.Call, offset int, emit func(upstream.Event) error) error
	Cancel(ctx context.Context, call upstream.Call) (chat.RunUsage, error)
	Usage(ctx context.Context, call upstream.Call) (chat.RunUsage, error)
}

// Services sends requests to plain services.
type Services interface {
	Call(ctx context.Context, call upstream.ServiceCall) (upstream.ServiceResponse, error)
}

// Ticket is the admission of one request.
type Ticket interface {
	// Done ends the request and frees its capacity. It is called exactly once.
	Done()
}

// Admission limits and queues requests. Admit may block. It fails with an admission.RateLimitedError or an
// admission.OverloadedError.
type Admission interface {
	Admit(ctx context.Context, req admission.Request) (Ticket, error)
}

// Attempt is one attempt to run a request at the chosen upstream.
type Attempt interface {
	Upstream() *catalogue.Upstream
	// Priority is the priority passed to the engine; lower runs first.
	Priority() int
	// Done reports how the attempt ended. It is called exactly once.
	Done(result routing.Result)
}

// StreamOrigins knows which software version began each stream. Package streamorigin implements it.
type StreamOrigins interface {
	Begin(attemptID string, o streamorigin.Origin)
	End(attemptID string, broken bool)
	Resolve(
		ctx context.Context, attemptID, service string, isTarget func(service string) bool,
	) (streamorigin.Origin, streamorigin.Source, error)
}

// Routing selects upstreams. Pick fails with a routing.NoUpstreamError or a routing.QuarantinedError.
type Routing interface {
	Pick(req routing.Request) (Attempt, error)
}

// RetryBudget limits retries to a fraction of the requests.
type RetryBudget interface {
	// RecordRequest records a request, whose first attempt needs no budget.
	RecordRequest()
	// TryRetry takes one retry from the budget and reports whether there was one.
	TryRetry() bool
}

// Claimer decides which router runs a non-idempotent request, so that only one does.
type Claimer interface {
	// Claim records a claim and returns the winner, which is the first claim of the key in log order. After
	// an error nothing may be sent to an upstream. The error is a claim.ConflictError if the key was used
	// with another request content or generation of the entry.
	Claim(ctx context.Context, c record.Claim) (winner record.Claim, won bool, err error)
}

// PeerRequests looks up requests at the other routers.
type PeerRequests interface {
	FindRequest(ctx context.Context, id string, entry record.EntryKey) (request.Info, bool)
}

// Header names of the callers' API.
const (
	HeaderBillTokens      = "X-Bill-Tokens"
	HeaderBudgetRemaining = "X-Budget-Remaining"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderReplayed marks a stored response that is sent again for its idempotency key.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderTimeout is the caller's timeout for the request, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
)

// Limits are the timeouts and size limits of requests.
type Limits struct {
	// MaxBodyBytes bounds a request body, unless the configuration sets another bound.
	MaxBodyBytes int64
	// BodyTimeout bounds the time to read the request body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may read nothing of its response. On connections that do not come from package
	// netopt it bounds each write as a whole.
	WriteTimeout time.Duration
	// RequestTimeout is the timeout of a request. HeaderTimeout can only shorten it. For a forwarded request
	// it applies only if neither the route nor the caller sets a timeout.
	RequestTimeout time.Duration
	// AttemptTimeout is the time without a response after which an idempotent request is retried at
	// another upstream; 0 disables it, so that an attempt waits until the timeout of the request. It does
	// not apply to forwarded requests.
	AttemptTimeout time.Duration
	// ResumeTimeout bounds the time without a new event after which resuming a broken stream is abandoned.
	ResumeTimeout time.Duration
	// RepeatWait bounds how long a repeated request waits for the request in progress with the same key.
	RepeatWait time.Duration
	// UnknownBillDelay is the time after which a request with unknown outcome is billed at its maximum cost.
	UnknownBillDelay time.Duration
	// MaxOpenRequests bounds the number of requests in progress.
	MaxOpenRequests int64
	// MaxAnswerBytes bounds the body of each response that is stored for its idempotency key. Larger ones are
	// not stored. request.Config.MaxAnswerBytes bounds all stored bodies together.
	MaxAnswerBytes int
}

// API is the callers' HTTP API. Its fields must be set before Handler or ForwardHandler is called.
type API struct {
	Config    Configuration
	Budget    Budget
	Engines   Engines
	Services  Services
	Admission Admission
	Routing   Routing
	Retry     RetryBudget
	Claimer   Claimer
	// PeerRequests may be nil.
	PeerRequests PeerRequests
	// Quarantine may be nil.
	Quarantine Quarantine
	// Origins may be nil. Then streams go on at upstreams of any software version.
	Origins StreamOrigins
	// CheckConfigLease returns an error while the local configuration may be out of date. It may be nil.
	CheckConfigLease func() error
	// Forwarding is needed by ForwardHandler only.
	Forwarding      Forwarding
	Requests        *request.Table
	UnknownOutcomes *OutcomeResolver
	// Incoming limits the memory of the callers' requests. It may be nil.
	Incoming *membuf.Incoming
	Holder   record.HolderID
	Limits   Limits
	Logger   logrus.FieldLogger
	Now      func() time.Time

	openRequests atomic.Int64
	// attempts is the number of the last attempt of any request.
	attempts atomic.Int64
	// crashProbes are the probes in progress, by upstream.
	crashProbes singleflight.Group
	stop        requestStop
	// memoryEventAt is the time of the last event about used up memory, in nanoseconds since 1970.
	memoryEventAt atomic.Int64
}

// Handler returns the handler of chat completions, plain services and request lookups.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	// Paths and methods below a plain service are passed on unchanged, so no redirects and no automatic
	// replies.
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleMethodNotAllowed = false, false, false
	r.HandleOPTIONS = false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refusal(http.StatusNotFound, CodeNotFound, "no such path").write(w)
	})
	r.POST("/v1/chat/completions", func(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
		a.serve(w, httpReq, (*exchange).parseChat)
	})
	for _, method := range serviceMethods {
		r.Handle(method, "/v1/services/:service/*path", func(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
			a.serve(w, httpReq, (*exchange).parseService)
		})
	}
	r.GET("/v1/requests/:id", a.serveRequestInfo)
	return r
}

// WaitIdle blocks until no request is in progress or the context ends.
func (a *API) WaitIdle(ctx context.Context) {
	for a.InProgress() > 0 && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
}

// idlePollInterval is the time between two checks for requests in progress during a shutdown.
const idlePollInterval = 10 * time.Millisecond

// InProgress returns the number of requests in progress.
func (a *API) InProgress() int64 { return a.openRequests.Load() }
