package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// loadBalancer simulates the platform's load balancer: round robin over the routers in service.
type loadBalancer struct {
	mu        sync.Mutex
	inService []*router
	next      int
}

func (b *loadBalancer) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.inService[b.next%len(b.inService)]
}

func (b *loadBalancer) replace(old, replacement *router) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.inService[:0:0]
	for _, r := range b.inService {
		if r != old {
			remaining = append(remaining, r)
		}
	}
	if replacement != nil {
		remaining = append(remaining, replacement)
	}
	b.inService = remaining
}

// TestRollingReplacementAbortsNothing guards against a planned replacement of all routers that aborts or
// refuses a request, loses a bill, or leaves a share outstanding.
func TestRollingReplacementAbortsNothing(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--token-interval", "10ms")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	balancer := &loadBalancer{inService: f.routers}
	var stop atomic.Bool
	var completed atomic.Int64
	var callers conc.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			for i := 0; !stop.Load() && i < 60; i++ {
				req := shortRequest(c*100 + i)
				req.Stream = true
				completion := startCompletion(t, balancer.pick().url, req, "").wait(t)
				checkCompleteStream(t, completion, req)
				completed.Add(1)
			}
		})
	}
	old := f.routers
	for i, r := range old {
		f.updateVMList(t, 3+i, vmlist.StateLive)
		replacement := f.startMember(t, 3+i)
		balancer.replace(r, replacement)
		f.updateVMList(t, i, vmlist.StateLeaving)
		r.shutdown(t)
		f.removeFromVMList(t, i)
	}
	stop.Store(true)
	callers.Wait()
	for _, r := range f.routers[len(old):] {
		r.shutdown(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Shared, int64(0))
	is.Equal(int64(checkAudit(t, logURL).Bills), completed.Load())
}

func setLogFaults(t *testing.T, logURL string, faults standin.LogFaults) {
	t.Helper()
	updateStandin(t, http.MethodPut, logURL+"/faults", faults)
}

