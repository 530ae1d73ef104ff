package prepaid

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// A loan moves unused tokens of a share to another VM. Its messages may be lost, repeated or late, so that a loan has an ID
// and the borrower states the total that it has repaid. A borrower that got no response to its request repays the whole
// loan: it will not use it, whether or not the lender has lent anything.

// Loan is tokens that another VM has lent from its share.
type Loan struct {
	// ID is chosen by the borrower.
	ID     string
	Lender string
	// Amount is what is not repaid.
	Amount int64
	// Repaid is the total that was repaid.
	Repaid int64
}

// RepaidAll is the total of a repayment that returns a loan of unknown amount.
const RepaidAll = int64(1) << 62

// givenLoan is a loan to another VM.
type givenLoan struct {
	amount, repaid int64
	at             time.Time
}

// givenRetention is how long a lender knows a loan. It exceeds the time in which borrowers repay.
const givenRetention = 10 * time.Minute

const (
	// lendFactor and lendDivisor bound what is lent beyond the amount, so that the next requests
	// need no loan.
	lendFactor  = 4
	lendDivisor = 4
	// minLoan is the smallest useful loan, in tokens.
	minLoan = 256
)

// lenders returns the VMs that may lend, those with the most headroom first. It leaves out those that could not lend what
// was asked for a short time ago: while the log does not respond, their records do not show it.
func (a *account) lenders(now time.Time) []string {
	var names []string
	for vm, r := range a.others {
		if r.headroom() > 0 && now.Sub(a.drainedAt[vm]) >= drainedRetry {
			names = append(names, vm)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Compare(a.others[y].headroom(), a.others[x].headroom())
	})
	return names
}

// drainedRetry is how long a VM is not asked again after it could not lend what was asked. During a heartbeat gap it may
// lend more with time.
const drainedRetry = time.Second

// noteDrained records the VMs that could not lend what was asked.
func (a *account) noteDrained(vms []string, now time.Time) {
	if a.drainedAt == nil {
		a.drainedAt = make(map[string]time.Time)
	}
	for _, vm := range vms {
		a.drainedAt[vm] = now
	}
}

// lend lends tokens for a request of another VM: the amount, more if there is plenty, or what is
// available if that is at least minLoan. It returns the lent amount. The answer to a repeated request is the same, and
// nothing is lent for a request that arrives after its repayment.
func (a *account) lend(id string, amount int64, gaps heartbeat.Gaps, p Policy, bulk bool, now time.Time) int64 {
	if known := a.given[id]; known != nil {
		return known.amount - known.repaid
	}
	spendable := a.available(gaps, p)
	if spendable < min(amount, minLoan) {
		return 0
	}
	lent := min(spendable, max(amount, min(lendFactor*amount, spendable/lendDivisor)))
	if bulk {
		// The borrower has asked for its next requests too. Loans that cover no request are too many.
		if lent = min(spendable, amount); lent < min(amount, int64(a.meanRequest)) {
			return 0
		}
	}
	a.spent += lent
	a.lent += lent
	a.given[id] = &givenLoan{amount: lent, at: now}
	return lent
}

// acceptRepayment takes back what is repaid of a loan, given the total that the borrower has repaid.
func (a *account) acceptRepayment(id string, total int64, now time.Time) {
	loan := a.given[id]
	if loan == nil {
		// The request for the loan may still arrive. Of a loan that an earlier process gave, nothing comes back.
		a.given[id] = &givenLoan{at: now}
		return
	}
	returned := min(total, loan.amount) - loan.repaid
	if returned <= 0 {
		return
	}
	loan.repaid += returned
	a.lent -= returned
	a.spent -= returned
}

// forgetGiven forgets loans that are too old to be repaid.
func (a *account) forgetGiven(now time.Time) {
	maps.DeleteFunc(a.given, func(_ string, l *givenLoan) bool { return now.Sub(l.at) > givenRetention })
}

// repay is repayAllBut with nothing to keep.
func (a *account) repay() (Loan, bool) { return a.repayAllBut(0) }

// repayAllBut removes the unused part of the latest loan, but for the tokens to keep, and returns the loan with the total
// to repay.
func (a *account) repayAllBut(keep int64) (Loan, bool) {
	unused := a.borrowed - a.spent - a.reserved - keep
	if unused <= 0 || len(a.loans) == 0 || len(a.waiters) > 0 {
		return Loan{}, false
	}
	last := &a.loans[len(a.loans)-1]
	amount := min(unused, last.Amount)
	a.borrowed -= amount
	last.Amount -= amount
	last.Repaid += amount
	repayment := *last
	if last.Amount == 0 {
		a.loans = a.loans[:len(a.loans)-1]
	}
	return repayment, true
}

