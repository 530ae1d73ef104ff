package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Forwarder sends forwarded requests to upstreams.
type Forwarder interface {
	Send(ctx context.Context, t relay.Target, req relay.Request) (*relay.Response, error)
}

// HeaderCodec translates the headers of forwarded requests. Callers and upstreams of a
// deployment share one set of names.
type HeaderCodec interface {
	// ParseCaller reads what a caller says of its request.
	ParseCaller(h http.Header) (CallerInfo, error)
	// SetOutgoing sets the router's own headers on a request to an upstream, and
	// removes those that only the router may set.
	SetOutgoing(h http.Header, o OutgoingInfo)
	// ParseResponse reads what an upstream says of its answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRefusal sets the headers of an answer of the router itself.
	SetRefusal(h http.Header, id string, retryAfter time.Duration)
}

// CallerInfo is what a caller says of its request.
type CallerInfo struct {
	ID     string
	Secret string
	// Timeout is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
	// Prompt is nil for requests that use no tokens.
	Prompt *Prompt
}

// Prompt describes the tokens of a request.
type Prompt struct {
	PromptTokens    int64
	MaxOutputTokens int64
	Parts           []routing.PromptPart
}

// OutgoingInfo is what the router tells an upstream.
type OutgoingInfo struct {
	Remaining time.Duration
	// Instance is the upstream for which the request is meant.
	Instance string
	Team     string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the id of the last event of the stream that the caller has,
	// when the router resumes it; empty means as the caller says.
	LastEventID string
}

// ResponseInfo is what an upstream says of its answer.
type ResponseInfo struct {
	// NotRun is true only when the upstream states that it did not run the request.
	NotRun bool
	// WrongInstance is true when another upstream has the address.
	WrongInstance bool
	// Genuine is false for bytes that no upstream of the deployment would send.
	Genuine bool
	// Load is nil when the upstream does not tell it.
	Load *UpstreamLoad
}

// UpstreamLoad is an upstream's own count of its requests.
type UpstreamLoad struct{ Running, Waiting, Slots int }

// LoadReporter is an Attempt that takes load reports and the first event.
type LoadReporter interface {
	Load(running, waiting, slots int)
	Started()
}

// Forwarding holds what forwarded requests need besides the other fields of API.
type Forwarding struct {
	Forwarder Forwarder
	Headers   HeaderCodec
	// Retry returns the retry budget of a service.
	Retry func(service string) RetryBudget
	// Routers returns the number of live routers, which share the connections of
	// an upstream.
	Routers func() int
	// ConfigStale reports whether a newer configuration may be in force.
	ConfigStale func() bool
	// Closing reports whether the process is about to end and takes no new work.
	Closing func() bool
	// ShouldShed decides whether the router is too busy for a request of a rank, and
	// Busy whether its callers should connect to other routers.
	ShouldShed func(rank int) bool
	Busy       func() bool
}

// forwardSteps take a forwarded request from its headers to its answer.
var forwardSteps = [...]func(*exchange) *APIError{
	(*exchange).registerForward, (*exchange).admit, (*exchange).reserve, (*exchange).runForward,
}

// ForwardHandler returns the handler of forwarded requests.
func (a *API) ForwardHandler() http.Handler { return http.HandlerFunc(a.serveForward) }

func (a *API) serveForward(w http.ResponseWriter, httpReq *http.Request) {
	if a.forward(w, httpReq) {
		// Ends the connection, so that a broken answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// forward serves one request and reports whether its connection must be cut.
func (a *API) forward(w http.ResponseWriter, httpReq *http.Request) (cut bool) {
	obs.RequestsTotal.Add(1)
	x := &exchange{api: a, w: w, control: http.NewResponseController(w), httpReq: httpReq, began: a.Now()}
	x.ctx, x.span = obs.StartSpan(obs.ExtractTrace(httpReq.Context(), httpReq.Header), obs.SpanRequest, x.id)
	defer x.finish()
	j := &forwardJob{}
	x.job = j
	e := x.beginForward(j)
	for i := 0; e == nil && i < len(forwardSteps); i++ {
		e = forwardSteps[i](x)
	}
	x.replyForward(j, e)
	j.log(x)
	return j.cut
}

// beginForward does what costs nothing but the reading of the request.
func (x *exchange) beginForward(j *forwardJob) *APIError {
	open := x.api.open.Add(1)
	obs.RequestsOpen.Add(1)
	caller, err := x.api.Forwarding.Headers.ParseCaller(x.httpReq.Header)
	x.id, j.caller = caller.ID, caller
	x.snapshot = x.api.Config.Current()
	switch {
	case err != nil:
		return refuse(http.StatusBadRequest, CodeBadRequest, err.Error())
	case open > x.api.Limits.MaxOpenRequests:
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, "too many open requests").after(defaultRetryAfter)
	case x.api.Forwarding.Closing():
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, "the router is stopping").after(closingRetryAfter)
	case x.snapshot == nil || x.snapshot.Version == 0:
		return refuse(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router does not know the configuration yet").after(defaultRetryAfter)
	}
	if e := x.findRoute(j); e != nil {
		return e
	}
	if x.api.Forwarding.Busy() {
		// The next connection may reach another router.
		x.w.Header().Set("Connection", "close")
	}
	if x.api.Forwarding.ShouldShed(j.route.Priority) {
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, "the router is too busy").after(closingRetryAfter)
	}
	timeout := j.route.Timeout
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
	j.describe(x)
	return nil
}

