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

// servicePrefix is the path prefix of plain services. The name of the service follows it.
const servicePrefix = "/v1/services/"

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// strippedHeaders are the headers of a caller's request that are not passed on to a plain service: they are
// meant for the router, or the router sets them itself.
var strippedHeaders = []string{
	"Authorization", "Cookie", "Content-Length", "Traceparent", "Tracestate", HeaderTimeout,
	chat.HeaderRequestID, chat.HeaderAttempt, chat.HeaderPriority, chat.HeaderDeadline,
}

func (x *exchange) parseService() *APIError {
	rest := strings.TrimPrefix(x.httpReq.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	if slices.Contains(strings.Split(x.httpReq.URL.Path, "/"), "..") {
		return refusal(http.StatusBadRequest, CodeBadRequest, "the path has a parent segment")
	}
	if !slices.Contains(x.entry.Services, name) {
		return refusal(http.StatusForbidden, CodeNotAllowed, "the entry does not allow this service")
	}
	price, idempotent, found := servicePriceAndIdempotency(x.snapshot, name, x.httpReq.Method)
	if !found {
		return refusal(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
			"no upstream has this service").withRetryAfter(defaultRetryAfter)
	}
	if !idempotent && x.httpReq.Header.Get(HeaderIdempotencyKey) == "" {
		return refusal(http.StatusBadRequest, CodeKeyRequired,
			"a call that may not be repeated needs the header "+HeaderIdempotencyKey)
	}
	x.maxCost, x.idempotent = price, idempotent
	x.routingReq = routing.Request{
		Service: name, Class: x.entry.Class,
		Fingerprint: routing.FingerprintOf(x.entry.Name, name, x.requestHash[:]),
	}
	x.subjects = requestSubjects(nil, x.requestHash[:])
	x.op = serviceOp{service: name, path: "/" + path}
	return nil
}

// servicePriceAndIdempotency returns the price of a call and whether it is idempotent. The upstream is chosen
// later, so the price is the highest one of all upstreams of the service, and the call is idempotent only if
// it is so at each of them.
func servicePriceAndIdempotency(s *catalogue.Snapshot, service, method string) (price int64, idempotent, found bool) {
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

// serviceOp is a call to a plain service.
type serviceOp struct {
	service string
	path    string
}

func (op serviceOp) billTarget() string { return op.service }
func (op serviceOp) cancelable() bool   { return false }

func (op serviceOp) routingResult(err error) routing.Result { return routingResult(err) }

func (op serviceOp) send(ctx context.Context, x *exchange, call upstream.Call, attemptNumber int) error {
	ctx, stopTimer := x.attemptContext(ctx)
	defer stopTimer()
	header := x.httpReq.Header.Clone()
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	response, err := x.api.Services.Call(ctx, upstream.ServiceCall{
		Call: call, Method: x.httpReq.Method, Path: op.path, Query: x.httpReq.URL.RawQuery, Header: header,
	})
	if err != nil {
		return x.handleAttemptError(ctx, call, err)
	}
	defer response.Release()
	for name, values := range response.Header {
		if name != chat.HeaderAttempt && name != "Content-Length" {
			x.w.Header()[name] = values
		}
	}
	return x.deliver(attemptNumber, nil, request.StoredResponse{
		Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body,
	})
}
