package budget

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// newManagerWithShare returns a manager whose share covers every request.
func newManagerWithShare(b testing.TB) *Manager {
	const tokens = int64(1) << 50
	m := NewManager(Config{
		Holder: "a/1", Partitions: 2, BillBuffer: 1 << 40, GrantSize: tokens / 2, Policy: testPolicy(),
	}, newPrepaidLog(b, tokens), discardLogger())
	res, err := m.Reserve(context.Background(), request("first", 1))
	if err != nil {
		b.Fatal(err)
	}
	m.Release(res)
	return m
}

// discardBillsEvery is a number of requests; it bounds the bills that the benchmark keeps.
const discardBillsEvery = 1 << 14

func discardBills(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.logSyncs {
		for m.node.NextBills(p) != nil {
			m.node.BillsDone(p, true)
		}
	}
}

// Reserves and settles through the manager, with the bill.
func BenchmarkManagerReserveSettle(b *testing.B) {
	m := newManagerWithShare(b)
	ctx, req := context.Background(), request("r", 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		res, err := m.Reserve(ctx, req)
		if err != nil {
			b.Fatal(err)
		}
		m.Settle(res, Settlement{Charged: 60})
		if i%discardBillsEvery == discardBillsEvery-1 {
			b.StopTimer()
			discardBills(m)
			b.StartTimer()
		}
	}
}

// Reserves and settles on the share alone.
func BenchmarkShareReserveSettle(b *testing.B) {
	table := share.NewTable()
	table.Get(testKey).SetGranted(1 << 60)
	b.ReportAllocs()
	for b.Loop() {
		s := table.Get(testKey)
		if !s.Reserve(100) {
			b.Fatal("share is empty")
		}
		s.Settle(100, 60)
	}
}

// Reports the memory of a node per entry of which it holds a share, without the ledger.
func BenchmarkMemoryPerShare(b *testing.B) {
	const count = 60000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		n := NewNode(DefaultPolicy(), "a/1", 8, 1)
		for i := range count {
			key := record.EntryKey{Name: "entry-" + strconv.Itoa(i), Generation: 1}
			n.entry(key)
			n.Shares().Get(key)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/share")
		runtime.KeepAlive(n)
	}
}

// Measures one second of background work over 60000 entries that were each requested once.
func BenchmarkTickAfterSingleRequests(b *testing.B) {
	const count = 60000
	n := NewNode(DefaultPolicy(), "a/1", 8, 1)
	keys := make([]record.EntryKey, count)
	for i := range keys {
		keys[i] = record.EntryKey{Name: "entry-" + strconv.Itoa(i), Generation: 1}
		n.entry(keys[i])
	}
	home := func(int) record.HolderID { return "a/1" }
	b.ReportAllocs()
	for b.Loop() {
		n.Tick(tickInterval, home)
		for p := range 8 {
			n.NextAppend(time.Unix(1000, 0), p)
		}
	}
}
