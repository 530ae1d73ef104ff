package claims

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// BenchmarkHeap reports heap and snapshot size per claim, and the rate at which claims are applied.
func BenchmarkHeap(b *testing.B) {
	const claims, batch = 200000, 100
	var log []logstream.Record
	for first := 0; first < claims; first += batch {
		items := make([]record.Item, batch)
		for i := range items {
			items[i] = record.Item{Claim: benchClaim(first + i)}
		}
		data, err := record.Encode(items)
		if err != nil {
			b.Fatal(err)
		}
		log = append(log, logstream.Record{Offset: uint64(first/batch + 1), Time: time.Unix(int64(first), 0), Data: data})
	}
	var table *Table
	before := heapBytes()
	for b.Loop() {
		table = New(claims * time.Second)
		for _, r := range log {
			table.ApplyRecord(r)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/claims, "heap-bytes/claim")
	b.ReportMetric(float64(len(mustEncode(b, table)))/claims, "snapshot-bytes/claim")
	b.ReportMetric(claims*float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	runtime.KeepAlive(log)
}

// benchClaim returns a claim with fields of realistic length. The claims are spread over 610 teams and 380
// VMs, the numbers at the target fleet size.
func benchClaim(i int) *record.Claim {
	hash := sha256.Sum256([]byte{byte(i)})
	return &record.Claim{
		Entry: record.EntryKey{Name: fmt.Sprintf("team-%03d/orders", i%610), Generation: 7},
		Key:   fmt.Sprintf("7c9e6679-7425-40de-944b-e07f%08d", i), BodyHash: hash[:],
		RequestID: fmt.Sprintf("0f8fad5b-d9cb-469f-a165-7086%08d", i),
		Holder:    record.HolderID(fmt.Sprintf("vm-%03d/0f8fad5b-d9cb-469f-a165-708677289501", i%380)),
		UnixMilli: 1796000000000, Token: fmt.Sprintf("MDEyMzQ1Njc4OW%08d", i),
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
