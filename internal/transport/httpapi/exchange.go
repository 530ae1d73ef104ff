package httpapi

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/hop"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// exchange is the state of one request while the router processes it. Only the goroutine that serves the
// caller uses it.
type exchange struct {
	api     *API
	w       http.ResponseWriter
	control *http.ResponseController
	httpReq *http.Request
	// ctx ends with the caller's connection, at the deadline of the request or by API.EndRequests.
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
	id     string

	snapshot *catalogue.Snapshot
	entry    *catalogue.BoundEntry
	// body is the content of heldBody.
	body     []byte
	heldBody *membuf.Body
	// requestHash covers entry, method, path and body.
	requestHash [sha256.Size]byte
	// priority is the priority of a forwarded request, from 0 to 9, and 0 for other requests. target is the latency target of
	// its route, or 0.
	priority   int
	target     time.Duration
	op         operation
	routingReq routing.Request
	// maxCost is the upper bound of the request's cost, in tokens. It is what gets reserved.
	maxCost    int64
	idempotent bool

	request     *request.Request
	ticket      Ticket
	reservation budget.Reservation
	reserved    bool
	// calls holds one call for each attempt that may have run, oldest first.
	calls        []upstream.Call
	attemptCount int
	// subjects are what the request may have in common with others that crash upstreams.
	subjects []quarantine.Subject
	// hop is set if another router has passed the request on to this one.
	hop      *hop.Request
	progress attemptProgress
	// crashedUpstream is true if an upstream crashed as its answer to the request began. Hardly any other request is
	// in that state when an upstream crashes, so the request is not sent again.
	crashedUpstream bool
	// unrecordedCrashes is the number of crashes by the request that are not recorded yet.
	unrecordedCrashes atomic.Int32
	// streaming is true once the response is being streamed to the caller.
	streaming bool
	// attempt is the attempt in progress.
	attempt Attempt
	// entryWithClass is a copy of the entry with the class of the forwarded request.
	entryWithClass catalogue.BoundEntry
	// reserveErr is the error of a failed reservation.
	reserveErr error
	startedAt  time.Time
	// failedOver is true once another engine continued the stream.
	failedOver bool
	response   *request.StoredResponse
}

// operation is the part of request processing that depends on the kind of request: a chat completion, a call
// of a plain service or a forwarded request.
type operation interface {
	// billTarget is the model, service or route that the bill names.
	billTarget() string
	// send makes one attempt, settles its response and writes it to the caller. An error means that nothing
	// was settled.
	send(ctx context.Context, x *exchange, call upstream.Call, attemptNumber int) error
	// routingResult maps the error of an attempt to the result that is reported to the routing.
	routingResult(err error) routing.Result
	// cancelable reports whether the upstream can cancel a run and report its usage.
	cancelable() bool
}

// steps process a parsed request in order. Each step may end the request with an error.
var steps = [...]func(*exchange) *APIError{
	(*exchange).register, (*exchange).admit, (*exchange).reserve, (*exchange).claim, (*exchange).run,
}

// errReplied is returned by a step that wrote the response itself.
var errReplied = &APIError{}

func (a *API) serve(w http.ResponseWriter, httpReq *http.Request, parse func(*exchange) *APIError) {
	obs.RequestsTotal.Add(1)
	x := &exchange{api: a, w: w, control: http.NewResponseController(w), httpReq: httpReq, id: uuid.NewString()}
	ctx, release := a.requestContext(httpReq)
	defer release()
	x.ctx, x.span = obs.StartSpan(obs.ExtractTrace(ctx, httpReq.Header), obs.SpanRequest, x.id)
	defer x.finish()
	e := x.begin(parse)
	for i := 0; e == nil && i < len(steps); i++ {
		e = steps[i](x)
	}
	x.replyError(e)
}

