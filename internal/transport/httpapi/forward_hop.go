package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/hop"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Hops passes requests on to other routers while this one reaches no upstream of a service, and accepts those of others.
// A request is passed on once at most.
type Hops struct {
	Peers *reach.Peers
	// Sender sends requests to the addresses of Peers, which are told of failed connection attempts.
	Sender Forwarder
	Key    hop.Key
	// Address is where this router accepts requests of others.
	Address string
	// Region is that of this router, and so of its callers.
	Region string
	// MaxConnections is the number of connections to all peers together.
	MaxConnections int
}

// maxHopTries bounds the peers that are asked to serve a request.
const maxHopTries = 3

// hopKey is the key of the *hop.Request in the context of a request that another router has passed on.
type hopKey struct{}

func hopOf(ctx context.Context) *hop.Request {
	r, _ := ctx.Value(hopKey{}).(*hop.Request)
	return r
}

// HopHandler returns the handler of requests that other routers pass on. It must not be reachable through ForwardHandler.
func (a *API) HopHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, httpReq *http.Request) {
		caller, _ := a.Forwarding.Headers.ParseCaller(httpReq.Header) // forward reports the error
		proven, err := a.Forwarding.Hops.Key.Verify(httpReq.Header.Get(hop.HeaderAuth), hop.Request{
			Address: a.Forwarding.Hops.Address, ID: caller.ID, Method: httpReq.Method, Host: httpReq.Host, URI: httpReq.RequestURI,
		}, a.Now())
		if err != nil {
			obs.HopsUnauthorizedTotal.Add(1)
			obs.EventHopUnauthorized.Log(a.Logger, logrus.Fields{"request_id": caller.ID, "remote": httpReq.RemoteAddr, "error": err.Error()})
			a.Forwarding.Headers.SetRefusal(w.Header(), caller.ID, 0)
			w.Header().Set(hop.HeaderResult, string(hop.ResultRefused))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		obs.HopsReceivedTotal.Add(1)
		a.serveForward(w, httpReq.WithContext(context.WithValue(httpReq.Context(), hopKey{}, &proven)))
	})
}

// setHopResult tells the router that passed a request on what the response is.
func (x *exchange) setHopResult(result hop.Result) {
	if x.hop != nil {
		x.w.Header().Set(hop.HeaderResult, string(result))
	}
}

// hopResult returns the result for an error response.
func (x *exchange) hopResult(e *APIError) hop.Result {
	op, _ := x.op.(*forwardOp)
	switch {
	case !e.NotRun:
		return hop.ResultUnknown
	case x.api.Forwarding.Closing():
		return hop.ResultLeaving
	case op != nil && op.service != nil && x.api.Forwarding.Reach.Unreachable(op.service.Name):
		return hop.ResultNoPath
	case e.Code == CodeOverloaded:
		return hop.ResultBusy
	}
	return hop.ResultRefused
}

// passOnUnreachable passes the request on if no upstream of its service can be reached.
func (x *exchange) passOnUnreachable() *APIError {
	if !x.mustPassOn() {
		return nil
	}
	if e := x.passOn(nil); e != nil {
		return e
	}
	return errReplied
}

// mustPassOn reports whether no upstream of the request's service can be reached.
func (x *exchange) mustPassOn() bool {
	op := x.op.(*forwardOp)
	return x.api.Forwarding.Hops != nil && x.api.Forwarding.Reach.Unreachable(op.service.Name)
}

