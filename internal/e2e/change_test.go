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

// balancer stands for the platform's balancer: it sends to routers in turn that
// are in service.
type balancer struct {
	mu   sync.Mutex
	in   []*router
	next int
}

func (b *balancer) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.in[b.next%len(b.in)]
}

func (b *balancer) replace(old, by *router) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.in[:0:0]
	for _, r := range b.in {
		if r != old {
			kept = append(kept, r)
		}
	}
	if by != nil {
		kept = append(kept, by)
	}
	b.in = kept
}

// TestRollingReplacementCutsNothing guards against a planned replacement of all
// routers that cuts or refuses a request, loses a bill, or leaves a share behind.
func TestRollingReplacementCutsNothing(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--token-interval", "10ms")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	b := &balancer{in: f.routers}
	var stop atomic.Bool
	var asked atomic.Int64
	var callers conc.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			for i := 0; !stop.Load() && i < 60; i++ {
				req := question(c*100 + i)
				req.Stream = true
				answer := beginAsk(t, b.pick().url, req, "").wait(t)
				checkWhole(t, answer, req)
				asked.Add(1)
			}
		})
	}
	old := f.routers
	for i, r := range old {
		f.list(t, 3+i, vmlist.StateLive)
		by := f.startMember(t, 3+i)
		b.replace(r, by)
		f.list(t, i, vmlist.StateLeaving)
		r.stop(t)
		f.unlist(t, i)
	}
	stop.Store(true)
	callers.Wait()
	for _, r := range f.routers[len(old):] {
		r.stop(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Shared, int64(0))
	is.Equal(int64(checkAudit(t, logURL).Bills), asked.Load())
}

func setLogFaults(t *testing.T, logURL string, faults standin.LogFaults) {
	t.Helper()
	change(t, http.MethodPut, logURL+"/faults", faults)
}

// TestLogOutageServesFromShares guards against a log outage that refuses requests
// which the shares cover, loses their bills, or bills them twice afterwards.
func TestLogOutageServesFromShares(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 6 {
		resp, _ := ask(t, f.routers[i%3].url, question(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	setLogFaults(t, logURL, standin.LogFaults{Down: true})
	// Longer than the configuration lease: the outage must be told from a cut.
	time.Sleep(6 * time.Second)
	for i := range 9 {
		resp, body := ask(t, f.routers[i%3].url, question(100+i))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d during the outage: %s %s", i, resp.Status, body)
		}
	}
	setLogFaults(t, logURL, standin.LogFaults{LoseResponses: 4})
	for _, r := range f.routers {
		r.stop(t)
	}
	is.Equal(checkAudit(t, logURL).Bills, 15)
	is.Equal(balance(t, logURL).Shared, int64(0))
}

// TestCutOffRouterRefusesTruthfully guards against a router that hears neither
// the log nor a peer and serves on with a configuration that may be old.
func TestCutOffRouterRefusesTruthfully(t *testing.T) {
	is := is.New(t)
	logProcess, logURL := startStandinProcess(t, "log")
	engineURL := startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	alone := f.routers[0]
	resp, _ := ask(t, alone.url, question(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	// The others and the log stop for this router at once: a majority of the
	// listed VMs is unreachable, so it cannot be a mere outage of the log.
	for _, r := range f.routers[1:] {
		is.NoErr(r.cmd.Process.Kill())
	}
	is.NoErr(logProcess.cmd.Process.Kill())
	waitFor(t, func() bool {
		resp, body := ask(t, alone.url, question(2))
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

// startMember starts one more router of the fleet and waits until its copies are
// in place.
func (f *fleet) startMember(t *testing.T, i int) *router {
	t.Helper()
	args := append([]string{
		"--peer-listen", fmt.Sprintf("127.0.0.%d:%s", i+2, f.port), "--peer-key", fleetKey,
		"--vm-list-url", f.vmsURL, "--zone", fmt.Sprintf("zone-%d", i),
	}, f.more...)
	r := startRouter(t, fmt.Sprintf("vm-%d", i), f.logURL, args...)
	f.routers = append(f.routers, r)
	return r
}

// TestLeavingUpstreamGetsNoNewWork guards against work that goes to an upstream
// for longer than 3 s after its load report says that it is leaving, and against
// a leaving upstream whose open streams are cut.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	urls := []string{
		startStandin(t, "engine", "--token-interval", "100ms"), startStandin(t, "engine", "--token-interval", "1ms"),
	}
	// The first engine is in the routers' region and so gets the first request.
	publishSample(t, logURL, urls...)
	r := startRouter(t, "vm-0", logURL)
	long := slowRequest(true)
	open := beginAsk(t, r.url, long, "")
	<-open.begun
	is.Equal(started(t, urls[0]), int64(1))
	change(t, http.MethodPut, urls[0]+"/faults", standin.EngineFaults{Draining: true})
	time.Sleep(3 * time.Second)
	before := started(t, urls[0])
	for i := range 8 {
		resp, _ := ask(t, r.url, question(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(started(t, urls[0]), before)
	checkWhole(t, open.wait(t), long)
}

// started returns how many requests an engine began to run.
func started(t *testing.T, url string) int64 {
	t.Helper()
	var report chat.LoadReport
	getJSON(t, url+"/v1/load", &report)
	return report.Started
}

// TestFleetRebuildsFromTheLog guards against state that only lived in the routers:
// all are killed at once, the log has dropped the oldest records, and new VMs
// start from snapshots and what is left.
func TestFleetRebuildsFromTheLog(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	retention := []string{"--log-retain-records", "24", "--log-retention", "10s"}
	f := startFleet(t, 3, logURL, retention...)
	change(t, http.MethodPut, logURL+"/faults", standin.LogFaults{Retain: 24})
	asked := 0
	askSome := func(routers []*router) {
		for i := range 30 {
			resp, body := ask(t, routers[i%len(routers)].url, question(asked))
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d: %s %s", asked, resp.Status, body)
			}
			asked++
			time.Sleep(100 * time.Millisecond)
		}
	}
	askSome(f.routers)
	waitFor(t, func() bool { return firstRetained(t, logURL, record.LedgerStream(record.Partition("bench", 8))) > 1 })
	before := balance(t, logURL)
	for i, r := range f.routers {
		is.NoErr(r.cmd.Process.Kill())
		f.unlist(t, i)
	}
	for i := range 3 {
		f.list(t, 3+i, vmlist.StateLive)
		f.startMember(t, 3+i)
	}
	rebuilt := f.routers[3:]
	askSome(rebuilt)
	for _, r := range rebuilt {
		r.stop(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Prepaid, before.Prepaid)
	is.Equal(after.Spent+after.Shared+after.Free, after.Prepaid)
	is.True(after.Spent > before.Spent)
}

// firstRetained returns the oldest record that the log keeps of a stream.
func firstRetained(t *testing.T, logURL, stream string) uint64 {
	t.Helper()
	first, err := snapshot.FirstRetained(t.Context(), logclient.New(logURL), stream)
	if err != nil {
		t.Fatal(err)
	}
	return first
}
