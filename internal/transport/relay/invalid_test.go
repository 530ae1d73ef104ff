package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Guards against a response with an invalid status that counts as an interim one: the request then waits for its deadline or
// gets the response that is embedded in the body as its answer, and against a connection that is kept after it.
func TestInvalidStatusEndsTheExchange(t *testing.T) {
	for _, first := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 001 Low", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 -20 Sign", "HTTP/1.1 99 Short",
		"HTTP/1.1 1000 Long", "HTTP/1.1 2000 Long", "HTTP/1.1 2x0 Letters", "HTTP/1.1  Empty", "HTTP/1.1 101 Switching Protocols",
	} {
		for _, embedded := range []bool{false, true} {
			for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", ""} {
				checkInvalid(t, first+"\r\n"+framing, embedded)
			}
		}
	}
}

// Guards against an interim response that states a body, whose bytes are read as the next response. HTTP allows it none.
func TestInterimResponseWithBodyEndsTheExchange(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints", "HTTP/1.1 199 Other"} {
		for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n"} {
			checkInvalid(t, first+"\r\n"+framing, true)
		}
	}
}

// checkInvalid sends a request to an upstream that responds with a head, behind which the bytes of a whole response follow if
// embedded is set.
func checkInvalid(t *testing.T, head string, embedded bool) {
	t.Helper()
	is := is.New(t)
	address, connections := startServer(t, func(c net.Conn, request string) {
		id := requestIDOf(request)
		if id == "next" {
			_, _ = io.WriteString(c, responseTo(id, "ok"))
			return
		}
		text := head + idHeader + ": " + id + "\r\n\r\n"
		if embedded {
			text += responseTo(id, "embedded")
		}
		_, _ = io.WriteString(c, text)
	})
	p := newPool(t)
	body, err := send(p, address, "r")
	if err == nil || errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRefused, context.DeadlineExceeded) {
		t.Errorf("%q, embedded %t: %q, %v", head, embedded, body, err)
		return
	}
	_, err = send(p, address, "next")
	is.NoErr(err)
	is.Equal(connections.Load(), int64(2))
}

// Guards against interim responses that end an exchange: an upstream may send several while it works.
func TestInterimResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(c net.Conn, request string) {
		id := requestIDOf(request)
		_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 199 Other\r\n\r\n", 3)+
			responseTo(id, "body with HTTP/1.1 000 None\r\n\r\n"+responseTo(id, "embedded")))
	})
	p := newPool(t)
	for _, id := range []string{"a", "b"} {
		body, err := send(p, address, id)
		is.NoErr(err)
		is.Equal(body, "body with HTTP/1.1 000 None\r\n\r\n"+responseTo(id, "embedded"))
	}
}

// Guards against a part of a response that counts as whole: the upstream answers a long upload at once with a response that has no
// length, and resets the connection while the upload is written.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
		for _, size := range []int{1 << 10, 100 << 10, 1 << 20, 16 << 20} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				buffer := make([]byte, 500)
				_, _ = io.ReadFull(c, buffer) // not all that was sent
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": r\r\n\r\npart of the body")
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			resp, err := newPool(t).Send(ctx, Target{Address: l.Addr().String()}, Request{
				Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, Body: make([]byte, size), ID: "r",
			})
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Close()
			}
			if err == nil || errors.Is(err, upstream.ErrNotSent) {
				t.Errorf("%d bytes, reset after %s: %v", size, pause, err)
			}
			cancel()
			_ = l.Close()
		}
	}
}
