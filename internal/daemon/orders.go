package daemon

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/coordination/orders"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// ordersPartition chooses the router that takes a lapsed order lease: the home of
// this partition in the first region. It is a hint; the lease decides.
const ordersPartition = 0

// newOrders returns the manager of engine orders. It gives orders only while this
// router holds the lease.
func (d *Daemon) newOrders() *orders.Manager {
	return orders.NewManager(orders.Config{
		Holder: d.holder, PullsPerSecond: d.cfg.WeightPullsPerSecond, Catalogue: d.config.Current,
		Candidate:  func() bool { return d.writesSnapshots(ordersPartition) },
		HolderGone: d.holderGone, Now: time.Now, Logger: d.logger,
	}, d.log, upstream.NewControl(d.engines))
}

// holderGone reports whether a process is gone from the member table. An order
// lease needs no proof of death: engines that ignore fencing numbers are given
// orders only after the old lease has ended.
func (d *Daemon) holderGone(holder record.HolderID) bool {
	if d.fleet == nil {
		return false
	}
	for _, m := range d.fleet.members.View().Members() {
		if holderOf(m) == holder {
			return m.State == membership.StateGone
		}
	}
	return true
}
