// Package e2e holds the end-to-end tests, which run routers and stand-ins as separate processes on loopback
// addresses. No other package uses it.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dotterelthread-e2e")
	if err != nil {
		panic(err)
	}
	// go test reuses a cached result until a file that the test has examined changes. The processes under
	// test are built from these files, so a change to one of them has to invalidate the cached result.
	sources, err := filepath.Glob("../../*/*/*/*.go")
	if err != nil {
		panic(err)
	}
	for _, pattern := range []string{"../../cmd/*/*.go", "../../internal/*/*.go"} {
		more, _ := filepath.Glob(pattern)
		sources = append(sources, more...)
	}
	for _, file := range sources {
		_, _ = os.Stat(file)
	}
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// openFilesEnv limits the descriptors of the processes that are started while it is set.
const openFilesEnv = "E2E_OPEN_FILES"

// process is a child process, which is killed at the end of the test.
type process struct {
	cmd         *exec.Cmd
	stdoutLines chan string
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, name), args...)
	if files := os.Getenv(openFilesEnv); files != "" {
		cmd = exec.Command("sh", append([]string{"-c", "ulimit -n " + files + " && exec \"$0\" \"$@\"", cmd.Path}, args...)...)
	}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, stdoutLines: make(chan string, 64)}
	go func() {
		defer close(p.stdoutLines)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.stdoutLines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		ended := hasEnded(cmd.Process.Pid)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() && ended {
			t.Logf("%s, process %d, %q, had ended before the cleanup: %s", name, cmd.Process.Pid, args, cmd.ProcessState)
		}
	})
	return p
}

// hasEnded reports whether a child process that was not waited for has ended.
func hasEnded(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "Z")
}

func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	_, url := startStandinProcess(t, args...)
	return url
}

func startStandinProcess(t *testing.T, args ...string) (*process, string) {
	t.Helper()
	p := startProcess(t, "dotterelstandin", args...)
	address, ok := strings.CutPrefix(<-p.stdoutLines, "listening on ")
	if !ok {
		t.Fatal("the stand-in printed no listen address")
	}
	return p, "http://" + address
}

type router struct {
	*process
	url   string
	admin string
}

func startRouter(t *testing.T, vm, logURL string, extraArgs ...string) *router {
	t.Helper()
	free := freeAddresses(t, 2)
	public, admin := free[0], free[1]
	r := &router{url: "http://" + public, admin: "http://" + admin}
	args := []string{"--vm", vm, "--listen", public, "--admin-listen", admin,
		"--log-url", logURL, "--flush-interval", "20ms", "--log-level", "warn"}
	r.process = startProcess(t, "dotterelthread", append(args, extraArgs...)...)
	waitFor(t, func() bool {
		resp, err := http.Get(r.admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// freeAddresses returns different addresses that are free. Asked for one after the other, the same port may come twice.
func freeAddresses(t *testing.T, n int) (free []string) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		free = append(free, l.Addr().String())
	}
	return free
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	waitWithin(t, 20*time.Second, done)
}

func waitWithin(t *testing.T, limit time.Duration, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for a condition")
}

const (
	testCredential    = "secret-1"
	testModel         = "model-1"
	testService       = "orders"
	testPrepaidTokens = 10000
)

// publishEngines publishes the test entry and the engines at the URLs as upstreams.
func publishEngines(t *testing.T, logURL string, engineURLs ...string) record.EntryKey {
	t.Helper()
	var upstreams []catalogue.Upstream
	for i, url := range engineURLs {
		// Routers are in region-1, so that the first engine is preferred.
		upstreams = append(upstreams, catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i+1), Kind: catalogue.KindEngine, Address: url, Models: []string{testModel},
			Region: fmt.Sprintf("region-%d", i+1),
		})
	}
	return publishCatalogue(t, logURL, upstreams)
}

// publishCatalogue publishes the test entry with its prepaid tokens and the upstreams.
func publishCatalogue(t *testing.T, logURL string, upstreams []catalogue.Upstream) record.EntryKey {
	t.Helper()
	log := logclient.New(logURL)
	data, err := json.Marshal(configsync.Update{ID: "p1", Upserts: catalogue.Catalogue{
		Entries: []catalogue.Entry{{
			Name: "bench", Owner: "ops", Team: "setters", Class: catalogue.ClassInteractive,
			Models: []string{testModel}, Services: []string{testService},
			Credentials: []string{catalogue.HashCredential(testCredential)},
		}},
		Upstreams: upstreams,
	}})
	if err != nil {
		t.Fatal(err)
	}
	generation, err := log.Append(context.Background(), record.ConfigStream, data)
	if err != nil {
		t.Fatal(err)
	}
	key := record.EntryKey{Name: "bench", Generation: generation}
	batch, err := record.Encode([]record.Item{{Adjust: &record.Adjust{Entry: key, ID: "t1", Delta: testPrepaidTokens}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), record.LedgerStream(record.Partition("bench", 8)), batch); err != nil {
		t.Fatal(err)
	}
	return key
}

// streamedText joins the content of a streamed response and reports whether the stream ends with [DONE].
func streamedText(body string) (text string, ended bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return text, true
		}
		var chunk chat.Response
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, c := range chunk.Choices {
			if c.Delta != nil {
				text += c.Delta.Content
			}
		}
	}
	return text, false
}

// TestRequestIsChargedAcrossProcesses guards against charging that works only within one process: each of
// three routers returns complete responses, and the bills in the log add up to the tokens used.
func TestRequestIsChargedAcrossProcesses(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engineURL := startStandin(t, "engine")
	key := publishEngines(t, logURL, engineURL)
	var routers []*router
	for i := range 3 {
		routers = append(routers, startRouter(t, fmt.Sprintf("vm-%d", i), logURL))
	}
	var charged int64
	for i := range 9 {
		req := chat.Request{
			Model: testModel, MaxTokens: int64(3 + i), Stream: i%2 == 1,
			Messages: []chat.Message{{Role: "user", Content: fmt.Sprintf("tooth angle %d", i)}},
		}
		resp, body := sendCompletion(t, routers[i%3].url, req)
		is.Equal(resp.StatusCode, http.StatusOK)
		want := strings.Join(standin.ResponseTokens(req), "")
		if req.Stream {
			text, ended := streamedText(body)
			is.Equal(text, want)
			is.True(ended)
		} else {
			var parsed chat.Response
			is.NoErr(json.Unmarshal([]byte(body), &parsed))
			is.Equal(parsed.Choices[0].Message.Content, want)
		}
		charged += standin.InputTokens(req) + int64(len(standin.ResponseTokens(req)))
	}
	for _, r := range routers {
		is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(r.cmd.Wait())
	}
	is.Equal(billedTokens(t, logURL, key), charged)
}

// billedTokens adds up all bills in the partition of an entry, whichever entry they are for, counting each
// request once.
func billedTokens(t *testing.T, logURL string, key record.EntryKey) int64 {
	t.Helper()
	stream := record.BillStream(record.Partition(key.Name, 8))
	page, err := logclient.New(logURL).Read(context.Background(), stream, 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	var sum int64
	for _, r := range page.Records {
		items, _, err := record.Decode(r.Data)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range items {
			if item.Bill != nil && !seen[item.Bill.RequestID] {
				seen[item.Bill.RequestID] = true
				sum += item.Bill.Charged
			}
		}
	}
	return sum
}
