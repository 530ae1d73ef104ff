// Package prepaid divides prepaid budgets between the VMs of the fleet by
// conditional appends to a keyed log.
//
// Each VM has one record per budget: how much of the budget it was granted, and
// how much of that it has spent. The sum of the granted parts never exceeds the
// budget, because a record that raises a part is appended only if its stream
// has not changed since its writer read it. A VM spends its part without asking
// anyone. What a process had left when it died without handing it back counts
// as spent: no clock or timeout can prove what a lost process did.
package prepaid

import (
	"math"
	"time"
)

// holding is a VM's record of one budget. All amounts are in tokens and only
// ever refer to the whole life of the budget.
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
}

// Policy holds the figures that decide how large shares are.
type Policy struct {
	// Horizon is for how long a share lasts at the present demand. It is the
	// outage of the log that a VM bridges.
	Horizon time.Duration
	// ShareOfUnspent bounds the sum of all shares, as a part of what is unspent.
	// It is also the most that the loss of all processes at once can strand.
	ShareOfUnspent float64
	// IdleShare is the part of what is unspent that is spread equally over the
	// VMs, for those that see a budget's first requests.
	IdleShare float64
	// Fresh is for how long a record of another VM tells its demand and the
	// requests that it runs.
	Fresh time.Duration
}

// DefaultPolicy returns the policy used when none is set.
func DefaultPolicy() Policy {
	return Policy{Horizon: 10 * time.Second, ShareOfUnspent: 0.5, IdleShare: 0.15, Fresh: 5 * time.Second}
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
	// granted is what this process may use; it is below logged.Granted while a
	// smaller part may still be written.
	granted  int64
	spent    int64
	reserved int64
	stranded int64
	// base is the part of spent that earlier processes of this VM account for.
	base int64
	rate    demand
	// largest is the largest request of late; a share below it is of no use.
	largest int64
	waiters []*waiter
}

func newAccount(entry string) *account {
	return &account{entry: entry, others: make(map[string]seen)}
}

// available is what a new request may take without asking.
func (a *account) available() int64 { return a.granted - a.spent - a.reserved }

// sums adds up the other VMs' records.
func (a *account) sums(now time.Time, fresh time.Duration) (granted, spent, running, stranded, rate int64) {
	for _, h := range a.others {
		granted += h.Granted
		spent += h.Spent
		stranded += h.Stranded
		if now.Sub(h.at) <= fresh {
			running += h.InFlight
			rate += h.Rate
		}
	}
	return granted, spent, running, stranded, rate
}

// overdrawn reports whether the parts exceed the budget, which happens after it
// was lowered. Nobody may spend from its part then.
func (a *account) overdrawn(prepaid int64) bool {
	granted := a.logged.Granted
	for _, h := range a.others {
		granted += h.Granted
	}
	return granted > prepaid
}

// remaining is the most that may be left of the budget, counting running
// requests at their upper bounds.
func (a *account) remaining(prepaid int64, now time.Time, fresh time.Duration) int64 {
	_, spent, running, stranded, _ := a.sums(now, fresh)
	return prepaid - (spent - stranded) - running - (a.spent - a.stranded) - a.reserved
}

// target is the unused part that this VM should hold.
func (a *account) target(prepaid int64, now time.Time, p Policy, routers int) int64 {
	_, spent, _, _, rate := a.sums(now, p.Fresh)
	unspent := float64(prepaid - spent - a.spent)
	if unspent <= 0 {
		return 0
	}
	own := a.rate.perSecond(now)
	share := own * p.Horizon.Seconds()
	if own > 0 {
		share = min(share, unspent*p.ShareOfUnspent*own/(own+float64(rate)))
	}
	share = max(share, unspent*p.IdleShare/float64(max(1, routers)))
	if share < float64(minUseful*a.largest) {
		return 0
	}
	return int64(share)
}

// minUseful is the number of largest requests that a share must hold. Smaller
// shares would only keep the rest of a nearly empty budget in pieces.
const minUseful = 2

// plan returns the record that this VM should have in the log, and whether it
// is worth an append.
func (a *account) plan(prepaid int64, now time.Time, p Policy, routers int, process string) (holding, bool) {
	used := a.spent + a.reserved
	target := a.target(prepaid, now, p, routers)
	want := used + target
	for _, w := range a.waiters {
		want += w.amount
	}
	othersGranted, _, _, _, _ := a.sums(now, p.Fresh)
	free := max(0, prepaid-othersGranted-a.logged.Granted)
	granted := a.logged.Granted
	switch {
	case want > granted && (len(a.waiters) > 0 || granted-used < target*3/4):
		granted = min(want, granted+free)
	case want < granted && (granted-want > target/4 || a.overdrawn(prepaid)):
		granted = want
	}
	granted = max(granted, used)
	next := holding{
		Process: process, Granted: granted, Spent: a.spent, InFlight: a.reserved, Stranded: a.stranded,
		Rate: int64(a.rate.perSecond(now)),
	}
	l := a.logged
	changed := next.Granted != l.Granted || next.Spent != l.Spent || next.InFlight != l.InFlight || l.Process != process
	return next, changed && (next.Granted > 0 || l != holding{})
}

// fold takes over a record that was read from the log. It reports a record of an
// earlier process of this VM.
func (a *account) fold(vm string, h holding, own, process string, now time.Time) (takenOver bool) {
	if vm != own {
		a.others[vm] = seen{h, now}
		return false
	}
	if h.Process == process {
		a.logged, a.granted = h, h.Granted
		return false
	}
	// An earlier process of this VM: all that it was granted may be spent.
	a.stranded = h.Stranded + h.Granted - h.Spent
	a.spent += h.Granted - a.base
	a.base = h.Granted
	a.logged, a.granted = h, h.Granted
	return true
}

// demand measures tokens per second.
type demand struct {
	level float64
	at    time.Time
}

// demandWindow is the time constant of the measured demand.
const demandWindow = 4 * time.Second

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.level *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		d.at = now
	}
}

func (d *demand) add(tokens int64, now time.Time) {
	d.decay(now)
	d.level += float64(tokens)
}

func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	return d.level / demandWindow.Seconds()
}
