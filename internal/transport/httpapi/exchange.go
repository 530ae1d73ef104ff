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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// exchange is one request on its way through the router. It belongs to the
// goroutine that serves the caller.
type exchange struct {
	api     *API
	w       http.ResponseWriter
	control *http.ResponseController
	httpReq *http.Request
	// ctx ends with the caller's connection or the deadline of the request.
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
	id     string

	snapshot *catalogue.Snapshot
	entry    *catalogue.BoundEntry
	body     []byte
	// hash identifies entry, method, path and body.
	hash [sha256.Size]byte
	job  job
	pick routing.Request
	// bound is the most that the request can cost, in tokens.
	bound      int64
	idempotent bool

	record      *request.Request
	ticket      Ticket
	reservation budget.Reservation
	reserved    bool
	// calls are the attempts that may have run.
	calls []upstream.Call
	// tries counts the attempts made.
	tries int
	// streaming is true once a part of a stream was written.
	streaming bool
	// attempt is the attempt in progress, and boundEntry the entry with the class
	// of a forwarded request.
	attempt    Attempt
	boundEntry catalogue.BoundEntry
	// refusedBy is why the budget was not reserved.
	refusedBy error
	began     time.Time
	// moved is true once another engine took over a stream.
	moved  bool
	answer *request.StoredResponse
}

// job is what differs between chat completions and plain services.
type job interface {
	// target is the model or service on the bill.
	target() string
	// send runs one attempt and delivers its answer. An error means that no
	// answer was settled.
	send(ctx context.Context, x *exchange, call upstream.Call, attempt int) error
	// result tells the routing how an attempt ended.
	result(err error) routing.Result
	// cancelable reports whether the upstream can stop a run and tell its usage.
	cancelable() bool
}

// steps take a request from its headers to its answer. Each step may end the
// request with an error.
var steps = [...]func(*exchange) *APIError{
	(*exchange).register, (*exchange).admit, (*exchange).reserve, (*exchange).claim, (*exchange).run,
}

// errReplied is returned by a step that wrote the answer itself.
var errReplied = &APIError{}

func (a *API) serve(w http.ResponseWriter, httpReq *http.Request, parse func(*exchange) *APIError) {
	obs.RequestsTotal.Add(1)
	x := &exchange{api: a, w: w, control: http.NewResponseController(w), httpReq: httpReq, id: uuid.NewString()}
	x.ctx, x.span = obs.StartSpan(obs.ExtractTrace(httpReq.Context(), httpReq.Header), obs.SpanRequest, x.id)
	defer x.finish()
	e := x.begin(parse)
	for i := 0; e == nil && i < len(steps); i++ {
		e = steps[i](x)
	}
	x.reply(e)
}

// begin does what costs nothing but the reading of the request.
func (x *exchange) begin(parse func(*exchange) *APIError) *APIError {
	open := x.api.open.Add(1)
	obs.RequestsOpen.Add(1)
	if open > x.api.Limits.MaxOpenRequests {
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, "too many open requests").after(defaultRetryAfter)
	}
	if x.api.CheckConfigLease != nil && x.api.CheckConfigLease() != nil {
		return refuse(http.StatusServiceUnavailable, CodeConfigurationUnavailable,
			"the router does not know the configuration in force").after(defaultRetryAfter)
	}
	if e := x.authorize(); e != nil {
		return e
	}
	if e := x.setDeadline(); e != nil {
		return e
	}
	if e := x.readBody(); e != nil {
		return e
	}
	return parse(x)
}

func (x *exchange) authorize() *APIError {
	x.snapshot = x.api.Config.Current()
	secret, ok := strings.CutPrefix(x.httpReq.Header.Get("Authorization"), "Bearer ")
	if ok {
		x.entry = x.snapshot.EntryByCredential(secret)
	}
	if x.entry == nil {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "the credential names no catalogue entry")
	}
	return nil
}

func (x *exchange) setDeadline() *APIError {
	timeout := x.api.Limits.RequestTimeout
	if text := x.httpReq.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return refuse(http.StatusBadRequest, CodeBadRequest, HeaderTimeout+" must be a number of milliseconds from 1")
		}
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	x.ctx, x.cancel = context.WithTimeout(x.ctx, timeout)
	return nil
}

// maxBody is the bound that the configuration sets, else that of the settings.
func (x *exchange) maxBody() int64 {
	if x.snapshot != nil {
		if bound := x.snapshot.CallerLimits().MaxBodyBytes; bound > 0 {
			return bound
		}
	}
	return x.api.Limits.MaxBodyBytes
}

