// Package prepaid divides prepaid budgets between the VMs of the fleet by
// conditional appends to a keyed log.
//
// Each VM has one record per budget: how much of the budget it was granted, and
// how much of that it has spent. The sum of the granted parts never exceeds the
// budget, because a record that raises a part is appended only if its stream
// has not changed since its writer read it. A VM spends its part without asking
// anyone, and lends of it to others.
//
// How much of a part a VM may use depends on its gap, the time since its last beat
// that reached the log: up to Open without a gap, more at the rate Ramp while the
// gap lasts, and all that was granted after Policy.AllAfter. A process that starts
// on a VM where another one has died without handing back its part counts as spent
// what was granted to it; or only what its last gap allowed, if a bound of that is
// proven.
package prepaid

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// holding is a VM's record of one budget. All amounts are in tokens and refer to
// the whole life of the budget.
type holding struct {
	// Process is the process that wrote the record.
	Process string `cbor:"1,keyasint"`
	Granted int64  `cbor:"2,keyasint"`
	// Spent includes Stranded.
	Spent int64 `cbor:"3,keyasint"`
	// InFlight is the upper bound of the requests that run.
	InFlight int64 `cbor:"4,keyasint,omitempty"`
	// Stranded is what earlier processes of the VM left unreported.
	Stranded int64 `cbor:"5,keyasint,omitempty"`
	// Rate is the VM's demand in tokens per second.
	Rate int64 `cbor:"6,keyasint,omitempty"`
	// Open is the part of Granted that is used without a gap, and Ramp the tokens
	// per second that a gap adds to it.
	Open int64 `cbor:"7,keyasint"`
	Ramp int64 `cbor:"10,keyasint,omitempty"`
	// Lent is the part of Spent that other VMs were lent, and Borrowed what this
	// VM has spent of the parts of others.
	Lent     int64 `cbor:"8,keyasint,omitempty"`
	Borrowed int64 `cbor:"9,keyasint,omitempty"`
}

// used is what the record's VM is known to have used of the budget. Loans count
// where they were spent.
func (h holding) used() int64 { return h.Spent - h.Stranded - h.Lent + h.Borrowed }

// Policy holds the figures that decide how large shares are.
type Policy struct {
	// ShareOfUnspent bounds the sum of all shares, as a part of what is unspent.
	ShareOfUnspent float64
	// Horizon bounds a share by the time for which it lasts at the present demand,
	// but not below HeldRequests requests of mean size. Without it the first
	// router with a request for a budget would take most of it.
	Horizon      time.Duration
	HeldRequests float64
	// EqualShare is the part of all shares that is divided equally, for demand that
	// has not shown yet. The rest is divided by demand.
	EqualShare float64
	// OpenFor is how long the open part lasts at the present demand: until the next
	// report has reached the log.
	OpenFor time.Duration
	// OpenShare is the least part of the target that is open. It is what the loss
	// of all processes strands at the least.
	OpenShare float64
	// RampFactor is how much more than the present demand a gap adds to the open
	// part.
	RampFactor float64
	// RampFor is the gap up to which the open part grows with the demand. It covers
	// a restart of all VMs.
	RampFor time.Duration
	// FullShareAfter is the gap after which all that was granted may be spent. Proofs of
	// shorter gaps bound what the death of a process strands.
	FullShareAfter time.Duration
	// OpenRequests is the least number of requests of mean size that the open
	// part covers.
	OpenRequests float64
	// Fresh is for how long a record of another VM tells its demand and the
	// requests that it runs.
	Fresh time.Duration
	// ReportAfter is the longest time for which spending stays unreported.
	ReportAfter time.Duration
}

// DefaultPolicy returns the policy used when none is set.
func DefaultPolicy() Policy {
	return Policy{
		ShareOfUnspent: 0.5, Horizon: 16 * time.Second, HeldRequests: 4, EqualShare: 0.35,
		OpenFor: 800 * time.Millisecond, OpenShare: 0.05, OpenRequests: 1, RampFactor: 1.3, RampFor: 3 * time.Second,
		FullShareAfter: 7 * time.Second,
		Fresh:          10 * time.Second, ReportAfter: 3 * time.Second,
	}
}

