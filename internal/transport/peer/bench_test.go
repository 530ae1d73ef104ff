package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// reserveShortKeys has the fields of budget.ReserveParams under one-letter keys.
type reserveShortKeys struct {
	Request string `json:"r"`
	Entry   string `json:"e"`
	Gen     uint64 `json:"g"`
	Class   string `json:"c"`
	Amount  int64  `json:"a"`
}

// BenchmarkCall measures calls over loopback: bytes on the connection as counted by the client, and the CPU
// time of client and server together.
func BenchmarkCall(b *testing.B) {
	// from is the holder ID of the calling router, as in the calls of package budget.
	const request, from = "0197b001-1c2d-7a3b-8e4f-0a1b2c3d4e5f", "vm-0123/0197a3c4-7b1e-7c55-9d02-5f6a1c2b3d4e"
	key := record.EntryKey{Name: "bench-setting-assistant", Generation: 48211}
	bill := record.Bill{
		RequestID: request, Entry: key, Holder: from, Target: "setter-large", InputTokens: 512, OutputTokens: 730,
		Charged: 1242, UnixMilli: 1796358000000, Outcome: "ok",
	}
	op := budget.JournalOp{RequestID: request, Entry: key, Amount: 2048}
	cases := []struct {
		name           string
		params, result any
	}{
		{"reserve", budget.ReserveParams{From: from, RequestID: request, Entry: key, Class: "interactive", Amount: 2048}, budget.ReserveResult{Reserved: true}},
		{"settle", budget.SettleParams{From: from, RequestID: request, Bill: &bill}, struct{}{}},
		{"journal-1-op", budget.JournalBatch{Holder: from, Epoch: 3, Seq: 4711, Ops: []budget.JournalOp{op}}, struct{}{}},
		{"journal-8-ops", budget.JournalBatch{Holder: from, Epoch: 3, Seq: 4711, Ops: []budget.JournalOp{op, op, op, op, op, op, op, op}}, struct{}{}},
		{"journal-1-request", budget.JournalBatch{Holder: from, Epoch: 3, Seq: 4711, Ops: remoteRequestOps(bill, 1)}, struct{}{}},
		{"journal-8-requests", budget.JournalBatch{Holder: from, Epoch: 3, Seq: 4711, Ops: remoteRequestOps(bill, 8)}, struct{}{}},
		{"reserve-short-keys", reserveShortKeys{request, key.Name, key.Generation, "i", 2048}, struct {
			Reserved bool `json:"k"`
		}{true}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) { benchCall(b, c.params, c.result) })
	}
}

// remoteRequestOps returns the journal operations that the home of a partition, the router to which rendezvous
// hashing assigns it, sends for requests dispatched by other routers: per request the reservation with its
// dispatcher, the settlement with its bill, and the notice that the bill is durable.
func remoteRequestOps(bill record.Bill, requests int) []budget.JournalOp {
	var ops []budget.JournalOp
	for i := range requests {
		requestBill := bill
		requestBill.RequestID = fmt.Sprintf("0197b%03x-1c2d-7a3b-8e4f-0a1b2c3d%04x", i, 7919*i)
		requestBill.Entry = record.EntryKey{Name: fmt.Sprintf("bench-setting-%d", 7000+i*977), Generation: uint64(48211 + i)}
		dispatcher := record.HolderID(fmt.Sprintf("vm-%04d/0197a3c4-7b1e-7c55-9d02-5f6a1c2b%04x", i, 104729*i%65536))
		ops = append(ops,
			budget.JournalOp{Kind: budget.JournalReserve, RequestID: requestBill.RequestID, Entry: requestBill.Entry, Amount: 2048, Dispatcher: dispatcher},
			budget.JournalOp{Kind: budget.JournalSettle, RequestID: requestBill.RequestID, Entry: requestBill.Entry, Amount: 2048, Bill: &requestBill},
			budget.JournalOp{Kind: budget.JournalBillDurable, RequestID: requestBill.RequestID, Entry: requestBill.Entry})
	}
	return ops
}

func benchCall(b *testing.B, params, result any) {
	const method = peerapi.MethodReserve
	server := testConfig("b")
	server.MaxMessageBytes = defaultMaxMessageBytes
	s, err := NewServer(server)
	if err != nil {
		b.Fatal(err)
	}
	s.Handle(method, func(_ context.Context, _ peerapi.Identity, got json.RawMessage) (any, error) {
		return result, json.Unmarshal(got, new(map[string]any))
	})
	client := testConfig("a")
	client.MaxMessageBytes = defaultMaxMessageBytes
	client.Self.VM, client.Self.Incarnation = "vm-0123", "0197a3c4-7b1e-7c55-9d02-5f6a1c2b3d4e"
	address, p := serve(b, s), newPool(b, client)
	call := func() {
		if err := p.Call(context.Background(), address, method, params, nil); err != nil {
			b.Fatal(err)
		}
	}
	call()
	sent, received, used := obs.PeerClientSentBytes.Value(), obs.PeerClientReceivedBytes.Value(), cpuTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		call()
	}
	n := float64(b.N)
	b.ReportMetric(float64(obs.PeerClientSentBytes.Value()-sent)/n, "sent-bytes/call")
	b.ReportMetric(float64(obs.PeerClientReceivedBytes.Value()-received)/n, "received-bytes/call")
	b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/n, "cpu-us/call")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