// passOn has another router serve the request, and ends it. cause is the error of the last attempt at an upstream, if any.
func (x *exchange) passOn(cause error) *APIError {
	op := x.op.(*forwardOp)
	hops := x.api.Forwarding.Hops
	if op.committed || x.hop != nil {
		// The caller takes up a stream that has begun. A request that was passed on is not passed on again.
		return op.finishFailed(x, errors.CombineErrors(cause, errNoPath))
	}
	x.beginPassOn()
	tries := hopTries{retry: x.api.Forwarding.Retry(op.service.Name), cause: errors.CombineErrors(errNoPath, cause)}
	for len(tries.addresses) < maxHopTries && x.hasTime() && !callerHasLeft(x.httpReq.Context()) {
		peer, ok := hops.Peers.PickIn(op.service.Name, tries.addresses, x.mayEnter)
		if !ok {
			break
		}
		tries.addresses = append(tries.addresses, peer.Address)
		e, again := x.tryPeer(peer, &tries)
		if !again {
			return e
		}
		if tries.lost && !(x.idempotent && op.mayHaveRunCount < op.route.MaxAttempts && (tries.retryTaken.Swap(false) || tries.retry.TryRetry())) {
			return op.finishFailed(x, tries.cause)
		}
	}
	if tries.noPath == maxHopTries {
		hops.Peers.Pause(op.service.Name)
	}
	return op.finishPassOn(x, &tries)
}

// mayEnter reports whether the body of the request may be sent to a router in a region: one that is allowed, or that the
// caller has sent it to already.
func (x *exchange) mayEnter(region string) bool {
	return region == x.api.Forwarding.Hops.Region || x.routingReq.Regions.Allow(region)
}

// noPathRetryAfter is sent to the caller when neither this router nor a peer reaches an upstream. A restart takes seconds.
const noPathRetryAfter = 2 * time.Second

// errNoPath reports that this router reaches no upstream of the service.
var errNoPath = errors.New("this router reaches no upstream of the service")

// hopTries is what is known of the peers that were asked to serve a request.
type hopTries struct {
	addresses []string
	// noPath counts those that reach no upstream either.
	noPath int
	// lost is true if the last peer's answer was lost, so that the request may have run.
	lost       bool
	retryAfter time.Duration
	cause      error
	retry      RetryBudget
	// retryTaken is set once a peer's time has ended and a retry was taken from the budget for it.
	retryTaken atomic.Bool
}

// refused notes a refusal of a peer that states a time to retry.
func (t *hopTries) refused(after time.Duration) {
	if after > 0 && (t.retryAfter == 0 || after < t.retryAfter) {
		t.retryAfter = after
	}
}

// beginPassOn gives back what the request holds here: the peer admits the request and reserves its cost. The reservation of
// a request that may have run at an upstream is kept until a peer has run it.
func (x *exchange) beginPassOn() {
	op := x.op.(*forwardOp)
	if !op.mayHaveRun {
		x.releaseReservation()
	}
	if x.ticket != nil {
		x.ticket.Done()
		x.ticket = nil
	}
	x.attempt = nil
	if x.request.State() == request.Received {
		_ = x.request.Reserve() // the state allows it
	}
}

// finishPassOn ends a request that no peer has served.
func (op *forwardOp) finishPassOn(x *exchange, tries *hopTries) *APIError {
	op.passedOn = false
	if op.mayHaveRun || !x.request.NotRun() {
		return op.finishFailed(x, tries.cause)
	}
	op.cause = tries.cause
	after := tries.retryAfter
	if after == 0 {
		after = noPathRetryAfter
	}
	return x.contextErrorOr(refusal(http.StatusServiceUnavailable, CodeUpstreamUnavailable,
		"no router reaches an upstream that takes the request").withRetryAfter(after))
}