// seen is a record and when it was read.
type seen struct {
	holding
	at time.Time
}

// account is this VM's view of one budget.
type account struct {
	entry string
	// others holds the records of the other VMs.
	others map[string]seen
	// logged is this VM's record as the log has it.
	logged holding
	// loggedEnd is the end of the stream after that record, and 0 if it is not of
	// this process.
	loggedEnd uint64
	// bounds are those of logged, or lower ones while a smaller part may still be
	// written.
	bounds bounds
	// shown is what the last beat told that is used beyond the open part. It takes
	// the place of the open part until a record shows as much.
	shown int64
	// base is the part that earlier processes of this VM account for, and
	// stranded what they left unreported in it.
	base     int64
	stranded int64
	// dead is the record of the last earlier process, and proven is true if only
	// what its last gap allowed counts as spent.
	dead   holding
	proven bool
	// reported is when the log last took a record.
	reported time.Time
	// spent and reserved are those of this process. What was borrowed is spent
	// first.
	spent    int64
	reserved int64
	borrowed int64
	loans    []Loan
	lent     int64
	rate     demand
	// mean is the mean upper bound of the requests of late.
	mean    float64
	waiters []*waiter
	// deniedAmount is what neither the log nor other VMs had at deniedAt.
	deniedAmount int64
	deniedAt     time.Time
}

// Loan is a part that another VM has lent.
type Loan struct {
	Lender string
	Amount int64
}

func newAccount(entry string) *account {
	return &account{entry: entry, others: make(map[string]seen)}
}

// bounds are what a process may use of a part, see holding.
type bounds struct{ granted, open, ramp int64 }

func (h holding) bounds() bounds { return bounds{h.Granted, h.Open, h.Ramp} }

// lower returns the lower one of each bound: what both records allow.
func (b bounds) lower(o bounds) bounds {
	return bounds{min(b.granted, o.granted), min(b.open, o.open), min(b.ramp, o.ramp)}
}

// allowed is what may be used of the part after a gap: the open part, what demand
// adds to it up to Policy.RampFor, and then all of the part by Policy.AllAfter.
func (b bounds) allowed(gap time.Duration, p Policy) int64 {
	grown := min(b.granted, b.open+int64(float64(b.ramp)*min(gap, p.RampFor).Seconds()))
	late := min(1, max(0, (gap-p.RampFor).Seconds()/(p.FullShareAfter-p.RampFor).Seconds()))
	return grown + int64(late*float64(b.granted-grown))
}

// showing returns the bounds after a beat that told what was used.
func (b bounds) showing(used int64) bounds { return bounds{b.granted, max(b.open, used), b.ramp} }

// available is what a new request may take without asking after a gap.
func (a *account) available(gap time.Duration, p Policy) int64 {
	return max(0, a.bounds.showing(a.shown).allowed(gap, p)-a.base) + a.borrowed - a.spent - a.reserved
}

// logSpent and logUsed are what is spent, and spent or reserved, of the part that
// the log has granted.
func (a *account) logSpent() int64 { return a.base + max(0, a.spent-a.borrowed) }

func (a *account) logUsed() int64 { return a.base + max(0, a.spent+a.reserved-a.borrowed) }

// ownUsed is what this VM is known to have used of the budget.
func (a *account) ownUsed() int64 { return a.base - a.stranded - a.lent + a.spent + a.reserved }

// totals are the sums of the other VMs' records.
type totals struct {
	spent, used, running, rate int64
}

func (a *account) totals(now time.Time, fresh time.Duration) (t totals) {
	for _, h := range a.others {
		t.spent += h.Spent
		t.used += h.used()
		if now.Sub(h.at) <= fresh {
			t.running += h.InFlight
			t.rate += h.Rate
		}
	}
	return t
}

// granted is the sum of all parts.
func (a *account) granted() int64 {
	sum := a.logged.Granted
	for _, h := range a.others {
		sum += h.Granted
	}
	return sum
}

// overdrawn reports whether the parts exceed the budget, which happens after it
// was lowered. Nobody may spend from its part then.
func (a *account) overdrawn(prepaid int64) bool { return a.granted() > prepaid }

