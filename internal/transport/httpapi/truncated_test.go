package httpapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// rawUpstream is an upstream of a fixture, an engine and a plain service at once, that runs a request with "ran" and the
// content of the request as the result, and then closes the connection. It counts the runs and holds no streams.
type rawUpstream struct {
	framing standin.Framing
	runs    atomic.Int64
	// runsOf holds the number of runs, an *atomic.Int64, by content.
	runsOf sync.Map
	// cut returns the number of bytes of a response that are sent, and whether the connection is then reset. A nil
	// function cuts nothing.
	cut func(content string, total int) (sent int, reset bool)
	// status replaces the status of responses, which then have no body.
	status string
}

// addRawUpstream adds an upstream to the fixture.
func (f *fixture) addRawUpstream(t *testing.T, u *rawUpstream) {
	t.Helper()
	server, err := standin.NewRawServer(u.respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	router := f.api.Routing.(*firstFitRouter)
	name := string(rune('p' + len(router.upstreams)))
	router.upstreams = append(router.upstreams,
		catalogue.Upstream{Name: name, Kind: catalogue.KindEngine, Address: server.URL(), Models: []string{model}},
		catalogue.Upstream{Name: name + "s", Kind: catalogue.KindService, Service: "orders", RequestTokens: 7,
			Address: server.URL(), IdempotentMethods: []string{http.MethodGet}})
}

func (u *rawUpstream) respond(req *http.Request) (string, bool) {
	if strings.HasPrefix(req.URL.Path, "/v1/streams/") {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false
	}
	u.runs.Add(1)
	requestBody, _ := io.ReadAll(req.Body)
	content, contentType, body := string(requestBody), "text/plain", "ran "+string(requestBody)
	if parsed, err := chat.Parse(requestBody); err == nil {
		content = parsed.Messages[0].Content
		contentType, body = contentTypeJSON, rawCompletion(req.Header.Get(chat.HeaderRequestID), "ran "+content)
		if parsed.Stream {
			contentType, body = contentTypeEventStream, rawStream(req.Header.Get(chat.HeaderRequestID), "ran "+content)
		}
	}
	runs, _ := u.runsOf.LoadOrStore(content, new(atomic.Int64))
	runs.(*atomic.Int64).Add(1)
	head, rawBody := standin.RawResponse(req, u.framing, contentType, body)
	switch {
	case u.status != "":
		return strings.Replace(head, "200 OK", u.status, 1), false
	case req.Method == http.MethodHead:
		return head, false
	case u.cut == nil:
		return head + rawBody, false
	}
	sent, reset := u.cut(content, len(head)+len(rawBody))
	return (head + rawBody)[:sent], reset
}

func rawCompletion(id, content string) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"message":{"content":%q},"finish_reason":"stop"}]}`, id, content) + "\n"
}

// rawStream returns a stream of one event.
func rawStream(id, content string) string {
	event, err := json.Marshal(chat.Response{ID: id, Choices: []chat.Choice{{
		Delta: &chat.Message{Content: content}, FinishReason: "stop",
	}}})
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("id: 0\ndata: %s\n\ndata: %s\n\n", event, chat.DoneMark)
}

// rawOperation is a request to a rawUpstream.
type rawOperation struct {
	send func(f *fixture, content string) callerResponse
	// result returns the content of a response and whether it looks whole to a caller.
	result func(r callerResponse) (content string, looksWhole bool)
	// provesItself is true if the content shows that it is whole.
	provesItself bool
	// retries is the retry budget.
	retries int
}

func isSuccess(r callerResponse) bool { return r.err == nil && r.status/100 == 2 }

var rawOperations = map[string]rawOperation{
	"stream": {
		send: func(f *fixture, content string) callerResponse { return f.chat(true, content) },
		result: func(r callerResponse) (string, bool) {
			text, ended := streamText(r.body)
			return text, isSuccess(r) && ended
		},
		provesItself: true,
	},
	"completion": {
		send:         func(f *fixture, content string) callerResponse { return f.chat(false, content) },
		result:       func(r callerResponse) (string, bool) { return completionText(r.body), isSuccess(r) },
		provesItself: true,
	},
	"service": {
		send: func(f *fixture, content string) callerResponse {
			return f.call(http.MethodPost, orderPath, content, HeaderIdempotencyKey, content)
		},
		result: func(r callerResponse) (string, bool) { return r.body, isSuccess(r) },
		// The call may not be repeated, whatever the budget.
		retries: 1 << 20,
	},
}

// Guards against a response that was cut at any byte of its head or body and that reaches the caller as whole, and against
// such a request that runs again although it may not, or that is reported as "not run".
func TestResponsesCutAtEachByte(t *testing.T) {
	for name, op := range rawOperations {
		for _, framing := range []standin.Framing{standin.FramingLength, standin.FramingChunks, standin.FramingNone} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(name, "/", framing, "/reset=", reset), func(t *testing.T) {
					testCuts(t, op, framing, reset)
				})
			}
		}
	}
}

// concurrentCuts is the number of requests in progress in testCuts. Those that look for a broken stream mostly wait.
const concurrentCuts = 16

// testCuts sends one request for each byte at which a response can be cut. The content of a request names the byte.
func testCuts(t *testing.T, op rawOperation, framing standin.Framing, reset bool) {
	var length atomic.Int64
	first, second := &rawUpstream{framing: framing}, &rawUpstream{framing: framing}
	first.cut = func(content string, total int) (int, bool) {
		length.Store(int64(total))
		var cut int
		if _, err := fmt.Sscanf(content, "cut %d", &cut); err != nil {
			return total, false
		}
		return cut, reset
	}
	f := newFixture(t)
	f.addRawUpstream(t, first)
	f.addRawUpstream(t, second)
	f.retryBudget.remaining = op.retries
	op.send(f, "cut -----")
	workers := pool.New().WithMaxGoroutines(concurrentCuts)
	for cut := range int(length.Load()) {
		workers.Go(func() {
			content := fmt.Sprintf("cut %05d", cut)
			r := op.send(f, content)
			got, whole := op.result(r)
			if whole && (!op.provesItself || got != "ran "+content) {
				t.Errorf("cut at byte %d of %d: status %d, body %q looks whole", cut, length.Load(), r.status, r.body)
			}
			if e := r.apiError(); !whole && (e.Code != CodeOutcomeUnknown || e.NotRun) {
				t.Errorf("cut at byte %d of %d: reported as %q, not run: %t", cut, length.Load(), e.Code, e.NotRun)
			}
		})
	}
	workers.Wait()
	// A request on a connection that the upstream is closing is lost and does not run.
	ran := 0
	first.runsOf.Range(func(content, runs any) bool {
		ran++
		if n := runs.(*atomic.Int64).Load(); n != 1 {
			t.Errorf("%s ran %d times", content, n)
		}
		return true
	})
	if ran < int(length.Load())/2 {
		t.Errorf("only %d of %d requests ran", ran, length.Load())
	}
	if runs := second.runs.Load(); runs != 0 {
		t.Errorf("%d requests ran again", runs)
	}
}

// Guards against a response of a plain service with neither length nor chunks that reaches the caller as whole, is kept for
// its idempotency key, or lets a call run again that may not: its end cannot be told from the end of the process.
func TestUnmarkedServiceResponseIsNotWhole(t *testing.T) {
	is := is.New(t)
	first, second := &rawUpstream{framing: standin.FramingNone}, &rawUpstream{framing: standin.FramingLength}
	f := newFixture(t)
	f.addRawUpstream(t, first)
	f.addRawUpstream(t, second)
	f.retryBudget.remaining = 1
	for range 2 {
		r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
		is.Equal(r.status, http.StatusBadGateway)
		is.Equal(r.apiError().Code, CodeOutcomeUnknown)
		is.True(!r.apiError().NotRun)
	}
	is.Equal(first.runs.Load()+second.runs.Load(), int64(1))
	is.Equal(f.api.Routing.(*firstFitRouter).results, []routing.Result{routing.ResultFailed}) // not a crash

	// An idempotent call goes to another upstream, within the retry budget.
	is.Equal(f.call(http.MethodGet, orderPath, "", HeaderIdempotencyKey, "k2").body, "ran ")
	is.Equal(second.runs.Load(), int64(1))
	is.Equal(f.call(http.MethodGet, orderPath, "").apiError().Code, CodeOutcomeUnknown)
	is.Equal(second.runs.Load(), int64(1))
	is.Equal(f.call(http.MethodGet, orderPath, "", HeaderIdempotencyKey, "k2").header.Get(HeaderReplayed), "true")
}

// Guards against a whole response that counts as broken because nothing marks the end of its body: a chat completion, a
// response to HEAD, and one whose status allows no body.
func TestUnmarkedWholeResponses(t *testing.T) {
	is := is.New(t)
	engine := &rawUpstream{framing: standin.FramingNone}
	f := newFixture(t)
	f.addRawUpstream(t, engine)
	for _, stream := range []bool{false, true} {
		r := f.chat(stream, "a b")
		is.Equal(r.status, http.StatusOK)
		is.True(strings.Contains(r.body, "ran a b"))
	}
	r := f.call(http.MethodHead, orderPath, "", HeaderIdempotencyKey, "k1")
	is.Equal(r.status, http.StatusOK)
	engine.status = "204 No Content"
	r = f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k2")
	is.Equal(r.status, http.StatusNoContent)
}

// Guards against a stream that is continued with the events of another run of the request: an engine that lost the response
// to an earlier attempt has a run of its own, which may produce another text.
func TestStreamIsNotContinuedByEarlierAttempt(t *testing.T) {
	is := is.New(t)
	earlier := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID))
		w.Header().Set(chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"other\"},\"finish_reason\":\"stop\"}]}\n\ndata: %s\n\n",
			req.URL.Query().Get("offset"), req.Header.Get(chat.HeaderRequestID), chat.DoneMark)
	})
	engine, handler := newEngine()
	engine.SetFaults(standin.EngineFaults{Break: 1, BreakAt: 3})
	f := newFixture(t, earlier, withoutResume(handler))
	f.retryBudget.remaining = 1
	r := f.chat(true, "a b c")
	text, ended := streamText(r.body)
	is.True(!strings.Contains(text, "other"))
	is.True(!ended)
	is.Equal(r.apiError().Code, CodeOutcomeUnknown)
}

// Guards against a stream that ends as complete without its last events, of which the next number says nothing: the end mark
// follows an event that ends no choice, directly or at a resume.
func TestEndMarkWithoutLastEventIsNotTheEnd(t *testing.T) {
	event := func(id string, n int, finish string) string {
		return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"%d \"}%s}]}\n\n", n, id, n, finish)
	}
	const end, last = "data: " + chat.DoneMark + "\n\n", `,"finish_reason":"stop"`
	for _, c := range []struct {
		name string
		// first and resumed return the bodies of the first response and of those to a resume.
		first, resumed func(id string) string
		want           string
		// choices is the number of choices that the request asks for, if not 1.
		choices int64
	}{
		{"end mark only", func(string) string { return end }, func(string) string { return end }, "", 0},
		{"last event missing", func(id string) string { return event(id, 0, "") + end }, func(string) string { return end }, "0 ", 0},
		{"last event missing at the resume", func(id string) string { return event(id, 0, "") }, func(string) string { return end }, "0 ", 0},
		{"last event read by the resume", func(id string) string { return event(id, 0, "") + end },
			func(id string) string { return event(id, 1, last) + end }, "0 1 ", 0},
		{"last event of a choice missing", func(id string) string { return event(id, 0, last) + end }, func(string) string { return end }, "0 ", 2},
		{"end mark read by the resume", func(id string) string { return event(id, 0, last) }, func(string) string { return end }, "0 ", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				id, body := req.Header.Get(chat.HeaderRequestID), c.first
				if req.Method == http.MethodGet {
					body = c.resumed
				}
				w.Header().Set(chat.HeaderRequestID, id)
				w.Header().Set(chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
				_, _ = io.WriteString(w, body(id))
			}))
			f.api.Limits.ResumeTimeout = 200 * time.Millisecond
			chatReq, _ := chatRequest(true, "a b c")
			chatReq.N = c.choices
			body, err := json.Marshal(chatReq)
			is.NoErr(err)
			r := f.call(http.MethodPost, "/v1/chat/completions", string(body))
			text, ended := streamText(r.body)
			is.Equal(text, c.want)
			is.Equal(ended, strings.HasPrefix(c.name, "last event read") || strings.HasPrefix(c.name, "end mark read"))
			if !ended {
				is.Equal(r.apiError().Code, CodeOutcomeUnknown)
			}
		})
	}
}

// Guards against a response with an invalid status that reaches the caller, or makes the router panic: the request may have run.
func TestInvalidStatusIsUnknownOutcome(t *testing.T) {
	for _, status := range []string{"000 None", "020 Low", "101 Switching Protocols"} {
		is := is.New(t)
		f := newFixture(t)
		f.addRawUpstream(t, &rawUpstream{framing: standin.FramingLength, status: status})
		r := f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k1")
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusBadGateway)
		is.Equal(r.apiError().Code, CodeOutcomeUnknown)
		is.True(!r.apiError().NotRun)
		is.Equal(f.chat(false, "a").apiError().Code, CodeOutcomeUnknown)
	}
}
