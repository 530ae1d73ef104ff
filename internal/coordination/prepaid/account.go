// Package prepaid divides the prepaid budgets of entries into shares, one per VM, and reserves the
// tokens of requests from this VM's share. It is the budget implementation of daemon.Gateway;
// package budget is that of daemon.Daemon.
//
// The shares are kept in a keyed log. Each VM has one record per budget: how much of the budget it
// was granted, and how much of that it has spent. The sum of the shares never exceeds the budget: a
// record that raises a share is appended on the condition that its stream has not changed since the
// writer read it. A VM spends its share without asking anyone, and lends unused tokens of it to
// other VMs. The headroom of a share is the part that is neither spent nor reserved. A request that
// the share does not cover is a waiter until the share is raised, a loan arrives or it is refused.
//
// How much of its share a VM may use depends on its heartbeat gap, the time since its last
// heartbeat that may have reached the log. Without a gap it may use the base limit. During a gap
// the limit rises at the ramp rate, and after Policy.FullShareAfter it is the whole share. When a
// process starts on a VM whose last earlier process, its predecessor, ended without returning its
// share, the whole share counts as spent; what of it was not reported as spent is stranded. If an
// upper bound of the predecessor's last gap is proven, only what this gap allowed counts as spent.
package prepaid

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
)

// Policy holds the parameters that determine the sizes of shares and of their limits.
type Policy struct {
	// MaxHeadroomFraction bounds the sum of the target headrooms of all shares, as a fraction of the
	// unspent budget.
	MaxHeadroomFraction float64
	// The target headroom of a share is at most what lasts for MaxShareDuration at the present
	// demand, or MaxShareRequests requests of mean size if that is more. Without this bound the
	// first router with a request for a budget would take most of it.
	MaxShareDuration time.Duration
	MaxShareRequests float64
	// EqualFraction is the fraction of the headroom of all shares that is divided equally between
	// the routers, for demand that has not been measured yet. The rest is divided in proportion to
	// demand.
	EqualFraction float64
	// BaseLimitDuration is how long the unused part of the base limit lasts at the present demand.
	// It covers the time until the next report has reached the log.
	BaseLimitDuration time.Duration
	// MinBaseLimitFraction is the least fraction of the target headroom that the base limit covers.
	// At least that much is stranded when all processes are lost.
	MinBaseLimitFraction float64
	// RampFactor is the ramp rate as a multiple of the present demand.
	RampFactor float64
	// RampDuration is the gap up to which the limit grows at the ramp rate. It covers a restart of
	// all VMs.
	RampDuration time.Duration
	// FullShareAfter is the gap after which the whole share may be spent. If the last gap of a
	// terminated process is proven to be shorter, less than its whole share is stranded.
	FullShareAfter time.Duration
	// MinBaseLimitRequests is the least number of requests of mean size that the unused part of the
	// base limit covers.
	MinBaseLimitRequests float64
	// RecordFreshness is for how long after a read the demand and the running requests in another
	// VM's record are used.
	RecordFreshness time.Duration
	// MaxReportDelay is the longest time for which spending stays unreported.
	MaxReportDelay time.Duration
}

// DefaultPolicy returns the policy that routers use.
func DefaultPolicy() Policy {
	return Policy{
		MaxHeadroomFraction: 0.5, MaxShareDuration: 16 * time.Second, MaxShareRequests: 4, EqualFraction: 0.35,
		BaseLimitDuration: 800 * time.Millisecond, MinBaseLimitFraction: 0.05, MinBaseLimitRequests: 1,
		RampFactor: 1.3, RampDuration: 3 * time.Second, FullShareAfter: 7 * time.Second,
		RecordFreshness: 10 * time.Second, MaxReportDelay: 3 * time.Second,
	}
}

// maxReportDelay is MaxReportDelay in a fleet of the given size. The reports of a large fleet are fewer.
func (p Policy) maxReportDelay(routers int) time.Duration {
	return time.Duration(fleetScale(routers) * float64(p.MaxReportDelay))
}

