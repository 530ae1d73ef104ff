package prepaid

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// unreachableLogInterval is the least time between two log lines about a budget that cannot be reached.
const unreachableLogInterval = time.Second

// noteUnreachable counts a request that is refused although the budget may cover it, and logs where the budget is, once
// per unreachableLogInterval. The caller holds p.mu.
func (p *partition) noteUnreachable(a *account, amount int64, cause error) {
	obs.BudgetUnreachableTotal.Add(1)
	now := p.cfg.Now()
	a.unreachable++
	if now.Sub(a.unreachableLoggedAt) < unreachableLogInterval {
		return
	}
	prepaid, _ := p.cfg.Prepaid(a.entry)
	others := a.totals(now, p.cfg.Policy.RecordFreshness)
	idle, stranded := int64(0), a.stranded
	for _, r := range a.others {
		idle += max(0, r.headroom())
		stranded += r.Stranded
	}
	obs.EventBudgetUnreachable.Log(p.cfg.Logger, logrus.Fields{
		"entry": a.entry, "cause": cause.Error(), "needed": amount, "refused": a.unreachable, "prepaid": prepaid,
		"left": a.remaining(prepaid, now, p.cfg.Policy.RecordFreshness), "available": p.available(a), "granted": a.limits.granted,
		"open": a.limits.base, "used": a.shareUsed(), "reserved": a.reserved, "borrowed": a.borrowed, "lent": a.lent,
		"stranded": stranded, "others_idle": idle, "others_in_flight": others.inFlight, "ungranted": prepaid - a.totalGranted(),
		"log_age_ms": now.Sub(p.lastResponse).Milliseconds(), "waiting": len(a.waiters),
	})
	a.unreachable, a.unreachableLoggedAt = 0, now
}

// checkLimit logs a share of which more is used than a successor would count as spent, if it found the last confirmed heartbeat.
// The caller holds p.mu.
func (p *partition) checkLimit(a *account, gaps heartbeat.Gaps) {
	if !gaps.Confirmed || a.limits != a.logged.limits() {
		return // an append that is under way changes what a successor finds
	}
	used, counted := a.shareUsed(), a.limits.spendableAfter(gaps.SinceConfirmed, a.confirmedUsage, p.cfg.Policy)
	if used == a.priorUsage || used <= counted {
		return
	}
	obs.SharesAboveLimitTotal.Add(1)
	obs.EventShareAboveLimit.Log(p.cfg.Logger, logrus.Fields{
		"entry": a.entry, "used": used, "counted": counted, "granted": a.limits.granted, "open": a.limits.base,
		"ramp": a.limits.rampRate, "reported": a.confirmedUsage, "confirmed_ms": gaps.SinceConfirmed.Milliseconds(),
	})
}

// noteTimeout is noteUnreachable for a request that has waited in vain for the log.
func (p *partition) noteTimeout(entry string, amount int64, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteUnreachable(p.account(entry), amount, cause)
}
