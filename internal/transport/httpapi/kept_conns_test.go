package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// startKept starts a server with KeptConns and returns its listener.
func startKept(t *testing.T, k *KeptConns, handler http.HandlerFunc) *netopt.LimitedListener {
	t.Helper()
	l, err := netopt.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: WithCallerConn, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	k.Attach(server)
	limited := netopt.LimitConnections(l, 1000)
	go func() { _ = server.Serve(k.Listener(limited)) }()
	t.Cleanup(func() { _ = server.Close() })
	return limited
}

// exchangeOne sends a request on a connection and reads the response.
func exchangeOne(c net.Conn, reader *bufio.Reader) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against a request that has reached its handler and gets no response because its connection is closed as idle.
func TestCloseIdleSparesRequestsBeingRead(t *testing.T) {
	var k KeptConns
	var handled, answered atomic.Int64
	listener := startKept(t, &k, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				k.CloseIdle(0)
			}
		}
	})
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				for reader := bufio.NewReader(c); ; answered.Add(1) {
					if _, err := exchangeOne(c, reader); err != nil {
						break
					}
				}
				_ = c.Close()
			}
		})
	}
	callers.Wait()
	close(stop)
	work.Wait()
	t.Logf("%d requests handled", handled.Load())
	if handled.Load() != answered.Load() || handled.Load() == 0 {
		t.Errorf("%d requests reached the handler, %d got a response", handled.Load(), answered.Load())
	}
}

// Guards against connections that stay open though their callers send nothing, and against a caller that is not told that
// its connection ends.
func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	listener := startKept(t, &k, func(http.ResponseWriter, *http.Request) {})
	fresh, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer fresh.Close()
	used, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer used.Close()
	reader := bufio.NewReader(used)
	resp, err := exchangeOne(used, reader)
	is.NoErr(err)
	is.True(!resp.Close)
	partial, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer partial.Close()
	_, err = io.WriteString(partial, "GET / HTTP/1.1\r\nHo")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(listener.Open(), 4) // with the call of Accept
	k.AnnounceClose()
	k.CloseIdle(time.Minute)
	time.Sleep(50 * time.Millisecond)
	is.Equal(listener.Open(), 4) // with the call of Accept
	for range 10 {
		k.CloseIdle(50 * time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(listener.Open(), 2) // the one whose request is not complete, and the call of Accept
	for _, c := range []net.Conn{fresh, used} {
		_, err := c.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
	_, err = io.WriteString(partial, "st: a\r\n\r\n")
	is.NoErr(err)
	resp, err = http.ReadResponse(bufio.NewReader(partial), nil)
	is.NoErr(err)
	is.True(resp.Close)
}

// Guards against a request that is canceled as its connection counts as idle, because the server has read it together with
// the one before.
func TestCloseIdleSparesPipelinedRequest(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	var canceled atomic.Bool
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(200 * time.Millisecond)
			canceled.Store(r.Context().Err() != nil)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, strings.Join([]string{"GET /fast HTTP/1.1", "Host: a", "", "GET /slow HTTP/1.1", "Host: a", "", ""}, "\r\n"))
	is.NoErr(err)
	go func() {
		for range 50 {
			k.CloseIdle(10 * time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	reader := bufio.NewReader(c)
	for _, path := range []string{"/fast", "/slow"} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
	is.True(!canceled.Load())
}

// Guards against a response that counts as delivered although its caller lacks a part of it, and against one that counts as
// undelivered because its caller reads slowly or leaves when it has everything.
func TestUndeliveredResponsesAreReported(t *testing.T) {
	const size = 16 << 20 // more than the buffers of both ends hold
	for name, c := range map[string]struct {
		size int
		read func(net.Conn)
		want bool
	}{
		"whole":              {10, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, false},
		"large":              {size, func(c net.Conn) { time.Sleep(200 * time.Millisecond); _, _ = io.Copy(io.Discard, c) }, false},
		"caller leaves":      {size, func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, 1000) }, true},
		"caller resets":      {size, func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }, true},
		"leaves at the end":  {10, func(c net.Conn) { _, _ = io.ReadAtLeast(c, make([]byte, 1000), 11) }, false},
		"stops its own side": {10, func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); _, _ = io.Copy(io.Discard, c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reported := make(chan UndeliveredResponse, 2)
			k := KeptConns{OnUndelivered: func(u UndeliveredResponse) { reported <- u }}
			listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", c.size))
				noteWritten(r.Context(), "r1")
			})
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			c.read(conn)
			_ = conn.Close()
			select {
			case u := <-reported:
				is.Equal(u.RequestID, "r1")
				is.True(c.want)
			case <-time.After(time.Second):
				is.True(!c.want)
			}
		})
	}
}

// Guards against closing connections that callers have used last, or more of them than are needed.
func TestCloseLongestIdle(t *testing.T) {
	is := is.New(t)
	var k KeptConns
	listener := startKept(t, &k, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	const conns = 6
	var callers []net.Conn
	var readers []*bufio.Reader
	for range conns {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		callers, readers = append(callers, c), append(readers, bufio.NewReader(c))
	}
	for i := range conns {
		_, err := exchangeOne(callers[i], readers[i])
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	closed, _ := k.MakeRoom(conns)
	is.Equal(closed, 0) // they have not waited for long enough
	time.Sleep(2 * minIdleToClose)
	closed, _ = k.MakeRoom(2)
	is.Equal(closed, 2)
	time.Sleep(50 * time.Millisecond)
	for i := range conns {
		_, err := exchangeOne(callers[i], readers[i])
		is.Equal(err != nil, i < 2)
	}
}
