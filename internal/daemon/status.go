package daemon

import "github.com/dotterelthread/dotterelthread/internal/transport/httpapi"

// memberIndex returns this router's index among the live routers, and their number.
func (d *Daemon) memberIndex() (index, routers int) {
	if d.fleet == nil {
		return 0, 1
	}
	return d.fleet.memberIndex()
}

func (d *Daemon) routers() int {
	_, n := d.memberIndex()
	return n
}

// Status describes the process for /admin/status.
func (d *Daemon) Status() httpapi.Status {
	return httpapi.Status{
		VM: d.cfg.VM, Zone: d.cfg.Zone, Region: d.cfg.Region, Holder: string(d.holder),
		Ready: d.ready.Load(), Draining: d.draining.Load(), ConfigVersion: d.config.Current().Version,
		ConfigLease: d.checkConfigLease() == nil, Routers: d.routers(), Backup: string(d.budget.Backup()),
		OpenRequests: d.api.InProgress(), UnknownRequests: d.api.UnknownOutcomes.Len(), RequestStates: d.api.Requests.Count(),
		Started: d.started,
	}
}

// Drain starts a shutdown, like SIGTERM.
func (d *Daemon) Drain() {
	if d.draining.CompareAndSwap(false, true) {
		close(d.drainRequested)
	}
}

// Balance returns the remaining tokens of an entry's budget.
func (d *Daemon) Balance(entry string) (httpapi.EntryBalance, bool) {
	e := d.config.Current().Entry(entry)
	if e == nil {
		return httpapi.EntryBalance{}, false
	}
	return httpapi.EntryBalance{
		Entry: e.Key.Name, Generation: e.Key.Generation, Remaining: d.budget.Balance(e.Key).Remaining,
	}, true
}
