package prepaid

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// borrowForWaiter starts to borrow for a waiter that has waited for the log for borrowDelay.
func (p *partition) borrowForWaiter(entry string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startBorrow(p.account(entry), w)
}

// startBorrow starts to borrow for a waiter, once per waiter. It reports whether it has started. The
// caller holds p.mu.
func (p *partition) startBorrow(a *account, w *waiter) bool {
	if w.borrowTried || p.cfg.Peers == nil {
		return false
	}
	w.borrowTried, w.borrowing = true, true
	obs.BorrowRequestsTotal.Add(1)
	lenders := a.lenders()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		p.addLoans(a, w, p.cfg.Peers.Borrow(ctx, lenders, a.entry, w.amount))
	}()
	return true
}

// borrowTimeout bounds the search for lenders.
const borrowTimeout = 250 * time.Millisecond

// addLoans adds loans to the account and answers the waiters.
func (p *partition) addLoans(a *account, w *waiter, loans []Loan) {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.borrowing = false
	now := p.cfg.Now()
	for _, l := range loans {
		a.borrowed += l.Amount
		a.loans = append(a.loans, l)
		obs.EventShareBorrowed.Log(p.cfg.Logger, logrus.Fields{
			"entry": a.entry, "lender": l.Lender, "amount": l.Amount, "needed": w.amount,
			"log_age_ms": now.Sub(p.lastResponse).Milliseconds(),
		})
	}
	if !p.logUnresponsive(now) {
		// The log responds: the next read may find a larger share.
		p.answerWaiters(a, prepaid, time.Time{}, now)
		p.wake()
		return
	}
	// The log is not expected to respond in time, so waiters that no loan may still cover are refused now.
	// All waiters began to wait before the given time.
	p.answerWaiters(a, prepaid, now.Add(time.Nanosecond), now)
}

// Lend lends tokens of this VM's share for a request of another VM. It returns less than the amount
// if there is not enough.
func (m *Manager) Lend(entry string, amount int64) int64 {
	prepaid, limited := m.cfg.Prepaid(entry)
	if !limited || amount <= 0 {
		return 0
	}
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if a.overcommitted(prepaid) || len(a.waiters) > 0 {
		return 0
	}
	lent := a.lend(amount, p.cfg.Heartbeats.Gap(), p.cfg.Policy)
	p.requestRefill(a)
	return lent
}

// AcceptRepayment takes back unused tokens of a loan. It must be called at most once per repayment.
// It ignores an amount that is not positive or exceeds what is lent.
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
