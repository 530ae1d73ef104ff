package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

var testKey = record.EntryKey{Name: "bench", Generation: 1}

// testLog is one ledger partition and the members stream, for nodes that the test drives step by step.
type testLog struct {
	t       *testing.T
	now     time.Time
	ledger  []logstream.Record
	members []logstream.Record
}

func newTestLog(t *testing.T, prepaid int64) *testLog {
	l := &testLog{t: t, now: time.Unix(1000, 0)}
	l.append(&l.ledger, record.Item{Adjust: &record.Adjust{Entry: testKey, ID: "first", Delta: prepaid}})
	return l
}

func (l *testLog) append(stream *[]logstream.Record, items ...record.Item) uint64 {
	l.t.Helper()
	data, err := record.Encode(items)
	if err != nil {
		l.t.Fatal(err)
	}
	*stream = append(*stream, logstream.Record{Offset: uint64(len(*stream) + 1), Data: data})
	return uint64(len(*stream))
}

func (l *testLog) node(name record.HolderID) *Node {
	return NewNode(DefaultPolicy(), name, 1, 100)
}

// sync appends the items of a node that are due and reads both streams to their ends.
func (l *testLog) sync(n *Node) {
	l.now = l.now.Add(time.Second)
	if bills := n.NextBills(0); len(bills) > 0 {
		n.BillsDone(0, true)
	}
	if d := n.NextBackupDeclaration(); d != nil {
		l.append(&l.members, record.Item{Backup: d})
	}
	if items := n.NextAppend(l.now, 0); len(items) > 0 {
		n.AppendDone(l.now, 0, l.append(&l.ledger, items...), nil)
	}
	l.read(n)
}

// read lets a node read both streams to their ends.
func (l *testLog) read(n *Node) {
	l.now = l.now.Add(time.Second)
	n.ApplyLedgerPage(l.now, 0, page(l.ledger, n.NextLedgerOffset(0)))
	n.ApplyMembersPage(l.now, page(l.members, n.NextMembersOffset()))
}

func page(records []logstream.Record, from uint64) logstream.Page {
	return logstream.Page{Records: records[from-1:], First: 1, Next: uint64(len(records) + 1)}
}

// grantShare grants the node a share of the amount, through the log.
func (l *testLog) grantShare(n *Node, amount int64) {
	l.read(n)
	n.planGrant(n.entry(testKey), amount)
	l.sync(n)
}

func mustReserve(n *Node, id string, amount int64) Reservation {
	res := n.Reservation(ReserveRequest{RequestID: id, Entry: testKey, Amount: amount})
	if _, ok := n.Reserve(res); !ok {
		panic("the share does not cover " + id)
	}
	return res
}

// replicateTo sends the journal of a node to its backup.
func replicateTo(n, backup *Node) {
	for {
		batch, _ := n.NextJournalBatch()
		if batch == nil {
			return
		}
		if err := backup.ServeJournal(*batch); err != nil {
			panic(err)
		}
		n.JournalBatchDone(batch)
	}
}

func billFor(res Reservation, charged int64) record.Bill {
	return record.Bill{RequestID: res.RequestID, Entry: res.Entry, Holder: res.Holder, Charged: charged}
}

// holderWithBackup returns the log, a holder of 100 tokens and its backup with a replica of the holder's
// reservations. The holder has settled a request at 10 tokens and has 30 and 20 in flight; the 20 were
// reserved before it had a backup.
func holderWithBackup(t *testing.T) (l *testLog, holder, backup *Node) {
	l = newTestLog(t, 1000)
	holder, backup = l.node("a/1"), l.node("b/1")
	l.grantShare(holder, 100)
	mustReserve(holder, "before", 20)
	holder.SetBackup("b/1")
	l.sync(holder)
	replicateTo(holder, backup)
	settled := mustReserve(holder, "settled", 15)
	mustReserve(holder, "running", 30)
	holder.SettleOwn(settled, billFor(settled, 10))
	replicateTo(holder, backup)
	return l, holder, backup
}

func (l *testLog) proof(h *Node) TerminationProof {
	return TerminationProof{Kind: ProofDelisted, Holder: h.Self(), Since: l.now}
}

// Guards against returning budget that requests in flight may still spend, and against a close before the
// terminated holder's bills are in the log.
func TestReclaimCountsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	l, holder, backup := holderWithBackup(t)
	proof := l.proof(holder)
	is.Equal(backup.Reclaim(l.now, proof, nil), ReclaimNotReady) // the streams were not read after the proof
	l.read(backup)
	is.Equal(backup.Reclaim(l.now, proof, nil), ReclaimRunning)
	is.Equal(backup.NextAppend(l.now, 0), nil) // no close before the bills are durable
	is.Equal(len(backup.NextBills(0)), 2)      // settled and running
	backup.BillsDone(0, true)
	l.sync(backup)
	is.Equal(backup.Reclaim(l.now, proof, nil), ReclaimDone)
	s := backup.account(testKey).Shares["a/1"]
	is.Equal(s.Spent, int64(10+30+20)) // settled, running at its upper bound, unnamed at its upper bound
	is.Equal(backup.account(testKey).Free, int64(1000-60))
}