// account is the state of one budget on this VM.
type account struct {
	entry string
	// others holds the records of the other VMs by VM.
	others map[string]peerRecord
	// superseded holds, for some time after the log was restored, the last records of earlier processes of the other VMs.
	superseded map[string]shareRecord
	// logged is this VM's latest record in the log.
	logged shareRecord
	// loggedEnd is the end of the stream after logged, and 0 if an earlier process wrote it.
	loggedEnd uint64
	// revision is that of the last planned record. An append without a response may have taken effect, so that a
	// revision is used only once.
	revision uint64
	// limits are those of logged, or lower ones while an append that lowers the share may still
	// take effect.
	limits spendLimits
	// confirmedUsage and pendingUsage are the usage of the whole share that the last confirmed heartbeat and the pending
	// one reported, or 0 if it was not above the base limit. It takes the place of a lower base limit until a later
	// record replaces it.
	confirmedUsage, pendingUsage int64
	// priorUsage is what counts as used by earlier processes of this VM, and stranded the part of it
	// that they had not reported.
	priorUsage int64
	stranded   int64
	// priorLent and priorBorrowedSpent are what the records of earlier processes of this VM show as lent, and as spent
	// of loans. They say at which VM the tokens of a loan were spent, after its lender or its borrower has ended.
	priorLent, priorBorrowedSpent int64
	// predecessor is the record of the last earlier process. predecessorReleased is true once
	// releaseUnspent has released what the predecessor cannot have spent.
	predecessor         shareRecord
	predecessorReleased bool
	// predecessorSetAt is when the record was applied.
	predecessorSetAt time.Time
	// predecessorOffset is where the record was read. predecessorRecalled is true if another VM knew it, and the log has
	// an earlier one.
	predecessorOffset   uint64
	predecessorRecalled bool
	// loggedAt is when the log last accepted a record.
	loggedAt time.Time
	// spent and reserved are those of this process; spent includes lent. borrowed is the sum of the
	// loans, which are spent before the own share.
	spent    int64
	reserved int64
	borrowed int64
	loans    []Loan
	lent     int64
	// given holds the loans to other VMs by ID.
	given map[string]*givenLoan
	// borrowing is true while lenders are searched for. drainedAt is when a VM could last not lend what was asked.
	borrowing bool
	drainedAt map[string]time.Time
	// loansUnrecorded is true if only some VMs hold shares. The others do not record what they spend of loans, which counts
	// as spent at the lenders then, also the part that may be repaid.
	loansUnrecorded bool
	// raiseAfter is the time before which the share is not raised while nothing waits for it, see mayRaiseUnasked.
	raiseAfter time.Time
	// lendShort is the most that another VM asked for in vain since the last record.
	lendShort int64
	// lastReservation is when a request last reserved from the budget, or waited for it.
	lastReservation time.Time
	demand          demandMeter
	// meanRequest is a moving average of the upper bounds of requests.
	meanRequest float64
	waiters     []*waiter
	// deniedAmount is the amount of the last waiter that was refused, at deniedAt, because neither
	// the log nor other VMs could provide it.
	deniedAmount int64
	deniedAt     time.Time
	// coveredAt is when the records last showed that a request could be covered somewhere.
	coveredAt time.Time
	// unreachable counts the requests that were refused although the budget may cover them, since they were last
	// logged at unreachableLoggedAt.
	unreachable         int
	unreachableLoggedAt time.Time
}

func newAccount(entry string) *account {
	return &account{
		entry: entry, others: make(map[string]peerRecord), superseded: make(map[string]shareRecord), given: make(map[string]*givenLoan),
	}
}

// spendLimits are the fields of a shareRecord that limit how much of the share may be used.
type spendLimits struct{ granted, base, rampRate int64 }

func (r shareRecord) limits() spendLimits { return spendLimits{r.Granted, r.BaseLimit, r.RampRate} }

// lower returns the lower value of each limit, which both records allow.
func (l spendLimits) lower(other spendLimits) spendLimits {
	return spendLimits{min(l.granted, other.granted), min(l.base, other.base), min(l.rampRate, other.rampRate)}
}

