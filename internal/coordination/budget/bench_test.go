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

// warmManager returns a manager whose share covers every request.
func warmManager(b testing.TB) *Manager {
	const tokens = int64(1) << 50
	m := NewManager(Config{
		Holder: "a/1", Partitions: 2, BillBuffer: 1 << 40, GrantSize: tokens / 2, Policy: testPolicy(),
	}, prepaidLog(b, tokens), quiet())
	res, err := m.Reserve(context.Background(), request("first", 1))
	if err != nil {
		b.Fatal(err)
	}
	m.Release(res)
	return m
}

// drainEvery bounds the bills that the benchmark keeps.
const drainEvery = 1 << 14

func drain(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.cycles {
		for m.node.NextBills(p) != nil {
			m.node.BillsDone(p, true)
		}
	}
}

// Reserve plus settle through the manager, with the bill.
func BenchmarkManagerReserveSettle(b *testing.B) {
	m := warmManager(b)
	ctx, req := context.Background(), request("r", 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		res, err := m.Reserve(ctx, req)
		if err != nil {
			b.Fatal(err)
		}
		m.Settle(res, Settlement{Charged: 60})
		if i%drainEvery == drainEvery-1 {
			b.StopTimer()
			drain(m)
			b.StartTimer()
		}
	}
}

// Reserve plus settle on the share alone.
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

// Memory of a node per entry that it holds a share of, without the ledger.
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

// One second of background work over 60000 entries that were all asked for once.
func BenchmarkTickAfterColdRequests(b *testing.B) {
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
		n.Tick(tickEvery, home)
		for p := range 8 {
			n.NextAppend(time.Unix(1000, 0), p)
		}
	}
}
