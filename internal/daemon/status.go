package daemon

import "github.com/dotterelthread/dotterelthread/internal/transport/httpapi"

// place returns this router's rank among the live routers, and their number.
func (d *Daemon) place() (index, routers int) {
	if d.fleet == nil {
		return 0, 1
	}
	return d.fleet.place()
}

func (d *Daemon) routers() int {
	_, n := d.place()
	return n
}

// Status describes the process for /admin/status.
func (d *Daemon) Status() httpapi.Status {
	return httpapi.Status{
		VM: d.cfg.VM, Zone: d.cfg.Zone, Region: d.cfg.Region, Holder: string(d.holder),
		Ready: d.ready.Load(), Draining: d.draining.Load(), ConfigVersion: d.config.Current().Version,
		ConfigLease: d.lease() == nil, Routers: d.routers(), Backup: string(d.budget.Backup()),
		OpenRequests: d.api.InProgress(), UnknownRequests: d.api.UnknownOutcomes.Len(), RequestStates: d.api.Requests.Count(),
		Started: d.started,
	}
}

// Drain begins a planned stop, like SIGTERM.
func (d *Daemon) Drain() {
	if d.draining.CompareAndSwap(false, true) {
		close(d.drain)
	}
}

// Balance returns what is left of an entry's budget.
func (d *Daemon) Balance(entry string) (httpapi.EntryBalance, bool) {
	bound := d.config.Current().Entry(entry)
	if bound == nil {
		return httpapi.EntryBalance{}, false
	}
	return httpapi.EntryBalance{
		Entry: bound.Key.Name, Generation: bound.Key.Generation, Remaining: d.budget.Balance(bound.Key).Remaining,
	}, true
}
