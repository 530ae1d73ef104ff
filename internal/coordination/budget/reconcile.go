package budget

import (
	"cmp"
	"slices"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ConfiguredAccounts is what the accepted configuration says about the accounts of a partition.
type ConfiguredAccounts struct {
	// Prepaid holds the adjustments of each entry's prepaid amount.
	Prepaid map[record.EntryKey][]record.Adjust
	// Next is the offset of the next configuration record to apply. Accounts of a later generation belong to
	// a configuration that is not yet known.
	Next uint64
}

// Reconcile returns the items that bring the ledger of a partition in line with the configuration: the
// adjustments of prepaid amounts whose IDs it lacks, and the removal of accounts whose entry no longer exists.
// Every item counts once, so two routers may append the same ones.
func (m *Manager) Reconcile(p int, configured ConfiguredAccounts) []record.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.node.partitions[p].ledger
	var items []record.Item
	for key, adjustments := range configured.Prepaid {
		a := l.Account(key)
		for i := range adjustments {
			if a != nil && a.Removed {
				continue
			}
			if a != nil {
				if _, known := a.Adjustments[adjustments[i].ID]; known {
					continue
				}
			}
			items = append(items, record.Item{Adjust: &adjustments[i]})
		}
	}
	for key, a := range l.Accounts {
		if _, found := configured.Prepaid[key]; !found && !a.Removed && key.Generation < configured.Next {
			items = append(items, record.Item{Remove: &record.Remove{Entry: key}})
		}
	}
	slices.SortStableFunc(items, func(a, b record.Item) int {
		return cmp.Compare(reconcileOrder(a), reconcileOrder(b))
	})
	return items
}

// reconcileOrder sorts increases before decreases, so that a decrease for a new entry finds the tokens that
// it takes, and removals last.
func reconcileOrder(i record.Item) int {
	switch {
	case i.Adjust != nil && i.Adjust.Delta >= 0:
		return 0
	case i.Adjust != nil:
		return 1
	}
	return 2
}
