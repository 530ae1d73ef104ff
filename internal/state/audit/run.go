package audit

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// ErrIncomplete reports a ledger stream whose records were dropped while it was
// read. The caller runs the audit again.
var ErrIncomplete = errors.New("ledger records were dropped during the audit")

// Run reads the streams of every partition and returns one report each. Bills
// are read after the ledger: routers write a bill before the settle that counts
// it, so what the ledger calls spent has its bills by then.
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
			// Retention dropped records during the scan.
			a.billsFrom = rec.Offset
		}
		next = rec.Offset + 1
		a.AddBills(rec)
	})
	return err
}

func (a *Auditor) readLedger(ctx context.Context, r snapshot.Reader, p int) error {
	stream := record.LedgerStream(p)
	_, err := r.Read(ctx, stream, 1, 1, 0)
	if errors.Is(err, logstream.ErrTrimmed) {
		err = a.startAtSnapshot(ctx, r, p)
	}
	if err != nil {
		return err
	}
	gap := false
	_, err = snapshot.Scan(ctx, r, stream, a.ledger.Next(), func(rec logstream.Record) {
		gap = gap || rec.Offset != a.ledger.Next()
		a.AddLedger(rec)
	})
	if err == nil && gap {
		return ErrIncomplete
	}
	return err
}

func (a *Auditor) startAtSnapshot(ctx context.Context, r snapshot.Reader, p int) error {
	decode := func(s snapshot.Snapshot) error {
		l, err := ledger.Decode(s.Data)
		if err == nil {
			a.StartAt(l)
		}
		return err
	}
	_, err := snapshot.Load(ctx, r, record.LedgerSnapshotStream(p), record.LedgerStream(p), decode)
	return err
}
