package budget

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// fakeNet connects managers in one process. One of them is the home of all partitions.
type fakeNet struct {
	mu       sync.Mutex
	managers map[record.HolderID]*Manager
	home     record.HolderID
	backups  map[record.HolderID]record.HolderID
	// loseReserve is the number of the next reserve calls that take effect and fail.
	loseReserve atomic.Int32
	acquires    atomic.Int32
}

type fakePeers struct {
	net  *fakeNet
	self record.HolderID
}

var errUnreachable = errors.New("peer unreachable")

func (f *fakePeers) to(h record.HolderID) (*Manager, error) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if m := f.net.managers[h]; m != nil {
		return m, nil
	}
	return nil, errUnreachable
}

func (f *fakePeers) Home(int) record.HolderID { return f.net.home }

func (f *fakePeers) Backup() record.HolderID { return f.net.backups[f.self] }

func (f *fakePeers) Reserve(ctx context.Context, to record.HolderID, p ReserveParams) (ReserveResult, error) {
	m, err := f.to(to)
	if err != nil {
		return ReserveResult{}, err
	}
	r, err := m.ServeReserve(ctx, p)
	if f.net.loseReserve.Add(-1) >= 0 {
		return ReserveResult{}, errUnreachable
	}
	return r, err
}

func (f *fakePeers) Settle(_ context.Context, to record.HolderID, p SettleParams) error {
	m, err := f.to(to)
	if err == nil {
		m.ServeSettle(p)
	}
	return err
}

func (f *fakePeers) Acquire(ctx context.Context, to record.HolderID, p AcquireParams) (AcquireResult, error) {
	m, err := f.to(to)
	if err != nil {
		return AcquireResult{}, err
	}
	f.net.acquires.Add(1)
	return m.ServeAcquire(ctx, p)
}

func (f *fakePeers) Journal(_ context.Context, to record.HolderID, b JournalBatch) error {
	m, err := f.to(to)
	if err != nil {
		return err
	}
	return m.ServeJournal(b)
}

