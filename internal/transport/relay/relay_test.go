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

const idHeader = "X-Id"

// startServer calls serve for each request received and counts connections. It assumes that each request
// arrives in one read.
func startServer(t *testing.T, serve func(conn net.Conn, request string)) (address string, connections *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				buffer := make([]byte, 64<<10)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					serve(c, string(buffer[:n]))
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func requestIDOf(request string) string {
	_, rest, _ := strings.Cut(request, idHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func newPool(t *testing.T) *Pool {
	p := NewPool(func(h http.Header) string { return h.Get(idHeader) }, nil)
	t.Cleanup(p.Close)
	return p
}

func send(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, Target{Address: address, MaxConnections: 4}, Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("x"), ID: id,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a duplicate response, delivered immediately or late on a reused connection, that reaches
// another caller.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	late := ""
	address, _ := startServer(t, func(c net.Conn, request string) {
		id := requestIDOf(request)
		_, _ = io.WriteString(c, late+responseTo(id, "for "+id))
		late = responseTo(id, "late "+id)
	})
	p := newPool(t)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		got, err := send(p, address, id)
		is.NoErr(err)
		is.Equal(got, "for "+id)
	}
}

// Guards against opening a connection for each request, and against reuse of a connection that the upstream
// has closed.
func TestReusesConnections(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	address, connections := startServer(t, func(c net.Conn, request string) {
		last := served.Add(1) == 10
		_, _ = io.WriteString(c, responseTo(requestIDOf(request), "ok"))
		if last {
			_ = c.Close()
		}
	})
	p := newPool(t)
	for i := range 20 {
		_, err := send(p, address, fmt.Sprint("r", i))
		is.NoErr(err)
		time.Sleep(2 * time.Millisecond)
	}
	is.Equal(connections.Load(), int64(2))
}

// Guards against a truncated response that looks complete, and against ErrNotSent for a request that was
// sent.
func TestErrorClassification(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(c net.Conn, request string) {
		switch requestIDOf(request) {
		case "cut":
			full := responseTo("cut", "0123456789")
			_, _ = io.WriteString(c, full[:len(full)-4])
		case "garbled":
			_, _ = io.WriteString(c, "\x16\x03 no response\r\n\r\n")
		}
		_ = c.Close()
	})
	p := newPool(t)
	for _, id := range []string{"cut", "garbled", "none"} {
		_, err := send(p, address, id)
		is.True(err != nil)
		is.True(!errors.Is(err, upstream.ErrNotSent))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := l.Addr().String()
	is.NoErr(l.Close())
	_, err = send(p, closed, "r")
	is.True(errors.Is(err, upstream.ErrNotSent))
}

// Guards against more connections to an upstream than this router's limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, connections := startServer(t, func(c net.Conn, request string) {
		<-release
		_, _ = io.WriteString(c, responseTo(requestIDOf(request), "ok"))
	})
	p := newPool(t)
	results := make(chan error, 10)
	for i := range 10 {
		go func() {
			_, err := send(p, address, fmt.Sprint("r", i))
			results <- err
		}()
	}
	refused := 0
	for range 6 {
		if errors.Is(<-results, ErrConnectionLimit) {
			refused++
		}
	}
	is.Equal(refused, 6)
	close(release)
	for range 4 {
		is.NoErr(<-results)
	}
	is.Equal(connections.Load(), int64(4))
}

// Guards against an upstream that continues to work after the caller has canceled.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := startServer(t, func(c net.Conn, request string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+requestIDOf(request)+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Send(ctx, Target{Address: address}, Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, ID: "r"})
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	resp.Close()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("connection still open 1 s after the cancellation")
	}
}