// Guards against counting a request at its upper bound when its upstream reports less.
func TestReclaimUsesUpstreamReport(t *testing.T) {
	is := is.New(t)
	l, holder, backup := holderWithBackup(t)
	proof := l.proof(holder)
	l.read(backup)
	backup.Reclaim(l.now, proof, func(id string) (int64, bool) { return 5, id == "running" })
	l.sync(backup)
	l.sync(backup)
	is.Equal(backup.account(testKey).Shares["a/1"].Spent, int64(10+5+20))
}

// Guards against a lost bill that charges nothing: it changes no counter, so neither the counters in the full
// state nor the outstanding share shows it.
func TestReclaimWritesBillsWithoutCharge(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t, 1000)
	holder, backup := l.node("a/1"), l.node("b/1")
	l.grantShare(holder, 100)
	res := mustReserve(holder, "free", 20)
	holder.SetBackup("b/1")
	l.append(&l.members, record.Item{Backup: holder.NextBackupDeclaration()})
	l.read(holder)
	holder.SettleOwn(res, billFor(res, 0))
	holder.ServeReturn(testKey)
	l.append(&l.ledger, record.Item{Settle: holder.nextSettle(holder.entry(testKey))})
	replicateTo(holder, backup)
	proof := l.proof(holder)
	l.read(backup)
	is.Equal(backup.Reclaim(l.now, proof, nil), ReclaimRunning)
	is.Equal(len(backup.NextBills(0)), 1)
}

// Guards against a former backup that closes a share from an old replica: since its next declaration, the
// holder may have dispatched requests that are not in it.
func TestFormerBackupDoesNotReclaim(t *testing.T) {
	is := is.New(t)
	l, holder, backup := holderWithBackup(t)
	holder.SetBackup("")
	l.sync(holder)
	mustReserve(holder, "uncopied", 20)
	proof := l.proof(holder)
	l.read(backup)
	is.Equal(backup.Reclaim(l.now, proof, nil), ReclaimNoReplica)
}

// Guards against dispatch before replication while a backup could close the share.
func TestReservationWaitsForReplication(t *testing.T) {
	is := is.New(t)
	_, holder, backup := holderWithBackup(t)
	position, ok := holder.Reserve(holder.Reservation(ReserveRequest{RequestID: "new", Entry: testKey, Amount: 5}))
	is.True(ok)
	is.True(!holder.Replicated(position))
	replicateTo(holder, backup)
	is.True(holder.Replicated(position))
}

// Guards against a grant that counts twice when the response to its append is lost and the append is
// repeated.
func TestGrantCountsOnceAfterLostResponse(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t, 1000)
	n := l.node("a/1")
	l.read(n)
	n.planGrant(n.entry(testKey), 100)
	for range 3 {
		l.now = l.now.Add(time.Second)
		l.append(&l.ledger, n.NextAppend(l.now, 0)...)
		n.AppendDone(l.now, 0, 0, logstream.ErrOutcomeUnknown)
	}
	l.now = l.now.Add(time.Second)
	l.sync(n)
	is.Equal(n.Shares().Get(testKey).Counters().Granted, int64(100))
	is.Equal(n.account(testKey).Free, int64(900))
}

// Guards against a share that cannot be settled because its entry was removed, and against one account for
// two generations of an entry.
func TestRemovedEntryAndNextGeneration(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t, 1000)
	n := l.node("a/1")
	l.grantShare(n, 100)
	res := mustReserve(n, "r1", 40)
	l.append(&l.ledger, record.Item{Remove: &record.Remove{Entry: testKey}})
	l.read(n)
	n.SettleOwn(res, billFor(res, 25))
	n.ServeReturn(testKey)
	l.sync(n)
	is.Equal(n.account(testKey).Shares["a/1"].Outstanding(), int64(0)) // settles as usual
	is.Equal(n.account(testKey).Spent(), int64(25))
	a := n.Begin(l.now, ReserveRequest{RequestID: "r2", Entry: testKey, Amount: 1}, false)
	l.now = a.Deadline()
	step := n.Next(l.now, a, n.Self())
	is.Equal(step.Kind, StepRefuse)
	next := record.EntryKey{Name: testKey.Name, Generation: 2}
	is.Equal(n.Shares().Get(next).Counters().Unreserved(), int64(0)) // the next generation starts without a share
}
