package audit

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// BenchmarkAudit reports the heap that the auditor uses per bill, and the number of bills read per second.
func BenchmarkAudit(b *testing.B) {
	const appends, perAppend = 2000, 100
	records := make([]logstream.Record, appends)
	for i := range records {
		items := make([]record.Item, perAppend)
		for j := range items {
			items[j].Bill = &record.Bill{
				RequestID: fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i*perAppend+j), Entry: key, Target: "model-1",
				Holder: "vm-123/01234567-89ab-cdef-0123-456789abcdef", InputTokens: 1000, OutputTokens: 200,
				Charged: 1200, UnixMilli: 1796360000000, Outcome: "ok",
			}
		}
		data, err := record.Encode(items)
		if err != nil {
			b.Fatal(err)
		}
		records[i] = logstream.Record{Offset: uint64(i + 1), Data: data}
	}
	var before, after runtime.MemStats
	for b.Loop() {
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.StartTimer()
		a := New()
		for _, r := range records {
			a.AddBillRecord(r)
		}
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(appends*perAppend), "B/bill")
		runtime.KeepAlive(a)
		b.StartTimer()
	}
	b.ReportMetric(float64(appends*perAppend*b.N)/b.Elapsed().Seconds(), "bills/s")
}
