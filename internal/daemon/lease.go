package daemon

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// leaseCacheTime bounds the age of a decision on the configuration lease. A
// process that was paused finds its decision too old and decides again before
// it serves.
const leaseCacheTime = 200 * time.Millisecond

// leaseDecision is one decision on the configuration lease.
type leaseDecision struct {
	at    time.Time
	state configsync.LeaseState
}

// leaseCache saves the look at every member on each request.
type leaseCache struct{ last atomic.Pointer[leaseDecision] }

var errLeaseLapsed = errors.New("a newer configuration may be in force elsewhere")

// lease implements httpapi.API.Lease.
func (d *Daemon) lease() error {
	decision := d.leases.last.Load()
	if now := time.Now(); decision == nil || now.Sub(decision.at) > leaseCacheTime {
		decision = &leaseDecision{at: now, state: d.decideLease()}
		d.leases.last.Store(decision)
	}
	if !decision.state.Valid() {
		return errLeaseLapsed
	}
	return nil
}

func (d *Daemon) decideLease() configsync.LeaseState {
	reports, listed := d.reports(), 1
	for _, r := range reports {
		if r.Listed {
			listed++
		}
	}
	return configsync.Lease(d.config.LeaseInput(d.cfg.ConfigLease, reports, listed))
}

// reports returns what the other routers last said; none for a router that runs
// alone.
func (d *Daemon) reports() []membership.MemberReport {
	if d.fleet == nil {
		return nil
	}
	return d.fleet.members.Reports()
}

// configStatus is what heartbeats say of this router's configuration.
func (d *Daemon) configStatus() peerapi.ConfigStatus { return d.config.Status(d.reports()) }
