package daemon

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// maxLeaseDecisionAge limits how long a decision on the configuration lease is used. A process that was
// paused finds its decision too old and evaluates the lease again before it serves.
const maxLeaseDecisionAge = 200 * time.Millisecond

// leaseDecision is the state of the configuration lease at a point in time.
type leaseDecision struct {
	at    time.Time
	state configsync.LeaseState
}

// leaseCache holds the last decision, so that a request does not have to check all members.
type leaseCache struct{ last atomic.Pointer[leaseDecision] }

var errLeaseExpired = errors.New("a newer configuration may be active elsewhere")

// checkConfigLease implements httpapi.API.CheckConfigLease.
func (d *Daemon) checkConfigLease() error {
	decision := d.configLease.last.Load()
	if now := time.Now(); decision == nil || now.Sub(decision.at) > maxLeaseDecisionAge {
		decision = &leaseDecision{at: now, state: d.evaluateLease()}
		d.configLease.last.Store(decision)
	}
	if !decision.state.Valid() {
		return errLeaseExpired
	}
	return nil
}

func (d *Daemon) evaluateLease() configsync.LeaseState {
	// The count starts at 1 for this router, which has no report of itself.
	reports, listedLive := d.reports(), 1
	for _, r := range reports {
		if r.Listed {
			listedLive++
		}
	}
	return configsync.Lease(d.config.LeaseInput(d.cfg.ConfigLease, reports, listedLive))
}

// reports returns the last reports of the other routers; none for a router without peers.
func (d *Daemon) reports() []membership.MemberReport {
	if d.fleet == nil {
		return nil
	}
	return d.fleet.members.Reports()
}

// configStatus is the status of this router's configuration that its heartbeats report.
func (d *Daemon) configStatus() peerapi.ConfigStatus { return d.config.Status(d.reports()) }
