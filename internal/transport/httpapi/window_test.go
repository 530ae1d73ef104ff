package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// readBodies is a handler that reads the body as an exchange does.
func readBodies(incoming *membuf.Incoming) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{api: &API{Incoming: incoming}, httpReq: r, w: w, control: http.NewResponseController(w)}
		body, err := x.requestHold().ReadBody(x.bodyReader(), 1<<20, r.ContentLength)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		defer body.Release()
		_, _ = io.WriteString(w, r.Header.Get("X-Wait"))
		if r.Header.Get("X-Wait") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
}

// Guards against large bodies that are always sent in small windows, and against a crowd whose large windows hold more memory than
// is set aside for them, also after its connections are closed.
func TestLargeWindowsAreLimited(t *testing.T) {
	is := is.New(t)
	const limit = 2
	k := KeptConns{MaxLargeWindows: limit}
	listener := startKept(t, &k, readBodies(nil))
	send := func(size int) net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(30 * time.Second)))
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		return c
	}
	_ = send(largeBodyBytes - 1).Close()
	is.Equal(k.largeWindows.Load(), int64(0))
	for range 2 {
		conns := make([]net.Conn, 0, 2*limit)
		for range 2 * limit {
			conns = append(conns, send(4*largeBodyBytes))
		}
		is.Equal(k.largeWindows.Load(), int64(limit))
		for _, c := range conns {
			_ = c.Close()
		}
		for listener.Open() > 1 { // the call of Accept
			time.Sleep(time.Millisecond)
		}
		is.Equal(k.largeWindows.Load(), int64(0))
	}
}
