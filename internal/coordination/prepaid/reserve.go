package prepaid

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// errors of a reservation that may succeed later.
var (
	errLogAway = errors.New("the share is used up and the log does not answer")
	errHeld    = errors.New("the rest of the budget is held by other routers")
)

const (
	// reserveWait bounds the wait for a larger share. A log that is slow by a
	// factor of 20 answers within it.
	reserveWait = 400 * time.Millisecond
	// retryHeld is told when other routers hold what is missing; what they do not
	// need goes back to the log within their next reports.
	retryHeld = time.Second
	// retryLogAway is told while the log does not answer: another router may hold
	// a larger share.
	retryLogAway = 250 * time.Millisecond
	// logAwayAfter is the time without an answer after a failed call, after which
	// other VMs are asked at once.
	logAwayAfter = 1500 * time.Millisecond
	// refillPause is the least time between two looks for a larger share while
	// nothing waits.
	refillPause = 100 * time.Millisecond
	// deniedFor is how long no other VM is asked again for as much as none had.
	deniedFor = 400 * time.Millisecond
	// provenFor is how long a read of the log proves that a budget is used up.
	// Running requests that end meanwhile may give back a part.
	provenFor = 300 * time.Millisecond
)

// Reserve takes the upper bound of a request. It fails with budget.ErrExhausted
// when the budget does not cover it, and with a budget.UnavailableError when
// that is not known. It may wait up to reserveWait for a larger share.
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
	impatient := time.NewTimer(logPatience)
	defer impatient.Stop()
	for {
		select {
		case err = <-w.done:
			return res, err
		case <-impatient.C:
			p.askFor(req.Entry.Name, w)
		case <-ctx.Done():
			if p.cancelWait(req.Entry.Name, w) {
				return res, &budget.UnavailableError{RetryAfter: retryLogAway, Cause: errLogAway}
			}
			return res, <-w.done
		}
	}
}

// logPatience is how long a request waits for the log before other VMs are asked.
const logPatience = 40 * time.Millisecond

// reserve takes the amount from the share, or returns a waiter for a larger one.
func (p *partition) reserve(entry string, amount, prepaid int64) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	a := p.account(entry)
	a.note(amount)
	if len(a.waiters) == 0 && p.available(a) >= amount && !a.overdrawn(prepaid) {
		a.reserved += amount
		p.used = now
		p.refill(a)
		return nil, nil
	}
	if p.loaded && now.Sub(p.contact) < provenFor && a.remaining(prepaid, now, p.cfg.Policy.Fresh) < amount {
		return nil, budget.ErrExhausted
	}
	if amount >= a.deniedAmount && now.Sub(a.deniedAt) < deniedFor && len(a.waiters) == 0 {
		return nil, &budget.UnavailableError{RetryAfter: retryHeld, Cause: errHeld}
	}
	w := &waiter{amount: amount, since: now, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	p.used = now
	if p.away(now) {
		p.ask(a, w)
	}
	p.wake()
	return w, nil
}

// refill asks for a larger open part before it is used up.
func (p *partition) refill(a *account) {
	now := p.cfg.Now()
	if a.available(0, p.cfg.Policy) < a.window(now, p.cfg.Policy, 0)/2 && now.Sub(p.contact) > refillPause {
		p.wake()
	}
}

// available is what a new request may take of a budget without asking.
func (p *partition) available(a *account) int64 {
	return a.available(p.cfg.Heartbeats.Gap(), p.cfg.Policy)
}

// note takes the bound of a request into the mean.
func (a *account) note(amount int64) {
	if a.mean == 0 {
		a.mean = float64(amount)
	}
	a.mean += (float64(amount) - a.mean) * meanWeight
}

// meanWeight is the weight of one request in the mean.
const meanWeight = 0.05

// cancelWait removes a waiter. It reports false for one that was answered.
func (p *partition) cancelWait(entry string, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	for i, o := range a.waiters {
		if o == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends a reservation with what the request used.
func (m *Manager) Settle(res budget.Reservation, st budget.Settlement) budget.Balance {
	if res.Amount == 0 {
		return budget.Balance{}
	}
	obs.ChargedTokensTotal.Add(st.Charged)
	return m.end(res, min(st.Charged, res.Amount))
}

// Release ends the reservation of a request that did not run.
func (m *Manager) Release(res budget.Reservation) {
	if res.Amount != 0 {
		m.end(res, 0)
	}
}

func (m *Manager) end(res budget.Reservation, charged int64) budget.Balance {
	prepaid, _ := m.cfg.Prepaid(res.Entry.Name)
	p := m.partitionOf(res.Entry.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(res.Entry.Name)
	now := p.cfg.Now()
	a.reserved -= res.Amount
	a.spent += charged
	a.rate.add(charged, now)
	p.serve(a, prepaid, time.Time{}, now)
	return budget.Balance{Remaining: a.remaining(prepaid, now, p.cfg.Policy.Fresh)}
}

// serve answers the waiters that the share covers, and those that it does not
// cover if they came before a read of the log that has ended.
func (p *partition) serve(a *account, prepaid int64, readBegan, now time.Time) {
	if len(a.waiters) == 0 {
		return
	}
	usable := !a.overdrawn(prepaid)
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case usable && p.available(a) >= w.amount:
			a.reserved += w.amount
			w.done <- nil
		case !w.since.Before(readBegan):
			kept = append(kept, w)
		case a.remaining(prepaid, now, p.cfg.Policy.Fresh) < w.amount:
			w.done <- budget.ErrExhausted
		case p.ask(a, w) || w.pending:
			kept = append(kept, w)
		default:
			a.deniedAt, a.deniedAmount = now, w.amount
			w.done <- &budget.UnavailableError{RetryAfter: retryHeld, Cause: errHeld}
		}
	}
	a.waiters = kept
}