// begin counts the request as open, authenticates it, and reads and parses its body. It refuses the request
// if too many are open, if the router's configuration may be out of date, or if the request is invalid. All
// this happens before any budget is reserved or capacity is used.
func (x *exchange) begin(parse func(*exchange) *APIError) *APIError {
	open := x.api.openRequests.Add(1)
	obs.RequestsOpen.Add(1)
	if open > x.api.Limits.MaxOpenRequests {
		return refusal(http.StatusServiceUnavailable, CodeOverloaded,
			"too many open requests").withRetryAfter(defaultRetryAfter)
	}
	if x.api.CheckConfigLease != nil && x.api.CheckConfigLease() != nil {
		return refusal(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router does not know the configuration in force").withRetryAfter(defaultRetryAfter)
	}
	if e := x.authenticate(); e != nil {
		return e
	}
	if e := x.setDeadline(); e != nil {
		return e
	}
	if e := x.readBody(); e != nil {
		return e
	}
	if e := parse(x); e != nil {
		return e
	}
	return x.checkQuarantine()
}

func (x *exchange) authenticate() *APIError {
	x.snapshot = x.api.Config.Current()
	secret, ok := strings.CutPrefix(x.httpReq.Header.Get("Authorization"), "Bearer ")
	if ok {
		x.entry = x.snapshot.EntryByCredential(secret)
	}
	if x.entry == nil {
		return refusal(http.StatusUnauthorized, CodeUnauthorized, "the credential names no catalogue entry")
	}
	return nil
}

func (x *exchange) setDeadline() *APIError {
	timeout := x.api.Limits.RequestTimeout
	if text := x.httpReq.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return refusal(http.StatusBadRequest, CodeBadRequest,
				HeaderTimeout+" must be a number of milliseconds from 1")
		}
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	x.ctx, x.cancel = context.WithTimeout(x.ctx, timeout)
	return nil
}

// maxBodyBytes returns the limit from the configuration or, if it sets none, from the settings.
func (x *exchange) maxBodyBytes() int64 {
	if x.snapshot != nil {
		if limit := x.snapshot.CallerLimits().MaxBodyBytes; limit > 0 {
			return limit
		}
	}
	return x.api.Limits.MaxBodyBytes
}

