package daemon

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/coordination/orders"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// ordersPartition selects the router that should acquire an expired order lease: the home of this partition
// in the first region (see membership.View.Home). It is only a hint; the lease decides.
const ordersPartition = 0

// newOrders returns the manager of engine orders. It sends orders only while this router holds the lease.
func (d *Daemon) newOrders() *orders.Manager {
	return orders.NewManager(orders.Config{
		Holder: d.holder, PullsPerSecond: d.cfg.WeightPullsPerSecond, Catalogue: d.config.Current,
		Candidate:  func() bool { return d.isHomeOf(ordersPartition) },
		HolderGone: d.holderGone, Now: time.Now, Logger: d.logger,
	}, d.log, upstream.NewControl(d.engines))
}

// holderGone reports whether a process is gone according to the member table: its state is StateGone, or the
// table does not contain it. Without peers the result is false. The table may be wrong, so the process may
// still send orders. This is harmless, and an order lease needs no proof of termination: engines that check
// fencing tokens refuse the orders once they know a newer token, and other engines get orders of the new
// holder only after the old lease has expired.
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
