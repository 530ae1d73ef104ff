package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// reconcileInterval is the time between two comparisons of ledger and
// configuration. `dotterelctl publish` appends prepaid changes itself; this makes
// up for one that ended before it did, and removes accounts.
const reconcileInterval = 2 * time.Second

// overspendRounds is the number of rounds between two looks at every account for
// overspend, which costs a pass over the whole ledger.
const overspendRounds = 15

// reconcileAuthor is the author of the prepaid changes that a router appends.
const reconcileAuthor = "router"

// maxReconcileItems bounds one append.
const maxReconcileItems = 512

// reconcile keeps the ledgers of the partitions whose home this router is in line
// with the configuration.
func (d *Daemon) reconcile(ctx context.Context, log logstream.Log) {
	round := 0
	every(ctx, reconcileInterval, func() {
		if round++; round%overspendRounds == 0 {
			obs.OverspendTokensTotal.Set(d.budget.Overspend())
		}
		if d.lease() != nil {
			return
		}
		for p, declared := range d.declared() {
			if d.writesSnapshots(p) {
				d.appendMissing(ctx, log, p, declared)
			}
		}
	})
}

// declared returns what the configuration in force says of each partition. The
// offset is read first: the snapshot may be newer, never older.
func (d *Daemon) declared() []budget.ConfiguredAccounts {
	next := d.config.Status(nil).Next
	all := make([]budget.ConfiguredAccounts, d.cfg.LedgerPartitions)
	for p := range all {
		all[p] = budget.ConfiguredAccounts{Next: next, Prepaid: make(map[record.EntryKey][]record.Adjust)}
	}
	for e := range d.config.Current().Entries {
		p := record.Partition(e.Name, d.cfg.LedgerPartitions)
		changes := make([]record.Adjust, 0, len(e.Prepaid))
		for _, c := range e.Prepaid {
			changes = append(changes, record.Adjust{Entry: e.Key, ID: c.ID, Delta: c.Tokens, Author: reconcileAuthor})
		}
		all[p].Prepaid[e.Key] = changes
	}
	return all
}

func (d *Daemon) appendMissing(ctx context.Context, log logstream.Log, p int, declared budget.ConfiguredAccounts) {
	items := d.budget.Reconcile(p, declared)
	if len(items) == 0 {
		return
	}
	data, err := record.Encode(items[:min(len(items), maxReconcileItems)])
	if err != nil {
		return
	}
	// A failed append is made up for by the next comparison.
	_, _ = log.Append(ctx, record.LedgerStream(p), data)
}