// remaining is the most that may be left of the budget, counting running
// requests at their upper bounds.
func (a *account) remaining(prepaid int64, now time.Time, fresh time.Duration) int64 {
	return a.left(prepaid, a.totals(now, fresh))
}

func (a *account) left(prepaid int64, others totals) int64 {
	return prepaid - others.used - others.running - a.ownUsed()
}

// waiting is the sum of what the waiters ask for.
func (a *account) waiting() (sum int64) {
	for _, w := range a.waiters {
		sum += w.amount
	}
	return sum
}

// target is the unused part that this VM should hold.
func (a *account) target(in planning, others totals) int64 {
	p := in.policy
	unspent := float64(in.prepaid-others.spent-others.running-a.logUsed()) * p.ShareOfUnspent
	if unspent <= 0 {
		return 0
	}
	part := 1 / float64(max(1, in.routers))
	own := a.rate.perSecond(in.now)
	if sum := own + float64(others.rate); sum > 0 {
		part = p.EqualShare*part + (1-p.EqualShare)*own/sum
	}
	share := unspent * part
	if a.mean > 0 {
		share = min(share, max(p.Horizon.Seconds()*own, p.HeldRequests*a.mean))
	}
	if share < max(a.mean*usefulRequests, usefulTokens) {
		// A share below one request only keeps the budget in pieces.
		return 0
	}
	return int64(share)
}

const (
	// usefulRequests is the number of mean requests that a share must cover, and
	// usefulTokens what it must cover while the requests are not known.
	usefulRequests = 1.5
	usefulTokens   = 4096
	// chunkRequests is the number of mean requests for which a part is taken when
	// one is short, and chunkPart the part of what is left that it may be.
	chunkRequests = 3
	chunkPart     = 8
)

// chunk is what is taken besides a request for which a part is short.
func (a *account) chunk(in planning, others totals) int64 {
	left := a.left(in.prepaid, others)
	return max(0, min(int64(chunkRequests*a.mean), left/int64(chunkPart*max(1, in.routers/chunkPart))))
}

// window is the unused part that is open.
func (a *account) window(now time.Time, p Policy, target int64) int64 {
	return int64(max(p.OpenFor.Seconds()*a.rate.perSecond(now), p.OpenRequests*a.mean, p.OpenShare*float64(target)))
}

// ramp is what a gap adds to the open part in a second: the present demand, or that
// for which the target is held.
func (a *account) ramp(now time.Time, p Policy, target int64) int64 {
	return int64(max(p.RampFactor*a.rate.perSecond(now), float64(target)/p.Horizon.Seconds()))
}

// planning is what the plan of a record depends on besides the account.
type planning struct {
	prepaid int64
	now     time.Time
	policy  Policy
	routers int
	process string
}

// plan returns the record that this VM should have in the log, and whether it
// is worth an append.
func (a *account) plan(in planning) (holding, bool) {
	used, waiting := a.logUsed(), a.waiting()
	others := a.totals(in.now, in.policy.Fresh)
	target := a.target(in, others)
	held := max(target, a.chunk(in, others))
	want := used + held + waiting
	all, granted := a.granted(), a.logged.Granted
	switch {
	case want > granted && (waiting > 0 || granted-used < target*2/3):
		granted = min(want, granted+max(0, in.prepaid-all))
	case want < granted && (granted-want > held*2/5 || all > in.prepaid):
		granted = want
	}
	granted = max(granted, used)
	window := a.window(in.now, in.policy, target)
	open := min(granted, used+waiting+window)
	if l := a.logged.Open; l <= granted && waiting == 0 && l-used >= window/2 && l-used <= window*3/2 {
		open = l
	}
	ramp := a.ramp(in.now, in.policy, target)
	if granted <= used {
		// A gap has nothing to add.
		ramp = 0
	}
	if l := a.logged.Ramp; ramp >= l*2/3 && ramp <= l*3/2 || math.Abs(float64(ramp-l))*in.policy.FullShareAfter.Seconds() < a.mean {
		ramp = l
	}
	next := holding{
		Process: in.process, Granted: granted, Spent: a.logSpent(), InFlight: min(used+waiting, granted) - a.logSpent(),
		Stranded: a.stranded, Rate: int64(a.rate.perSecond(in.now)), Open: open, Ramp: ramp, Lent: a.lent,
		Borrowed: min(a.borrowed, a.spent),
	}
	return next, a.worthAppend(next, in)
}

