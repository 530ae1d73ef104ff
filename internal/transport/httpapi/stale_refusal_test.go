package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
)

// serveStaleRefusals serves an upstream that refuses the first request on a connection. It runs each later one and counts it,
// but writes the refusal once more ahead of the response.
func serveStaleRefusals(t *testing.T, status string, withIDs bool, runs *atomic.Int64) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader, refusal := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			ids := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID),
				chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
			if refusal != "" {
				runs.Add(1)
				_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", refusal, ids)
				continue
			}
			if !withIDs {
				ids = ""
			}
			refusal = fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 4\r\n\r\nbusy", status, ids)
			_, _ = io.WriteString(c, refusal)
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go serve(c)
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a refusal that is written once more on a kept connection and is taken for that of the next request, which
// ran: its caller is told that it did not.
func TestRefusalOfEarlierRequestIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		operation, status string
		withIDs           bool
	}{
		{"service", "429 Too Many Requests", true}, {"service", "429 Too Many Requests", false},
		{"chat", "503 Service Unavailable", true}, {"chat", "503 Service Unavailable", false},
		{"chat", "400 Bad Request", true}, {"chat", "400 Bad Request", false},
	} {
		t.Run(fmt.Sprintf("%s/%.3s/ids=%t", c.operation, c.status, c.withIDs), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := newFixture(t)
			u := catalogue.Upstream{Name: "p", Kind: catalogue.KindEngine, Models: []string{model},
				Address: serveStaleRefusals(t, c.status, c.withIDs, &runs)}
			send := func(content string) callerResponse { return f.chat(strings.HasSuffix(content, "2"), content) }
			if c.operation == "service" {
				u.Kind, u.Service, u.RequestTokens = catalogue.KindService, "orders", 7
				send = func(content string) callerResponse {
					return f.call(http.MethodPost, orderPath, content, HeaderIdempotencyKey, content)
				}
			}
			f.api.Routing.(*firstFitRouter).upstreams = []catalogue.Upstream{u}
			is.True(send("o1").apiError().NotRun) // a refusal of its own is one
			r := send("o2")
			is.Equal(runs.Load(), int64(1)) // the connection was kept
			is.True(!r.apiError().NotRun)
			is.Equal(r.apiError().Code, CodeOutcomeUnknown)
		})
	}
}

// Guards against the copy of a refusal that is taken for the response to the caller's repeat, which has the ID of the refused
// request and ran: the caller is told that the repeat did not run, and its next repeat runs an order once more.
func TestCopyOfRefusalDoesNotAnswerRepeat(t *testing.T) {
	for _, c := range []struct {
		operation, status string
		retention         time.Duration
	}{
		{"service", "429 Too Many Requests", time.Hour},
		{"completion", "503 Service Unavailable", time.Hour}, {"completion", "400 Bad Request", time.Hour},
		{"stream", "503 Service Unavailable", time.Hour}, {"completion", "503 Service Unavailable", 0},
	} {
		t.Run(fmt.Sprintf("%s/%.3s/retention=%s", c.operation, c.status, c.retention), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := newFixture(t)
			f.api.Requests = request.NewTable(request.Config{Retention: c.retention, MaxFinished: 100, MaxAnswerBytes: 1 << 20, Now: time.Now})
			u := catalogue.Upstream{Name: "p", Kind: catalogue.KindEngine, Models: []string{model},
				Address: serveStaleRefusals(t, c.status, true, &runs)}
			send := func() callerResponse { return f.chat(c.operation == "stream", "a", HeaderIdempotencyKey, "k") }
			if c.operation == "service" {
				u.Kind, u.Service, u.RequestTokens = catalogue.KindService, "orders", 7
				send = func() callerResponse { return f.call(http.MethodPost, orderPath, "o1", HeaderIdempotencyKey, "k") }
			}
			f.api.Routing.(*firstFitRouter).upstreams = []catalogue.Upstream{u}
			refused := send()
			is.True(refused.apiError().NotRun)
			repeat := send()
			is.Equal(runs.Load(), int64(1)) // the connection was kept
			is.Equal(repeat.header.Get(chat.HeaderRequestID), refused.header.Get(chat.HeaderRequestID))
			is.True(!repeat.apiError().NotRun)
			is.Equal(repeat.apiError().Code, CodeOutcomeUnknown)
			is.Equal(send().apiError().Code, CodeOutcomeUnknown)
			is.Equal(runs.Load(), int64(1))
		})
	}
}

// Guards against the copy of a refusal that is taken for the response to the next attempt of the same request, at another
// upstream with the address of the refusing one, such as its successor: the attempt ran, and the caller is told that it did not.
func TestCopyOfRefusalDoesNotAnswerNextAttempt(t *testing.T) {
	for _, operation := range []string{"service", "completion", "stream"} {
		t.Run(operation, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := newFixture(t)
			f.retryBudget.remaining = 1
			address := serveStaleRefusals(t, "429 Too Many Requests", true, &runs)
			for _, name := range []string{"p", "q"} {
				u := catalogue.Upstream{Name: name, Kind: catalogue.KindEngine, Models: []string{model}, Address: address}
				if operation == "service" {
					u.Kind, u.Service, u.RequestTokens, u.IdempotentMethods = catalogue.KindService, "orders", 7, []string{http.MethodGet}
				}
				router := f.api.Routing.(*firstFitRouter)
				router.upstreams = append(router.upstreams, u)
			}
			var r callerResponse
			if operation == "service" {
				r = f.call(http.MethodGet, orderPath, "")
			} else {
				r = f.chat(operation == "stream", "a")
			}
			is.Equal(runs.Load(), int64(1)) // on the connection of the refusal
			is.True(!r.apiError().NotRun)
			is.Equal(r.apiError().Code, CodeOutcomeUnknown)
		})
	}
}
