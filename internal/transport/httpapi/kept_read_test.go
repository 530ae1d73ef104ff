package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// Guards against a request that arrives just after its connection was found idle, and is dropped unread.
func TestRequestAfterEndIfIdleIsRead(t *testing.T) {
	is := is.New(t)
	l, err := netopt.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var k KeptConns
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	c, err := k.Listener(l).Accept()
	is.NoErr(err)
	defer c.Close()
	k.CloseIdle(0)
	_, err = io.WriteString(caller, "GET")
	is.NoErr(err)
	for !netopt.HasUnread(c) {
		time.Sleep(time.Millisecond)
	}
	buffer := make([]byte, 8)
	n, err := c.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "GET")
}

// Guards against a request that is canceled as its connection counts as idle, because the server has read it together with
// the one before and its handler has not begun.
func TestCloseIdleSparesRequestsReadTogether(t *testing.T) {
	const callers, together = 16, 3
	is := is.New(t)
	var k KeptConns
	var handled, canceled atomic.Int64
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		time.Sleep(time.Millisecond)
		if r.Context().Err() != nil {
			canceled.Add(1)
		}
		_, _ = io.WriteString(w, "ok")
	})
	stop := make(chan struct{})
	var closer, work sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				k.CloseIdle(0)
			}
		}
	})
	for range callers {
		work.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", together)) // fails if the connection is closed before
				reader := bufio.NewReader(c)
				for range together {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				_ = c.Close()
			}
		})
	}
	work.Wait()
	close(stop)
	closer.Wait()
	t.Logf("%d of %d requests canceled", canceled.Load(), handled.Load())
	is.True(handled.Load() > 0)
	is.Equal(canceled.Load(), int64(0))
}

// Guards against a request whose body is cut off as its connection counts as idle, because the server has read its head
// together with the request before.
func TestCloseIdleSparesBodyOnItsWay(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(w, r.Body); err != nil {
			t.Errorf("body: %v", err)
		}
	})
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\no")
	is.NoErr(err)
	for range 10 {
		k.CloseIdle(10 * time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	_, err = io.WriteString(c, "k")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	for _, want := range []string{"", "ok"} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
}

// Guards against a stop that waits for callers that never complete the head of their request, also if they send a little of
// it now and then, and against one that ends a request that is handled or whose body is on its way.
func TestCloseIncomplete(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(200 * time.Millisecond)
		if r.Context().Err() == nil {
			_, _ = w.Write(body)
		}
	})
	const first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
	for name, c := range map[string]struct {
		begin, rest []string
		answered    bool
	}{
		"silent":   {[]string{first}, nil, false},
		"trickles": {[]string{first}, []string{"A", "B", "C", "D", "E", "F", "G", "H", "I", "J"}, false},
		"kept":     {[]string{first + "\r\nok", first}, nil, false},
		"body":     {[]string{first + "\r\n"}, []string{"o", "", "", "", "k"}, true},
		"handled":  {[]string{first + "\r\nok"}, nil, true},
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		reader := bufio.NewReader(conn)
		for i, text := range c.begin {
			_, err = io.WriteString(conn, text)
			is.NoErr(err)
			if i+1 < len(c.begin) {
				_, err = http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = reader.Discard(2)
				is.NoErr(err)
			}
		}
		for i := range 15 {
			time.Sleep(10 * time.Millisecond)
			if i < len(c.rest) {
				_, _ = io.WriteString(conn, c.rest[i]) // fails once the connection is closed
			}
			k.CloseIncomplete(50 * time.Millisecond)
		}
		resp, err := http.ReadResponse(reader, nil)
		t.Logf("%s: %v", name, err)
		is.Equal(err == nil && resp.StatusCode == http.StatusOK, c.answered)
		if c.answered {
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
		} else {
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
		}
	}
}

// Guards against a truncated response without a length that looks complete to a slow caller, because its connection is closed
// in an orderly way.
func TestAbortedResponseIsResetWhileUnsent(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		resetCallerConn(r.Context())
		_, _ = w.Write(make([]byte, 128<<10))
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(8 << 10))
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	n, err := io.Copy(io.Discard, c)
	t.Logf("%d bytes, %v", n, err)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
