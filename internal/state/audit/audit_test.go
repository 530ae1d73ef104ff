package audit

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

var key = record.EntryKey{Name: "bench", Generation: 1}

func bill(id string, charged int64) record.Item {
	return record.Item{Bill: &record.Bill{RequestID: id, Entry: key, Holder: "vm-1/a", Charged: charged}}
}

func appendItems(t *testing.T, log *standin.Log, stream string, items ...record.Item) {
	t.Helper()
	data, err := record.Encode(items)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), stream, data); err != nil {
		t.Fatal(err)
	}
}

// entryLog returns a log whose ledger stream has the records of one catalogue entry: 100 tokens prepaid, 60
// spent, 30 outstanding on vm-1.
func entryLog(t *testing.T) *standin.Log {
	log := standin.NewLog()
	appendItems(t, log, record.LedgerStream(0),
		record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: 100}},
		record.Item{Grant: &record.Grant{Entry: key, Holder: "vm-1/a", Seq: 1, Amount: 90}})
	appendItems(t, log, record.LedgerStream(0), record.Item{Settle: &record.Settle{Entry: key, Holder: "vm-1/a", Seq: 1, Spent: 60}})
	return log
}

func runAudit(t *testing.T, log *standin.Log, live bool) (Report, Entry) {
	t.Helper()
	reports, err := Run(context.Background(), log, 1, func(record.HolderID) bool { return live })
	if err != nil || len(reports) != 1 || len(reports[0].Entries) != 1 {
		t.Fatalf("reports %+v: %v", reports, err)
	}
	return reports[0], reports[0].Entries[0]
}

// Guards against an audit that reports findings for a consistent log, or counts duplicate bills as charges.
func TestConsistentLogHasNoFinding(t *testing.T) {
	is := is.New(t)
	log := entryLog(t)
	appendItems(t, log, record.BillStream(0), bill("r1", 40), bill("r2", 20), bill("r1", 40))
	report, e := runAudit(t, log, true)
	is.True(e.OK())
	is.True(report.Recomputed)
	is.Equal(e.Balance, ledger.Balance{Prepaid: 100, Free: 10, Spent: 60, Outstanding: 30})
	is.Equal([]int64{e.Billed, int64(e.Bills), int64(e.DuplicateBills)}, []int64{60, 2, 1})
	is.Equal(len(e.Stranded), 0)
}

// Guards against an audit that misses one of the faults that it must report.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		bills []record.Item
		live  bool
		check func(Entry) bool
	}{
		"missing bill":     {[]record.Item{bill("r1", 40)}, true, func(e Entry) bool { return e.Missing == 20 && !e.OK() }},
		"not settled":      {[]record.Item{bill("r1", 70)}, true, func(e Entry) bool { return e.Unsettled == 10 && e.OK() }},
		"overspend":        {[]record.Item{bill("r1", 130)}, true, func(e Entry) bool { return e.Overspend == 30 && !e.OK() }},
		"conflicting bill": {[]record.Item{bill("r1", 60), bill("r1", 50)}, true, func(e Entry) bool { return e.Billed == 60 && len(e.ConflictingBills) == 1 }},
		"stranded share":   {[]record.Item{bill("r1", 60)}, false, func(e Entry) bool { return len(e.Stranded) == 1 && e.Stranded[0].Outstanding == 30 }},
	} {
		t.Run(name, func(t *testing.T) {
			log := entryLog(t)
			appendItems(t, log, record.BillStream(0), c.bills...)
			if _, e := runAudit(t, log, c.live); !c.check(e) {
				t.Fatalf("%+v", e)
			}
		})
	}
}

// Guards against false findings after the log has trimmed old records: the ledger is restored from its
// snapshot, and trimmed bills are not reported as missing.
func TestAuditAfterTrimming(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := entryLog(t)
	l := ledger.New()
	page, err := log.Read(ctx, record.LedgerStream(0), 1, 10, 0)
	is.NoErr(err)
	for _, r := range page.Records {
		l.ApplyRecord(r.Offset, r.Data)
	}
	data, err := l.Encode()
	is.NoErr(err)
	parts, err := snapshot.Split(snapshot.Snapshot{Next: l.Next(), Data: data}, snapshot.PartBytes)
	is.NoErr(err)
	_, err = log.Append(ctx, record.LedgerSnapshotStream(0), parts[0])
	is.NoErr(err)
	appendItems(t, log, record.BillStream(0), bill("r1", 40))
	appendItems(t, log, record.BillStream(0), bill("r2", 20))
	log.SetFaults(standin.LogFaults{Retain: 1})
	report, e := runAudit(t, log, true)
	is.Equal(report.BillsFrom, uint64(2))
	is.True(!report.Recomputed)
	is.True(e.OK())
	is.Equal(e.Spent, int64(60))
}