// borrowForWaiter starts to borrow for a waiter that has waited for the log for borrowDelay.
func (p *partition) borrowForWaiter(entry string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startBorrow(p.account(entry), w)
}

// startBorrow starts to borrow for a waiter, once per waiter. Waiters that come while the account borrows share the next
// search. It reports whether the waiter may get a loan. The caller holds p.mu.
func (p *partition) startBorrow(a *account, w *waiter) bool {
	if w.borrowTried || p.cfg.Peers == nil {
		w.borrowTried = true
		return false
	}
	w.borrowTried, w.borrowing = true, true
	if !a.borrowing {
		p.searchLenders(a)
	}
	return true
}

// searchLenders borrows for the waiters of an account that have not been served yet. The caller holds p.mu.
func (p *partition) searchLenders(a *account) {
	a.borrowing = true
	obs.BorrowRequestsTotal.Add(1)
	now := p.cfg.Now()
	var served []*waiter
	amount := int64(0)
	for _, w := range a.waiters {
		if w.borrowing {
			served = append(served, w)
			amount += w.amount
		}
	}
	ahead := int64(borrowAhead.Seconds() * a.demand.perSecond(now))
	lenders := a.lenders(now)
	if p.bulk() {
		ahead = max(0, p.bulkAhead(a, now)-max(0, p.available(a)))
		lenders = p.bulkLenders(a, lenders, amount+ahead, now)
	}
	amount += ahead
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		loans, drained := p.cfg.Peers.Borrow(ctx, lenders, a.entry, amount)
		p.addLoans(a, served, loans, drained)
	}()
}

const (
	// borrowTimeout bounds the search for lenders.
	borrowTimeout = 250 * time.Millisecond
	// borrowAhead is the time for which more is borrowed at the present demand, so that the next requests need no loan.
	borrowAhead = 500 * time.Millisecond
)

// addLoans adds loans to the account and answers the waiters for which they were searched.
func (p *partition) addLoans(a *account, served []*waiter, loans []Loan, drained []string) {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a.borrowing = false
	for _, w := range served {
		w.borrowing = false
		p.borrowAgainLater(a, w)
	}
	now := p.cfg.Now()
	a.noteDrained(drained, now)
	for _, l := range loans {
		a.borrowed += l.Amount
		a.loans = append(a.loans, l)
		obs.EventShareBorrowed.Log(p.cfg.Logger, logrus.Fields{
			"entry": a.entry, "lender": l.Lender, "amount": l.Amount, "waiters": len(served),
			"log_age_ms": now.Sub(p.lastResponse).Milliseconds(),
		})
	}
	if p.logUnresponsive(now) {
		// The log is not expected to respond in time, so waiters that no loan may still cover are refused now.
		// All waiters began to wait before the given time.
		p.answerWaiters(a, prepaid, now.Add(time.Nanosecond), now)
	} else {
		// The next read may find a larger share.
		p.answerWaiters(a, prepaid, time.Time{}, now)
		if len(a.waiters) > 0 || !p.bulk() {
			p.wake()
		}
	}
	if slices.ContainsFunc(a.waiters, func(w *waiter) bool { return w.borrowing }) && !a.borrowing {
		p.searchLenders(a)
	}
}

// Lend lends tokens of this VM's share for a request of another VM. It returns less than the amount
// if there is not enough. The ID is that of the loan.
func (m *Manager) Lend(entry, id string, amount int64) int64 {
	prepaid, limited := m.cfg.Prepaid(entry)
	if !limited || amount <= 0 || id == "" {
		return 0
	}
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if a.overcommitted(prepaid) || len(a.waiters) > 0 {
		return 0
	}
	now := p.cfg.Now()
	a.forgetGiven(now)
	lent := a.lend(id, amount, p.cfg.Heartbeats.Gaps(), p.cfg.Policy, p.bulk(), now)
	if routers := p.cfg.Routers(); p.bulk() {
		if holders, _ := p.holders(entry, routers); holders < routers {
			a.demand.add(lent, now) // the borrowers record no demand
			if lent < amount {
				a.lendShort = max(a.lendShort, amount-lent)
				p.wake()
			}
		}
	}
	p.requestRefill(a)
	return lent
}

// AcceptRepayment takes back unused tokens of a loan, given the total that the borrower has repaid. It may be called
// repeatedly and in any order. It ignores what exceeds the loan.
func (m *Manager) AcceptRepayment(entry, id string, total int64) {
	if total <= 0 || id == "" {
		return
	}
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(entry).acceptRepayment(id, total, p.cfg.Now())
}
