package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// targetEntries is the number of prepaid budgets at the target fleet size.
const targetEntries = 60000

const benchBatchItems = 64 // items per append

// benchKey spreads the entries over 610 teams, the number at the target fleet size.
func benchKey(i int) record.EntryKey {
	return record.EntryKey{Name: fmt.Sprintf("team-%03d/budget-%05d", i%610, i), Generation: uint64(i + 1)}
}

// benchHolder returns a holder ID of realistic length: a VM ID and a UUID.
func benchHolder(i int) record.HolderID {
	return record.HolderID(fmt.Sprintf("vm-%03d/0f8fad5b-d9cb-469f-a165-70867728%04d", i, i))
}

// benchLog returns the encoded appends that adjust, grant and settle each entry, and the number of their
// items. The holders are spread over 380 VMs, the target fleet size.
func benchLog(b *testing.B, entries, holders int) (log [][]byte, itemCount int) {
	var items []record.Item
	flush := func(minItems int) {
		for len(items) >= minItems && len(items) > 0 {
			n := min(benchBatchItems, len(items))
			data, err := record.Encode(items[:n])
			if err != nil {
				b.Fatal(err)
			}
			log, items = append(log, data), items[n:]
		}
	}
	for i := range entries {
		key := benchKey(i)
		items = append(items, record.Item{Adjust: &record.Adjust{Entry: key, ID: "prepaid-2026-12", Delta: 1e9}})
		for h := range holders {
			holder := benchHolder((i + h) % 380)
			items = append(items,
				record.Item{Grant: &record.Grant{Entry: key, Holder: holder, Seq: 1, Amount: 1e6}},
				record.Item{Settle: &record.Settle{Entry: key, Holder: holder, Seq: 1, Spent: 250000, Returned: 1000}})
		}
		itemCount += 1 + 2*holders
		flush(benchBatchItems)
	}
	flush(1)
	return log, itemCount
}

func replayAll(log [][]byte) *Ledger {
	l := New()
	replay(l, 1, log)
	return l
}

// BenchmarkReplay replays the whole log of 60,000 entries with 4 holders each.
func BenchmarkReplay(b *testing.B) {
	log, itemCount := benchLog(b, targetEntries, 4)
	b.ReportAllocs()
	for b.Loop() {
		replayAll(log)
	}
	b.ReportMetric(float64(itemCount)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkHeap reports the heap of a replayed ledger per entry.
func BenchmarkHeap(b *testing.B) {
	for _, holders := range []int{1, 4} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			log, _ := benchLog(b, targetEntries, holders)
			var l *Ledger
			before := heapBytes()
			for b.Loop() {
				l = replayAll(log)
			}
			b.ReportMetric(float64(heapBytes()-before)/targetEntries, "heap-bytes/entry")
			runtime.KeepAlive(l)
			runtime.KeepAlive(log)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshot reports the size of a snapshot of 60,000 entries and the time to write and load it.
// Loading includes joining and checking the parts.
func BenchmarkSnapshot(b *testing.B) {
	for _, holders := range []int{1, 4} {
		log, _ := benchLog(b, targetEntries, holders)
		l := replayAll(log)
		parts := mustEncodeParts(b, l)
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		b.Run(fmt.Sprintf("write/holders=%d", holders), func(b *testing.B) {
			for b.Loop() {
				mustEncodeParts(b, l)
			}
			b.ReportMetric(float64(size)/targetEntries, "bytes/entry")
			b.ReportMetric(float64(len(parts)), "parts")
		})
		b.Run(fmt.Sprintf("load/holders=%d", holders), func(b *testing.B) {
			for b.Loop() {
				mustLoadParts(b, parts)
			}
		})
	}
}

// mustEncodeParts returns the parts of a ledger's snapshot.
func mustEncodeParts(b *testing.B, l *Ledger) [][]byte {
	data, err := l.Encode()
	if err != nil {
		b.Fatal(err)
	}
	parts, err := snapshot.Split(snapshot.Snapshot{Next: l.Next(), Data: data}, snapshot.PartBytes)
	if err != nil {
		b.Fatal(err)
	}
	return parts
}

// mustLoadParts joins and decodes the snapshot parts of a ledger with targetEntries entries.
func mustLoadParts(b *testing.B, parts [][]byte) {
	var loaded *Ledger
	c := snapshot.NewCollector(func(s snapshot.Snapshot) (err error) {
		loaded, err = Decode(s.Data)
		return err
	})
	for _, p := range parts {
		c.Add(p)
	}
	if loaded == nil || loaded.Len() != targetEntries {
		b.Fatal("snapshot did not load")
	}
}
