// Package sim simulates a fleet of budget nodes with a virtual clock and an
// in-memory log, peers and upstreams. Only its own tests use it: property tests
// that interleave faults, and the comparison of budget strategies that counts
// refusals for docs/measurements.md.
package sim

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// memLog is the platform's log in memory, where calls take no time. It also applies
// each ledger stream to a ledger of its own, which has the true state at every moment.
type memLog struct {
	streams map[string][]logstream.Record
	// ledgers holds the true state of each ledger stream.
	ledgers []*ledger.Ledger
	// charged holds the first bill of each request ID.
	charged map[string]record.Bill
	appends int
}

func newMemLog(partitions int) *memLog {
	l := &memLog{streams: make(map[string][]logstream.Record), charged: make(map[string]record.Bill)}
	for range partitions {
		l.ledgers = append(l.ledgers, ledger.New())
	}
	return l
}

func (l *memLog) append(stream string, items []record.Item) uint64 {
	data, err := record.Encode(items)
	if err != nil {
		panic(err)
	}
	offset := uint64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], logstream.Record{Offset: offset, Time: time.Time{}, Data: data})
	l.appends++
	for p, ref := range l.ledgers {
		if stream == record.LedgerStream(p) {
			ref.ApplyRecord(offset, data)
		}
	}
	for _, item := range items {
		if item.Bill == nil {
			continue
		}
		if _, counted := l.charged[item.Bill.RequestID]; !counted {
			l.charged[item.Bill.RequestID] = *item.Bill
		}
	}
	return offset
}

// read returns up to limit records, starting at the offset from.
func (l *memLog) read(stream string, from uint64, limit int) logstream.Page {
	records := l.streams[stream]
	page := logstream.Page{First: 1, Next: uint64(len(records) + 1)}
	if from <= uint64(len(records)) {
		rest := records[from-1:]
		page.Records = rest[:min(limit, len(rest))]
	}
	return page
}

// account returns the true state of an entry, built from the whole log.
func (l *memLog) account(key record.EntryKey) *ledger.Account {
	return l.ledgers[record.Partition(key.Name, len(l.ledgers))].Account(key)
}
