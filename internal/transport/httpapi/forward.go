package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/hop"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Forwarder sends requests to upstreams.
type Forwarder interface {
	Send(ctx context.Context, t relay.Target, req relay.Request) (*relay.Response, error)
	// RefusesConnections reports whether the process at an address has ended: its host refuses connections.
	RefusesConnections(ctx context.Context, t relay.Target) bool
	// Lives reports whether the process at an address serves: it keeps connections open, or accepts them.
	Lives(ctx context.Context, t relay.Target) bool
}

// LoadReporter is an Attempt that accepts reports about its upstream. Not every Attempt implements it.
type LoadReporter interface {
	// Load reports the load that the upstream states in its response.
	// workPercent is how long work takes at present, in percent of the usual time; 0 means not stated.
	Load(running, waiting, slots, workPercent int)
	// Started reports the first event of a stream.
	Started()
}

// TimeReporter is an Attempt that measures the times of its upstream. Not every Attempt implements it.
type TimeReporter interface {
	// Event reports each event of a stream, and Complete the end of a whole response.
	Event()
	Complete()
}

// reportEvent and reportComplete tell the attempt in progress what has arrived.
func (x *exchange) reportEvent() {
	if reporter, ok := x.attempt.(TimeReporter); ok {
		reporter.Event()
	}
}

func (x *exchange) reportComplete() {
	if reporter, ok := x.attempt.(TimeReporter); ok {
		reporter.Complete()
	}
}

// NoticeReporter is an Attempt that accepts what its upstream says about itself in a response. Not every Attempt
// implements it.
type NoticeReporter interface {
	// RequestLimit reports the limit in requests per second, or 0 if the response names none. ran is false if the
	// upstream did not run the request.
	RequestLimit(perSecond float64, ran bool)
	// RejectionLimit reports the number of rejections in a second that the upstream bears, or nil if the response names
	// none. RejectionLimitMalformed reports one that is no sound number.
	RejectionLimit(limit *float64, ran bool)
	RejectionLimitMalformed(text string)
	// Rejected reports that the upstream turned the request away for want of room.
	Rejected()
	// Leaving reports that the process of the upstream leaves.
	Leaving()
	// Pause reports how long the upstream wants no requests from this router.
	Pause(time.Duration)
}

// reportNotice passes on what an upstream says about itself.
func (x *exchange) reportNotice(reporter NoticeReporter, n upstream.Notice) {
	reporter.RequestLimit(n.RequestLimit, n.Ran)
	if n.RejectionLimitErr != nil {
		reporter.RejectionLimitMalformed(n.RejectionLimitErr.Error())
	} else {
		reporter.RejectionLimit(n.RejectionLimit, n.Ran)
	}
	if n.Rejected {
		reporter.Rejected()
	}
	if n.Leaving {
		reporter.Leaving()
		if instance := x.attempt.Upstream().Instance; x.hop != nil && instance != "" {
			x.w.Header().Add(hop.HeaderLeaving, instance)
		}
	}
	if n.PauseErr != nil {
		obs.PausesMalformedTotal.Add(1)
		obs.EventPauseMalformed.Log(x.api.Logger, logrus.Fields{"request_id": x.id, "text": n.PauseErr.Error()})
	}
	reporter.Pause(n.Pause)
}