// TestLogOutageServesFromShares guards against routers that, during a log outage, refuse requests that their
// shares cover, lose the bills of such requests, or bill them twice after the outage.
func TestLogOutageServesFromShares(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 6 {
		resp, _ := sendCompletion(t, f.routers[i%3].url, shortRequest(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	setLogFaults(t, logURL, standin.LogFaults{Down: true})
	// Longer than the configuration lease: routers must tell a log outage from a network partition.
	time.Sleep(6 * time.Second)
	for i := range 9 {
		resp, body := sendCompletion(t, f.routers[i%3].url, shortRequest(100+i))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d during the outage: %s %s", i, resp.Status, body)
		}
	}
	setLogFaults(t, logURL, standin.LogFaults{LoseResponses: 4})
	for _, r := range f.routers {
		r.shutdown(t)
	}
	is.Equal(checkAudit(t, logURL).Bills, 15)
	is.Equal(balance(t, logURL).Shared, int64(0))
}

// TestPartitionedRouterRefusesRequests guards against a router that reaches neither the log nor a peer and
// continues to serve with a configuration that may be stale.
func TestPartitionedRouterRefusesRequests(t *testing.T) {
	is := is.New(t)
	logProcess, logURL := startStandinProcess(t, "log")
	engineURL := startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	disconnected := f.routers[0]
	resp, _ := sendCompletion(t, disconnected.url, shortRequest(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	// The peers and the log fail at once: a majority of the listed VMs is unreachable, so the router cannot
	// conclude that only the log is down.
	for _, r := range f.routers[1:] {
		is.NoErr(r.cmd.Process.Kill())
	}
	is.NoErr(logProcess.cmd.Process.Kill())
	waitFor(t, func() bool {
		resp, body := sendCompletion(t, disconnected.url, shortRequest(2))
		if resp.StatusCode != http.StatusServiceUnavailable {
			return false
		}
		var e struct {
			Error struct {
				Code   string `json:"code"`
				NotRun bool   `json:"not_run"`
			} `json:"error"`
		}
		is.NoErr(json.Unmarshal([]byte(body), &e))
		is.True(e.Error.NotRun)
		return e.Error.Code == "configuration_unavailable"
	})
}

// startMember starts the router of VM i, adds it to the fleet's routers and waits until it is ready. The VM
// list must already contain the VM.
func (f *fleet) startMember(t *testing.T, i int) *router {
	t.Helper()
	args := append([]string{
		"--peer-listen", fmt.Sprintf("127.0.0.%d:%s", i+2, f.peerPort), "--peer-key", fleetKey,
		"--vm-list-url", f.vmsURL, "--zone", fmt.Sprintf("zone-%d", i),
	}, f.extraArgs...)
	r := startRouter(t, fmt.Sprintf("vm-%d", i), f.logURL, args...)
	f.routers = append(f.routers, r)
	return r
}

// TestDrainingUpstreamGetsNoNewRequests guards against new requests that are sent to an upstream more than
// three seconds after its load report says that it is draining, and against aborting the open streams of a
// draining upstream.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	urls := []string{
		startStandin(t, "engine", "--token-interval", "100ms"), startStandin(t, "engine", "--token-interval", "1ms"),
	}
	// The first engine is in the router's region and so gets the first request.
	publishEngines(t, logURL, urls...)
	r := startRouter(t, "vm-0", logURL)
	longReq := longRequest(true)
	openStream := startCompletion(t, r.url, longReq, "")
	<-openStream.firstByte
	is.Equal(startedRequests(t, urls[0]), int64(1))
	updateStandin(t, http.MethodPut, urls[0]+"/faults", standin.EngineFaults{Draining: true})
	time.Sleep(3 * time.Second)
	before := startedRequests(t, urls[0])
	for i := range 8 {
		resp, _ := sendCompletion(t, r.url, shortRequest(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(startedRequests(t, urls[0]), before)
	checkCompleteStream(t, openStream.wait(t), longReq)
}

// startedRequests returns how many requests an engine has started.
func startedRequests(t *testing.T, url string) int64 {
	t.Helper()
	var report chat.LoadReport
	getJSON(t, url+"/v1/load", &report)
	return report.Started
}

// TestFleetRebuildsFromTheLog guards against state that exists only in the routers: all are killed at once,
// the log has trimmed the oldest records, and new VMs start from the snapshots and the retained records.
func TestFleetRebuildsFromTheLog(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	retention := []string{"--log-retain-records", "24", "--log-retention", "10s"}
	f := startFleet(t, 3, logURL, retention...)
	updateStandin(t, http.MethodPut, logURL+"/faults", standin.LogFaults{Retain: 24})
	sent := 0
	sendRequests := func(routers []*router) {
		for i := range 30 {
			resp, body := sendCompletion(t, routers[i%len(routers)].url, shortRequest(sent))
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d: %s %s", sent, resp.Status, body)
			}
			sent++
			time.Sleep(100 * time.Millisecond)
		}
	}
	sendRequests(f.routers)
	waitFor(t, func() bool {
		return firstRetainedOffset(t, logURL, record.LedgerStream(record.Partition("bench", 8))) > 1
	})
	before := balance(t, logURL)
	for i, r := range f.routers {
		is.NoErr(r.cmd.Process.Kill())
		f.removeFromVMList(t, i)
	}
	for i := range 3 {
		f.updateVMList(t, 3+i, vmlist.StateLive)
		f.startMember(t, 3+i)
	}
	rebuilt := f.routers[3:]
	sendRequests(rebuilt)
	for _, r := range rebuilt {
		r.shutdown(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Prepaid, before.Prepaid)
	is.Equal(after.Spent+after.Shared+after.Free, after.Prepaid)
	is.True(after.Spent > before.Spent)
}

// firstRetainedOffset returns the offset of the oldest record that the log retains of a stream.
func firstRetainedOffset(t *testing.T, logURL, stream string) uint64 {
	t.Helper()
	first, err := snapshot.FirstRetained(t.Context(), logclient.New(logURL), stream)
	if err != nil {
		t.Fatal(err)
	}
	return first
}