// spendable is what may be used of the share after a heartbeat gap: the base limit, growing at the
// ramp rate up to Policy.RampDuration, and from there linearly to the whole share at
// Policy.FullShareAfter.
func (l spendLimits) spendable(gap time.Duration, p Policy) int64 {
	ramped := min(l.granted, l.base+int64(float64(l.rampRate)*min(gap, p.RampDuration).Seconds()))
	fraction := min(1, max(0, (gap-p.RampDuration).Seconds()/(p.FullShareAfter-p.RampDuration).Seconds()))
	return ramped + int64(fraction*float64(l.granted-ramped))
}

// spendableAfter is spendable after a gap since a heartbeat that reported the used tokens.
func (l spendLimits) spendableAfter(gap time.Duration, used int64, p Policy) int64 {
	return spendLimits{l.granted, max(l.base, used), l.rampRate}.spendable(gap, p)
}

// limit is what may be used of the whole share: the least that a successor counts as spent after one of the heartbeats that it
// may find to be the last one, see releaseUnspent.
func (a *account) limit(gaps heartbeat.Gaps, p Policy) int64 {
	confirmed := a.limits.spendableAfter(gaps.SinceConfirmed, a.confirmedUsage, p)
	if !gaps.Pending {
		return confirmed
	}
	pending := a.limits.spendableAfter(gaps.SincePending, a.pendingUsage, p)
	if !gaps.Confirmed {
		return pending
	}
	return min(confirmed, pending)
}

// available is what a new request may take without waiting.
func (a *account) available(gaps heartbeat.Gaps, p Policy) int64 {
	return max(0, a.limit(gaps, p)-a.priorUsage) + a.borrowed - a.spent - a.reserved
}

// shareSpent is what is spent of the share that the log has granted, and shareUsed what is spent or
// reserved of it.
func (a *account) shareSpent() int64 { return a.priorUsage + max(0, a.spent-a.borrowed) }

func (a *account) shareUsed() int64 { return a.priorUsage + max(0, a.spent+a.reserved-a.borrowed) }

// ownUsed is what requests at this VM have spent or reserved of the budget. Loans count at the borrower.
func (a *account) ownUsed() int64 {
	return a.priorUsage - a.stranded - a.priorLent + a.priorBorrowedSpent - a.lent + a.spent + a.reserved
}

// totals are sums over the records of the other VMs. inFlight and demand include only fresh records, stranded only what is
// lost for good.
type totals struct {
	spent, spentByRequests, stranded, inFlight, demand int64
	// used is what is spent or lent and not stranded.
	used int64
}

func (a *account) totals(now time.Time, freshness time.Duration) (t totals) {
	for _, r := range a.others {
		t.spent += r.Spent
		t.spentByRequests += r.spentByRequests()
		t.used += r.Spent - r.Stranded
		if !r.Releasable {
			t.stranded += r.Stranded
		}
		if now.Sub(r.readAt) <= freshness {
			t.inFlight += r.InFlight
			t.demand += r.Demand
		}
	}
	return t
}

// totalGranted is the sum of the shares of all VMs.
func (a *account) totalGranted() int64 {
	sum := a.logged.Granted
	for _, r := range a.others {
		sum += r.Granted
	}
	return sum
}

// overcommitted reports whether the shares exceed the budget, which happens after the budget was
// lowered. No VM may spend from its share then.
func (a *account) overcommitted(prepaid int64) bool { return a.totalGranted() > prepaid }

// remaining estimates what is left of the budget. Running requests count at their upper bounds, those
// of other VMs only while their records are fresh. Stranded tokens count as left, and so does what
// other VMs have not reported.
func (a *account) remaining(prepaid int64, now time.Time, freshness time.Duration) int64 {
	return a.remainingGiven(prepaid, a.totals(now, freshness))
}

// remainingGiven is remaining with totals that are known already.
func (a *account) remainingGiven(prepaid int64, others totals) int64 {
	if a.loansUnrecorded {
		return prepaid - others.used - others.inFlight - (a.shareUsed() - a.stranded)
	}
	return prepaid - others.spentByRequests - others.inFlight - a.ownUsed()
}

