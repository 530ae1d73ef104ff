package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

func engineAndHandler() (*standin.Engine, http.Handler) {
	e := &standin.Engine{}
	return e, e.Handler()
}

// cost is what the stand-in engine counts for a whole answer.
func cost(req chat.Request) int64 {
	return standin.InputTokens(req) + int64(len(standin.ResponseTokens(req)))
}

// wholeText returns the content of a whole answer.
func wholeText(body string) string {
	var r chat.Response
	if json.Unmarshal([]byte(body), &r) != nil || len(r.Choices) == 0 {
		return ""
	}
	return r.Choices[0].Message.Content
}

// streamText joins the content of a stream and reports whether it has its end.
func streamText(body string) (text string, ended bool) {
	for line := range strings.Lines(body) {
		data, _ := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if data == chat.DoneMark {
			return text, true
		}
		var r chat.Response
		if json.Unmarshal([]byte(data), &r) == nil && len(r.Choices) > 0 && r.Choices[0].Delta != nil {
			text += r.Choices[0].Delta.Content
		}
	}
	return text, false
}

// TestBadRequestsCostNoBudget guards against a body that is malformed, too large
// or too slow taking budget or reaching an upstream.
func TestBadRequestsCostNoBudget(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	f := newFixture(t, handler)
	_, large := chatRequest(false, strings.Repeat("x ", 4000))
	_, good := chatRequest(false, "a")
	for _, c := range []struct {
		body, header, value string
		status              int
		code                Code
	}{
		{"{not json", HeaderTimeout, "5000", 400, CodeBadRequest},
		{`{"model":"m1","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, HeaderTimeout, "5000", 400, CodeBadRequest},
		{large, HeaderTimeout, "5000", 413, CodeTooLarge},
		{good, "Authorization", "Bearer wrong", 401, CodeUnauthorized},
		{strings.Replace(good, model, "m2", 1), HeaderTimeout, "5000", 403, CodeNotAllowed},
		{good, HeaderTimeout, "soon", 400, CodeBadRequest},
	} {
		r := f.call(http.MethodPost, "/v1/chat/completions", c.body, c.header, c.value)
		is.Equal(r.status, c.status)
		is.Equal(r.problem().Code, c.code)
		is.True(r.problem().NotRun)
	}
	is.Equal(slowBody(t, f.url), http.StatusRequestTimeout)
	_, reserved, _ := f.budget.state()
	is.Equal(reserved, 0)
	is.Equal(engine.Runs.Load(), int64(0))
}

// slowBody sends half a body and returns the status of the answer.
func slowBody(t *testing.T, url string) int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", secret)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestRefusedAttemptGoesToAnotherUpstream guards against a false refusal while
// another upstream would run the request, and against "upstream unavailable"
// after a run.
func TestRefusedAttemptGoesToAnotherUpstream(t *testing.T) {
	is := is.New(t)
	busy, busyHandler := engineAndHandler()
	busy.SetFaults(standin.EngineFaults{Refuse: 2})
	engine, handler := engineAndHandler()
	f := newFixture(t, busyHandler, handler)
	f.retry.left = 1
	is.Equal(f.chat(false, "a b").status, 200)
	r := f.chat(false, "a b")
	is.Equal(r.problem().Code, CodeUpstreamUnavailable)
	is.True(r.problem().NotRun)
	is.Equal(busy.Runs.Load()+engine.Runs.Load(), int64(1))
	open, _, charges := f.budget.state()
	is.Equal(open, 0)
	is.Equal(len(charges), 1)
}

// TestResetBeforeFirstByte guards against a request that is called "not run", is
// run again without a retry budget, loses its reservation or is billed twice when
// the upstream accepts it and resets the connection.
func TestResetBeforeFirstByte(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		first, firstHandler := engineAndHandler()
		first.SetFaults(standin.EngineFaults{ResetAfter: 2})
		second, secondHandler := engineAndHandler()
		f := newFixture(t, firstHandler, secondHandler)
		req, _ := chatRequest(stream, "a b c")

		f.retry.left = 1
		is.Equal(f.chat(stream, "a b c").status, 200)
		is.Equal(second.Runs.Load(), int64(1))

		r := f.chat(stream, "a b c")
		is.Equal(r.status, 502)
		is.Equal(r.problem().Code, CodeOutcomeUnknown)
		is.True(!r.problem().NotRun)
		open, _, charges := f.budget.state()
		is.Equal(open, 1)
		is.Equal(charges, []int64{cost(req)})
		f.api.UnknownOutcomes.Resolve(context.Background())
		open, _, charges = f.budget.state()
		is.Equal(open, 0)
		is.Equal(charges, []int64{cost(req), cost(req)})
		is.True(strings.Contains(f.call("GET", "/v1/requests/"+r.problem().RequestID, "").body, `"state":"settled"`))
	}
}

// TestUnknownIsBilledAtBoundAfterDelay guards against a reservation that is
// released or kept for ever when no engine knows the request.
func TestUnknownIsBilledAtBoundAfterDelay(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	engine.SetFaults(standin.EngineFaults{ResetBefore: 1})
	f := newFixture(t, handler)
	is.Equal(f.chat(false, "a").problem().Code, CodeOutcomeUnknown)
	f.api.UnknownOutcomes.Resolve(context.Background())
	open, _, charges := f.budget.state()
	is.Equal(open, 1)
	is.Equal(len(charges), 0)
	f.now = f.now.Add(time.Minute)
	f.api.UnknownOutcomes.Resolve(context.Background())
	_, body := chatRequest(false, "a")
	req, err := chat.Parse([]byte(body))
	is.NoErr(err)
	open, _, charges = f.budget.state()
	is.Equal(open, 0)
	is.Equal(charges, []int64{req.Bound()})
}

// lateEngine answers each request with the answer to the attempt before it, as
// an upstream that is one answer behind would.
type lateEngine struct {
	mu    sync.Mutex
	calls int
	// other is the identity of the answer that it gives.
	id, attempt string
}

func (e *lateEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	e.calls++
	e.mu.Unlock()
	id := req.Header.Get(chat.HeaderRequestID)
	if e.id != "" {
		id = e.id
	}
	w.Header().Set(chat.HeaderRequestID, id)
	w.Header().Set(chat.HeaderAttempt, e.attempt)
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":"late"}}]}`, id)
}

// TestLateAnswerIsDropped guards against the answer of a replaced attempt
// reaching the caller or its bill.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	slow := &standin.Engine{FirstToken: time.Hour}
	late := &lateEngine{attempt: "1@vm/1"}
	_, handler := engineAndHandler()
	f := newFixture(t, slow.Handler(), late, handler)
	f.retry.left = 2
	f.api.Limits.AttemptTimeout = 100 * time.Millisecond
	dropped := obs.MismatchedResponsesTotal.Value()
	r := f.chat(false, "a b")
	req, _ := chatRequest(false, "a b")
	is.Equal(wholeText(r.body), strings.Join(standin.ResponseTokens(req), ""))
	is.Equal(late.calls, 1)
	is.Equal(obs.MismatchedResponsesTotal.Value(), dropped+1)
	_, _, charges := f.budget.state()
	is.Equal(charges, []int64{cost(req)})
}