// readBody reads the body within the limits of size and time. It clears the read deadline afterwards, because
// the server would otherwise end the context of a long stream when the deadline passes.
func (x *exchange) readBody() *APIError {
	_ = x.control.SetReadDeadline(time.Now().Add(x.api.Limits.BodyTimeout))
	limit := x.api.Incoming.MaxBody(x.maxBodyBytes())
	body, err := x.requestHold().ReadBody(x.bodyReader(), limit, x.httpReq.ContentLength)
	if err != nil {
		return x.bodyError(err, limit)
	}
	_ = x.control.SetReadDeadline(time.Time{})
	x.body, x.heldBody = body.Bytes(), body
	h := sha256.New()
	for _, part := range []string{x.entry.Name, "\x00", x.httpReq.Method, "\x00", x.httpReq.URL.RequestURI(), "\x00"} {
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(x.body)
	h.Sum(x.requestHash[:0])
	return nil
}

// bodyError refuses a request whose body was not read to its end. Its connection is closed without reading the rest.
func (x *exchange) bodyError(err error, limit int64) *APIError {
	x.w.Header().Set("Connection", "close")
	defer x.endReads()
	switch {
	case errors.Is(err, membuf.ErrTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, membuf.ErrLimit):
		return x.overMemory()
	case errors.Is(err, membuf.ErrStalled):
		x.noteStalled()
		return refusal(http.StatusRequestTimeout, CodeRequestTimeout,
			"the body made no progress while other requests needed its memory or its connection").withRetryAfter(defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(http.StatusRequestTimeout, CodeRequestTimeout, "the body did not arrive in time")
	default:
		return refusal(http.StatusBadRequest, CodeBadRequest, "the body could not be read")
	}
}

// servicePoolPrefix is the prefix of the names of the admission pools of plain services.
const servicePoolPrefix = "service "

// PoolName returns the name of the admission pool of a model or a service.
func PoolName(model, service string) string {
	if service != "" {
		return servicePoolPrefix + service
	}
	return model
}

// ParsePoolName returns the model or the service that an admission pool is for.
func ParsePoolName(pool string) (model, service string) {
	if service, ok := strings.CutPrefix(pool, servicePoolPrefix); ok {
		return "", service
	}
	return pool, ""
}

func (x *exchange) admit() *APIError {
	ticket, err := x.api.Admission.Admit(x.ctx, admission.Request{
		Entry: x.entry.Key, Team: x.entry.Team, Class: x.entry.Class, Tokens: x.maxCost, Limits: x.entry.Limits,
		Pool: PoolName(x.routingReq.Model, x.routingReq.Service), Priority: x.priority,
		TimeLeft: x.timeLeft(), Target: x.target,
	})
	if err != nil {
		return x.contextErrorOr(admissionError(err))
	}
	x.ticket = ticket
	return nil
}

// timeLeft returns the time until the deadline of a forwarded request. It is 0 for other requests, whose class alone decides
// how long they wait.
func (x *exchange) timeLeft() time.Duration {
	deadline, ok := x.ctx.Deadline()
	if _, forwarded := x.op.(*forwardOp); !forwarded || !ok {
		return 0
	}
	return max(time.Millisecond, time.Until(deadline))
}

func (x *exchange) reserve() *APIError {
	ctx, span := obs.StartSpan(x.ctx, obs.SpanReserve, x.id)
	res, err := x.api.Budget.Reserve(ctx, budget.ReserveRequest{
		RequestID: x.id, Entry: x.entry.Key, Class: x.entry.Class, Amount: x.maxCost,
	})
	obs.EndSpan(span, err)
	if err != nil {
		x.countFalseRefusal(err)
		x.reserveErr = err
		return x.contextErrorOr(budgetError(err))
	}
	x.reservation, x.reserved = res, true
	return transitionError(x.request.Reserve())
}

// countFalseRefusal counts a request that is refused although, as far as this router knows, the remaining
// budget covers it.
func (x *exchange) countFalseRefusal(err error) {
	var unavailable *budget.UnavailableError
	if !errors.As(err, &unavailable) {
		return
	}
	obs.BudgetUnavailableTotal.Add(1)
	if x.api.balance(x.entry.Key).Remaining >= x.maxCost {
		obs.FalseRefusalsTotal.Add(1)
	}
}

// contextErrorOr returns the matching error if the router is stopping, the caller disconnected or the deadline passed while
// the request waited, else the given one.
func (x *exchange) contextErrorOr(e *APIError) *APIError {
	switch {
	case x.stopped():
		return stoppingRefusal()
	case x.httpReq.Context().Err() != nil || errors.Is(x.ctx.Err(), context.Canceled):
		return refusal(statusClientClosedRequest, CodeCanceled, "the caller left before the request was sent")
	case x.ctx.Err() != nil:
		return refusal(http.StatusGatewayTimeout, CodeDeadlineExceeded,
			"the time of the request ended before it was sent")
	default:
		return e
	}
}

// transitionError reports a bug: a step that the state of the request does not allow.
func transitionError(err error) *APIError {
	if err == nil {
		return nil
	}
	return refusal(http.StatusInternalServerError, CodeOutcomeUnknown, err.Error())
}

// replyError ends the request with an error response. A request that may have run is not reported as refused,
// even if the error says so.
func (x *exchange) replyError(e *APIError) {
	if e == nil || e == errReplied {
		return
	}
	e.RequestID = x.id
	x.span.RecordError(e)
	if x.request != nil && e.NotRun {
		if err := x.request.Refuse(string(e.Code)); err != nil {
			e = x.markUnknown(err)
		} else {
			x.releaseReservation()
		}
	}
	if x.streaming {
		x.writeStreamError(e)
		return
	}
	x.w.Header().Set(chat.HeaderRequestID, x.id)
	x.setWriteDeadline()
	e.write(x.w)
}

func (x *exchange) releaseReservation() {
	if x.reserved {
		x.reserved = false
		x.api.Budget.Release(x.reservation)
	}
}

// setWriteDeadline bounds the next writes to the caller. A caller that reads slowly gets its response until the deadline of
// its request.
func (x *exchange) setWriteDeadline() {
	timeout := x.api.Limits.WriteTimeout
	until := time.Now().Add(timeout)
	if limitCallerWrites(x.httpReq.Context(), timeout, latest(x.ctx, until)) {
		return
	}
	_ = x.control.SetWriteDeadline(until)
}

// latest returns the deadline of a context if it is after the given time, else that time.
func latest(ctx context.Context, t time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.After(t) {
		return deadline
	}
	return t
}

// finish releases what the request holds. After a panic, the outcome of a request that may have run is
// unknown, and its reservation is kept.
func (x *exchange) finish() {
	if cause := recover(); cause != nil {
		obs.EventRequestPanic.Log(x.api.Logger, logrus.Fields{
			"request_id": x.id, "panic": cause, "stack": string(debug.Stack()),
		})
		x.endAfterPanic()
		if !x.repliedAfterPanic() {
			defer panic(http.ErrAbortHandler)
		}
	}
	if x.ticket != nil {
		x.ticket.Done()
	}
	if x.request != nil {
		x.request.MarkDone(x.response)
	}
	if x.cancel != nil {
		x.cancel()
	}
	// Calls with an unknown outcome are kept for much longer than the memory counts.
	x.body = nil
	x.heldBody.Release()
	x.span.End()
	obs.RequestsOpen.Add(-1)
	x.api.openRequests.Add(-1)
}

// endAfterPanic refuses a request that did not run. Otherwise it records the outcome as unknown.
func (x *exchange) endAfterPanic() {
	if x.request == nil || x.request.State().Terminal() {
		return
	}
	if x.request.Refuse(string(CodeOutcomeUnknown)) == nil {
		x.releaseReservation()
		return
	}
	if op, ok := x.op.(*forwardOp); ok {
		op.settle(x, outcomeUnknown)
		return
	}
	x.markUnknown(errors.New("request handler panicked"))
}