func (f *fakePeers) Return(_ context.Context, to record.HolderID, p ReturnParams) (ReturnResult, error) {
	m, err := f.to(to)
	if err != nil {
		return ReturnResult{}, err
	}
	return m.ServeReturn(p), nil
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func testPolicy() Policy {
	p := DefaultPolicy()
	p.RetryInterval, p.AppendInterval = 2*time.Millisecond, 2*time.Millisecond
	p.WaitInteractive = 300 * time.Millisecond
	return p
}

// startManager runs a manager until the test ends.
func startManager(t testing.TB, log *standin.Log, net *fakeNet, name record.HolderID, configure func(*Config)) *Manager {
	t.Helper()
	cfg := Config{Holder: name, Partitions: 2, BillBuffer: 1000, GrantSize: 100, Policy: testPolicy()}
	cfg.FlushInterval = cfg.Policy.AppendInterval
	if net != nil {
		cfg.Peers = &fakePeers{net: net, self: name}
	}
	if configure != nil {
		configure(&cfg)
	}
	m := NewManager(cfg, log, discardLogger())
	if net != nil {
		net.mu.Lock()
		net.managers[name] = m
		net.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops conc.WaitGroup
	loops.Go(func() { m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
		m.cancel()
		m.background.Wait()
	})
	return m
}

func newFakeNet(home record.HolderID) *fakeNet {
	return &fakeNet{
		managers: make(map[record.HolderID]*Manager), home: home, backups: make(map[record.HolderID]record.HolderID),
	}
}

func newPrepaidLog(t testing.TB, tokens int64) *standin.Log {
	t.Helper()
	log := standin.NewLog()
	data, err := record.Encode([]record.Item{{Adjust: &record.Adjust{Entry: testKey, ID: "first", Delta: tokens}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), record.LedgerStream(record.Partition(testKey.Name, 2)), data); err != nil {
		t.Fatal(err)
	}
	return log
}

func request(id string, amount int64) ReserveRequest {
	return ReserveRequest{RequestID: id, Entry: testKey, Amount: amount}
}

// appends returns the number of appends to the ledger partition of testKey.
func appends(t *testing.T, log *standin.Log) int {
	t.Helper()
	page, err := log.Read(context.Background(), record.LedgerStream(record.Partition(testKey.Name, 2)), 1, 10000, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records)
}

// Guards against allocations for a request that the share covers. The bill buffer grows now and then, which the
// average rounds away.
func TestReserveFromShareDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	m := newManagerWithShare(t)
	ctx, req := context.Background(), request("r", 100)
	allocs := testing.AllocsPerRun(10000, func() {
		res, err := m.Reserve(ctx, req)
		if err != nil {
			t.Fatal(err)
		}
		m.Settle(res, Settlement{Charged: 60})
	})
	is.Equal(allocs, 0.0)
}

// Guards against one append per waiting request, and against a process that needs peers to serve requests or to
// prove exhaustion although it is the only one.
func TestOneAppendServesManyRequests(t *testing.T) {
	is := is.New(t)
	log := newPrepaidLog(t, 1000)
	log.SetFaults(standin.LogFaults{Delay: 2 * time.Millisecond})
	m := startManager(t, log, nil, "a/1", nil)
	var served, exhausted atomic.Int32
	var calls conc.WaitGroup
	for i := range 150 {
		calls.Go(func() {
			_, err := m.Reserve(context.Background(), request(fmt.Sprint("r", i), 10))
			switch {
			case err == nil:
				served.Add(1)
			case errors.Is(err, ErrExhausted):
				exhausted.Add(1)
			}
		})
	}
	calls.Wait()
	is.Equal(served.Load(), int32(100))
	is.Equal(exhausted.Load(), int32(50))
	is.True(appends(t, log) < 50)
}

// Guards against budget that is granted twice because responses of the log were lost.
func TestLostResponsesGrantOnce(t *testing.T) {
	is := is.New(t)
	log := newPrepaidLog(t, 100)
	log.SetFaults(standin.LogFaults{LoseResponses: 3})
	m := startManager(t, log, nil, "a/1", func(c *Config) { c.GrantSize = 1 })
	_, err := m.Reserve(context.Background(), request("r1", 40))
	is.NoErr(err)
	is.True(m.Counters(testKey).Granted <= 50)
}

// Guards against spending that stops with the log, and against a refusal that reports exhaustion while the
// log is unreachable.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	log := newPrepaidLog(t, 1000)
	m := startManager(t, log, nil, "a/1", nil)
	first, err := m.Reserve(context.Background(), request("r1", 50))
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{Down: true})
	m.Settle(first, Settlement{Charged: 10})
	_, err = m.Reserve(context.Background(), request("r2", 50))
	is.NoErr(err) // from the share
	_, err = m.Reserve(context.Background(), request("r3", 900))
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(unavailable.RetryAfter > 0)
	log.SetFaults(standin.LogFaults{})
	_, err = m.Reserve(context.Background(), request("r4", 900))
	is.NoErr(err)
}

// Guards against a manager that makes no progress when the log has trimmed records that it has not read: at
// its start, and after a pause.
func TestSnapshotReplacesTrimmedRecords(t *testing.T) {
	is := is.New(t)
	log := newPrepaidLog(t, 1000)
	p := record.Partition(testKey.Name, 2)
	m := startManager(t, log, nil, "a/1", nil)
	res, err := m.Reserve(context.Background(), request("r1", 100))
	is.NoErr(err)
	m.Settle(res, Settlement{Charged: 100})
	late := NewManager(Config{Holder: "c/1", Partitions: 2, BillBuffer: 10}, log, discardLogger())
	is.NoErr(late.CatchUp(context.Background()))
	is.NoErr(m.Close(context.Background()))
	state, err := m.node.Ledger(p).Encode()
	is.NoErr(err)
	parts, err := snapshot.Split(snapshot.Snapshot{Next: m.node.NextLedgerOffset(p), Data: state}, 1<<20)
	is.NoErr(err)
	for _, part := range parts {
		_, err := log.Append(context.Background(), record.LedgerSnapshotStream(p), part)
		is.NoErr(err)
	}
	data, err := record.Encode([]record.Item{{Adjust: &record.Adjust{Entry: testKey, ID: "second", Delta: 50}}})
	is.NoErr(err)
	_, err = log.Append(context.Background(), record.LedgerStream(p), data)
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{Retain: 1})
	for _, reader := range []*Manager{late, NewManager(late.cfg, log, discardLogger())} {
		is.NoErr(reader.CatchUp(context.Background()))
		is.Equal(reader.Balance(testKey).Remaining, int64(950))
	}
}

