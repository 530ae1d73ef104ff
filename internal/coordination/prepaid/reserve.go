package prepaid

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// Causes of a reservation that failed but may succeed later.
var (
	errLogUnresponsive = errors.New("share used up and the log does not respond")
	errHeldByOthers    = errors.New("rest of the budget is held by other routers")
	// errRateLimited and errLogBusy are causes while the log responds.
	errRateLimited = errors.New("share used up and the rate limit of calls to the log is reached")
	errLogBusy     = errors.New("share used up and could not be raised in time, because other routers wrote to the log first")
)

const (
	// reserveWait bounds the wait for a larger share. The log usually responds within 20 ms; one that
	// is 20 times slower still responds in time.
	reserveWait = 400 * time.Millisecond
	// retryAfterHeld is the retry delay for callers when other routers hold the missing tokens.
	// Routers return what they do not need with their next reports.
	retryAfterHeld = time.Second
	// retryAfterLogDown is the retry delay for callers while the log does not respond: another
	// router may have a larger share.
	retryAfterLogDown = 250 * time.Millisecond
	// logUnresponsiveAfter is the time since the last successful read or conditional append from which
	// other VMs are asked at once, if a sync has failed and no read or append has succeeded since.
	logUnresponsiveAfter = 1500 * time.Millisecond
	// refillInterval is the least time since the last successful read or conditional append after which
	// a sync is requested to raise a base limit for which nothing waits.
	refillInterval = 100 * time.Millisecond
	// denialTTL is how long an amount that no other VM could lend is not asked for again.
	denialTTL = 400 * time.Millisecond
	// exhaustionTTL is how long a read of the log proves that a budget is exhausted. Running
	// requests that end in the meantime may release tokens.
	exhaustionTTL = 300 * time.Millisecond
)

// Reserve reserves the upper bound of a request. It fails with budget.ErrExhausted if the budget
// does not cover it, and with a budget.UnavailableError if that is not known. It may wait up to
// reserveWait for a larger share.
func (m *Manager) Reserve(ctx context.Context, req budget.ReserveRequest) (budget.Reservation, error) {
	res := budget.Reservation{RequestID: req.RequestID, Entry: req.Entry, Holder: m.cfg.Process}
	prepaid, limited := m.cfg.Prepaid(req.Entry.Name)
	if !limited || req.Amount <= 0 {
		return res, nil
	}
	res.Amount = req.Amount
	p := m.partitionOf(req.Entry.Name)
	w, err := p.reserve(req.Entry.Name, req.Amount, prepaid)
	if w == nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	borrowTimer := time.NewTimer(borrowDelay)
	defer borrowTimer.Stop()
	for {
		select {
		case err = <-w.done:
			return res, err
		case <-borrowTimer.C:
			p.borrowForWaiter(req.Entry.Name, w)
		case <-ctx.Done():
			if p.cancelWait(req.Entry.Name, w) {
				cause := p.timeoutCause(w)
				p.noteTimeout(req.Entry.Name, req.Amount, cause)
				return res, &budget.UnavailableError{RetryAfter: retryAfterLogDown, Cause: cause}
			}
			return res, <-w.done
		}
	}
}

// timeoutCause is why a waiter was not answered in time.
func (p *partition) timeoutCause(w *waiter) error {
	// LogRateLimited may lock what is held while partition.priority is called, so p.mu must not be held here.
	limited := p.cfg.LogRateLimited != nil && p.cfg.LogRateLimited()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.failing:
		return errLogUnresponsive
	case limited, p.rateLimitedAt.After(w.since):
		return errRateLimited
	case p.lastResponse.After(w.since):
		return errLogBusy
	}
	return errLogUnresponsive
}

// borrowDelay is how long a request waits for the log before other VMs are asked.
const borrowDelay = 40 * time.Millisecond

// reserve reserves the amount from the share, returns a waiter for a larger share, or fails.
func (p *partition) reserve(entry string, amount, prepaid int64) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	a := p.account(entry)
	a.addToMean(amount)
	a.lastReservation = now
	if len(a.waiters) == 0 && p.available(a) >= amount && !a.overcommitted(prepaid) {
		a.reserved += amount
		p.lastReservation = now
		p.requestRefill(a)
		return nil, nil
	}
	if p.exhausted(a, amount, prepaid, now) {
		return nil, budget.ErrExhausted
	}
	if amount >= a.deniedAmount && now.Sub(a.deniedAt) < denialTTL && len(a.waiters) == 0 {
		p.noteUnreachable(a, amount, errHeldByOthers)
		return nil, &budget.UnavailableError{RetryAfter: retryAfterHeld, Cause: errHeldByOthers}
	}
	w := &waiter{amount: amount, since: now, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	p.lastReservation = now
	if _, holds := p.holders(entry, p.cfg.Routers()); !holds && p.startBorrow(a, w) {
		return w, nil // a share is raised if nothing is lent
	}
	if p.logUnresponsive(now) {
		p.startBorrow(a, w)
	}
	p.wake()
	return w, nil
}

