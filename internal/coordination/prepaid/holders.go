package prepaid

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// In a large fleet whose log accepts a limited rate of calls, the shares of a small budget are held by few VMs. The others
// borrow from them, several requests' worth at a time, and write no records. Which VMs hold shares is a hint: VMs that
// disagree about it never overspend, since each share is granted by the log. A VM to which nobody lends raises a share of
// its own.

const (
	// BulkRouters is the number of routers above which shares are held by few VMs.
	BulkRouters = 16
	// holdersPerRouter bounds the records of the fleet: a VM holds shares of about as many budgets of mean size. A budget
	// with 1/holdersPerRouter of all prepaid tokens is held by all.
	holdersPerRouter = 2
	// minHolders is the least number of VMs that hold shares of a budget. They must not all be gone at the same time.
	minHolders = 4
	// lenderBaseRequests is the number of requests of mean size that the base limit of a holder covers at least, so that it
	// can lend to several VMs before its next report. The base limit is lost if all processes are: with 8, 0.04 more of the
	// tokens are lost when a fleet is killed.
	lenderBaseRequests = 4
	// bulkTime is the time for which a VM borrows at its present demand, and bulkRequests the least number of requests.
	bulkTime     = 6 * time.Second
	bulkRequests = 3
	// bulkDivisor bounds what all VMs together borrow ahead, as the inverse of a fraction of what can be spent. It is lost if
	// all processes are: with 4, 0.02 more of the tokens are lost when a fleet is killed.
	bulkDivisor = 8
	// keepLoanTime is how long after the last request of a budget its unused loans are kept.
	keepLoanTime = 4 * time.Second
	// unrecordedLoanTime is the time after which routers have read how little is left, and have repaid what they borrowed
	// ahead. It exceeds keepLoanTime and the greatest age of the records at a router with requests.
	unrecordedLoanTime = 10 * time.Second
	// unaskedRaiseInterval is the mean time, per holder, over which raises of shares for which nothing waits are spread at
	// the start and after a conflict, so that they conflict less.
	unaskedRaiseInterval = 8 * time.Millisecond
	// bulkBorrowRetry is the time between two searches for a waiter, and bulkBorrowTime the time after which a VM that
	// holds no share raises one instead.
	bulkBorrowRetry = 50 * time.Millisecond
	bulkBorrowTime  = 300 * time.Millisecond
	// bulkMaxLenders is the number of lenders of one search.
	bulkMaxLenders = 8
	// bulkConflictBackoff is conflictBackoff per holder where calls to the log are saved.
	bulkConflictBackoff = 2 * time.Millisecond
)

// HoldersOf returns the VMs that hold shares of a budget: those that a rendezvous hash of the entry ranks first, and the
// more the larger the fraction prepaid/total of all prepaid tokens is. It returns nil if all hold shares.
func HoldersOf(entry string, vms []string, prepaid, total int64) []string {
	if len(vms) <= BulkRouters || total <= 0 {
		return nil
	}
	count := max(minHolders, int(math.Ceil(float64(len(vms))*holdersPerRouter*float64(prepaid)/float64(total))))
	if count >= len(vms) {
		return nil
	}
	type ranked struct {
		vm   string
		rank uint64
	}
	all := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		h := fnv.New64a()
		_, _ = h.Write([]byte(entry))
		_, _ = h.Write([]byte(keySeparator))
		_, _ = h.Write([]byte(vm))
		all = append(all, ranked{vm, mix(h.Sum64())})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm, b.vm)) })
	holders := make([]string, count)
	for i := range holders {
		holders[i] = all[i].vm
	}
	return holders
}

// mix distributes hashes that differ in few bits, as those of names that differ in the last character do (the finalizer
// of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// bulk reports whether calls to the log and loans are saved.
func (p *partition) bulk() bool { return p.cfg.Holders != nil && p.cfg.Routers() > BulkRouters }

// holders returns how many VMs hold shares of a budget, and whether this VM does.
func (p *partition) holders(entry string, routers int) (count int, holds bool) {
	if p.cfg.Holders == nil {
		return routers, true
	}
	vms, known := p.cfg.Holders(entry)
	if !known || vms == nil {
		return routers, true
	}
	return len(vms), slices.Contains(vms, p.cfg.VM)
}

// mayRaiseUnasked reports whether a share is raised for which nothing waits. In a large fleet this begins at a random time,
// and not before the routers are known. The caller holds p.mu.
func (p *partition) mayRaiseUnasked(a *account, holders int, now time.Time) bool {
	if p.cfg.Holders == nil {
		return true
	}
	if _, known := p.cfg.Holders(a.entry); !known {
		return false
	}
	if !p.bulk() {
		return true
	}
	if a.raiseAfter.IsZero() {
		a.raiseAfter = now.Add(rand.N(time.Duration(holders) * unaskedRaiseInterval))
	}
	return !now.Before(a.raiseAfter)
}

