package follow

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// ledgerNode follows the ledger of partition 0 and writes its snapshots.
type ledgerNode struct {
	*Follower
	ledger *ledger.Ledger
	writer *SnapshotWriter
}

func newLedgerNode(log Log, c *fakeClock) *ledgerNode {
	n := &ledgerNode{ledger: ledger.New()}
	n.Follower = New(log, Config{
		Stream: record.LedgerStream(0), SnapshotStream: record.LedgerSnapshotStream(0), Now: c.now,
		Apply: func(records []logstream.Record) {
			for _, r := range records {
				n.ledger.ApplyRecord(r.Offset, r.Data)
			}
		},
		Decode: func(s snapshot.Snapshot) (func(), error) {
			l, err := ledger.Decode(s.Data)
			return func() { n.ledger = l }, err
		},
	})
	n.writer = NewSnapshotWriter(log, SnapshotWriterConfig{
		SnapshotStream: record.LedgerSnapshotStream(0), Retention: retention, PartBytes: 256, Now: c.now,
		Next: func() uint64 { return n.ledger.Next() },
		Encode: func() (snapshot.Snapshot, error) {
			data, err := n.ledger.Encode()
			return snapshot.Snapshot{Next: n.ledger.Next(), Data: data}, err
		},
	})
	return n
}

// Guards against budget that is lost or reappears when every router is replaced and the log, read over HTTP,
// has only snapshots and the newest records.
func TestLedgerReadersRestartFromSnapshotOnly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakeClock()
	log := standin.NewLogWithClock(c.now)
	client := newLogClient(t, log)
	log.SetFaults(standin.LogFaults{RetainAge: retention})
	reference := ledger.NewReferenceLedger()
	first, second := newLedgerNode(client, c), newLedgerNode(client, c)
	for i := range 60 {
		key := record.EntryKey{Name: fmt.Sprint("entry-", i%5), Generation: 1}
		holder := record.HolderID(fmt.Sprint("vm-", i))
		data, err := record.Encode([]record.Item{
			{Adjust: &record.Adjust{Entry: key, ID: fmt.Sprint("p", i), Delta: 100}},
			{Grant: &record.Grant{Entry: key, Holder: holder, Seq: 1, Amount: 50}},
			{Settle: &record.Settle{Entry: key, Holder: holder, Seq: 1, Spent: int64(i), Returned: 1}},
		})
		is.NoErr(err)
		offset, err := client.Append(ctx, record.LedgerStream(0), data)
		is.NoErr(err)
		reference.ApplyRecord(offset, data)
		c.at = c.at.Add(retention / 10)
		for _, n := range []*ledgerNode{first, second} {
			is.NoErr(n.CatchUp(ctx))
			_, err := n.writer.Step(ctx)
			is.NoErr(err)
		}
		if i%10 == 9 {
			first, second = newLedgerNode(client, c), newLedgerNode(client, c)
		}
	}
	joined := newLedgerNode(client, c)
	is.NoErr(joined.CatchUp(ctx))
	is.NoErr(joined.Ready())
	is.Equal(joined.ledger.Len(), 5)
	for key, a := range joined.ledger.Accounts {
		is.Equal(a.Balance(), reference.Balance(key))
	}
	page, err := client.Read(ctx, record.LedgerStream(0), joined.Next()-1, 1, 0)
	is.NoErr(err)
	is.True(page.First > 1) // the log has trimmed the first records
}

func newLogClient(t *testing.T, log *standin.Log) *logclient.Client {
	t.Helper()
	server := httptest.NewServer(standin.LogHandler(log))
	t.Cleanup(server.Close)
	return logclient.New(server.URL)
}