// tryPeer sends the request to a peer. again is true if another peer may be asked.
func (x *exchange) tryPeer(peer reach.Peer, tries *hopTries) (e *APIError, again bool) {
	op := x.op.(*forwardOp)
	n, err := x.request.Dispatch()
	if err != nil {
		return op.finishFailed(x, err), false
	}
	tries.lost = false
	op.upstream, op.passedOn = peer.VM, true
	x.progress = attemptProgress{sentAt: x.api.Now()}
	obs.HopsSentTotal.Add(1)
	err = x.exchangeWithPeer(peer, tries)
	var final *peerRefusal
	switch {
	case err == nil:
		return nil, false
	case errors.As(err, &final):
		_ = x.request.AttemptNotRun(n) // the attempt is the last one
		obs.HopsRefusedTotal.Add(1)
		op.cause = err
		if op.mayHaveRun {
			op.passedOn = false
			return op.finishFailed(x, err), false
		}
		return final.error, false
	case provablyNotRun(err):
		_ = x.request.AttemptNotRun(n)
		obs.HopsRefusedTotal.Add(1)
		tries.cause = errors.CombineErrors(err, tries.cause)
	case errors.Is(err, errUpstreamServerError):
		return op.finishFailed(x, err), false
	default:
		obs.HopsLostTotal.Add(1)
		tries.lost, tries.cause = true, errors.CombineErrors(err, tries.cause)
		op.mayHaveRunCount++
		op.mayHaveRun = true
		x.releaseReservation()
	}
	op.cause = err
	obs.EventAttemptFailed.Log(x.api.Logger, logrus.Fields{
		"request_id": x.id, "upstream": peer.VM, "address": peer.Address, "hop": true, "sends": op.mayHaveRunCount, "events": op.events,
		"ms": x.api.Now().Sub(x.startedAt).Milliseconds(), "error": err.Error(),
	})
	if op.committed || errors.Is(err, errPeerUnknown) || errors.Is(err, errCallerWriteFailed) || x.ctx.Err() != nil && tries.lost {
		return op.finishFailed(x, err), false
	}
	return nil, true
}

// errPeerUnknown reports a peer that does not know whether the request has run. It has used up the retries.
var errPeerUnknown = errors.New("the peer does not know the outcome of the request")

// peerRefusal is a refusal of a peer that every router would give.
type peerRefusal struct{ error *APIError }

// Error implements error.
func (r *peerRefusal) Error() string { return "refused by a peer: " + r.error.Error() }

// hasTime reports whether the request has not ended. Reads fail at the deadline of a context before its Err says so.
func (x *exchange) hasTime() bool {
	deadline, ok := x.ctx.Deadline()
	return x.ctx.Err() == nil && (!ok || time.Now().Before(deadline))
}

// hopContext is attemptContext for a peer, which may need its own attempt timeout for a first upstream. The timeout takes
// effect only if the budget has a retry.
func (op *forwardOp) hopContext(x *exchange, tries *hopTries) (context.Context, func()) {
	deadline, ok := x.ctx.Deadline()
	if !ok || !x.idempotent || op.mayHaveRunCount+1 >= op.route.MaxAttempts || op.route.TargetLatency <= 0 {
		return x.ctx, func() {}
	}
	timeout := min(hopTimeoutFactor*op.route.TargetLatency, time.Until(deadline)*3/4)
	ctx, cancel := context.WithCancelCause(x.ctx)
	timer := time.AfterFunc(timeout, func() {
		if tries.retry.TryRetry() {
			tries.retryTaken.Store(true)
			cancel(errAttemptTimeout)
		}
	})
	return ctx, func() { timer.Stop() }
}

// hopTimeoutFactor is the attempt timeout of a peer as a multiple of the target latency.
const hopTimeoutFactor = 2 * attemptTimeoutFactor

// maxRefusalBytes bounds the body of a peer's refusal.
const maxRefusalBytes = 16 << 10

