package audit

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// ErrIncomplete reports that the log trimmed records of a ledger stream while it was read. The caller runs
// the audit again.
var ErrIncomplete = errors.New("ledger records were dropped during the audit")

// Run reads the streams of every partition and returns one report for each. live reports whether the process
// of a holder still runs; the unspent shares of other holders are reported as stranded. Bills are read after
// the ledger: routers append a bill before the Settle item whose total includes the bill, so the bills of all
// spent tokens in the ledger are in the log by then.
func Run(ctx context.Context, r snapshot.Reader, partitions int, live func(record.HolderID) bool) ([]Report, error) {
	reports := make([]Report, 0, partitions)
	for p := range partitions {
		report, err := runPartition(ctx, r, p, live)
		if err != nil {
			return nil, errors.Wrapf(err, "partition %d", p)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func runPartition(ctx context.Context, r snapshot.Reader, p int, live func(record.HolderID) bool) (Report, error) {
	a := New()
	if err := a.readLedger(ctx, r, p); err != nil {
		return Report{}, err
	}
	if err := a.readBills(ctx, r, p); err != nil {
		return Report{}, err
	}
	return a.Report(p, live), nil
}

func (a *Auditor) readBills(ctx context.Context, r snapshot.Reader, p int) (err error) {
	stream := record.BillStream(p)
	if a.billsFrom, err = snapshot.FirstRetained(ctx, r, stream); err != nil {
		return err
	}
	next := a.billsFrom
	_, err = snapshot.Scan(ctx, r, stream, next, func(rec logstream.Record) {
		if rec.Offset != next {
			// The log trimmed records during the scan.
			a.billsFrom = rec.Offset
		}
		next = rec.Offset + 1
		a.AddBillRecord(rec)
	})
	return err
}

func (a *Auditor) readLedger(ctx context.Context, r snapshot.Reader, p int) error {
	stream := record.LedgerStream(p)
	_, err := r.Read(ctx, stream, 1, 1, 0)
	if errors.Is(err, logstream.ErrTrimmed) {
		err = a.loadSnapshot(ctx, r, p)
	}
	if err != nil {
		return err
	}
	recordsMissing := false
	_, err = snapshot.Scan(ctx, r, stream, a.ledger.Next(), func(rec logstream.Record) {
		recordsMissing = recordsMissing || rec.Offset != a.ledger.Next()
		a.AddLedgerRecord(rec)
	})
	if err == nil && recordsMissing {
		return ErrIncomplete
	}
	return err
}

func (a *Auditor) loadSnapshot(ctx context.Context, r snapshot.Reader, p int) error {
	decode := func(s snapshot.Snapshot) error {
		l, err := ledger.Decode(s.Data)
		if err == nil {
			a.UseSnapshot(l)
		}
		return err
	}
	_, err := snapshot.Load(ctx, r, record.LedgerSnapshotStream(p), record.LedgerStream(p), decode)
	return err
}
