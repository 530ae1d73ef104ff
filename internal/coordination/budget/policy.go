package budget

import (
	"math"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Policy holds the settings of the budget decisions. They trade false refusals against unused shares; none of
// them affects whether overspend can occur.
type Policy struct {
	// Horizon is how long a share lasts at the estimated demand. A holder can spend from its own share
	// through a log outage of that length.
	Horizon time.Duration
	// DemandWindow is the time constant of the demand estimate.
	DemandWindow time.Duration
	// MinGrant is the smallest grant requested while budget is plentiful, in tokens.
	MinGrant int64
	// ReservePercent is the percentage of the free budget that only the home may request.
	ReservePercent int64
	// WaitInteractive and WaitQueued bound the wait before a refusal.
	WaitInteractive time.Duration
	WaitQueued      time.Duration
	// RetryInterval is the time between two tries of a failed call to the log or a peer.
	RetryInterval time.Duration
	// AppendInterval is the least time between two background appends to one stream.
	AppendInterval time.Duration
	// RetryAfter is how long a refused caller is told to wait.
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
	// maxGrantDivisor bounds a background grant to this fraction (1/2) of the free budget, so that one node
	// does not take what other nodes need.
	maxGrantDivisor = 2
	// refillDivisor gives the fraction of the target share (1/4) that is used before a share is refilled.
	refillDivisor = 4
	// surplusDivisor gives how far above its target (1/4) a share must be before a part of it is returned.
	// The distance to the refill limit prevents alternating grants and returns.
	surplusDivisor = 4
	// ownShareRequests is the number of largest requests per horizon from which a node holds a share of its
	// own instead of asking the home.
	ownShareRequests = 8
	// scarceRequests is the number of largest requests per holder. When the unspent budget covers fewer, it
	// is collected at the home.
	scarceRequests = 4
)

// waitLimit returns how long a request may wait before it is refused.
func (p Policy) waitLimit(class catalogue.Class) time.Duration {
	if class == catalogue.ClassQueued {
		return p.WaitQueued
	}
	return p.WaitInteractive
}

// updateDemand returns the exponentially weighted demand after the elapsed time.
func (p Policy) updateDemand(d demand, s *share.Share, elapsed time.Duration) demand {
	if elapsed <= 0 {
		return d
	}
	requested, largest := s.TakeDemand()
	weight := 1 - math.Exp(-elapsed.Seconds()/p.DemandWindow.Seconds())
	d.rate += weight * (float64(requested)/elapsed.Seconds() - d.rate)
	d.maxRequest = max(largest, d.maxRequest-d.maxRequest/maxRequestDecay)
	return d
}

// maxRequestDecay gives the fraction (1/256) by which the estimate of the largest request decays per tick, so
// that one very large request does not determine it for long.
const maxRequestDecay = 256

// demand holds the demand estimates for one entry at one node, in tokens and tokens/s.
type demand struct {
	rate       float64
	maxRequest int64
	// ownSpendRate and fleetSpendRate are this node's and the fleet's spending in tokens/s as reported in the
	// ledger; lastOwnSpent and lastFleetSpent are the totals at the last update.
	ownSpendRate, fleetSpendRate float64
	lastOwnSpent, lastFleetSpent int64
}

// spendingWindows is the time constant of the spending rates in demand windows. The rates divide scarce
// budget between nodes, for which low noise matters more than a fast response.
const spendingWindows = 4

// updateSpending updates the spending rates from this node's counters and the ledger's totals.
func (p Policy) updateSpending(d demand, own, fleet int64, elapsed time.Duration) demand {
	if elapsed <= 0 {
		return d
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/(spendingWindows*p.DemandWindow.Seconds()))
	d.ownSpendRate += weight * (float64(own-d.lastOwnSpent)/elapsed.Seconds() - d.ownSpendRate)
	d.fleetSpendRate += weight * (float64(fleet-d.lastFleetSpent)/elapsed.Seconds() - d.fleetSpendRate)
	d.lastOwnSpent, d.lastFleetSpent = own, fleet
	return d
}

// fairTarget returns the share to hold: the one that lasts for the horizon or, if the fleet's unspent budget
// lasts less long, this node's fraction of it in proportion to its spending.
func (p Policy) fairTarget(d demand, avail availability) int64 {
	fraction := 1 / float64(max(avail.holders, 1))
	if d.fleetSpendRate > minRate {
		fraction = min(d.ownSpendRate/d.fleetSpendRate, 1)
	}
	return min(p.target(d), int64(fraction*float64(avail.free+avail.outstanding)))
}

// target returns the share that lasts for the horizon.
func (p Policy) target(d demand) int64 {
	return int64(min(d.rate*p.Horizon.Seconds(), float64(math.MaxInt64/8)))
}

// needsOwnShare reports whether the node's demand is high enough for a share of its own.
func (p Policy) needsOwnShare(d demand) bool {
	return p.target(d) >= ownShareRequests*max(d.maxRequest, 1)
}

// availability holds the ledger's totals for one entry, in tokens, and its number of holders.
type availability struct {
	free        int64
	outstanding int64
	holders     int64
}

// scarce reports whether so little is unspent that it is collected at the home.
func (p Policy) scarce(d demand, avail availability) bool {
	return avail.free+avail.outstanding < scarceRequests*max(avail.holders, 1)*max(d.maxRequest, 1)
}

// grantAmount returns the grant to request, or 0. unreserved is what can still be reserved from the node's share,
// and waiting what the waiting requests need in total.
func (p Policy) grantAmount(d demand, avail availability, unreserved, waiting int64, isHome bool) int64 {
	free := avail.free
	if !isHome {
		free -= free / 100 * p.ReservePercent
	}
	need, target := int64(0), p.fairTarget(d, avail)
	if waiting > 0 {
		need, target = max(0, waiting-unreserved), max(target, p.MinGrant)
	}
	if p.scarce(d, avail) && !isHome {
		return need
	}
	extra := min(target-unreserved, free/maxGrantDivisor)
	if waiting > 0 {
		extra = min(extra, free/maxGrantDivisor/max(avail.holders, 1))
	}
	return max(need, extra, 0)
}

// prefetchAmount returns the grant to request in the background, or 0 if the share is full enough or the
// grant is too small to justify an append.
func (p Policy) prefetchAmount(d demand, avail availability, unreserved int64, isHome bool) int64 {
	target := p.fairTarget(d, avail)
	if !p.needsOwnShare(d) || unreserved >= target-target/refillDivisor {
		return 0
	}
	amount := p.grantAmount(d, avail, unreserved, 0, isHome)
	if amount < max(d.maxRequest, unreserved/minGrowthDivisor) {
		return 0
	}
	return amount
}

// minGrowthDivisor bounds the number of background grants: each one enlarges the share by at least this
// fraction (1/16).
const minGrowthDivisor = 16

// surplus returns how many unreserved tokens of a share its demand does not justify.
func (p Policy) surplus(d demand, avail availability, unreserved int64) int64 {
	keep := max(p.fairTarget(d, avail), d.maxRequest)
	if unreserved <= keep+keep/surplusDivisor+d.maxRequest && d.rate >= minRate {
		return 0
	}
	if d.rate < minRate {
		keep = 0
	}
	return max(0, unreserved-keep)
}

// minRate is the demand in tokens/s below which an entry counts as idle.
const minRate = 0.01
