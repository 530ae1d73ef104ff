package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// reconcileInterval is the time between two comparisons of the ledgers with the configuration. `dotterelctl
// publish` appends prepaid changes itself. The comparison appends those that are missing because dotterelctl
// ended too early, and removes the accounts of removed entries.
const reconcileInterval = 2 * time.Second

// roundsPerOverspendCheck is the number of rounds per check of all accounts for overspend. The check iterates
// over the whole ledger.
const roundsPerOverspendCheck = 15

// reconcileAuthor is the author of the prepaid changes that a router appends.
const reconcileAuthor = "router"

// maxReconcileItems limits the items of one append.
const maxReconcileItems = 512

// reconcile adapts the ledgers of the partitions whose home is this router to the configuration until the
// context ends. It also updates the overspend metric.
func (d *Daemon) reconcile(ctx context.Context, log logstream.Log) {
	round := 0
	every(ctx, reconcileInterval, func() {
		if round++; round%roundsPerOverspendCheck == 0 {
			obs.OverspendTokensTotal.Set(d.budget.Overspend())
		}
		if d.checkConfigLease() != nil {
			return
		}
		for p, accounts := range d.configuredAccounts() {
			if d.isHomeOf(p) {
				d.appendMissing(ctx, log, p, accounts)
			}
		}
	})
}

// configuredAccounts returns the accounts of the active configuration, by partition. The offset is read
// first, so that the configuration may be newer than the offset but never older.
func (d *Daemon) configuredAccounts() []budget.ConfiguredAccounts {
	next := d.config.Status(nil).Next
	accounts := make([]budget.ConfiguredAccounts, d.cfg.LedgerPartitions)
	for p := range accounts {
		accounts[p] = budget.ConfiguredAccounts{Next: next, Prepaid: make(map[record.EntryKey][]record.Adjust)}
	}
	for e := range d.config.Current().Entries {
		p := record.Partition(e.Name, d.cfg.LedgerPartitions)
		changes := make([]record.Adjust, 0, len(e.Prepaid))
		for _, c := range e.Prepaid {
			changes = append(changes, record.Adjust{Entry: e.Key, ID: c.ID, Delta: c.Tokens, Author: reconcileAuthor})
		}
		accounts[p].Prepaid[e.Key] = changes
	}
	return accounts
}

// appendMissing appends up to maxReconcileItems of the items that bring a partition's ledger in line with the
// configured accounts.
func (d *Daemon) appendMissing(ctx context.Context, log logstream.Log, partition int, accounts budget.ConfiguredAccounts) {
	items := d.budget.Reconcile(partition, accounts)
	if len(items) == 0 {
		return
	}
	data, err := record.Encode(items[:min(len(items), maxReconcileItems)])
	if err != nil {
		return
	}
	// After a failed append, the next comparison finds the same items again.
	_, _ = log.Append(ctx, record.LedgerStream(partition), data)
}
