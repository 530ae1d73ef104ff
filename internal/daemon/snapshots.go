package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// maxSnapshotCheckInterval limits the time between two checks whether a snapshot is due. A writer replaces its
// snapshot when a quarter of the log's retention, in time or in records, has passed.
const maxSnapshotCheckInterval = time.Minute

// snapshotChecksPerRetention is the number of checks within the retention time of the log.
const snapshotChecksPerRetention = 20

// snapshotWriters writes the snapshots of the streams whose home is this router.
type snapshotWriters struct {
	isHome  func(partition int) bool
	ledgers []*follow.SnapshotWriter
	claims  []*follow.SnapshotWriter
	config  *follow.SnapshotWriter
	logger  logrus.FieldLogger
}

func (d *Daemon) newSnapshotWriters(log logstream.Log) *snapshotWriters {
	w := &snapshotWriters{isHome: d.isHomeOf, logger: d.logger}
	for p := range d.cfg.LedgerPartitions {
		w.ledgers = append(w.ledgers, d.newWriter(log, record.LedgerSnapshotStream(p),
			func() (snapshot.Snapshot, error) { return d.budget.LedgerSnapshot(p) },
			func() uint64 { return d.budget.NextLedgerOffset(p) }))
	}
	for p := range d.cfg.ClaimPartitions {
		w.claims = append(w.claims, d.claims.SnapshotWriter(log, p, d.cfg.LogRetention, d.cfg.LogRetainRecords))
	}
	w.config = d.newWriter(log, record.ConfigSnapshotStream, d.config.Encode, func() uint64 { return d.config.Status(nil).Next })
	return w
}

func (d *Daemon) newWriter(
	log logstream.Log, stream string, encode func() (snapshot.Snapshot, error), next func() uint64,
) *follow.SnapshotWriter {
	return follow.NewSnapshotWriter(log, follow.SnapshotWriterConfig{
		SnapshotStream: stream, Retention: d.cfg.LogRetention, RetainRecords: d.cfg.LogRetainRecords,
		Encode: encode, Next: next,
	})
}

// isHomeOf reports whether this router is the home of a partition in the first region (see
// membership.View.Home). If routers disagree on this, several of them write snapshots. This is harmless,
// because routers with the same state write the same parts.
func (d *Daemon) isHomeOf(partition int) bool {
	if d.fleet == nil {
		return true
	}
	view := d.fleet.members.View()
	home, ok := view.Home(partition, firstRegion(view.Members()))
	return ok && home.VM == d.cfg.VM
}

// firstRegion returns the first region in alphabetical order that has live members. Suspected members count as
// live.
func firstRegion(members []membership.Member) string {
	first := ""
	for _, m := range members {
		if m.State <= membership.StateSuspect && (first == "" || m.Region < first) {
			first = m.Region
		}
	}
	return first
}

// run writes the snapshots that are due until the context ends.
func (w *snapshotWriters) run(ctx context.Context, retention time.Duration) {
	interval := min(maxSnapshotCheckInterval, max(time.Millisecond, retention/snapshotChecksPerRetention))
	every(ctx, interval, func() { w.writeDue(ctx) })
}

func (w *snapshotWriters) writeDue(ctx context.Context) {
	for p, writer := range w.ledgers {
		w.write(ctx, p, "ledger", writer)
	}
	for p, writer := range w.claims {
		w.write(ctx, p, "claims", writer)
	}
	w.write(ctx, 0, "config", w.config)
}

func (w *snapshotWriters) write(ctx context.Context, partition int, kind string, writer *follow.SnapshotWriter) {
	if !w.isHome(partition) {
		return
	}
	if _, err := writer.Step(ctx); err != nil && ctx.Err() == nil {
		obs.EventSnapshotDelayed.Log(w.logger, logrus.Fields{"kind": kind, "partition": partition, "error": err.Error()})
	}
}