// Forwarding holds the dependencies of ForwardHandler that the other fields of API do not cover.
type Forwarding struct {
	Forwarder Forwarder
	Headers   HeaderCodec
	// Buffers limits the memory for responses in progress. It may be nil.
	Buffers *membuf.Limiter
	// Retry returns the retry budget of a service.
	Retry func(service string) RetryBudget
	// Routers returns the number of live routers, among which the connections to an upstream are divided.
	Routers func() int
	// ConfigStale reports whether a newer configuration may be active elsewhere.
	ConfigStale func() bool
	// ConfigAge returns how long ago the configuration was known to be the newest one. It is only logged.
	ConfigAge func() time.Duration
	// Closing reports whether the process is shutting down and sends no new requests.
	Closing func() bool
	// ShouldShed reports whether load shedding refuses a request of the given priority.
	ShouldShed func(priority int) bool
	// LinkFull reports whether the network link cannot carry a request of the given priority and length of the body, which is
	// negative if it is unknown. It may be nil.
	LinkFull func(priority int, body int64) bool
	// Busy reports whether callers should reconnect, to reach another router.
	Busy func() bool
	// Reach is told what upstreams send. It may be nil.
	Reach *reach.Monitor
	// EndedApart returns the addresses of the upstreams of a service that are known not to have ended together with an upstream
	// that lost a connection at a time. It may be nil.
	EndedApart func(service, upstream string, at time.Time) map[string]struct{}
	// ReachedByOthers reports whether another router reaches the upstream with a name. It may be nil.
	ReachedByOthers func(ctx context.Context, upstream string) bool
	// NoteLeaving records that an upstream has said to another router that it leaves. It may be nil.
	NoteLeaving func(service, instance string)
	// Hops is nil if requests are not passed on to other routers.
	Hops *Hops
}

// forwardSteps process a forwarded request in order. Each step may end the request with an error.
var forwardSteps = [...]func(*exchange) *APIError{
	(*exchange).registerForward, (*exchange).passOnUnreachable, (*exchange).resolveOrigin,
	(*exchange).checkBarred, (*exchange).admit, (*exchange).reserve, (*exchange).runForward,
}

// ForwardHandler returns the handler that forwards requests by host and path.
func (a *API) ForwardHandler() http.Handler { return http.HandlerFunc(a.serveForward) }

func (a *API) serveForward(w http.ResponseWriter, httpReq *http.Request) {
	if a.forward(w, httpReq) {
		// Closes the connection, so that a truncated response does not look complete.
		if httpReq.ProtoMajor == 1 && httpReq.ProtoMinor == 0 {
			resetCallerConn(httpReq.Context())
		}
		panic(http.ErrAbortHandler)
	}
}

// forward serves one request and reports whether its connection must be aborted.
func (a *API) forward(w http.ResponseWriter, httpReq *http.Request) (abort bool) {
	obs.RequestsTotal.Add(1)
	x := &exchange{
		api: a, w: w, control: http.NewResponseController(w), httpReq: httpReq, startedAt: a.Now(), hop: hopOf(httpReq.Context()),
	}
	x.setHopResult(hop.ResultAnswer)
	ctx, release := a.requestContext(httpReq)
	defer release()
	x.ctx, x.span = obs.StartSpan(obs.ExtractTrace(ctx, httpReq.Header), obs.SpanRequest, x.id)
	defer x.finish()
	op := &forwardOp{}
	defer op.keepErrorResponse(nil)
	defer op.endUnconfirmed(routing.ResultAbandoned)
	defer op.endOrigin(x)
	x.op = op
	e := x.beginForward(op)
	for i := 0; e == nil && i < len(forwardSteps); i++ {
		e = forwardSteps[i](x)
	}
	x.replyForwardError(op, e)
	op.logResult(x)
	return op.abortConnection
}

// maxCallerIDBytes bounds the ID of a forwarded request, which the table of requests keeps after its end. Without a bound, 1,000
// finished requests could hold 60 MB.
const maxCallerIDBytes = 4 << 10

