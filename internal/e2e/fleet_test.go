package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// fleet is a group of routers that know each other, one availability zone each.
type fleet struct {
	logURL  string
	vmsURL  string
	routers []*router
}

// startFleet starts n routers on loopback addresses of their own, since the
// members of a fleet share their peers' port.
func startFleet(t *testing.T, n int, logURL string, more ...string) *fleet {
	t.Helper()
	f := &fleet{logURL: logURL, vmsURL: startStandin(t, "vmlist", "--lag", "0s")}
	_, port, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		f.list(t, i, vmlist.StateLive)
	}
	for i := range n {
		args := append([]string{
			"--peer-listen", fmt.Sprintf("127.0.0.%d:%s", i+2, port), "--peer-key", fleetKey,
			"--vm-list-url", f.vmsURL, "--zone", fmt.Sprintf("zone-%d", i),
		}, more...)
		f.routers = append(f.routers, startRouter(t, fmt.Sprintf("vm-%d", i), logURL, args...))
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

func (f *fleet) list(t *testing.T, i int, state vmlist.State) {
	t.Helper()
	body, err := json.Marshal(vmlist.VM{
		ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("127.0.0.%d", i+2),
		Zone: fmt.Sprintf("zone-%d", i), Region: "region-1", State: state,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.call(t, http.MethodPut, fmt.Sprintf("/vms/vm-%d", i), body)
}

func (f *fleet) unlist(t *testing.T, i int) {
	t.Helper()
	f.call(t, http.MethodDelete, fmt.Sprintf("/vms/vm-%d", i), nil)
}

func (f *fleet) call(t *testing.T, method, path string, body []byte) {
	t.Helper()
	callStandin(t, method, f.vmsURL+path, body)
}

func callStandin(t *testing.T, method, url string, body []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		t.Fatalf("%s %s was answered with %s", method, url, resp.Status)
	}
}

// status returns how many live routers the router knows, and its backup.
func (r *router) status(t *testing.T) (members int, backup string) {
	t.Helper()
	var status struct {
		Routers int    `json:"routers"`
		Backup  string `json:"backup"`
	}
	if err := json.Unmarshal([]byte(get(t, r.admin+"/admin/status")), &status); err != nil {
		t.Fatal(err)
	}
	return status.Routers, status.Backup
}

func get(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
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

// checkAudit compares spending and bills of all entries.
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
				t.Errorf("audit of %s has findings: %+v", e.Key, e)
			}
			if e.Key.Name == "bench" {
				found = e
			}
		}
	}
	return found
}

func question(i int) chat.Request {
	return chat.Request{
		Model: testModel, MaxTokens: 8,
		Messages: []chat.Message{{Role: "user", Content: fmt.Sprintf("tooth angle %d", i)}},
	}
}

// TestDeadRoutersShareComesBack guards against budget that stays out of reach
// for good when a router is killed: its backup closes the share once the
// platform's list has dropped the VM, and not before.
func TestDeadRoutersShareComesBack(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 9 {
		resp, _ := ask(t, f.routers[i%3].url, question(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	dead := f.routers[1]
	is.NoErr(dead.cmd.Process.Kill())
	_ = dead.cmd.Wait()
	time.Sleep(3 * time.Second)
	stillShared := balance(t, logURL)
	f.unlist(t, 1)
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		resp, _ := ask(t, r.url, question(100))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	waitFor(t, func() bool { return !holds(t, logURL, "vm-1/") })
	is.True(stillShared.Shared > 0)
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		r.stop(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Shared, int64(0))
	is.Equal(after.Spent+after.Free, after.Prepaid)
	is.Equal(checkAudit(t, logURL).Bills, 11)
}

// holds reports whether a holder with the prefix has an open share.
func holds(t *testing.T, logURL, prefix string) bool {
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

// TestPausedRouterKeepsItsShare guards against a share that is given away while
// its holder is only paused: after SIGSTOP and SIGCONT it goes on spending, and
// nothing is spent twice.
func TestPausedRouterKeepsItsShare(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	for i := range 6 {
		resp, _ := ask(t, f.routers[i%3].url, question(i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	paused := f.routers[1]
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	// Longer than the configuration lease and the suspicion time.
	time.Sleep(6 * time.Second)
	is.True(holds(t, logURL, "vm-1/"))
	for i := range 4 {
		resp, _ := ask(t, f.routers[2*(i%2)].url, question(10+i))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	waitFor(t, func() bool {
		resp, _ := ask(t, paused.url, question(20))
		return resp.StatusCode == http.StatusOK
	})
	for _, r := range f.routers {
		r.stop(t)
	}
	after := balance(t, logURL)
	is.Equal(after.Spent+after.Free, after.Prepaid)
	checkAudit(t, logURL)
}

// TestAnyRouterFindsARequest guards against an outcome that only the router that
// ran the request can tell.
func TestAnyRouterFindsARequest(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	resp, _ := ask(t, f.routers[0].url, question(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	id := resp.Header.Get(chat.HeaderRequestID)
	for _, r := range f.routers {
		var info struct {
			State string `json:"state"`
		}
		body := get(t, r.url+"/v1/requests/"+id)
		is.NoErr(json.Unmarshal([]byte(body), &info))
		is.Equal(info.State, "settled")
	}
}

// TestRetryAfterDeathIsBilledOnce guards against a request that is charged twice
// because its router died in the middle of the stream: once by the router that
// the caller retried through, and once by the dead router's backup.
func TestRetryAfterDeathIsBilledOnce(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--token-interval", "50ms")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	req := slowRequest(true)
	first := beginAsk(t, f.routers[1].url, req, "key-1")
	<-first.begun
	is.NoErr(f.routers[1].cmd.Process.Kill())
	<-first.done
	_ = f.routers[1].cmd.Wait()
	again := beginAsk(t, f.routers[0].url, req, "key-1").wait(t)
	checkWhole(t, again, req)
	f.unlist(t, 1)
	waitFor(t, func() bool { return !holds(t, logURL, "vm-1/") })
	for _, r := range []*router{f.routers[0], f.routers[2]} {
		r.stop(t)
	}
	entry := checkAudit(t, logURL)
	is.Equal(entry.Bills, 1)
	is.Equal(entry.Billed, requestCost(req))
	is.Equal(entry.Spent, requestCost(req))
}