// Guards against a dropped bill: when the buffer is full, requests are refused, and requests in flight count
// as used slots.
func TestFullBillBufferRefuses(t *testing.T) {
	is := is.New(t)
	log := newPrepaidLog(t, 1000)
	m := startManager(t, log, nil, "a/1", func(c *Config) { c.BillBuffer = 2 })
	first, err := m.Reserve(context.Background(), request("r1", 10))
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{Down: true})
	m.Settle(first, Settlement{Charged: 10})
	second, err := m.Reserve(context.Background(), request("r2", 10))
	is.NoErr(err)
	_, err = m.Reserve(context.Background(), request("r3", 10))
	is.True(errors.Is(err, ErrBillingUnavailable))
	m.Release(second)
	_, err = m.Reserve(context.Background(), request("r4", 10))
	is.NoErr(err)
}

// Guards against budget that stays with a holder that does not need it, and against budget lost by a graceful
// stop.
func TestBudgetMovesBetweenManagers(t *testing.T) {
	is := is.New(t)
	log, net := newPrepaidLog(t, 1000), newFakeNet("a/1")
	a := startManager(t, log, net, "a/1", nil)
	b := startManager(t, log, net, "b/1", nil)
	res, err := a.Reserve(context.Background(), request("r1", 600))
	is.NoErr(err)
	a.Settle(res, Settlement{Charged: 100})
	res, err = b.Reserve(context.Background(), request("r2", 900))
	is.NoErr(err)
	b.Settle(res, Settlement{Charged: 200})
	_, err = b.Reserve(context.Background(), request("r3", 800))
	is.True(errors.Is(err, ErrExhausted))
	is.NoErr(b.Close(context.Background()))
	is.NoErr(a.Close(context.Background()))
	reader := NewManager(Config{Holder: "c/1", Partitions: 2, BillBuffer: 1}, log, discardLogger())
	is.NoErr(reader.CatchUp(context.Background()))
	acc := reader.node.account(testKey)
	is.Equal(acc.Free, int64(700))
	is.Equal(acc.Spent(), int64(300))
}

// Guards against a reservation at the home that is never released when the response to its call is lost.
func TestLostLoanIsReleased(t *testing.T) {
	is := is.New(t)
	log, net := newPrepaidLog(t, 1000), newFakeNet("a/1")
	startManager(t, log, net, "a/1", nil)
	b := startManager(t, log, net, "b/1", nil)
	net.loseReserve.Store(1)
	res, err := b.Reserve(context.Background(), request("r1", 600))
	if err == nil {
		b.Release(res)
	}
	res, err = b.Reserve(context.Background(), request("r2", 1000))
	is.NoErr(err)
	b.Release(res)
}

// Guards against direct appends of a node although the home should batch them.
func TestAppendsGoThroughHome(t *testing.T) {
	is := is.New(t)
	log, net := newPrepaidLog(t, 100000), newFakeNet("a/1")
	throughHome := func(c *Config) { c.AppendThroughHome = true }
	startManager(t, log, net, "a/1", throughHome)
	b := startManager(t, log, net, "b/1", throughHome)
	is.NoErr(b.CatchUp(context.Background()))
	b.mu.Lock()
	e := b.node.entry(testKey)
	e.demand.rate = 1000 // enough for b to hold a share of its own
	b.mu.Unlock()
	res, err := b.Reserve(context.Background(), request("r1", 10))
	is.NoErr(err)
	is.Equal(res.Holder, record.HolderID("b/1"))
	is.True(net.acquires.Load() > 0)
}

// Guards against dispatch that does not wait for the backup, and against a holder that cannot continue after
// its backup failed.
func TestBackupFailureSwitchesBackup(t *testing.T) {
	is := is.New(t)
	log, net := newPrepaidLog(t, 1000), newFakeNet("a/1")
	net.backups["a/1"] = "b/1"
	b := startManager(t, log, net, "b/1", nil)
	a := startManager(t, log, net, "a/1", nil)
	res, err := a.Reserve(context.Background(), request("r1", 10))
	is.NoErr(err)
	a.Settle(res, Settlement{Charged: 10})
	deadline := time.Now().Add(5 * time.Second)
	for replicaSeq(b, "a/1") == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.True(replicaSeq(b, "a/1") > 0)
	net.mu.Lock()
	delete(net.managers, "b/1")
	net.mu.Unlock()
	_, err = a.Reserve(context.Background(), request("r2", 10))
	is.NoErr(err)
}

func replicaSeq(m *Manager, holder record.HolderID) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.node.replicas.holders[holder]; h != nil {
		return h.seq
	}
	return 0
}