// closingRetryAfter sends callers of a stopping router to another one.
const closingRetryAfter = 50 * time.Millisecond

// findRoute finds the route and the entry. What an older configuration does not
// know may exist in a newer one.
func (x *exchange) findRoute(j *forwardJob) *APIError {
	path := x.httpReq.URL.EscapedPath()
	j.route = x.snapshot.Route(x.httpReq.Host, path)
	if j.route == nil {
		return x.unknown(refuse(http.StatusNotFound, CodeNotFound, "no route has this host and path"))
	}
	x.entry = &catalogue.BoundEntry{}
	if j.route.Public || !x.snapshot.HasEntries() {
		return nil
	}
	entry := x.snapshot.EntryByCredential(j.caller.Secret)
	if entry == nil {
		return x.unknown(refuse(http.StatusUnauthorized, CodeUnauthorized, "the key names no entry"))
	}
	x.entry = entry
	return nil
}

func (x *exchange) unknown(e *APIError) *APIError {
	if x.api.Forwarding.ConfigStale() {
		return refuse(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router cannot learn whether a newer configuration allows the request").after(defaultRetryAfter)
	}
	return e
}

// forwardJob is a request that is forwarded unchanged.
type forwardJob struct {
	route    *catalogue.Route
	service  *catalogue.Service
	caller   CallerInfo
	priority int
	// sends counts the attempts that reached an upstream, and refusals those
	// that it refused.
	sends    int
	refusals int
	unsent   int
	// failure is an upstream's own failure answer.
	failure *heldAnswer
	// committed is true once a part of a stream was written to the caller.
	committed bool
	events    int64
	lastEvent string
	// cut is true when the caller's connection must be closed.
	cut bool
	// ran is true when an upstream may have begun the request.
	ran      bool
	status   int
	code     Code
	cause    error
	upstream string
	firstAt  time.Time
}

// heldAnswer is a whole answer that was not delivered yet.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (j *forwardJob) target() string { return j.route.Name }

// cancelable is false: closing the connection stops the upstream's work, and
// what was delivered is the usage.
func (j *forwardJob) cancelable() bool { return false }

// describe derives what the following steps need.
func (j *forwardJob) describe(x *exchange) {
	name := j.route.Pick(rand.Float64())
	if j.service = x.snapshot.Service(name); j.service == nil {
		j.service = &catalogue.Service{Name: name}
	}
	j.priority = j.route.Priority
	if x.entry.Priority != nil {
		j.priority = *x.entry.Priority
	}
	x.idempotent = j.route.Idempotent || j.route.Stream && j.route.Resumable
	x.pick = routing.Request{Class: classOf(j.priority)}
	if j.service.Engine {
		x.pick.Model = name
	} else {
		x.pick.Service = name
	}
	x.boundEntry = *x.entry
	x.boundEntry.Class = x.pick.Class
	x.entry = &x.boundEntry
	if p := j.caller.Prompt; p != nil {
		x.pick.PrefixHashes, x.pick.SharedBlocks = routing.PartHashes(p.Parts)
		x.bound = p.PromptTokens + p.MaxOutputTokens
	}
}

// classOf maps a rank to the classes of the admission.
func classOf(priority int) catalogue.Class {
	switch priority {
	case 0:
		return catalogue.ClassInteractive
	default:
		return catalogue.ClassService
	}
}

// registerForward enters the request in the table. Its id is its caller's, and
// each attempt of a caller has an id of its own.
func (x *exchange) registerForward() *APIError {
	r, _, err := x.api.Requests.Begin(request.Params{ID: x.id, Entry: x.entry.Key, Team: x.entry.Team})
	if err != nil {
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, err.Error())
	}
	x.record = r
	return nil
}

// maxExtraTries bounds the tries after an upstream that was not reached or that
// refused. They do not count as attempts, because nothing ran.
const maxExtraTries = 3

// runForward makes attempts until one is answered or no other may be made.
func (x *exchange) runForward() *APIError {
	j := x.job.(*forwardJob)
	retry := x.api.Forwarding.Retry(j.service.Name)
	retry.RecordRequest()
	for {
		attempt, err := x.api.Routing.Pick(x.pick)
		if err != nil {
			return j.ended(x, errors.CombineErrors(err, j.cause))
		}
		x.attempt = attempt
		j.upstream = attempt.Upstream().Name
		err = x.try(attempt)
		if err == nil {
			return nil
		}
		j.note(x, err)
		if !j.mayRepeat(x, err, retry) {
			return j.ended(x, err)
		}
		obs.RetriesTotal.Add(1)
		x.pick.Exclude = append(x.pick.Exclude, attempt.Upstream().Name)
	}
}

// note counts what an attempt did.
func (j *forwardJob) note(x *exchange, err error) {
	j.cause = err
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		j.unsent++
	case errors.Is(err, upstream.ErrRefused):
		j.refusals++
	default:
		j.sends++
		j.ran = true
	}
	j.logAttempt(x, err)
}

// mayRepeat decides whether another upstream gets the request. What may have run
// is repeated only if it is repeatable, and within the retry budget.
func (j *forwardJob) mayRepeat(x *exchange, err error, retry RetryBudget) bool {
	switch {
	case x.ctx.Err() != nil, errors.Is(err, errCallerGone):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return j.unsent <= maxExtraTries
	case errors.Is(err, upstream.ErrRefused):
		return j.refusals < maxExtraTries && retry.TryRetry()
	case !x.idempotent || j.sends >= j.route.MaxAttempts:
		return false
	default:
		return retry.TryRetry()
	}
}