// deferRaise defers raises after a conflict, if nothing waits for them and calls to the log are saved.
func (p *partition) deferRaise() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.bulk() || p.closing.Load() {
		return false
	}
	for _, a := range p.accounts {
		if len(a.waiters) > 0 || a.lendShort > 0 {
			return false
		}
	}
	now := p.cfg.Now()
	for entry, a := range p.accounts {
		holders, _ := p.holders(entry, p.cfg.Routers())
		a.raiseAfter = now.Add(rand.N(time.Duration(holders) * unaskedRaiseInterval))
	}
	p.confirmLimits()
	return true
}

// conflictBackoff is the initial bound of the random delay after a conflict.
func (p *partition) conflictBackoff() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	bound := conflictBackoff
	if !p.bulk() {
		return bound
	}
	for entry, a := range p.accounts {
		if len(a.waiters) > 0 || a.lendShort > 0 {
			holders, _ := p.holders(entry, p.cfg.Routers())
			bound = max(bound, time.Duration(holders)*bulkConflictBackoff)
		}
	}
	return bound
}

// borrowAgainLater starts another search after bulkBorrowRetry for a waiter to which nobody has lent enough, if this VM
// holds no share: the holders may raise theirs meanwhile. The caller holds p.mu.
func (p *partition) borrowAgainLater(a *account, w *waiter) {
	if !p.bulk() || p.cfg.Now().Sub(w.since) > bulkBorrowTime {
		return
	}
	if _, holds := p.holders(a.entry, p.cfg.Routers()); holds {
		return
	}
	w.borrowAgain = true
	time.AfterFunc(bulkBorrowRetry, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.borrowAgain = false
		if slices.Contains(a.waiters, w) {
			w.borrowTried = false
			p.startBorrow(a, w)
		}
	})
}

// waitingWithoutLoan is the sum of the amounts of the waiters to which nobody has lent enough.
func (a *account) waitingWithoutLoan() (sum int64) {
	for _, w := range a.waiters {
		if w.borrowTried && !w.borrowing && !w.borrowAgain {
			sum += w.amount
		}
	}
	return sum
}

// bulkAhead is what a VM borrows, and keeps, beyond the requests that wait. The caller holds p.mu.
func (p *partition) bulkAhead(a *account, now time.Time) int64 {
	ahead := int64(max(bulkTime.Seconds()*a.demand.perSecond(now), bulkRequests*a.meanRequest))
	prepaid, _ := p.cfg.Prepaid(a.entry)
	left, _ := a.spendable(prepaid, now, p.cfg.Policy.RecordFreshness)
	return min(ahead, left/int64(bulkDivisor*max(1, p.cfg.Routers())))
}

// keptLoans is the part of the unused loans that is not repaid. The caller holds p.mu.
func (p *partition) keptLoans(a *account) int64 {
	now := p.cfg.Now()
	if !p.bulk() || p.closing.Load() || a.borrowed == 0 || now.Sub(a.lastReservation) > keepLoanTime {
		return 0
	}
	return p.bulkAhead(a, now)
}

// bulkLenders returns the VMs to ask for a loan: the holders in random order, those first whose records show enough, and
// then the others that may lend. The caller holds p.mu.
func (p *partition) bulkLenders(a *account, others []string, amount int64, now time.Time) []string {
	holders, _ := p.cfg.Holders(a.entry)
	if holders == nil {
		holders = others
	}
	lenders := slices.DeleteFunc(slices.Clone(holders), func(vm string) bool {
		return vm == p.cfg.VM || now.Sub(a.drainedAt[vm]) < bulkBorrowRetry
	})
	rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	enough := func(vm string) int {
		if a.others[vm].headroom() >= amount {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(lenders, func(x, y string) int { return cmp.Compare(enough(x), enough(y)) })
	for _, vm := range others {
		if !slices.Contains(lenders, vm) {
			lenders = append(lenders, vm)
		}
	}
	return lenders[:min(bulkMaxLenders, len(lenders))]
}

// holdsNothing reports whether this process has nothing in the log or from other VMs to return.
func (p *partition) holdsNothing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if a.logged != (shareRecord{}) || a.borrowed > a.spent {
			return false
		}
	}
	return p.unresolved == nil && p.pendingReport == nil && p.loaded
}
