package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

var benchCodec = peerapi.NewCodec(peerapi.Version, 1<<20, peerapi.Identity{}, peerapi.Identity{})

const benchTrace = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"

// throughCodec encodes a message as JSON-RPC and as a frame of the peer protocol, decodes both again, and
// returns the frame's size.
func throughCodec(b *testing.B, envelope json.Marshaler, decoded json.Unmarshaler) int {
	text, err := json.Marshal(envelope)
	if err != nil {
		b.Fatal(err)
	}
	frame, err := benchCodec.Encode(text)
	if err != nil {
		b.Fatal(err)
	}
	back, err := benchCodec.Decode(frame)
	if err != nil {
		b.Fatal(err)
	}
	if err := json.Unmarshal(back, decoded); err != nil {
		b.Fatal(err)
	}
	return len(frame) + 2 // the length before the frame
}

// exchange sends one heartbeat and the response to it, and returns the bytes of both.
func exchange(b *testing.B, f *fleet, p *process, probe Probe, status peerapi.ConfigStatus) int {
	target := f.current[probe.VM]
	req, got := &jsonrpc2.Request{Method: peerapi.MethodHeartbeat, ID: jsonrpc2.ID{Num: 1000}}, &jsonrpc2.Request{}
	_ = req.SetParams(p.machine.Heartbeat(f.now, status))
	_ = req.SetMeta(benchTrace)
	size := throughCodec(b, req, got)
	var hb, response peerapi.Heartbeat
	if err := json.Unmarshal(*got.Params, &hb); err != nil {
		b.Fatal(err)
	}
	resp, reply := &jsonrpc2.Response{ID: req.ID}, &jsonrpc2.Response{}
	_ = resp.SetResult(target.machine.ReceiveHeartbeat(f.now, p.identity, hb, status))
	size += throughCodec(b, resp, reply)
	if err := json.Unmarshal(*reply.Result, &response); err != nil {
		b.Fatal(err)
	}
	p.machine.HandleProbeResponse(f.now, probe, target.identity, response)
	return size
}

// BenchmarkSecond runs one second of a whole fleet per iteration, with the codec and without sockets. It
// reports the processor time and bytes of one router, which sends and receives the same number of heartbeats
// on average. Bytes are counted at both ends, so that a router's bytes are those it sends and receives.
func BenchmarkSecond(b *testing.B) {
	for _, outage := range []bool{false, true} {
		for _, n := range []int{3, 9, 32, 128, 380} {
			b.Run(fmt.Sprintf("outage=%v/members=%d", outage, n), func(b *testing.B) { benchSecond(b, n, outage) })
		}
	}
}

func benchSecond(b *testing.B, n int, outage bool) {
	f := newFleet(n)
	// All tables are complete and no changes are queued.
	for _, p := range f.current {
		p.machine.ObserveList(f.now, f.list())
		for _, other := range f.current {
			if other != p {
				p.machine.mergeIndirect(f.now, other.machine.self.record(), other.identity.VM)
			}
		}
		p.machine.changes.sendCounts = nil
	}
	status := peerapi.ConfigStatus{Version: 1100, Next: 1300, LogReadAgeMillis: 812, LogUnreachable: outage}
	bytes := 0
	second := func() {
		f.now = f.now.Add(time.Second)
		list := f.list()
		for i, vm := range f.vms() {
			p := f.current[vm]
			if i%2 == f.now.Second()%2 { // the list is read every 2 s
				p.machine.ObserveList(f.now, list)
			}
			p.machine.Tick(f.now)
			for _, probe := range p.machine.SelectProbes(f.now) {
				bytes += exchange(b, f, p, probe, status)
			}
			p.machine.View()
			p.machine.Reports(f.now)
		}
	}
	for range 5 {
		second()
	}
	bytes = 0
	b.ResetTimer()
	for range b.N {
		second()
	}
	perRouter := float64(b.N) * float64(n)
	b.ReportMetric(float64(b.Elapsed().Microseconds())/perRouter, "us/node-second")
	b.ReportMetric(2*float64(bytes)/perRouter, "bytes/node-second")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkHome finds the home of a partition among 380 members.
func BenchmarkHome(b *testing.B) {
	f := newFleet(380)
	p := f.current["vm-0"].machine
	p.ObserveList(f.now, f.list())
	view := p.View()
	b.ReportAllocs()
	for i := range b.N {
		view.Home(i%64, "r")
	}
}