// readBody reads the body within its bounds. The read deadline is taken away
// afterwards: with it, the server would end the context of a long stream.
func (x *exchange) readBody() *APIError {
	_ = x.control.SetReadDeadline(time.Now().Add(x.api.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.httpReq.Body, x.maxBody()))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, CodeTooLarge,
			"the body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		return refuse(http.StatusRequestTimeout, CodeRequestTimeout, "the body did not arrive in time")
	default:
		return refuse(http.StatusBadRequest, CodeBadRequest, "the body could not be read")
	}
	_ = x.control.SetReadDeadline(time.Time{})
	x.body = body
	h := sha256.New()
	for _, part := range []string{x.entry.Name, "\x00", x.httpReq.Method, "\x00", x.httpReq.URL.RequestURI(), "\x00"} {
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	h.Sum(x.hash[:0])
	return nil
}

// servicePool begins the names of the admission pools of plain services.
const servicePool = "service "

// PoolOf names the admission pool of a model or a service.
func PoolOf(model, service string) string {
	if service != "" {
		return servicePool + service
	}
	return model
}

// ParsePoolName returns the model or the service of an admission pool.
func ParsePoolName(pool string) (model, service string) {
	if service, ok := strings.CutPrefix(pool, servicePool); ok {
		return "", service
	}
	return pool, ""
}

func (x *exchange) admit() *APIError {
	ticket, err := x.api.Admission.Admit(x.ctx, admission.Request{
		Entry: x.entry.Key, Team: x.entry.Team, Class: x.entry.Class, Tokens: x.bound, Limits: x.entry.Limits,
		Pool: PoolOf(x.pick.Model, x.pick.Service),
	})
	if err != nil {
		return x.stopped(admissionError(err))
	}
	x.ticket = ticket
	return nil
}

func (x *exchange) reserve() *APIError {
	ctx, span := obs.StartSpan(x.ctx, obs.SpanReserve, x.id)
	res, err := x.api.Budget.Reserve(ctx, budget.ReserveRequest{
		RequestID: x.id, Entry: x.entry.Key, Class: x.entry.Class, Amount: x.bound,
	})
	obs.EndSpan(span, err)
	if err != nil {
		x.countFalseRefusal(err)
		x.refusedBy = err
		return x.stopped(budgetError(err))
	}
	x.reservation, x.reserved = res, true
	return transitionError(x.record.Reserve())
}

// countFalseRefusal counts a refusal of a request that the unspent budget
// covers, as far as this router knows.
func (x *exchange) countFalseRefusal(err error) {
	var unavailable *budget.UnavailableError
	if !errors.As(err, &unavailable) {
		return
	}
	obs.BudgetUnavailableTotal.Add(1)
	if x.api.balance(x.entry.Key).Remaining >= x.bound {
		obs.FalseRefusalsTotal.Add(1)
	}
}

// stopped replaces an error of a request that was given up while it waited.
func (x *exchange) stopped(e *APIError) *APIError {
	switch {
	case x.httpReq.Context().Err() != nil:
		return refuse(statusClientClosed, CodeCanceled, "the caller left before the request was sent")
	case x.ctx.Err() != nil:
		return refuse(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the time of the request ended before it was sent")
	default:
		return e
	}
}

// transitionError reports a defect: the worker took a step that the state of its
// request does not allow.
func transitionError(err error) *APIError {
	if err == nil {
		return nil
	}
	return refuse(http.StatusInternalServerError, CodeOutcomeUnknown, err.Error())
}

// reply ends the request with an error. Only a request that has not run is
// refused, whatever the error says.
func (x *exchange) reply(e *APIError) {
	if e == nil || e == errReplied {
		return
	}
	e.RequestID = x.id
	x.span.RecordError(e)
	if x.record != nil && e.NotRun {
		if err := x.record.Refuse(string(e.Code)); err != nil {
			e = x.lost(err)
		} else {
			x.release()
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

func (x *exchange) release() {
	if x.reserved {
		x.reserved = false
		x.api.Budget.Release(x.reservation)
	}
}

func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.api.Limits.WriteTimeout))
}

// finish ends what the request holds. After a panic, a request that may have run
// is unknown, and its reservation stays.
func (x *exchange) finish() {
	if cause := recover(); cause != nil {
		obs.EventRequestPanic.Log(x.api.Logger, logrus.Fields{
			"request_id": x.id, "panic": cause, "stack": string(debug.Stack()),
		})
		x.abandon()
		defer panic(http.ErrAbortHandler)
	}
	if x.ticket != nil {
		x.ticket.Done()
	}
	if x.record != nil {
		x.record.Finish(x.answer)
	}
	if x.cancel != nil {
		x.cancel()
	}
	x.span.End()
	obs.RequestsOpen.Add(-1)
	x.api.open.Add(-1)
}

func (x *exchange) abandon() {
	if x.record == nil || x.record.State().Terminal() {
		return
	}
	if x.record.Refuse(string(CodeOutcomeUnknown)) == nil {
		x.release()
		return
	}
	x.lost(errors.New("request handler panicked"))
}
