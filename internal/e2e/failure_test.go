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

// longRequest returns a request for 24 tokens, enough for a fault to occur in the middle of its stream.
func longRequest(stream bool) chat.Request {
	return chat.Request{
		Model: testModel, MaxTokens: 24, Stream: stream,
		Messages: []chat.Message{{Role: "user", Content: "tooth angle for oak and ash"}},
	}
}

func requestCost(req chat.Request) int64 {
	return standin.InputTokens(req) + int64(len(standin.ResponseTokens(req)))
}

// pendingCompletion is a completion request in progress.
type pendingCompletion struct {
	// firstByte is closed when the first byte of the response body has arrived, or when there will be none.
	firstByte chan struct{}
	done      chan struct{}
	// The fields below are set when done is closed.
	status    int
	requestID string
	body      string
	err       error
}

// startCompletion sends a request, with an idempotency key unless it is empty, and reads the complete
// response in the background.
func startCompletion(t *testing.T, url string, req chat.Request, key string) *pendingCompletion {
	t.Helper()
	httpReq := newCompletionRequest(t, url, req)
	if key != "" {
		httpReq.Header.Set("Idempotency-Key", key)
	}
	c := &pendingCompletion{firstByte: make(chan struct{}), done: make(chan struct{})}
	go c.run(httpReq)
	return c
}

func (c *pendingCompletion) run(httpReq *http.Request) {
	defer close(c.done)
	resp, err := http.DefaultClient.Do(httpReq)
	if err != nil {
		close(c.firstByte)
		c.err = err
		return
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, _ = io.ReadFull(resp.Body, first)
	close(c.firstByte)
	rest, err := io.ReadAll(resp.Body)
	c.status, c.requestID, c.body, c.err =
		resp.StatusCode, resp.Header.Get(chat.HeaderRequestID), string(first)+string(rest), err
}

// comparableEvents returns the stream without the parts that differ between two runs of a request: the
// request ID and the balance.
func (c *pendingCompletion) comparableEvents() string {
	body, _, _ := strings.Cut(c.body, "event: usage")
	return strings.ReplaceAll(body, c.requestID, "id")
}

func (c *pendingCompletion) wait(t *testing.T) *pendingCompletion {
	t.Helper()
	select {
	case <-c.done:
		return c
	case <-time.After(30 * time.Second):
		t.Fatal("the response did not end in time")
		return nil
	}
}

// checkCompleteStream requires that a streamed response has the complete text of the engine, byte for byte.
func checkCompleteStream(t *testing.T, c *pendingCompletion, req chat.Request) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.NoErr(c.err)
	is.Equal(c.status, http.StatusOK)
	text, ended := streamedText(c.body)
	is.Equal(text, strings.Join(standin.ResponseTokens(req), ""))
	is.True(ended)
}

// shutdown sends SIGTERM and waits for the router's exit. Before it exits, the router writes its bills to the
// log.
func (r *router) shutdown(t *testing.T) {
	t.Helper()
	if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.waitForExit(t)
}

// waitForExit waits for the exit of a router that got a shutdown signal.
func (r *router) waitForExit(t *testing.T) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- r.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(shutdownTimeout):
		_ = r.cmd.Process.Signal(syscall.SIGQUIT)
		t.Fatal("the router did not shut down in time; its goroutines are dumped on standard error")
	}
}

// shutdownTimeout bounds a planned shutdown. The requests of the tests end within seconds.
const shutdownTimeout = 40 * time.Second

// TestStreamContinuesAfterEngineCrash guards against a caller that gets events twice or not at all when the
// engine process is killed in the middle of the stream and another engine has a copy of the stream.
func TestStreamContinuesAfterEngineCrash(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	copyURL := startStandin(t, "engine")
	engine, engineURL := startStandinProcess(t, "engine", "--token-interval", "20ms", "--export-to", copyURL)
	key := publishEngines(t, logURL, engineURL, copyURL)
	r := startRouter(t, "vm-1", logURL)
	req := longRequest(true)
	interrupted := startCompletion(t, r.url, req, "")
	<-interrupted.firstByte
	is.NoErr(engine.cmd.Process.Kill())
	checkCompleteStream(t, interrupted.wait(t), req)
	var metrics struct {
		Router struct {
			Resumed int `json:"streams_resumed_total"`
		} `json:"dotterelthread"`
	}
	getJSON(t, r.admin+"/debug/vars", &metrics)
	is.Equal(metrics.Router.Resumed, 1)
	uninterrupted := startCompletion(t, r.url, req, "").wait(t)
	// The last event names the attempt, the first and the second of the router.
	events := strings.ReplaceAll(interrupted.comparableEvents(), `"held_by":"1@`, `"held_by":"2@`)
	is.Equal(events, uninterrupted.comparableEvents())
	r.shutdown(t)
	is.Equal(billedTokens(t, logURL, key), 2*requestCost(req))
}