// worthAppend reports whether a record says enough that is new: other bounds, or
// spending that matters for what is left, or that is unreported for long.
func (a *account) worthAppend(next holding, in planning) bool {
	old := a.logged
	switch {
	case next.Granted != old.Granted || next.Open != old.Open || next.Ramp != old.Ramp || a.beyond():
		return true
	case next.Spent == old.Spent && next.InFlight == old.InFlight:
		return false
	}
	unreported := float64(next.Spent - old.Spent)
	matters := max(a.mean, float64(in.prepaid-old.Spent)/float64(reportPart*max(1, in.routers)))
	return unreported >= matters || in.now.Sub(a.reported) > in.policy.ReportAfter
}

// beyond reports whether more than the open part was used that the log shows.
func (a *account) beyond() bool { return a.logUsed() > max(a.logged.Open, a.base) }

// reportPart divides what may be left of a budget for each VM into the amounts
// that are reported at once.
const reportPart = 8

// takeOver counts what an earlier process of this VM was granted as spent.
func (a *account) takeOver(h holding) {
	a.dead, a.proven = h, false
	a.stranded = h.Stranded + h.Granted - h.Spent
	a.base = h.Granted
	a.logged, a.bounds, a.shown = h, bounds{granted: h.Granted}, 0
}

// release gives free what an earlier process of this VM cannot have spent in its
// last gap, after a beat that told what it had used. It returns how much that is.
func (a *account) release(gap time.Duration, shown int64, p Policy) int64 {
	if a.proven || a.dead.Process == "" {
		return 0
	}
	a.proven = true
	released := a.base - a.dead.bounds().showing(shown).allowed(gap, p)
	a.stranded -= released
	a.base -= released
	return released
}

// lenders returns the VMs that hold an unused part, the largest first.
func (a *account) lenders() []string {
	var names []string
	for vm, h := range a.others {
		if h.idle() > 0 {
			names = append(names, vm)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Compare(a.others[y].idle(), a.others[x].idle())
	})
	return names
}

func (h holding) idle() int64 { return h.Granted - h.Spent - h.InFlight }

// lend gives away a part for a request of another VM: the amount, more if there
// is plenty, or what there is.
func (a *account) lend(amount int64, gap time.Duration, p Policy) int64 {
	idle := a.available(gap, p)
	if idle < min(amount, leastLoan) {
		return 0
	}
	given := min(idle, max(amount, min(lendFactor*amount, idle/lendPart)))
	a.spent += given
	a.lent += given
	return given
}

const (
	// lendFactor and lendPart bound what is lent beyond the amount, so that the
	// next requests need no loan.
	lendFactor = 4
	lendPart   = 4
	// leastLoan is the least part that is worth a loan, in tokens.
	leastLoan = 256
)

// repay returns an idle loan, the latest first.
func (a *account) repay() (Loan, bool) {
	idle := a.borrowed - a.spent - a.reserved
	if idle <= 0 || len(a.loans) == 0 || len(a.waiters) > 0 {
		return Loan{}, false
	}
	last := &a.loans[len(a.loans)-1]
	back := Loan{Lender: last.Lender, Amount: min(idle, last.Amount)}
	a.borrowed -= back.Amount
	if last.Amount -= back.Amount; last.Amount == 0 {
		a.loans = a.loans[:len(a.loans)-1]
	}
	return back, true
}

// demand measures tokens per second over a long window, and over a short one that
// shows a jump soon.
type demand struct {
	long, short float64
	at          time.Time
}

// longWindow and shortWindow are the time constants of the measured demand.
const (
	longWindow  = 12 * time.Second
	shortWindow = 3 * time.Second
)

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.long *= math.Exp(-dt.Seconds() / longWindow.Seconds())
		d.short *= math.Exp(-dt.Seconds() / shortWindow.Seconds())
		d.at = now
	}
}

func (d *demand) add(tokens int64, now time.Time) {
	d.decay(now)
	d.long += float64(tokens)
	d.short += float64(tokens)
}

func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	return max(d.long/longWindow.Seconds(), d.short/shortWindow.Seconds())
}
