package e2e

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// slowRequest has 24 tokens, so that a fault comes in the middle of its stream.
func slowRequest(stream bool) chat.Request {
	return chat.Request{
		Model: testModel, MaxTokens: 24, Stream: stream,
		Messages: []chat.Message{{Role: "user", Content: "tooth angle for oak and ash"}},
	}
}

func requestCost(req chat.Request) int64 {
	return standin.InputTokens(req) + int64(len(standin.ResponseTokens(req)))
}

// caller is a request in progress.
type caller struct {
	// begun is closed when a part of the answer has come, or its end.
	begun chan struct{}
	done  chan struct{}
	// The fields below are set when done is closed.
	status int
	id     string
	body   string
	err    error
}

// beginAsk sends a request and reads its answer to the end in the background.
func beginAsk(t *testing.T, url string, req chat.Request, key string) *caller {
	t.Helper()
	httpReq := completion(t, url, req)
	if key != "" {
		httpReq.Header.Set("Idempotency-Key", key)
	}
	c := &caller{begun: make(chan struct{}), done: make(chan struct{})}
	go c.read(httpReq)
	return c
}

func (c *caller) read(httpReq *http.Request) {
	defer close(c.done)
	resp, err := http.DefaultClient.Do(httpReq)
	if err != nil {
		close(c.begun)
		c.err = err
		return
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, _ = io.ReadFull(resp.Body, first)
	close(c.begun)
	rest, err := io.ReadAll(resp.Body)
	c.status, c.id, c.body, c.err = resp.StatusCode, resp.Header.Get(chat.HeaderRequestID), string(first)+string(rest), err
}

// events returns the stream without the parts that differ between two runs of a
// request: its id and the balance.
func (c *caller) events() string {
	body, _, _ := strings.Cut(c.body, "event: usage")
	return strings.ReplaceAll(body, c.id, "id")
}

func (c *caller) wait(t *testing.T) *caller {
	t.Helper()
	select {
	case <-c.done:
		return c
	case <-time.After(30 * time.Second):
		t.Fatal("the answer did not end in time")
		return nil
	}
}

// checkWhole compares a streamed answer with the engine's, byte for byte.
func checkWhole(t *testing.T, c *caller, req chat.Request) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.NoErr(c.err)
	is.Equal(c.status, http.StatusOK)
	text, ended := streamedText(c.body)
	is.Equal(text, strings.Join(standin.ResponseTokens(req), ""))
	is.True(ended)
}

// stop ends a router by SIGTERM, which writes its bills.
func (r *router) stop(t *testing.T) {
	t.Helper()
	if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.ended(t)
}

// ended waits for the exit of a router that was told to stop.
func (r *router) ended(t *testing.T) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- r.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(stopTimeout):
		_ = r.cmd.Process.Signal(syscall.SIGQUIT)
		t.Fatal("the router did not stop in time; its goroutines are on standard error")
	}
}

// stopTimeout bounds a planned stop. Its requests end within seconds.
const stopTimeout = 40 * time.Second

// TestStreamOutlivesItsEngine guards against a caller that sees a part twice or
// not at all when the engine process is killed in the middle of a stream and
// another engine holds a copy of the stream.
func TestStreamOutlivesItsEngine(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	copyURL := startStandin(t, "engine")
	engine, engineURL := startStandinProcess(t, "engine", "--token-interval", "20ms", "--export-to", copyURL)
	key := publishSample(t, logURL, engineURL, copyURL)
	r := startRouter(t, "vm-1", logURL)
	req := slowRequest(true)
	broken := beginAsk(t, r.url, req, "")
	<-broken.begun
	is.NoErr(engine.cmd.Process.Kill())
	checkWhole(t, broken.wait(t), req)
	var metrics struct {
		Router struct {
			Resumed int `json:"streams_resumed_total"`
		} `json:"dotterelthread"`
	}
	getJSON(t, r.admin+"/debug/vars", &metrics)
	is.Equal(metrics.Router.Resumed, 1)
	whole := beginAsk(t, r.url, req, "").wait(t)
	is.Equal(broken.events(), whole.events())
	r.stop(t)
	is.Equal(billed(t, logURL, key), 2*requestCost(req))
}

