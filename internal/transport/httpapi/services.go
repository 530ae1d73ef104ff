package httpapi

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// servicePrefix is the path of plain services, before the name of the service.
const servicePrefix = "/v1/services/"

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// privateHeaders concern the caller and the router only.
var privateHeaders = []string{
	"Authorization", "Cookie", "Content-Length", "Traceparent", "Tracestate", HeaderTimeout,
	chat.HeaderRequestID, chat.HeaderAttempt, chat.HeaderPriority, chat.HeaderDeadline,
}

func (x *exchange) parseService() *APIError {
	rest := strings.TrimPrefix(x.httpReq.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	if slices.Contains(strings.Split(x.httpReq.URL.Path, "/"), "..") {
		return refuse(http.StatusBadRequest, CodeBadRequest, "the path has a parent segment")
	}
	if !slices.Contains(x.entry.Services, name) {
		return refuse(http.StatusForbidden, CodeNotAllowed, "the entry does not allow this service")
	}
	price, idempotent, found := serviceTerms(x.snapshot, name, x.httpReq.Method)
	if !found {
		return refuse(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
			"no upstream has this service").after(defaultRetryAfter)
	}
	if !idempotent && x.httpReq.Header.Get(HeaderIdempotencyKey) == "" {
		return refuse(http.StatusBadRequest, CodeKeyRequired,
			"a call that may not be repeated needs the header "+HeaderIdempotencyKey)
	}
	x.bound, x.idempotent = price, idempotent
	x.pick = routing.Request{
		Service: name, Class: x.entry.Class,
		Fingerprint: routing.FingerprintOf(x.entry.Name, name, x.hash[:]),
	}
	x.job = serviceJob{service: name, path: "/" + path}
	return nil
}

// serviceTerms returns what a call costs and whether it may be repeated. Both
// hold for every upstream of the service, since the choice comes later.
func serviceTerms(s *catalogue.Snapshot, service, method string) (price int64, idempotent, found bool) {
	price, idempotent = 1, true
	for u := range s.Upstreams {
		if u.Kind != catalogue.KindService || u.Service != service {
			continue
		}
		found = true
		price = max(price, u.RequestTokens)
		idempotent = idempotent && slices.Contains(u.IdempotentMethods, method)
	}
	return price, idempotent, found
}

// serviceJob is a call of a plain service.
type serviceJob struct {
	service string
	path    string
}

func (j serviceJob) target() string   { return j.service }
func (j serviceJob) cancelable() bool { return false }

func (j serviceJob) result(err error) routing.Result { return result(err) }

func (j serviceJob) send(ctx context.Context, x *exchange, call upstream.Call, attempt int) error {
	ctx, answered := x.attemptContext(ctx)
	defer answered()
	header := x.httpReq.Header.Clone()
	for _, name := range privateHeaders {
		header.Del(name)
	}
	answer, err := x.api.Services.Call(ctx, upstream.ServiceCall{
		Call: call, Method: x.httpReq.Method, Path: j.path, Query: x.httpReq.URL.RawQuery, Header: header,
	})
	if err != nil {
		return x.attemptError(ctx, call, err)
	}
	for name, values := range answer.Header {
		if name != chat.HeaderAttempt && name != "Content-Length" {
			x.w.Header()[name] = values
		}
	}
	return x.deliver(attempt, nil, request.StoredResponse{
		Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body,
	})
}
