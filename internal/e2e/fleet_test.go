package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/operator"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	"github.com/dotterelthread/dotterelthread/internal/state/audit"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

const fleetKey = "a key of the test fleet with 32 bytes"

// fleet is a group of routers that are peers, each in its own availability zone.
type fleet struct {
	logURL   string
	vmsURL   string
	peerPort string
	// extraArgs are command-line arguments of all routers.
	extraArgs []string
	routers   []*router
}

// startFleet starts n routers, each on a loopback address of its own because all routers use the same peer
// port. It waits until each of them sees n live routers and has a backup, the router that keeps the replica of
// its reservations.
func startFleet(t *testing.T, n int, logURL string, extraArgs ...string) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("child processes run without the race detector; the run without -short covers this test")
	}
	_, peerPort, err := net.SplitHostPort(freeAddresses(t, 1)[0])
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		logURL: logURL, vmsURL: startStandin(t, "vmlist", "--lag", "0s"), peerPort: peerPort, extraArgs: extraArgs,
	}
	for i := range n {
		f.updateVMList(t, i, vmlist.StateLive)
	}
	for i := range n {
		f.startMember(t, i)
	}
	waitFor(t, func() bool {
		for _, r := range f.routers {
			if members, backup := r.status(t); members < n || backup == "" {
				return false
			}
		}
		return true
	})
	return f
}

// updateVMList puts VM i with the state into the platform's VM list.
func (f *fleet) updateVMList(t *testing.T, i int, state vmlist.State) {
	t.Helper()
	updateStandin(t, http.MethodPut, fmt.Sprintf("%s/vms/vm-%d", f.vmsURL, i), vmlist.VM{
		ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("127.0.0.%d", i+2),
		Zone: fmt.Sprintf("zone-%d", i), Region: "region-1", State: state,
	})
}

func (f *fleet) removeFromVMList(t *testing.T, i int) {
	t.Helper()
	updateStandin(t, http.MethodDelete, fmt.Sprintf("%s/vms/vm-%d", f.vmsURL, i), nil)
}

// status returns the number of live routers that the router sees, and its backup.
func (r *router) status(t *testing.T) (members int, backup string) {
	t.Helper()
	var status struct {
		Routers int    `json:"routers"`
		Backup  string `json:"backup"`
	}
	getJSON(t, r.admin+"/admin/status", &status)
	return status.Routers, status.Backup
}

func balance(t *testing.T, logURL string) operator.Balance {
	t.Helper()
	client := &operator.Client{Log: logclient.New(logURL), Partitions: 8}
	balances, err := client.Balances(context.Background(), "bench")
	if err != nil {
		t.Fatal(err)
	}
	return balances[0]
}

// checkAudit fails the test if spending and bills of an entry differ. It returns the audit of the test entry.
func checkAudit(t *testing.T, logURL string) audit.Entry {
	t.Helper()
	reports, err := audit.Run(context.Background(), logclient.New(logURL), 8, func(record.HolderID) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	var found audit.Entry
	for _, r := range reports {
		for _, e := range r.Entries {
			if !e.OK() {
				t.Errorf("audit of %s failed: %+v", e.Key, e)
			}
			if e.Key.Name == "bench" {
				found = e
			}
		}
	}
	return found
}

func shortRequest(i int) chat.Request {
	return chat.Request{
		Model: testModel, MaxTokens: 8,
		Messages: []chat.Message{{Role: "user", Content: fmt.Sprintf("tooth angle %d", i)}},
	}
}

// TestTerminatedRoutersShareIsReclaimed guards against budget that stays unavailable after a router is
// killed: its backup closes the share once the VM is removed from the platform's VM list, and not before.
func TestTerminatedRoutersShareIsReclaimed(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 9 {
		resp, _ := sendCompletion(t, f.routers[i%3].url, shortRequest(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	killed := f.routers[1]
	is.NoErr(killed.cmd.Process.Kill())
	_ = killed.cmd.Wait()
	time.Sleep(3 * time.Second)
	beforeRemoval := balance(t, logURL)
	f.removeFromVMList(t, 1)
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		resp, _ := sendCompletion(t, r.url, shortRequest(100))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	waitFor(t, func() bool { return !hasOutstandingShare(t, logURL, "vm-1/") })
	is.True(beforeRemoval.Shared > 0)
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		r.shutdown(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Shared, int64(0))
	is.Equal(after.Spent+after.Free, after.Prepaid)
	is.Equal(checkAudit(t, logURL).Bills, 11)
}

// hasOutstandingShare reports whether a process whose holder ID has the prefix has an outstanding share.
func hasOutstandingShare(t *testing.T, logURL, prefix string) bool {
	t.Helper()
	client := &operator.Client{Log: logclient.New(logURL), Partitions: 8}
	l, err := client.Ledger(context.Background(), record.Partition("bench", 8))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range l.Accounts {
		for holder, s := range a.Shares {
			if strings.HasPrefix(string(holder), prefix) && s.Outstanding() > 0 {
				return true
			}
		}
	}
	return false
}

// TestPausedRouterKeepsItsShare guards against reclaiming the share of a router that is only paused: after
// SIGSTOP and SIGCONT it continues to spend from the share, and no tokens are spent twice.
func TestPausedRouterKeepsItsShare(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 6 {
		resp, _ := sendCompletion(t, f.routers[i%3].url, shortRequest(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	paused := f.routers[1]
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	// Longer than the configuration lease and the suspicion timeout.
	time.Sleep(6 * time.Second)
	is.True(hasOutstandingShare(t, logURL, "vm-1/"))
	for i := range 4 {
		resp, _ := sendCompletion(t, f.routers[2*(i%2)].url, shortRequest(10+i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	waitFor(t, func() bool {
		resp, _ := sendCompletion(t, paused.url, shortRequest(20))
		return resp.StatusCode == http.StatusOK
	})
	for _, r := range f.routers {
		r.shutdown(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Spent+after.Free, after.Prepaid)
	checkAudit(t, logURL)
}

// TestAnyRouterFindsARequest guards against an outcome that only the router that ran the request can report.
func TestAnyRouterFindsARequest(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	resp, _ := sendCompletion(t, f.routers[0].url, shortRequest(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	id := resp.Header.Get(chat.HeaderRequestID)
	for _, r := range f.routers {
		var info struct {
			State string `json:"state"`
		}
		getJSON(t, r.url+"/v1/requests/"+id, &info)
		is.Equal(info.State, "settled")
	}
}

// TestRetryAfterRouterCrashIsBilledOnce guards against a request that is charged twice because its router was
// killed in the middle of the stream: once by the router that gets the retry, and once by the killed router's
// backup.
func TestRetryAfterRouterCrashIsBilledOnce(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--token-interval", "50ms")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	req := longRequest(true)
	first := startCompletion(t, f.routers[1].url, req, "key-1")
	<-first.firstByte
	is.NoErr(f.routers[1].cmd.Process.Kill())
	<-first.done
	_ = f.routers[1].cmd.Wait()
	retry := startCompletion(t, f.routers[0].url, req, "key-1").wait(t)
	checkCompleteStream(t, retry, req)
	f.removeFromVMList(t, 1)
	waitFor(t, func() bool { return !hasOutstandingShare(t, logURL, "vm-1/") })
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		r.shutdown(t)
	}
	entry := checkAudit(t, logURL)
	is.Equal(entry.Bills, 1)
	is.Equal(entry.Billed, requestCost(req))
	is.Equal(entry.Spent, requestCost(req))
}
