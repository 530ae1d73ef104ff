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
	obs.ShareAsksTotal.Add(1)
	lenders := a.lenders()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		p.borrowed(a, w, p.cfg.Peers.Borrow(ctx, lenders, a.entry, w.amount))
	}()
	return true
}

// borrowTimeout bounds the search for a lender.
const borrowTimeout = 250 * time.Millisecond

// borrowed takes over loans and answers the waiters.
func (p *partition) borrowed(a *account, w *waiter, loans []Loan) {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pending = false
	now := p.cfg.Now()
	for _, l := range loans {
		a.borrowed += l.Amount
		a.loans = append(a.loans, l)
		obs.EventShareBorrowed.Log(p.cfg.Logger, logrus.Fields{
			"entry": a.entry, "lender": l.Lender, "amount": l.Amount, "needed": w.amount,
			"log_age_ms": now.Sub(p.contact).Milliseconds(),
		})
	}
	if !p.away(now) {
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
	lent := a.lend(amount, p.cfg.Heartbeats.Gap(), p.cfg.Policy)
	p.refill(a)
	return lent
}

// AcceptRepayment takes back a part of a loan. It must be called at most once for a part.
func (m *Manager) AcceptRepayment(entry string, amount int64) {
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if amount > 0 && amount <= a.lent {
		a.lent -= amount
		a.spent -= amount
	}
}
