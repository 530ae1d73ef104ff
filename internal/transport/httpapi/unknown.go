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
	// resolveInterval is the time between two rounds of questions to engines.
	resolveInterval = time.Second
	// askTimeout bounds one question, so that a dead engine does not hold up the
	// requests of the others.
	askTimeout = 2 * time.Second
	// askWorkers bounds the questions at a time.
	askWorkers = 16
	// maxUnknown bounds the unknown requests kept. The oldest is billed at its
	// bound when there are more.
	maxUnknown = 16384
)

// Lost is a request whose outcome is not known.
type Lost struct {
	Request     *request.Request
	Reservation budget.Reservation
	Target      string
	// Calls are the attempts that may have run, oldest first.
	Calls []upstream.Call
	// Bound is charged when the usage is not found in time.
	Bound int64
	// Asks is true when the upstreams can tell the usage.
	Asks bool

	since time.Time
}

// OutcomeResolver bills requests whose outcome is not known: by the usage that an
// engine tells, or at the upper bound after a delay.
type OutcomeResolver struct {
	Budget  Budget
	Engines Engines
	Holder  record.HolderID
	// Delay is the time after which the upper bound is billed.
	Delay  time.Duration
	Logger logrus.FieldLogger
	Now    func() time.Time

	mu   sync.Mutex
	lost []Lost
}

// Add takes over a request and its reservation.
func (r *OutcomeResolver) Add(l Lost) {
	l.since = r.Now()
	for i := range l.Calls {
		l.Calls[i].Body = nil
	}
	r.mu.Lock()
	r.lost = append(r.lost, l)
	var oldest *Lost
	if len(r.lost) > maxUnknown {
		oldest = &r.lost[0]
		r.lost = r.lost[1:]
	}
	r.mu.Unlock()
	if oldest != nil {
		r.bill(*oldest, nil, outcomeUnknown)
	}
}

// Len returns the number of unknown requests.
func (r *OutcomeResolver) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lost)
}

// Run asks for the usage of unknown requests until the context ends.
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

// Resolve asks once for each unknown request. It is not called concurrently.
func (r *OutcomeResolver) Resolve(ctx context.Context) {
	r.each(func(l Lost) {
		switch usage, found := r.ask(ctx, l); {
		case found:
			r.bill(l, &usage, outcomeFound)
		case r.Now().Sub(l.since) >= r.Delay:
			r.bill(l, nil, outcomeUnknown)
		default:
			r.keep(l)
		}
	})
}

// Close asks once more and bills the rest at the upper bound: after the process
// ends, nobody else knows these requests.
func (r *OutcomeResolver) Close(ctx context.Context) {
	r.each(func(l Lost) {
		if usage, found := r.ask(ctx, l); found {
			r.bill(l, &usage, outcomeFound)
			return
		}
		r.bill(l, nil, outcomeUnknown)
	})
}

// each takes all unknown requests and waits until they were handled.
func (r *OutcomeResolver) each(handle func(Lost)) {
	workers := pool.New().WithMaxGoroutines(askWorkers)
	for _, l := range r.take() {
		workers.Go(func() { handle(l) })
	}
	workers.Wait()
}

func (r *OutcomeResolver) take() []Lost {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lost
	r.lost = nil
	return lost
}

func (r *OutcomeResolver) keep(l Lost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, l)
}

// ask returns the usage of the latest attempt that its engine knows. A run that
// goes on is stopped, since nobody reads it; it is asked for again later.
func (r *OutcomeResolver) ask(ctx context.Context, l Lost) (chat.Usage, bool) {
	if !l.Asks {
		return chat.Usage{}, false
	}
	for i := len(l.Calls) - 1; i >= 0; i-- {
		usage, err := r.askCall(ctx, l.Calls[i])
		if err == nil && usage.Final() {
			return usage.Usage, true
		}
		if err == nil {
			return chat.Usage{}, false
		}
	}
	return chat.Usage{}, false
}

func (r *OutcomeResolver) askCall(ctx context.Context, call upstream.Call) (chat.StreamUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	usage, err := r.Engines.Usage(ctx, call)
	if err != nil || usage.Final() {
		return usage, err
	}
	stopped, err := r.Engines.Cancel(ctx, call)
	if errors.Is(err, upstream.ErrNotHeld) {
		// Another attempt of the same request reads the run.
		return usage, nil
	}
	return stopped, err
}

func (r *OutcomeResolver) bill(l Lost, usage *chat.Usage, outcome string) {
	bill := newBill(l.Target, usage, l.Bound, outcome)
	if err := l.Request.Resolve(bill); err != nil {
		return
	}
	if usage != nil && usage.HeldByOther(string(r.Holder)) {
		r.Budget.Release(l.Reservation)
	} else {
		r.Budget.Settle(l.Reservation, settlement(bill))
	}
	obs.UnknownResolvedTotal.Add(1)
	obs.EventUnknownOutcomeBilled.Log(r.Logger, logrus.Fields{
		"request_id": l.Request.ID(), "outcome": outcome, "charged": bill.Charged,
	})
}