// beginForward does the checks that need only the request itself, before any budget is reserved or capacity is
// used.
func (x *exchange) beginForward(op *forwardOp) *APIError {
	open := x.api.openRequests.Add(1)
	obs.RequestsOpen.Add(1)
	caller, err := x.api.Forwarding.Headers.ParseCaller(x.httpReq.Header)
	x.id, op.caller = caller.ID, caller
	x.snapshot = x.api.Config.Current()
	if age := x.api.Forwarding.ConfigAge; age != nil {
		op.configAge = age()
	}
	switch {
	case err != nil:
		return refusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	case len(caller.ID) > maxCallerIDBytes:
		return refusal(http.StatusBadRequest, CodeBadRequest, "the ID of the request is too long")
	case open > x.api.Limits.MaxOpenRequests:
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			"too many open requests").withRetryAfter(defaultRetryAfter)
	case x.api.Forwarding.Closing():
		return stoppingRefusal()
	case x.snapshot == nil || x.snapshot.Version == 0:
		return refusal(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router does not know the configuration yet").withRetryAfter(defaultRetryAfter)
	}
	if e := x.findRoute(op); e != nil {
		return e
	}
	x.priority = clampPriority(op.route.Priority)
	if x.entry.Priority != nil {
		x.priority = clampPriority(*x.entry.Priority)
	}
	if x.hop == nil && x.api.Forwarding.Busy() {
		// When the caller reconnects, it may reach another router.
		x.w.Header().Set("Connection", "close")
	}
	if x.api.Forwarding.ShouldShed(x.priority) {
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			"the router is too busy").withRetryAfter(otherRouterRetryAfter)
	}
	if full := x.api.Forwarding.LinkFull; full != nil && full(x.priority, x.httpReq.ContentLength) {
		obs.LinkRefusalsTotal.Add(1)
		if x.hop == nil {
			x.w.Header().Set("Connection", "close")
		}
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			"the router's network link is full").withRetryAfter(otherRouterRetryAfter)
	}
	timeout := op.route.Timeout
	if caller.Timeout > 0 && (timeout <= 0 || caller.Timeout < timeout) {
		timeout = caller.Timeout
	}
	if timeout <= 0 {
		timeout = x.api.Limits.RequestTimeout
	}
	x.ctx, x.cancel = context.WithTimeout(x.ctx, timeout)
	if e := x.readBody(); e != nil {
		return e
	}
	op.prepare(x)
	return x.checkQuarantine()
}

// otherRouterRetryAfter is sent by a router that shuts down or sheds load. It is short, because the retry may
// reach another router.
const otherRouterRetryAfter = 50 * time.Millisecond

// findRoute finds the route and the entry of the request in the local configuration.
func (x *exchange) findRoute(op *forwardOp) *APIError {
	path := x.httpReq.URL.EscapedPath()
	op.route = x.snapshot.Route(x.httpReq.Host, path)
	if op.route == nil {
		return x.notInConfig(refusal(http.StatusNotFound, CodeNotFound, "no route has this host and path"))
	}
	x.entry = &catalogue.BoundEntry{}
	if !x.snapshot.NeedsCredential(op.route) {
		return nil
	}
	entry := x.snapshot.EntryByCredential(op.caller.Secret)
	if entry == nil {
		return x.notInConfig(refusal(http.StatusUnauthorized, CodeUnauthorized, "the key names no entry"))
	}
	x.entry = entry
	return nil
}

// notInConfig returns the error for a route or credential that the local configuration does not have. If a
// newer configuration may be active, that one may have it, so the error then asks the caller to retry.
func (x *exchange) notInConfig(e *APIError) *APIError {
	if x.api.Forwarding.ConfigStale() {
		return refusal(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router cannot learn whether a newer configuration allows the request",
		).withRetryAfter(defaultRetryAfter)
	}
	return e
}

