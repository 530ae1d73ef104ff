package budget

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// countingLog counts the calls of a whole fleet.
type countingLog struct {
	*standin.Log
	ledgerAppends, billAppends, ledgerReads atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if strings.HasPrefix(stream, "bills-") {
		l.billAppends.Add(1)
	} else if strings.HasPrefix(stream, "ledger-") {
		l.ledgerAppends.Add(1)
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *countingLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (logstream.Page, error) {
	if strings.HasPrefix(stream, "ledger-") {
		l.ledgerReads.Add(1)
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// partitionedPeers spreads the homes of the partitions over the holders, as rendezvous hashing does.
type partitionedPeers struct {
	fakePeers
	holders []record.HolderID
}

func (f *partitionedPeers) Home(p int) record.HolderID { return f.holders[p%len(f.holders)] }

const (
	fleetPartitions = 8
	fleetFlush      = 100 * time.Millisecond
	// fleetWarmUp is longer than tickInterval: the first tick decides for which entries a node holds a share
	// of its own.
	fleetWarmUp   = 1500 * time.Millisecond
	fleetMeasured = 2 * time.Second
	requestPause  = 5 * time.Millisecond
)

// entryPerPartition returns one entry of each partition.
func entryPerPartition(partitions int) []record.EntryKey {
	keys := make([]record.EntryKey, partitions)
	for i, found := 0, 0; found < partitions; i++ {
		name := fmt.Sprint("entry-", i)
		if p := record.Partition(name, partitions); keys[p].Name == "" {
			keys[p] = record.EntryKey{Name: name, Generation: 1}
			found++
		}
	}
	return keys
}

// startFleet starts managers on one log. Each of them makes requests for every entry.
func startFleet(b *testing.B, managers int, keys []record.EntryKey, configure func(*Config)) *countingLog {
	log, ctx := &countingLog{Log: standin.NewLog()}, context.Background()
	for p, key := range keys {
		data, err := record.Encode([]record.Item{{Adjust: &record.Adjust{Entry: key, ID: "first", Delta: 1 << 50}}})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := log.Append(ctx, record.LedgerStream(p), data); err != nil {
			b.Fatal(err)
		}
	}
	net := newFakeNet("")
	peers := make([]*partitionedPeers, managers)
	holders := make([]record.HolderID, managers)
	for i := range holders {
		holders[i] = record.HolderID(fmt.Sprintf("vm-%d/1", i))
		peers[i] = &partitionedPeers{fakePeers: fakePeers{net: net, self: holders[i]}, holders: holders}
	}
	for i, holder := range holders {
		cfg := Config{
			Holder: holder, Partitions: len(keys), BillBuffer: 1 << 20, GrantSize: 1 << 30, FlushInterval: fleetFlush,
			Policy: DefaultPolicy(), Peers: peers[i],
		}
		configure(&cfg)
		m := NewManager(cfg, log, discardLogger())
		net.managers[holder] = m
	}
	run, cancel := context.WithCancel(ctx)
	var loops conc.WaitGroup
	for i, holder := range holders {
		m := net.managers[holder]
		loops.Go(func() { m.Run(run) })
		loops.Go(func() { sendRequests(run, m, i, keys) })
	}
	b.Cleanup(func() {
		cancel()
		loops.Wait()
		for _, m := range net.managers {
			m.cancel()
			m.background.Wait()
		}
	})
	return log
}

func sendRequests(ctx context.Context, m *Manager, node int, keys []record.EntryKey) {
	for i := 0; ctx.Err() == nil; i++ {
		for p, key := range keys {
			req := ReserveRequest{RequestID: fmt.Sprintf("%d-%d-%d", node, p, i), Entry: key, Amount: 100}
			if res, err := m.Reserve(ctx, req); err == nil {
				m.Settle(res, Settlement{Charged: 60})
			}
		}
		time.Sleep(requestPause)
	}
}

// Reports the appends and reads of a fleet per flush interval, with entries that every node requests. In the
// cold mode the demand is too low for own shares, so the homes serve the entries. In the hot modes each node
// has a share, and appends directly or through the home.
func BenchmarkFleetAppends(b *testing.B) {
	cold := func(c *Config) { c.Policy.Horizon = time.Microsecond }
	modes := []struct {
		name   string
		change func(*Config)
	}{
		{"cold", cold},
		{"hot", func(*Config) {}},
		{"hot through home", func(c *Config) { c.AppendThroughHome = true }},
	}
	keys := entryPerPartition(fleetPartitions)
	for _, mode := range modes {
		for _, managers := range []int{1, 3, 6, 9} {
			b.Run(fmt.Sprintf("%s/managers=%d", mode.name, managers), func(b *testing.B) {
				for b.Loop() {
					log := startFleet(b, managers, keys, mode.change)
					time.Sleep(fleetWarmUp)
					ledger, bills, reads := log.ledgerAppends.Load(), log.billAppends.Load(), log.ledgerReads.Load()
					began := time.Now()
					time.Sleep(fleetMeasured)
					intervals := float64(time.Since(began)) / float64(fleetFlush)
					b.ReportMetric(float64(log.ledgerAppends.Load()-ledger)/intervals, "ledger-appends/interval")
					b.ReportMetric(float64(log.billAppends.Load()-bills)/intervals, "bill-appends/interval")
					b.ReportMetric(float64(log.ledgerReads.Load()-reads)/intervals/float64(managers), "reads/interval/node")
				}
			})
		}
	}
}
