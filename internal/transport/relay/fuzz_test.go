package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// fuzzConn is a connection whose peer has sent some bytes and closed it.
type fuzzConn struct{ in *bytes.Reader }

func (c fuzzConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c fuzzConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c fuzzConn) Close() error                     { return nil }
func (c fuzzConn) LocalAddr() net.Addr              { return nil }
func (c fuzzConn) RemoteAddr() net.Addr             { return nil }
func (c fuzzConn) SetDeadline(time.Time) error      { return nil }
func (c fuzzConn) SetReadDeadline(time.Time) error  { return nil }
func (c fuzzConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse guards against bytes of an upstream that end the process, and against a response to another request that is
// taken for that of this one.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(responseTo("r1", "body")))
	f.Add([]byte(refusalOf("r0", true) + chunkedResponseTo("r1", "body")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + refusalOf("r0", false)))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\nX-Id: r1\r\n\r\nffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(fuzzConn{bytes.NewReader(data)}, "", nil)
		id := func(h http.Header) string { return h.Get(idHeader) }
		resp, err := c.roundTrip(Request{Method: "POST", URI: "/", Host: "h", ID: "r1"}, id)
		if err != nil {
			return
		}
		if id(resp.Header) != "r1" || resp.StatusCode < http.StatusOK {
			t.Errorf("took a response with ID %q and status %d", id(resp.Header), resp.StatusCode)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	})
}