// exhausted reports whether it is proven that the budget does not cover an amount. Shortly after a read of the log, running
// requests count at their upper bounds. While the log does not respond they may have ended with less, but what was
// spent stays spent, unless a newer configuration has raised the budget. The caller holds p.mu.
func (p *partition) exhausted(a *account, amount, prepaid int64, now time.Time) bool {
	freshness := p.cfg.Policy.RecordFreshness
	switch {
	case !p.loaded:
		return false
	case now.Sub(p.lastResponse) < exhaustionTTL:
		// With unrecorded loans, some of what counts as spent may be repaid.
		return !a.loansUnrecorded && a.remaining(prepaid, now, freshness) < amount || p.nowhereSpendable(a, amount, prepaid, now)
	case a.loansUnrecorded || !p.logUnresponsive(now) || p.cfg.ConfigStale != nil && p.cfg.ConfigStale():
		return false
	}
	others := a.totals(now, freshness)
	others.inFlight = 0
	return a.reachable(prepaid, others, now)+a.reserved < amount
}

// unspendableTime is how long the records must show that no request can be covered anywhere. By then loans and repayments
// that were under way are in them.
const unspendableTime = 2 * time.Second

// nowhereSpendable reports whether no router can cover an amount, and none could for unspendableTime. The caller holds p.mu.
func (p *partition) nowhereSpendable(a *account, amount, prepaid int64, now time.Time) bool {
	tokens, known := a.spendable(prepaid, now, p.cfg.Policy.RecordFreshness)
	if !known || tokens >= amount || a.loansUnrecorded && a.coveredAt.IsZero() {
		a.coveredAt = now
		return false
	}
	limit := unspendableTime
	if a.loansUnrecorded {
		// Routers that hold no share do not record what they have borrowed.
		limit += unrecordedLoanTime
	}
	return now.Sub(a.coveredAt) >= limit
}

// requestRefill requests a sync when the unused part of the base limit is small. The caller holds
// p.mu.
func (p *partition) requestRefill(a *account) {
	now := p.cfg.Now()
	if a.available(heartbeat.Gaps{}, p.cfg.Policy) < a.baseHeadroom(now, p.cfg.Policy, 0)/2 && now.Sub(p.lastResponse) > refillInterval {
		p.wake()
	}
}

// available is what a new request may take of a budget without waiting. The caller holds p.mu.
func (p *partition) available(a *account) int64 {
	return a.available(p.cfg.Heartbeats.Gaps(), p.cfg.Policy)
}

// addToMean adds the upper bound of a request to the moving average.
func (a *account) addToMean(amount int64) {
	if a.meanRequest == 0 {
		a.meanRequest = float64(amount)
	}
	a.meanRequest += (float64(amount) - a.meanRequest) * meanWeight
}

// meanWeight is the weight of one request in the moving average.
const meanWeight = 0.05

// cancelWait removes a waiter. It reports false if the waiter was already served or refused.
func (p *partition) cancelWait(entry string, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends a reservation and charges the settled amount, but at most the reserved one.
func (m *Manager) Settle(res budget.Reservation, st budget.Settlement) budget.Balance {
	if res.Amount == 0 {
		return budget.Balance{}
	}
	obs.ChargedTokensTotal.Add(st.Charged)
	return m.endReservation(res, min(st.Charged, res.Amount))
}

// Release ends the reservation of a request that was never sent.
func (m *Manager) Release(res budget.Reservation) {
	if res.Amount != 0 {
		m.endReservation(res, 0)
	}
}

func (m *Manager) endReservation(res budget.Reservation, charged int64) budget.Balance {
	prepaid, _ := m.cfg.Prepaid(res.Entry.Name)
	p := m.partitionOf(res.Entry.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(res.Entry.Name)
	now := p.cfg.Now()
	a.reserved -= res.Amount
	a.spent += charged
	a.demand.add(charged, now)
	p.answerWaiters(a, prepaid, time.Time{}, now)
	return budget.Balance{Remaining: a.remaining(prepaid, now, p.cfg.Policy.RecordFreshness)}
}

// answerWaiters serves the waiters of an account that the share covers. Of the others it refuses
// those that began to wait before readBegan, the start of a read of the log that has ended, unless a
// loan may still cover them. With a zero readBegan it refuses none. The caller holds p.mu.
func (p *partition) answerWaiters(a *account, prepaid int64, readBegan, now time.Time) {
	if len(a.waiters) == 0 {
		return
	}
	usable := !a.overcommitted(prepaid)
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case usable && p.available(a) >= w.amount:
			a.reserved += w.amount
			w.done <- nil
		case !w.since.Before(readBegan):
			kept = append(kept, w)
		case p.exhausted(a, w.amount, prepaid, now):
			w.done <- budget.ErrExhausted
		case p.startBorrow(a, w) || w.borrowing || w.borrowAgain:
			kept = append(kept, w)
		default:
			a.deniedAt, a.deniedAmount = now, w.amount
			p.noteUnreachable(a, w.amount, errHeldByOthers)
			w.done <- &budget.UnavailableError{RetryAfter: retryAfterHeld, Cause: errHeldByOthers}
		}
	}
	a.waiters = kept
}