// TestStopCutsNoStream guards against a planned stop that cuts a stream, ends
// before the stream is billed, or still reports itself ready.
func TestStopCutsNoStream(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engineURL := startStandin(t, "engine", "--token-interval", "30ms")
	key := publishSample(t, logURL, engineURL)
	r := startRouter(t, "vm-1", logURL)
	req := slowRequest(true)
	c := beginAsk(t, r.url, req, "")
	<-c.begun
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool {
		resp, err := http.Get(r.admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	checkWhole(t, c.wait(t), req)
	r.ended(t)
	is.Equal(billed(t, logURL, key), requestCost(req))
}

// TestRetryAfterRouterDeath guards against a retry with the same idempotency key
// that gets a part of the answer, runs a second time at the engine that still
// has the run, or is billed twice, after its first router was killed.
func TestRetryAfterRouterDeath(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 20 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishSample(t, logURL, server.URL)
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := slowRequest(true)
	c := beginAsk(t, first.url, req, "key-1")
	<-c.begun
	is.NoErr(first.cmd.Process.Kill())
	c.wait(t)
	_, ended := streamedText(c.body)
	is.True(c.err != nil && !ended)
	again := beginAsk(t, second.url, req, "key-1").wait(t)
	checkWhole(t, again, req)
	is.Equal(engine.Runs.Load(), int64(1))
	second.stop(t)
	is.Equal(billed(t, logURL, key), requestCost(req))
}

// TestPausedRouterDeliversItsAnswer guards against a paused process that loses
// or mixes up its answer when it goes on, while its caller has sent the request
// again through another router; and against two bills for it.
func TestPausedRouterDeliversItsAnswer(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 20 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishSample(t, logURL, server.URL)
	paused, other := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := slowRequest(true)
	c := beginAsk(t, paused.url, req, "key-1")
	<-c.begun
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	checkWhole(t, beginAsk(t, other.url, req, "key-1").wait(t), req)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	checkWhole(t, c.wait(t), req)
	is.Equal(engine.Runs.Load(), int64(1))
	paused.stop(t)
	other.stop(t)
	is.Equal(billed(t, logURL, key), requestCost(req))
}

// TestOrderIsNotPostedAgainAfterRouterDeath guards against an order that runs
// twice, or is called "not run", when its router is killed while the service
// works on it and the caller sends it again through another router.
func TestOrderIsNotPostedAgainAfterRouterDeath(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	service := &standin.Service{}
	arrived, finish := make(chan struct{}, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			// Routers ask for the load; only the order is held up.
			http.NotFound(w, req)
			return
		}
		service.ServeHTTP(w, req)
		arrived <- struct{}{}
		<-finish
	}))
	defer server.Close()
	defer close(finish)
	publishUpstreams(t, logURL, []catalogue.Upstream{
		{Name: "s1", Kind: catalogue.KindService, Service: testService, Address: server.URL},
	})
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	go func() { _, _, _ = postOrder(first.url) }()
	<-arrived
	is.NoErr(first.cmd.Process.Kill())
	status, body, err := postOrder(second.url)
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(body, `"code":"request_claimed"`) && strings.Contains(body, `"not_run":false`))
	is.Equal(service.Calls("POST", "/new", "drill bits"), 1)
}

func postOrder(url string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/services/"+testService+"/new", strings.NewReader("drill bits"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testSecret)
	req.Header.Set("Idempotency-Key", "order-1")
	// An order that runs again would wait for the service for ever.
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestDrainTimeoutBillsWhatWasUsed guards against a stop that loses the bill of a
// request that did not finish in time.
func TestDrainTimeoutBillsWhatWasUsed(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 200 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishSample(t, logURL, server.URL)
	r := startRouter(t, "vm-1", logURL, "--drain-timeout", "300ms")
	c := beginAsk(t, r.url, slowRequest(true), "")
	<-c.begun
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	_ = r.cmd.Wait()
	c.wait(t)
	_, ended := streamedText(c.body)
	is.True(!ended)
	is.Equal(billed(t, logURL, key), engine.Tokens.Load())
}
