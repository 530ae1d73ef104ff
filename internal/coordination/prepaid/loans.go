package prepaid

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// askFor asks for a waiter that the log has kept waiting.
func (p *partition) askFor(entry string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ask(p.account(entry), w)
}

// ask borrows for a waiter, once. It reports whether it has begun to.
func (p *partition) ask(a *account, w *waiter) bool {
	if w.asked || p.cfg.Peers == nil {
		return false
	}
	w.asked, w.pending = true, true
	lenders, amount := a.lenders(), w.amount
	p.borrow(w, a, func(ctx context.Context) []Loan { return p.cfg.Peers.Borrow(ctx, lenders, a.entry, amount) })
	return true
}

// askHome borrows from the home of the budget what a waiter lacks. It reports
// whether it has begun to.
func (p *partition) askHome(a *account, w *waiter) bool {
	if a.place != placeAway || p.cfg.Peers == nil {
		return false
	}
	w.pending, w.atHome = true, true
	home, lacking := p.cfg.Home(a.entry), w.amount-max(0, p.available(a))
	p.borrow(w, a, func(ctx context.Context) []Loan { return p.cfg.Peers.BorrowFrom(ctx, home, a.entry, lacking) })
	return true
}

func (p *partition) borrow(w *waiter, a *account, call func(context.Context) []Loan) {
	obs.ShareAsksTotal.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		p.borrowed(a, w, call(ctx))
	}()
}

// borrowTimeout bounds the search for a lender.
const borrowTimeout = 250 * time.Millisecond

// borrowed takes over loans and answers the waiters.
func (p *partition) borrowed(a *account, w *waiter, loans []Loan) {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	atHome := w.atHome
	w.pending, w.atHome = false, false
	now := p.cfg.Now()
	for _, l := range loans {
		a.borrowed += l.Amount
		a.loans = append(a.loans, l)
		obs.EventShareBorrowed.Log(p.cfg.Logger, logrus.Fields{
			"entry": a.entry, "lender": l.Lender, "amount": l.Amount, "needed": w.amount,
			"log_age_ms": now.Sub(p.contact).Milliseconds(),
		})
	}
	if atHome || now.Sub(p.contact) < logAwayAfter {
		// A read that has not begun yet may find more.
		p.serve(a, prepaid, time.Time{}, now)
		p.wake()
		return
	}
	// The log will not answer the waiter in time.
	p.serve(a, prepaid, now.Add(time.Nanosecond), now)
}

// Lend gives a part of this VM's share to a request of another VM. It returns
// less than the amount if there is not enough.
func (m *Manager) Lend(entry string, amount int64) int64 {
	prepaid, limited := m.cfg.Prepaid(entry)
	if !limited || amount <= 0 {
		return 0
	}
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if a.overdrawn(prepaid) || len(a.waiters) > 0 {
		return 0
	}
	a.note(amount)
	lent := a.lend(amount, p.cfg.Life.Gap(), p.cfg.Policy, p.cfg.Now())
	p.refill(a)
	return lent
}

// Repaid takes back a part of a loan. It must be called at most once for a part.
func (m *Manager) Repaid(entry string, amount int64) {
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if amount > 0 && amount <= a.lent {
		a.lent -= amount
		a.spent -= amount
		a.rate.add(-amount, p.cfg.Now())
	}
}