// crossing answers two requests at once, each with the answer to the other.
type crossing struct {
	mu    sync.Mutex
	wait  map[string]chan string
	first string
}

func (c *crossing) partner(id string) string {
	c.mu.Lock()
	own := make(chan string, 1)
	c.wait[id] = own
	if c.first == "" {
		c.first = id
		c.mu.Unlock()
		return <-own
	}
	other := c.first
	c.wait[other] <- id
	c.mu.Unlock()
	return other
}

func (c *crossing) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	other := c.partner(req.Header.Get(chat.HeaderRequestID))
	w.Header().Set(chat.HeaderRequestID, other)
	w.Header().Set(chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":"crossed"}}]}`, other)
}

// TestCrossedAnswersAreDropped guards against a caller that gets the answer to
// another caller's request.
func TestCrossedAnswersAreDropped(t *testing.T) {
	is := is.New(t)
	cross := &crossing{wait: make(map[string]chan string)}
	_, handler := engineAndHandler()
	f := newFixture(t, cross, handler)
	f.retry.left = 2
	replies := make([]reply, 2)
	var callers sync.WaitGroup
	for i := range replies {
		callers.Go(func() { replies[i] = f.chat(false, fmt.Sprint("caller ", i)) })
	}
	callers.Wait()
	for i, r := range replies {
		req, _ := chatRequest(false, fmt.Sprint("caller ", i))
		is.Equal(wholeText(r.body), strings.Join(standin.ResponseTokens(req), ""))
	}
}

