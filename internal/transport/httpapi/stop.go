package httpapi

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// errStopping is the cause with which EndRequests ends the contexts of requests.
var errStopping = errors.New("the router is stopping")

// requestStop ends all requests in progress. Its zero value is ready to use.
type requestStop struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *requestStop) init() {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
}

// EndRequests ends the requests in progress. Their callers get an error response, which says whether the request may have
// run, unless a part of a stream has been written already.
func (a *API) EndRequests() {
	a.stop.init()
	a.stop.cancel()
}

// requestContext returns a context that ends with the caller's connection or by EndRequests, and a function that frees
// its resources.
func (a *API) requestContext(httpReq *http.Request) (ctx context.Context, release func()) {
	a.stop.init()
	ctx, cancel := context.WithCancelCause(httpReq.Context())
	unregister := context.AfterFunc(a.stop.ctx, func() { cancel(errStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// stopped reports whether EndRequests has ended the request.
func (x *exchange) stopped() bool { return errors.Is(context.Cause(x.ctx), errStopping) }

// stoppingRefusal refuses a request that was not sent before the router stops.
func stoppingRefusal() *APIError {
	return refusal(http.StatusServiceUnavailable, CodeOverloaded, errStopping.Error()).withRetryAfter(otherRouterRetryAfter)
}

// announceClose tells the caller of a request that began before the router was closing not to use its connection again.
func (x *exchange) announceClose() {
	if x.api.Forwarding.Closing() {
		x.w.Header().Set("Connection", "close")
	}
}
