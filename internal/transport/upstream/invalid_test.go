package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// serveRaw serves an upstream that writes a text for each request, in which ID and ATTEMPT stand for those of the request, and
// counts connections.
func serveRaw(t *testing.T, text string) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, strings.NewReplacer("ID", req.Header.Get(chat.HeaderRequestID),
						"ATTEMPT", req.Header.Get(chat.HeaderAttempt)).Replace(text))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), connections
}

// responseIDs are the headers that every valid response has.
var responseIDs = fmt.Sprintf("%s: ID\r\n%s: ATTEMPT\r\n", chat.HeaderRequestID, chat.HeaderAttempt)

// callAll sends a request in each way in which a response is read.
func callAll(address string) map[string]error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := New(nil)
	call := Call{Address: address, RequestID: "r1", Attempt: "1@vm/1", Body: []byte("{}")}
	_, completeErr := client.Complete(ctx, call)
	_, callErr := client.Call(ctx, ServiceCall{Call: call, Method: http.MethodPost, Path: "/p"})
	return map[string]error{
		"complete": completeErr, "call": callErr, "stream": client.Stream(ctx, call, func(Event) error { return nil }),
	}
}

// Guards against a response with an invalid status, or an interim one with a body, that reaches the caller, counts as a refusal, or
// whose body is read as the answer, and against a wait for the deadline.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	is := is.New(t)
	answer := `{"id":"ID"}`
	embedded := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", responseIDs, len(answer), answer)
	for _, head := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 001 Low", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 -20 Sign", "HTTP/1.1 99 Short",
		"HTTP/1.1 1000 Long", "HTTP/1.1 2000 Long", "HTTP/1.1 2x0 Letters", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints",
	} {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(embedded)), "Transfer-Encoding: chunked\r\n"} {
			body := embedded
			if strings.Contains(framing, "chunked") {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(embedded), embedded)
			}
			address, connections := serveRaw(t, head+"\r\n"+responseIDs+framing+"\r\n"+body)
			for name, err := range callAll(address) {
				if err == nil || errors.IsAny(err, ErrNotSent, ErrRefused, context.DeadlineExceeded) {
					t.Errorf("%s: %q, %q: %v", name, head, framing, err)
				}
			}
			is.Equal(connections.Load(), int64(3)) // none is used again
		}
	}
}

// Guards against valid interim responses that end a request.
func TestInterimResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	address, _ := serveRaw(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+
		"HTTP/1.1 200 OK\r\n"+responseIDs+"Content-Length: 2\r\n\r\nok")
	_, err := New(nil).Call(context.Background(), ServiceCall{
		Call: Call{Address: address, RequestID: "r1", Attempt: "1@vm/1"}, Method: http.MethodPost, Path: "/p",
	})
	is.NoErr(err)
}

// Guards against a part of a response that counts as whole: the upstream answers a long upload at once with a response that has no
// length, and resets the connection while the upload is written.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1 << 10, 100 << 10, 16 << 20} {
		for name, part := range map[string]string{"complete": `{"id":"r1","part":`, "call": "part", "stream": "data: {\"id\":\"r1\"}\n\n"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 400)) // not all that was sent
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r1\r\n%s: 1@vm/1\r\n\r\n%s", chat.HeaderRequestID, chat.HeaderAttempt, part))
				time.Sleep(5 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			client := New(nil)
			call := Call{Address: "http://" + listener.Addr().String(), RequestID: "r1", Attempt: "1@vm/1", Body: make([]byte, size)}
			switch name {
			case "complete":
				_, err = client.Complete(ctx, call)
			case "call":
				_, err = client.Call(ctx, ServiceCall{Call: call, Method: http.MethodPost, Path: "/p"})
			default:
				err = client.Stream(ctx, call, func(Event) error { return nil })
			}
			if err == nil || errors.IsAny(err, ErrNotSent, ErrRefused) {
				t.Errorf("%s, %d bytes: %v", name, size, err)
			}
			cancel()
			_ = listener.Close()
		}
	}
}