// exchangeWithPeer sends the request to a peer and writes the answer of an upstream to the caller. An error is marked
// upstream.ErrNotSent or upstream.ErrRefused if the request has not run.
func (x *exchange) exchangeWithPeer(peer reach.Peer, tries *hopTries) error {
	op := x.op.(*forwardOp)
	hops := x.api.Forwarding.Hops
	req, err := op.hopRequest(x, peer)
	if err != nil {
		return errors.Mark(err, upstream.ErrNotSent)
	}
	limit := max(minUpstreamConnections, hops.MaxConnections/max(1, hops.Peers.Count()))
	ctx, stopTimer := op.hopContext(x, tries)
	defer stopTimer()
	response, err := hops.Sender.Send(ctx, relay.Target{Address: peer.Address, MaxConnections: limit}, req)
	if err != nil {
		switch {
		case errors.Is(err, relay.ErrConnectionLimit):
			hops.Peers.Busy(peer)
		case !errors.Is(err, upstream.ErrNotSent) && x.hasTime():
			hops.Peers.Avoid(peer)
		}
		return op.attemptError(ctx, err)
	}
	defer response.Close()
	if note := x.api.Forwarding.NoteLeaving; note != nil {
		for _, instance := range response.Header.Values(hop.HeaderLeaving) {
			note(op.service.Name, instance)
		}
	}
	switch result := hop.Result(response.Header.Get(hop.HeaderResult)); {
	case result.NotRun():
		return x.refusedByPeer(peer, result, response, tries)
	case result == hop.ResultUnknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
		return errPeerUnknown
	case result != hop.ResultAnswer:
		return errors.Mark(errors.Newf("response with status %d and result %.20q is no router's", response.Status, result), upstream.ErrMismatch)
	}
	if info := x.api.Forwarding.Headers.ParseResponse(response.Status, response.Header); info.NotRun || !info.Genuine || saysNotRun(response.Status) {
		return errors.Mark(errors.Newf("response with status %d did not come from an upstream", response.Status), upstream.ErrMismatch)
	}
	hops.Peers.Served(op.service.Name)
	x.progress.begun = true
	if op.route.Stream && response.Status == http.StatusOK {
		err = op.forwardStream(x, response, stopTimer)
	} else {
		err = op.forwardBuffered(x, response)
	}
	return op.attemptError(ctx, err)
}

// refusedByPeer reads a refusal. One with status 503 may be due to that peer only.
func (x *exchange) refusedByPeer(peer reach.Peer, result hop.Result, response *relay.Response, tries *hopTries) error {
	op := x.op.(*forwardOp)
	hops := x.api.Forwarding.Hops
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	after, afterErr := upstream.ParsePause(response.Header.Get("Retry-After"))
	if afterErr != nil {
		after = 0
	}
	switch result {
	case hop.ResultNoPath:
		tries.noPath++
		hops.Peers.NoPath(peer, op.service.Name)
	case hop.ResultLeaving:
		hops.Peers.Avoid(peer)
	case hop.ResultBusy:
		hops.Peers.Busy(peer)
	}
	parsed := errorBody{Error: refusal(response.Status, CodeUpstreamUnavailable, "a peer refused the request")}
	if err == nil {
		_ = json.Unmarshal(body, &parsed) // what is missing keeps its value
	}
	if response.Status != http.StatusServiceUnavailable && parsed.Error != nil {
		parsed.Error.Status, parsed.Error.NotRun = response.Status, true
		if after > 0 {
			parsed.Error = parsed.Error.withRetryAfter(after)
		}
		return &peerRefusal{parsed.Error}
	}
	tries.refused(after)
	return &upstream.RefusedError{Status: response.Status, Message: "refused by a peer (" + string(result) + ")"}
}

// hopRequest builds the request for a peer: the caller's, with the time that is left.
func (op *forwardOp) hopRequest(x *exchange, peer reach.Peer) (relay.Request, error) {
	header := endToEndHeaders(x.httpReq.Header)
	if deadline, ok := x.ctx.Deadline(); ok {
		x.api.Forwarding.Headers.SetRemaining(header, time.Until(deadline))
	}
	req := relay.Request{
		Method: x.httpReq.Method, URI: requestURI(x.httpReq), Host: x.httpReq.Host, Header: header, Body: x.body, ID: op.caller.ID,
	}
	proof, err := x.api.Forwarding.Hops.Key.Sign(hop.Request{
		Address: peer.Address, ID: req.ID, Method: req.Method, Host: req.Host, URI: req.URI, Counted: op.counted,
	}, x.api.Now())
	header.Set(hop.HeaderAuth, proof)
	return req, err
}

// isLastResort reports whether a peer may serve a request that could not be sent to any upstream.
func (op *forwardOp) isLastResort(x *exchange) bool {
	return x.api.Forwarding.Hops != nil && x.hop == nil && !op.committed && op.unconnected > 0 && op.unconnected == op.unsent &&
		op.refusals == 0 && !op.mayHaveRun && x.ctx.Err() == nil
}