// TestShutdownFinishesStreams guards against a planned shutdown that aborts a stream or ends before the
// stream is billed, and against a router that still reports itself ready meanwhile.
func TestShutdownFinishesStreams(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engineURL := startStandin(t, "engine", "--token-interval", "30ms")
	key := publishEngines(t, logURL, engineURL)
	r := startRouter(t, "vm-1", logURL)
	req := longRequest(true)
	c := startCompletion(t, r.url, req, "")
	<-c.firstByte
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool {
		resp, err := http.Get(r.admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	checkCompleteStream(t, c.wait(t), req)
	r.waitForExit(t)
	is.Equal(billedTokens(t, logURL, key), requestCost(req))
}

// TestRetryAfterRouterCrash guards against a retry with the same idempotency key that, after its first router
// was killed, gets only a part of the response, runs a second time at the engine that still has the first
// run, or is billed twice.
func TestRetryAfterRouterCrash(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 20 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishEngines(t, logURL, server.URL)
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := longRequest(true)
	c := startCompletion(t, first.url, req, "key-1")
	<-c.firstByte
	is.NoErr(first.cmd.Process.Kill())
	c.wait(t)
	_, ended := streamedText(c.body)
	is.True(c.err != nil && !ended)
	retry := startCompletion(t, second.url, req, "key-1").wait(t)
	checkCompleteStream(t, retry, req)
	is.Equal(engine.Runs.Load(), int64(1))
	second.shutdown(t)
	is.Equal(billedTokens(t, logURL, key), requestCost(req))
}

// TestPausedRouterDeliversItsResponse guards against a paused process that loses or corrupts its response
// when it continues after its caller has retried through another router, and against billing the request
// twice.
func TestPausedRouterDeliversItsResponse(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 20 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishEngines(t, logURL, server.URL)
	paused, other := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := longRequest(true)
	c := startCompletion(t, paused.url, req, "key-1")
	<-c.firstByte
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	checkCompleteStream(t, startCompletion(t, other.url, req, "key-1").wait(t), req)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	checkCompleteStream(t, c.wait(t), req)
	is.Equal(engine.Runs.Load(), int64(1))
	paused.shutdown(t)
	other.shutdown(t)
	is.Equal(billedTokens(t, logURL, key), requestCost(req))
}

// TestServiceRequestIsNotRepeatedAfterRouterCrash guards against a request to a service that runs twice, or that
// is reported as not run, when its router is killed while the service processes it and the caller retries
// through another router.
func TestServiceRequestIsNotRepeatedAfterRouterCrash(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	service := &standin.Service{}
	arrived, finish := make(chan struct{}, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			// Routers query the load; only the request is delayed.
			http.NotFound(w, req)
			return
		}
		service.ServeHTTP(w, req)
		arrived <- struct{}{}
		<-finish
	}))
	defer server.Close()
	defer close(finish)
	publishCatalogue(t, logURL, []catalogue.Upstream{
		{Name: "s1", Kind: catalogue.KindService, Service: testService, Address: server.URL},
	})
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	go func() { _, _, _ = postServiceRequest(first.url) }()
	<-arrived
	is.NoErr(first.cmd.Process.Kill())
	status, body, err := postServiceRequest(second.url)
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(body, `"code":"request_claimed"`) && strings.Contains(body, `"not_run":false`))
	is.Equal(service.Calls("POST", "/new", "drill bits"), 1)
}

func postServiceRequest(url string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/services/"+testService+"/new", strings.NewReader("drill bits"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testCredential)
	req.Header.Set("Idempotency-Key", "order-1")
	// If the request ran again, the service would never respond.
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestDrainTimeoutBillsUsedTokens guards against a shutdown that loses the bill of a request that did not
// finish within the drain timeout.
func TestDrainTimeoutBillsUsedTokens(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 200 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishEngines(t, logURL, server.URL)
	r := startRouter(t, "vm-1", logURL, "--drain-timeout", "300ms")
	c := startCompletion(t, r.url, longRequest(true), "")
	<-c.firstByte
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	_ = r.cmd.Wait()
	c.wait(t)
	_, ended := streamedText(c.body)
	is.True(!ended)
	is.Equal(billedTokens(t, logURL, key), engine.Tokens.Load())
}

// TestDrainTimeoutAnswersOpenRequests guards against a shutdown that closes the connections of requests that did not finish
// within the drain timeout without telling their callers: a complete response says what happened, and a stream ends
// with an error event.
func TestDrainTimeoutAnswersOpenRequests(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engine := &standin.Engine{TokenInterval: 200 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	key := publishEngines(t, logURL, server.URL)
	r := startRouter(t, "vm-1", logURL, "--drain-timeout", "300ms")
	stream := startCompletion(t, r.url, longRequest(true), "")
	<-stream.firstByte
	whole := startCompletion(t, r.url, longRequest(false), "")
	for deadline := time.Now().Add(10 * time.Second); engine.Runs.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	_ = r.cmd.Wait()
	whole.wait(t)
	is.NoErr(whole.err)
	is.Equal(whole.status, http.StatusBadGateway)
	stream.wait(t)
	is.NoErr(stream.err)
	is.True(strings.Contains(stream.body, "event: error"))
	is.Equal(billedTokens(t, logURL, key), engine.Tokens.Load())
}
