package httpapi

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	// resolveInterval is the time between two rounds of queries to engines.
	resolveInterval = time.Second
	// queryTimeout bounds one query, so that an engine that does not respond does not delay the requests of
	// the others.
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 16
	// maxUnknownRequests bounds the requests with unknown outcome. When there are more, the oldest is billed
	// at its maximum cost.
	maxUnknownRequests = 16384
)

// UnknownRequest is a request whose outcome is unknown.
type UnknownRequest struct {
	Request     *request.Request
	Reservation budget.Reservation
	Target      string
	// Calls holds one call for each attempt that may have run, oldest first.
	Calls []upstream.Call
	// MaxCost is charged when the usage is not learned in time.
	MaxCost int64
	// ReportsUsage is true when the upstreams can report the usage.
	ReportsUsage bool

	since time.Time
}

// OutcomeResolver bills requests whose outcome is unknown: by the usage that an engine reports or, after a
// delay, at their maximum cost.
type OutcomeResolver struct {
	Budget  Budget
	Engines Engines
	Holder  record.HolderID
	// Delay is the time after which a request is billed at its maximum cost.
	Delay  time.Duration
	Logger logrus.FieldLogger
	Now    func() time.Time

	mu      sync.Mutex
	pending []UnknownRequest
}

// Add makes the resolver responsible for a request and its reservation.
func (r *OutcomeResolver) Add(req UnknownRequest) {
	req.since = r.Now()
	for i := range req.Calls {
		req.Calls[i].Body = nil
	}
	r.mu.Lock()
	r.pending = append(r.pending, req)
	var oldest *UnknownRequest
	if len(r.pending) > maxUnknownRequests {
		oldest = &r.pending[0]
		r.pending = r.pending[1:]
	}
	r.mu.Unlock()
	if oldest != nil {
		r.bill(*oldest, nil, outcomeUnknown)
	}
}

// Len returns the number of requests whose outcome is still unknown.
func (r *OutcomeResolver) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Run calls Resolve periodically until the context ends.
func (r *OutcomeResolver) Run(ctx context.Context) {
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Resolve(ctx)
		}
	}
}

// Resolve queries the usage of each pending request once. It must not be called concurrently.
func (r *OutcomeResolver) Resolve(ctx context.Context) {
	r.forEach(func(req UnknownRequest) {
		switch usage, found := r.queryUsage(ctx, req); {
		case found:
			r.bill(req, &usage, outcomeFound)
		case r.Now().Sub(req.since) >= r.Delay:
			r.bill(req, nil, outcomeUnknown)
		default:
			r.requeue(req)
		}
	})
}

// Close queries the usage once more and bills the remaining requests at their maximum cost, because nothing
// else knows of these requests after the process has ended.
func (r *OutcomeResolver) Close(ctx context.Context) {
	r.forEach(func(req UnknownRequest) {
		if usage, found := r.queryUsage(ctx, req); found {
			r.bill(req, &usage, outcomeFound)
			return
		}
		r.bill(req, nil, outcomeUnknown)
	})
}

// forEach removes all pending requests, handles them concurrently and waits for the end.
func (r *OutcomeResolver) forEach(handle func(UnknownRequest)) {
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for _, req := range r.takeAll() {
		workers.Go(func() { handle(req) })
	}
	workers.Wait()
}

func (r *OutcomeResolver) takeAll() []UnknownRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

func (r *OutcomeResolver) requeue(req UnknownRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, req)
}

// queryUsage returns the final usage of the latest attempt that its engine knows. A run that is still in
// progress is canceled, because nobody reads its response. If its usage is not final then, it is queried again
// later.
func (r *OutcomeResolver) queryUsage(ctx context.Context, req UnknownRequest) (chat.Usage, bool) {
	if !req.ReportsUsage {
		return chat.Usage{}, false
	}
	for i := len(req.Calls) - 1; i >= 0; i-- {
		usage, err := r.queryCallUsage(ctx, req.Calls[i])
		if err == nil && usage.Final() {
			return usage.Usage, true
		}
		if err == nil {
			return chat.Usage{}, false
		}
	}
	return chat.Usage{}, false
}

func (r *OutcomeResolver) queryCallUsage(ctx context.Context, call upstream.Call) (chat.RunUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	usage, err := r.Engines.Usage(ctx, call)
	if err != nil || usage.Final() {
		return usage, err
	}
	stopped, err := r.Engines.Cancel(ctx, call)
	if errors.Is(err, upstream.ErrNotHeld) {
		// Another attempt of the same request has attached to the run, so it goes on.
		return usage, nil
	}
	return stopped, err
}

func (r *OutcomeResolver) bill(req UnknownRequest, usage *chat.Usage, outcome string) {
	bill := newBill(req.Target, usage, req.MaxCost, outcome)
	if err := req.Request.Resolve(bill); err != nil {
		return
	}
	if usage != nil && usage.HeldByOther(string(r.Holder)) {
		r.Budget.Release(req.Reservation)
	} else {
		r.Budget.Settle(req.Reservation, settlement(bill))
	}
	obs.UnknownResolvedTotal.Add(1)
	obs.EventUnknownOutcomeBilled.Log(r.Logger, logrus.Fields{
		"request_id": req.Request.ID(), "outcome": outcome, "charged": bill.Charged,
	})
}
