package relay

import (
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

	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Guards against a response whose head is cut short, at each byte, and that counts as a response with an empty or short body.
func TestHeadCutShortIsNoResponse(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 10\r\n\r\n0123456789", "chunks": "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"neither": "\r\n0123456789", "interim": "\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, reset), func(t *testing.T) {
				is := is.New(t)
				whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r\r\n%s", idHeader, rest)
				if name == "interim" {
					whole = "HTTP/1.1 100 Continue\r\n\r\n" + whole
				}
				head := whole[:strings.LastIndex(whole, "\r\n\r\n")+len("\r\n\r\n")]
				if name == "chunks" {
					head = whole[:strings.Index(whole, "\r\n\r\n")+len("\r\n\r\n")]
				}
				var cut atomic.Int64
				address, _ := startServer(t, func(c net.Conn, _ string) {
					_, _ = io.WriteString(c, head[:cut.Load()])
					if tcp, ok := c.(*net.TCPConn); ok && reset {
						_ = tcp.SetLinger(0)
					}
					_ = c.Close()
				})
				p := newPool(t)
				for ; cut.Load() < int64(len(head)); cut.Add(1) {
					body, err := send(p, address, "r")
					is.True(errors.Is(err, upstream.ErrIncomplete)) // neither a response nor "not sent"
					is.True(!errors.Is(err, upstream.ErrNotSent))
					is.Equal(body, "")
				}
			})
		}
	}
}

// Guards against a reset that is taken for the end of a response without a length or chunks: the failed write of a long
// request has consumed the error of the connection, and the next read reports its end.
func TestResetAfterFailedWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(c net.Conn, request string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: r\r\n\r\nthe begin", idHeader)
		time.Sleep(100 * time.Millisecond) // the request fills the buffers of both sides
		_ = c.Close()                      // unread bytes make this a reset
	})
	p := newPool(t)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp, err := p.Send(ctx, Target{Address: address}, Request{
			Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, Body: make([]byte, 32<<20), ID: "r",
		})
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Close()
			if err == nil {
				t.Errorf("%q ended as complete", body)
			}
		}
		is.True(!errors.Is(err, upstream.ErrNotSent))
		cancel()
	}
}

// Guards against an answer that is dropped because its upstream sent many interim responses before it, and against an
// upstream that never sends anything else.
func TestInterimResponsesPrecedeTheAnswer(t *testing.T) {
	is := is.New(t)
	interim := maxInterimResponses
	address, _ := startServer(t, func(c net.Conn, request string) {
		_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", interim)+responseTo(requestIDOf(request), "whole"))
	})
	p := newPool(t)
	body, err := send(p, address, "a")
	is.NoErr(err)
	is.Equal(body, "whole")

	interim++
	_, err = send(p, address, "b")
	is.True(errors.Is(err, upstream.ErrMismatch))
}