// TestBrokenStreamResumes guards against a caller that sees a part of a stream
// twice or not at all after the connection to the engine broke.
func TestBrokenStreamResumes(t *testing.T) {
	for _, at := range []int{1, 2, 7, 12} {
		is := is.New(t)
		engine, handler := engineAndHandler()
		f := newFixture(t, handler)
		engine.SetFaults(standin.EngineFaults{Break: 3, BreakAt: at})
		broken := f.chat(true, "a b c", HeaderIdempotencyKey, "k")
		engine.SetFaults(standin.EngineFaults{})
		whole := f.chat(true, "a b c")
		is.Equal(broken.status, 200)
		id, other := broken.header.Get(chat.HeaderRequestID), whole.header.Get(chat.HeaderRequestID)
		is.Equal(strings.ReplaceAll(broken.body, id, "id"), strings.ReplaceAll(whole.body, other, "id"))
		_, ended := streamText(broken.body)
		is.True(ended)
		_, _, charges := f.budget.state()
		is.Equal(len(charges), 2)
		is.Equal(charges[0], charges[1])
	}
}

// TestRoutingLearnsOfTheCrash guards against an engine that counts as healthy
// because another one completed its stream.
func TestRoutingLearnsOfTheCrash(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	_, copyHandler := engineAndHandler()
	f := newFixture(t, notHolding(handler), copyHandler)
	picked := f.api.Routing.(*firstFit)
	engine.ExportTo = picked.upstreams[1].Address
	engine.SetFaults(standin.EngineFaults{Break: 1, BreakAt: 3})
	r := f.chat(true, "a b c")
	_, ended := streamText(r.body)
	is.True(ended)
	is.Equal(picked.results, []routing.Result{routing.ResultCrashed})
	is.Equal(f.chat(true, "a b c").status, 200)
	is.Equal(picked.results, []routing.Result{routing.ResultCrashed, routing.ResultOK})
}

// notHolding is an engine that forgets a stream when its connection breaks.
func notHolding(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet && !strings.HasSuffix(req.URL.Path, "/usage") {
			http.Error(w, "not held", http.StatusNotFound)
			return
		}
		engine.ServeHTTP(w, req)
	})
}

// TestStreamThatCannotResumeEndsInError guards against a stream that just stops,
// so that its caller takes a part for the whole.
func TestStreamThatCannotResumeEndsInError(t *testing.T) {
	is := is.New(t)
	engine, handler := engineAndHandler()
	engine.SetFaults(standin.EngineFaults{Break: 1, BreakAt: 3})
	f := newFixture(t, notHolding(handler))
	r := f.chat(true, "a b c")
	is.NoErr(r.err)
	_, ended := streamText(r.body)
	is.True(!ended)
	is.Equal(r.problem().Code, CodeOutcomeUnknown)
	is.True(!r.problem().NotRun)
	f.api.UnknownOutcomes.Resolve(context.Background())
	req, _ := chatRequest(true, "a b c")
	_, _, charges := f.budget.state()
	is.Equal(charges, []int64{cost(req)})
}

// TestCallerLeaves guards against an engine that works on for nobody, and a bill
// for more than was used.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	engine := &standin.Engine{TokenInterval: 30 * time.Millisecond}
	f := newFixture(t, engine.Handler())
	ctx, leave := context.WithCancel(context.Background())
	req, body := chatRequest(true, "a b c")
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	httpReq.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(httpReq)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 10))
	is.NoErr(err)
	leave()
	resp.Body.Close()
	for f.api.InProgress() > 0 {
		time.Sleep(time.Millisecond)
	}
	open, _, charges := f.budget.state()
	is.Equal(open, 0)
	is.Equal(charges, []int64{engine.Tokens.Load()})
	is.True(charges[0] < cost(req))
}
