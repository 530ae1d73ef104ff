package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/claim"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

// routes makes a routing.Router usable by the callers' API. It keeps the router
// on the configuration version in force.
type routes struct {
	router *routing.Router
	config httpapi.Configuration

	mu      sync.Mutex
	version uint64
}

func newRoutes(router *routing.Router, config httpapi.Configuration) *routes {
	r := &routes{router: router, config: config}
	r.router.Update(config.Current())
	r.version = config.Current().Version
	return r
}

// update passes a new version on before the next choice depends on it.
func (r *routes) update() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.config.Current(); current.Version != r.version {
		r.router.Update(current)
		r.version = current.Version
	}
}

// Pick implements httpapi.Routing.
func (r *routes) Pick(req httpapi.PickRequest) (httpapi.Attempt, error) {
	r.update()
	attempt, err := r.router.Pick(routing.Request{
		Model: req.Model, Service: req.Service, PrefixHashes: req.PrefixHashes, Class: req.Class,
		Exclude: req.Exclude, Fingerprint: routing.Fingerprint(req.Fingerprint[:len(routing.Fingerprint{})]),
	})
	if err == nil {
		return routedAttempt{attempt}, nil
	}
	var quarantined *routing.QuarantinedError
	if errors.As(err, &quarantined) {
		return nil, errors.Mark(err, httpapi.ErrQuarantined)
	}
	return nil, errors.Mark(err, httpapi.ErrNoUpstream)
}

// Capacity returns how many requests the upstreams of a pool run at once. Pools
// are named after the model or the service.
func (r *routes) Capacity(pool string) int {
	r.update()
	return max(r.router.Capacity(pool, ""), r.router.Capacity("", pool))
}

type routedAttempt struct{ *routing.Attempt }

var routedResults = map[httpapi.Result]routing.Result{
	httpapi.ResultOK:      routing.ResultOK,
	httpapi.ResultRefused: routing.ResultRefused,
	httpapi.ResultFailed:  routing.ResultFailed,
	httpapi.ResultCrashed: routing.ResultCrashed,
}

// Done implements httpapi.Attempt.
func (a routedAttempt) Done(result httpapi.Result) { a.Attempt.Done(routedResults[result]) }

// admitter makes an admission.Controller usable by the callers' API.
type admitter struct{ controller *admission.Controller }

// Admit implements httpapi.Admission.
func (a admitter) Admit(ctx context.Context, req httpapi.AdmitRequest) (httpapi.Ticket, error) {
	ticket, err := a.controller.Admit(ctx, admission.Request{
		Entry: req.Entry, Team: req.Team, Class: req.Class, Tokens: req.Tokens, Limits: req.Limits, Pool: req.Pool,
	})
	if err == nil {
		return ticket, nil
	}
	var limited *admission.RateLimitedError
	var overloaded *admission.OverloadedError
	switch {
	case errors.As(err, &limited):
		return nil, &httpapi.RateLimitedError{RetryAfter: limited.RetryAfter}
	case errors.As(err, &overloaded):
		return nil, &httpapi.OverloadedError{RetryAfter: overloaded.RetryAfter}
	}
	return nil, err
}

// claims makes claim.Claims usable by the callers' API, which recognises a
// conflict by the body hash of the winner.
type claims struct{ *claim.Claims }

// Claim implements httpapi.Claims.
func (c claims) Claim(ctx context.Context, want record.Claim) (record.Claim, bool, error) {
	winner, won, err := c.Claims.Claim(ctx, want)
	var conflict *claim.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Winner, false, nil
	}
	return winner, won, err
}