// forwardOp is a request that is forwarded to an upstream with its method, URI and body unchanged.
type forwardOp struct {
	route   *catalogue.Route
	service *catalogue.Service
	caller  CallerInfo
	// configAge is Forwarding.ConfigAge at the arrival of the request.
	configAge time.Duration
	// mayHaveRunCount counts the failed attempts that may have run, refusals those that the upstream refused,
	// and unsent those that did not reach an upstream.
	mayHaveRunCount int
	refusals        int
	unsent          int
	// unconnected counts those of the unsent ones for which no connection could be opened.
	unconnected int
	// passedOn is true while another router serves the request, and counted once this one has counted it towards its retry
	// budget.
	passedOn, counted bool
	// errorResponse is the last server error of an upstream. The caller gets it if no attempt succeeds.
	errorResponse *bufferedResponse
	// committed is true once status and headers of a stream are decided: just before its first event is
	// written to the caller, or at the end of a stream without events. From then on events are written as
	// they arrive, and the response cannot be replaced by an error.
	committed bool
	// contentType is that of the response that began the stream.
	contentType string
	events      int64
	lastEventID string
	// origin is what is known of where the stream began.
	origin originState
	// order checks the numbers of the stream's events, and outOfOrder counts those that did not follow.
	order      eventOrder
	outOfOrder int
	// unflushed is true while events may be in the buffer of the caller's connection.
	unflushed bool
	// unmarkedEnd is true if the last end of the stream was that of a connection, and unprovenEnd if its upstream may have ended
	// too.
	unmarkedEnd, unprovenEnd bool
	// unconfirmed is nil unless another upstream is asked for the rest of a stream that has ended without a mark.
	unconfirmed *unconfirmedEnd
	// abortConnection is true when the caller's connection must be closed, because the stream is incomplete.
	abortConnection bool
	// mayHaveRun is true when an upstream may have started the request.
	mayHaveRun bool
	// charged is the number of tokens that the request was charged.
	charged     int64
	status      int
	code        Code
	cause       error
	upstream    string
	firstByteAt time.Time
}

// bufferedResponse is a complete response that was read but not yet written to the caller.
type bufferedResponse struct {
	status int
	header http.Header
	body   *membuf.Buffer
	// framed is relay.Response.Framed.
	framed bool
}

func (op *forwardOp) billTarget() string { return op.route.Name }

// cancelable returns false: closing the connection stops the run at the upstream, and the usage follows from
// what was delivered.
func (op *forwardOp) cancelable() bool { return false }

// prepare picks one of the route's services, at random by weight, and sets the fields of the exchange that the
// following steps need.
func (op *forwardOp) prepare(x *exchange) {
	op.order = eventOrderAfter(op.caller.LastEventID, op.route.Resumable)
	x.idempotent = op.route.Idempotent || op.route.Stream && op.route.Resumable
	x.target = op.route.TargetLatency
	x.routingReq = routing.Request{Class: classForPriority(x.priority), Regions: op.regions(x)}
	op.useService(x, op.route.Pick(rand.Float64()))
	x.entryWithClass = *x.entry
	x.entryWithClass.Class = x.routingReq.Class
	x.entry = &x.entryWithClass
	if p := op.caller.Prompt; p != nil {
		x.routingReq.PrefixHashes, x.routingReq.SharedBlocks = routing.PartHashes(p.Parts)
		x.maxCost = p.PromptTokens + p.MaxOutputTokens
	}
	x.subjects = requestSubjects(op.caller.Prompt, x.requestHash[:])
}

// regions returns the regions that the request is restricted to. A caller of a public route may name an entry too.
func (op *forwardOp) regions(x *exchange) catalogue.RegionLists {
	entry := x.entry
	if op.route.Public && op.caller.Secret != "" {
		if named := x.snapshot.EntryByCredential(op.caller.Secret); named != nil {
			entry = named
		}
	}
	return catalogue.RestrictRegions(op.route, &entry.Entry)
}

// useService sets the service that the request goes to.
func (op *forwardOp) useService(x *exchange, name string) {
	if op.service = x.snapshot.Service(name); op.service == nil {
		op.service = &catalogue.Service{Name: name}
	}
	x.routingReq.Model, x.routingReq.Service = "", ""
	if op.service.Engine {
		x.routingReq.Model = name
	} else {
		x.routingReq.Service = name
	}
}

// classForPriority maps a priority to an admission class. The class service has levels for the priorities from 1 on.
func classForPriority(priority int) catalogue.Class {
	switch priority {
	case 0:
		return catalogue.ClassInteractive
	default:
		return catalogue.ClassService
	}
}

