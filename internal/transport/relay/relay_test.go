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

// server answers each connection by a function and counts connections.
func server(t *testing.T, serve func(conn net.Conn, request string)) (address string, connections *atomic.Int64) {
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

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func idOf(request string) string {
	_, rest, _ := strings.Cut(request, idHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func newPool(t *testing.T) *Pool {
	p := NewPool(func(h http.Header) string { return h.Get(idHeader) })
	t.Cleanup(p.Close)
	return p
}

func send(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Send(ctx, Target{Address: address, MaxConnections: 4}, Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("x"), ID: id,
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// Guards against a second answer, late or at once, that reaches another caller.
func TestAnswersToOtherRequestsAreReadOver(t *testing.T) {
	is := is.New(t)
	late := ""
	address, _ := server(t, func(c net.Conn, request string) {
		id := idOf(request)
		_, _ = io.WriteString(c, late+answerTo(id, "for "+id))
		late = answerTo(id, "late "+id)
	})
	p := newPool(t)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		got, err := send(p, address, id)
		is.NoErr(err)
		is.Equal(got, "for "+id)
	}
}

// Guards against connections that are opened for each request, and against use of
// one that the upstream has closed.
func TestKeepsConnections(t *testing.T) {
	is := is.New(t)
	var answered atomic.Int64
	address, connections := server(t, func(c net.Conn, request string) {
		last := answered.Add(1) == 10
		_, _ = io.WriteString(c, answerTo(idOf(request), "ok"))
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

// Guards against a truncated answer that looks whole, and against an error that
// says that nothing was sent after something was.
func TestErrorsSayWhatIsKnown(t *testing.T) {
	is := is.New(t)
	address, _ := server(t, func(c net.Conn, request string) {
		switch idOf(request) {
		case "cut":
			full := answerTo("cut", "0123456789")
			_, _ = io.WriteString(c, full[:len(full)-4])
		case "garbled":
			_, _ = io.WriteString(c, "\x16\x03 no answer\r\n\r\n")
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

// Guards against more connections to an upstream than this router's part.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, connections := server(t, func(c net.Conn, request string) {
		<-release
		_, _ = io.WriteString(c, answerTo(idOf(request), "ok"))
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

// Guards against an upstream that works on after its caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := server(t, func(c net.Conn, request string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+idOf(request)+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := p.Send(ctx, Target{Address: address}, Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, ID: "r"})
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
	a.Close()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}