// releaseTimeout is how long after its record was read a predecessor's share may still be released. An upper bound of its
// last gap is proven within seconds or not at all.
const releaseTimeout = 10 * time.Second

// releasable reports whether part of what is stranded may still turn out not to be spent.
func (a *account) releasable(now time.Time) bool {
	return a.predecessor.Process != "" && !a.predecessorReleased && now.Sub(a.predecessorSetAt) < releaseTimeout
}

// reachable is what is left of the budget without what is stranded for good.
func (a *account) reachable(prepaid int64, others totals, now time.Time) int64 {
	left := a.remainingGiven(prepaid, others) - others.stranded
	if !a.releasable(now) {
		left -= a.stranded
	}
	return left
}

// held is what is borrowed and neither spent nor reserved.
func (a *account) held() int64 { return max(0, a.borrowed-a.spent-a.reserved) }

// spendable is what requests can still reserve anywhere, as the records show it. Unlike remaining, it leaves out what is lost:
// stranded tokens and the loans of processes that have ended. known is false while a share may still be released.
func (a *account) spendable(prepaid int64, now time.Time, freshness time.Duration) (tokens int64, known bool) {
	tokens = max(0, prepaid-a.totalGranted()) + max(0, a.limits.granted-a.shareUsed()) + a.held()
	known = !a.releasable(now)
	for _, r := range a.others {
		headroom := r.Granted - r.Spent
		if now.Sub(r.readAt) <= freshness {
			headroom -= r.InFlight
		}
		if headroom >= minLoan {
			tokens += headroom // less is not lent
		}
		tokens += r.Held
		known = known && !r.Releasable
	}
	return tokens, known
}

// waitingTokens is the sum of the waiters' amounts.
func (a *account) waitingTokens() (sum int64) {
	for _, w := range a.waiters {
		sum += w.amount
	}
	return sum
}

const (
	// routersPerFleetScale is the number of routers per unit of fleetScale, and maxFleetScale its greatest value.
	routersPerFleetScale = 16
	maxFleetScale        = 2.5
)

// fleetScale is by how much shares last longer in a large fleet. Each router there gets few requests for a budget, in bursts,
// and what is divided equally lies idle at most routers while the log does not respond.
func fleetScale(routers int) float64 {
	return min(maxFleetScale, max(1, float64(routers)/routersPerFleetScale))
}

// targetHeadroom is the headroom that this VM's share should have.
func (a *account) targetHeadroom(in planInput, others totals) int64 {
	p := in.policy
	unspent := float64(in.prepaid-others.spent-others.inFlight-a.shareUsed()) * p.MaxHeadroomFraction
	if unspent <= 0 {
		return 0
	}
	fraction, scale := 1/float64(max(1, in.holders)), fleetScale(in.routers)
	ownDemand := a.demand.perSecond(in.now)
	if totalDemand := ownDemand + float64(others.demand); totalDemand > 0 {
		equal := p.EqualFraction / scale
		fraction = equal*fraction + (1-equal)*ownDemand/totalDemand
	}
	headroom := unspent * fraction
	if a.meanRequest > 0 {
		headroom = min(headroom, scale*max(p.MaxShareDuration.Seconds()*ownDemand, p.MaxShareRequests*a.meanRequest))
	}
	if headroom < max(a.meanRequest*minUsefulRequests, minUsefulTokens) {
		// Less could not cover a request and would only fragment the budget.
		return 0
	}
	return int64(headroom)
}

const (
	// minUsefulRequests is the number of requests of mean size that the target headroom must cover,
	// and minUsefulTokens the least number of tokens that it must have.
	minUsefulRequests = 1.5
	minUsefulTokens   = 4096
	// extraGrantRequests is the number of requests of mean size that are granted in addition when a
	// share is too small, and 1/extraGrantDivisor the largest fraction of the remaining budget that
	// this may be.
	extraGrantRequests = 3
	extraGrantDivisor  = 8
)