// registerForward adds the request to the table of requests. Its ID comes from the caller, who uses a new ID
// for each of its own attempts.
func (x *exchange) registerForward() *APIError {
	r, _, err := x.api.Requests.Begin(request.Params{ID: x.id, Entry: x.entry.Key, Team: x.entry.Team})
	if err != nil {
		return refusal(http.StatusServiceUnavailable, CodeOverloaded, err.Error())
	}
	x.request = r
	return nil
}

// maxNotRunAttempts bounds the retries after attempts that did not reach an upstream, and separately the
// attempts that upstreams refused. They do not count towards the route's MaxAttempts, because nothing ran.
const maxNotRunAttempts = 3

// runForward makes attempts until one succeeds or no retry is allowed.
func (x *exchange) runForward() *APIError {
	op := x.op.(*forwardOp)
	retryBudget := x.api.Forwarding.Retry(op.service.Name)
	if op.counted = true; x.hop == nil || !x.hop.Counted {
		retryBudget.RecordRequest()
	}
	for {
		if callerHasLeft(x.httpReq.Context()) {
			x.cancel()
			return op.finishFailed(x, errors.CombineErrors(errCallerLeft, op.cause))
		}
		if x.api.Forwarding.Closing() && !op.mayHaveRun && x.request.NotRun() {
			// The request came before the shutdown refused new ones, and would be cut off at its end.
			return stoppingRefusal()
		}
		if x.mustPassOn() {
			return x.passOn(op.cause)
		}
		attempt, err := x.api.Routing.Pick(x.routingReq)
		if err != nil && op.isLastResort(x) {
			return x.passOn(errors.CombineErrors(err, op.cause))
		}
		if err != nil {
			return op.finishFailed(x, errors.CombineErrors(err, op.cause))
		}
		x.attempt = attempt
		op.upstream = attempt.Upstream().Name
		err = x.runAttempt(attempt)
		if err == nil {
			return nil
		}
		op.countAttempt(x, err)
		if maySignalCrash(err) {
			loss := &forwardLoss{forwarding: &x.api.Forwarding, service: op.service.Name, upstream: op.upstream, target: op.relayTarget(x), at: x.api.Now()}
			if a, ok := attempt.(LeavingUpstream); ok {
				loss.leaving = a.UpstreamLeaves()
			}
			x.noteCrash(op.upstream, loss)
		}
		if !op.mayRetry(x, err, retryBudget) {
			if op.isLastResort(x) {
				return x.passOn(err)
			}
			return op.finishFailed(x, err)
		}
		obs.RetriesTotal.Add(1)
		x.routingReq.Exclude = append(x.routingReq.Exclude, attempt.Upstream().Name)
	}
}

// countAttempt counts and logs a failed attempt.
func (op *forwardOp) countAttempt(x *exchange, err error) {
	op.cause = err
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		op.unsent++
		if !errors.Is(err, relay.ErrConnectionLimit) {
			op.unconnected++
		}
	case errors.Is(err, upstream.ErrRefused):
		op.refusals++
	default:
		op.mayHaveRunCount++
		op.mayHaveRun = true
	}
	op.logFailedAttempt(x, err)
}

// mayRetry decides whether the request is sent to another upstream. An attempt that may have run is retried
// only if the request is idempotent and within the retry budget.
func (op *forwardOp) mayRetry(x *exchange, err error, retryBudget RetryBudget) bool {
	switch {
	case x.ctx.Err() != nil, errors.Is(err, errCallerWriteFailed):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return op.unsent <= maxNotRunAttempts
	case errors.Is(err, upstream.ErrRefused):
		return op.refusals < maxNotRunAttempts && retryBudget.TryRetry()
	case !x.idempotent || op.mayHaveRunCount >= op.route.MaxAttempts || x.suspected():
		return false
	default:
		return retryBudget.TryRetry()
	}
}
