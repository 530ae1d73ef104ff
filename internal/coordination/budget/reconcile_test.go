package budget

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// Guards against an adjustment of the prepaid amount that is lost when the operator's tool ends early or that
// counts twice when two routers append it, and against the removal of an account that a newer configuration
// contains.
func TestReconciledChangeCountsOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	m := NewManager(Config{Holder: "vm/1", Partitions: 1, BillBuffer: 10}, log, logrus.New())
	kept := record.EntryKey{Name: "kept", Generation: 3}
	gone := record.EntryKey{Name: "gone", Generation: 2}
	newer := record.EntryKey{Name: "newer", Generation: 9}
	reconcile := func(configured ConfiguredAccounts) int {
		items := m.Reconcile(0, configured)
		if len(items) > 0 {
			data, err := record.Encode(items)
			is.NoErr(err)
			for range 2 {
				_, err = log.Append(ctx, record.LedgerStream(0), data)
				is.NoErr(err)
			}
		}
		is.NoErr(m.CatchUp(ctx))
		return len(items)
	}
	adjustment := func(key record.EntryKey, id string, delta int64) record.Adjust {
		return record.Adjust{Entry: key, ID: id, Delta: delta}
	}
	before := ConfiguredAccounts{Next: 10, Prepaid: map[record.EntryKey][]record.Adjust{
		kept: {adjustment(kept, "less", -30), adjustment(kept, "first", 100)}, gone: {adjustment(gone, "g", 50)}, newer: {adjustment(newer, "n", 5)},
	}}
	is.Equal(reconcile(before), 4)
	is.Equal(reconcile(before), 0)
	is.Equal(m.Balance(kept).Remaining, int64(70))
	after := ConfiguredAccounts{Next: 9, Prepaid: map[record.EntryKey][]record.Adjust{kept: before.Prepaid[kept]}}
	is.Equal(reconcile(after), 1)
	l := m.node.Ledger(0)
	is.True(l.Account(gone).Removed)
	is.True(!l.Account(newer).Removed) // its configuration record is not yet known
	is.Equal(reconcile(after), 0)
}