// extraGrant is what is granted in addition to the request for which the share is too small.
func (a *account) extraGrant(in planInput, others totals) int64 {
	remaining := a.remainingGiven(in.prepaid, others)
	return max(0, min(int64(extraGrantRequests*a.meanRequest),
		remaining/int64(extraGrantDivisor*max(1, in.holders/extraGrantDivisor))))
}

// baseHeadroom is the unused part of the base limit that this VM should have.
func (a *account) baseHeadroom(now time.Time, p Policy, target int64) int64 {
	return int64(max(p.BaseLimitDuration.Seconds()*a.demand.perSecond(now), p.MinBaseLimitRequests*a.meanRequest,
		p.MinBaseLimitFraction*float64(target)))
}

// rampRate is what a heartbeat gap adds to the limit per second: a multiple of the present demand,
// or the rate at which the target headroom lasts for Policy.MaxShareDuration if that is higher.
func (a *account) rampRate(now time.Time, p Policy, target int64) int64 {
	return int64(max(p.RampFactor*a.demand.perSecond(now), float64(target)/p.MaxShareDuration.Seconds()))
}

// planInput is what a planned record depends on besides the account.
type planInput struct {
	prepaid int64
	now     time.Time
	policy  Policy
	routers int
	// holders is the number of VMs that hold shares, and holds true if this VM does. mayRaiseUnasked is false while no share
	// is raised for which nothing waits.
	holders                int
	holds, mayRaiseUnasked bool
	process                string
	era                    uint64
	// mayRaise is false while shares that the log does not show may exist, see partition.mayRaise, and unknown is what
	// they may be granted.
	mayRaise bool
	unknown  int64
}

// plan returns the record that this VM should have in the log, and whether to append it.
func (a *account) plan(in planInput) (shareRecord, bool) {
	used, waiting := a.shareUsed(), a.waitingTokens()
	others := a.totals(in.now, in.policy.RecordFreshness)
	target, headroom := int64(0), int64(0)
	if in.holds {
		target = a.targetHeadroom(in, others)
		headroom = max(target, a.extraGrant(in, others), 2*a.lendShort)
	} else if waiting = a.waitingWithoutLoan(); waiting > 0 {
		headroom = a.extraGrant(in, others)
	}
	wanted := used + headroom + waiting
	totalGranted, granted := a.totalGranted()+in.unknown, a.logged.Granted
	switch {
	case wanted > granted && (!in.mayRaise || waiting+a.lendShort == 0 && !in.mayRaiseUnasked):
	case wanted > granted && (waiting+a.lendShort > 0 || granted-used < target*2/3):
		granted = min(wanted, granted+max(0, in.prepaid-totalGranted))
	case wanted < granted && (granted-wanted > headroom*2/5 || totalGranted > in.prepaid):
		granted = wanted
	}
	granted = max(granted, used)
	// The part of a larger share that all processes may lose at once stays the same.
	baseHeadroom := a.baseHeadroom(in.now, in.policy, int64(float64(target)/fleetScale(in.routers)))
	if in.holds && in.holders < in.routers {
		baseHeadroom = max(baseHeadroom, int64(lenderBaseRequests*a.meanRequest), 2*a.lendShort)
	}
	baseLimit := min(granted, used+waiting+baseHeadroom)
	if logged := a.logged.BaseLimit; logged <= granted && waiting == 0 &&
		logged-used >= baseHeadroom/2 && logged-used <= baseHeadroom*3/2 {
		baseLimit = logged
	}
	rampRate := a.rampRate(in.now, in.policy, target)
	if granted <= used {
		// Nothing is left for a gap to add.
		rampRate = 0
	}
	if logged := a.logged.RampRate; rampRate >= logged*2/3 && rampRate <= logged*3/2 ||
		math.Abs(float64(rampRate-logged))*in.policy.FullShareAfter.Seconds() < a.meanRequest {
		rampRate = logged
	}
	next := shareRecord{
		Process: in.process, Granted: granted, Spent: a.shareSpent(), InFlight: min(used+waiting, granted) - a.shareSpent(),
		Stranded: a.stranded, Demand: int64(a.demand.perSecond(in.now)), BaseLimit: baseLimit, RampRate: rampRate,
		Lent: a.priorLent + a.lent, BorrowedSpent: a.priorBorrowedSpent + min(a.borrowed, a.spent), Era: in.era + 1,
		Releasable: a.releasable(in.now), Held: a.held(),
	}
	return next, a.shouldAppend(next, in)
}

