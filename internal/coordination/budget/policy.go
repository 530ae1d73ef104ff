package budget

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Policy holds the settings of the budget decisions. They trade false refusals
// against idle shares; none of them decides whether overspend may occur.
type Policy struct {
	// Horizon is how long a share lasts at the estimated demand. It bounds the
	// log outage that a holder rides out on its own share.
	Horizon time.Duration
	// DemandWindow is the time constant of the demand estimate.
	DemandWindow time.Duration
	// MinGrant is the smallest grant asked for while budget is plentiful, in tokens.
	MinGrant int64
	// ReservePercent is the part of the free budget that only the home takes.
	ReservePercent int64
	// WaitInteractive and WaitQueued bound the wait before a refusal.
	WaitInteractive time.Duration
	WaitQueued      time.Duration
	// RetryInterval is the time between two tries of a failed log or peer call.
	RetryInterval time.Duration
	// AppendInterval is the least time between two background appends to one stream.
	AppendInterval time.Duration
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
}

// DefaultPolicy returns the settings used where a deployment sets none.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: time.Hour, DemandWindow: 30 * time.Second, MinGrant: 20000,
		WaitInteractive: 2 * time.Second, WaitQueued: 10 * time.Second,
		RetryInterval: 100 * time.Millisecond, AppendInterval: 500 * time.Millisecond,
		RetryAfter: 2 * time.Second,
	}
}

const (
	// grantFraction bounds a background grant to a part of the free budget, so
	// that one node does not take the rest that other nodes need.
	grantFraction = 2
	// lowWaterFraction is the part of the target share that is used before more is
	// fetched.
	lowWaterFraction = 4
	// surplusFactor is the multiple of the target above which a share goes back.
	// The gap to lowWaterFraction prevents alternating grants and returns.
	surplusFactor = 2
	// hotRequests is the number of requests per horizon from which a node holds
	// a share of its own instead of asking the home.
	hotRequests = 8
	// scarceRequests is the number of largest requests per holder below which
	// the unspent budget is gathered at the home.
	scarceRequests = 4
)

// wait returns the bound on the wait of a request before it is refused.
func (p Policy) wait(class catalogue.Class) time.Duration {
	if class == catalogue.ClassQueued {
		return p.WaitQueued
	}
	return p.WaitInteractive
}

// nextDemand returns the exponentially weighted demand after the elapsed time.
func (p Policy) nextDemand(d demand, s *share.Share, elapsed time.Duration) demand {
	if elapsed <= 0 {
		return d
	}
	wanted, largest := s.TakeDemand()
	weight := 1 - math.Exp(-elapsed.Seconds()/p.DemandWindow.Seconds())
	d.rate += weight * (float64(wanted)/elapsed.Seconds() - d.rate)
	d.maxBound = max(largest, d.maxBound-d.maxBound/maxBoundDecay)
	return d
}

// maxBoundDecay lets one very large request fade from the estimate of the
// largest request, by this part per tick.
const maxBoundDecay = 256

// demand is what the decisions know about one entry at one node, in tokens.
type demand struct {
	rate     float64
	maxBound int64
	// ownSpending and allSpending are this node's and the fleet's spending in
	// tokens/s as the log shows them; lastOwn and lastAll are the totals behind.
	ownSpending, allSpending float64
	lastOwn, lastAll         int64
}

// spendingWindows is the time constant of the spending rates in demand windows.
// They divide scarce budget between nodes and need less noise than speed.
const spendingWindows = 4

// nextSpending updates the spending rates from the totals in the fold.
func (p Policy) nextSpending(d demand, own, all int64, elapsed time.Duration) demand {
	if elapsed <= 0 {
		return d
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/(spendingWindows*p.DemandWindow.Seconds()))
	d.ownSpending += weight * (float64(own-d.lastOwn)/elapsed.Seconds() - d.ownSpending)
	d.allSpending += weight * (float64(all-d.lastAll)/elapsed.Seconds() - d.allSpending)
	d.lastOwn, d.lastAll = own, all
	return d
}

// fairTarget returns the share to hold: what lasts for the horizon, or when the
// unspent budget lasts less long for the fleet, this node's part of it by its
// part of the spending.
func (p Policy) fairTarget(d demand, s supply) int64 {
	part := 1 / float64(max(s.holders, 1))
	if d.allSpending > minRate {
		part = min(d.ownSpending/d.allSpending, 1)
	}
	return min(p.target(d), int64(part*float64(s.free+s.outstanding)))
}

// target returns the share that lasts for the horizon.
func (p Policy) target(d demand) int64 {
	return int64(min(d.rate*p.Horizon.Seconds(), float64(math.MaxInt64/8)))
}

// hot reports whether the node should hold a share of its own.
func (p Policy) hot(d demand) bool {
	return p.target(d) >= hotRequests*max(d.maxBound, 1)
}

// supply is what the fold says about one entry, in tokens.
type supply struct {
	free        int64
	outstanding int64
	holders     int64
}

// scarce reports whether so little is unspent that it belongs at the home.
func (p Policy) scarce(d demand, s supply) bool {
	return s.free+s.outstanding < scarceRequests*max(s.holders, 1)*max(d.maxBound, 1)
}

// grantAmount returns the grant to ask for, or 0. Waiting is what requests need
// beyond the share's free part now.
func (p Policy) grantAmount(d demand, s supply, shareFree, waiting int64, home bool) int64 {
	free := s.free
	if !home {
		free -= free / 100 * p.ReservePercent
	}
	need, target := int64(0), p.fairTarget(d, s)
	if waiting > 0 {
		need, target = max(0, waiting-shareFree), max(target, p.MinGrant)
	}
	if p.scarce(d, s) && !home {
		return need
	}
	ahead := min(target-shareFree, free/grantFraction)
	if waiting > 0 {
		ahead = min(ahead, free/grantFraction/max(s.holders, 1))
	}
	return max(need, ahead, 0)
}

// prefetch returns the grant to ask for in the background, or 0 when the share
// is full enough or the gain does not justify an append.
func (p Policy) prefetch(d demand, s supply, shareFree int64, home bool) int64 {
	target := p.fairTarget(d, s)
	if !p.hot(d) || shareFree >= target-target/lowWaterFraction {
		return 0
	}
	amount := p.grantAmount(d, s, shareFree, 0, home)
	if amount < max(d.maxBound, shareFree/worthwhileFraction) {
		return 0
	}
	return amount
}

// worthwhileFraction bounds the number of background grants: each one enlarges
// the share by at least this part.
const worthwhileFraction = 16

// surplus returns the part of a share that its demand does not justify.
func (p Policy) surplus(d demand, s supply, shareFree int64) int64 {
	keep := max(p.fairTarget(d, s), d.maxBound)
	if shareFree <= surplusFactor*keep && d.rate >= minRate {
		return 0
	}
	if d.rate < minRate {
		keep = 0
	}
	return max(0, shareFree-keep)
}

// minRate is the demand in tokens/s below which an entry counts as idle.
const minRate = 0.01