// shouldAppend reports whether a record differs enough from the logged one to be appended: its
// limits differ, more is used than the logged base limit, the unreported spending has reached a
// threshold, or spending or running requests differ and the logged record is older than
// Policy.MaxReportDelay.
func (a *account) shouldAppend(next shareRecord, in planInput) bool {
	old := a.logged
	switch {
	case old.outdated(in.era):
		return true
	case !in.holds && old == (shareRecord{}) && next.Granted == 0 && next.Spent == 0:
		// Only loans were spent, which count at their lenders. The records must not grow with routers times budgets.
		return false
	case next.Granted != old.Granted || next.BaseLimit != old.BaseLimit || next.RampRate != old.RampRate || a.usedAbove(old.BaseLimit),
		next.Releasable != old.Releasable:
		return true
	case next.Spent == old.Spent && next.InFlight == old.InFlight && next.BorrowedSpent == old.BorrowedSpent:
		return false
	}
	unreported := float64(next.Spent - old.Spent + next.BorrowedSpent - old.BorrowedSpent)
	threshold := max(a.meanRequest, float64(in.prepaid-old.Spent)/float64(reportDivisor*max(1, in.holders)))
	return unreported >= threshold || in.now.Sub(a.loggedAt) > in.policy.maxReportDelay(in.routers)
}

// usedAbove reports whether more is used than a base limit.
func (a *account) usedAbove(base int64) bool { return a.shareUsed() > max(base, a.priorUsage) }

// reportDivisor bounds the spending that stays unreported: spending is reported at once when it
// reaches 1/reportDivisor of a router's equal part of the budget. The spending that this VM has
// reported before is subtracted from the budget.
const reportDivisor = 8

// setPredecessor sets the record of the predecessor and counts its whole share as spent.
func (a *account) setPredecessor(share shareRecord) {
	a.predecessor, a.predecessorReleased = share, false
	a.stranded = share.Stranded + share.Granted - share.Spent
	a.priorUsage = share.Granted
	a.priorLent, a.priorBorrowedSpent = share.Lent, share.BorrowedSpent
	a.logged, a.limits = share, spendLimits{granted: share.Granted}
	a.confirmedUsage, a.pendingUsage = 0, 0
}

// releaseUnspent releases the part of the predecessor's share that it cannot have spent by its end.
// gap is an upper bound of its last heartbeat gap, and usage what the heartbeat before that gap
// reported. It does so once per predecessor and returns the released amount.
func (a *account) releaseUnspent(gap time.Duration, usage int64, p Policy) int64 {
	if a.predecessorReleased || a.predecessor.Process == "" {
		return 0
	}
	a.predecessorReleased = true
	released := a.priorUsage - a.predecessor.limits().spendableAfter(gap, usage, p)
	a.stranded -= released
	a.priorUsage -= released
	return released
}

// demandMeter measures the tokens per second that requests are charged: over a long window, and over
// a short one that follows a rise sooner.
type demandMeter struct {
	long, short float64
	at          time.Time
}

// longWindow and shortWindow are the time constants of the exponentially decaying sums.
const (
	longWindow  = 12 * time.Second
	shortWindow = 3 * time.Second
)

func (d *demandMeter) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.long *= math.Exp(-dt.Seconds() / longWindow.Seconds())
		d.short *= math.Exp(-dt.Seconds() / shortWindow.Seconds())
		d.at = now
	}
}

func (d *demandMeter) add(tokens int64, now time.Time) {
	d.decay(now)
	d.long += float64(tokens)
	d.short += float64(tokens)
}

// perSecond returns the higher rate of the two windows.
func (d *demandMeter) perSecond(now time.Time) float64 {
	d.decay(now)
	return max(d.long/longWindow.Seconds(), d.short/shortWindow.Seconds())
}
