package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// serveNoConnections listens with a full queue, so that connection attempts hang.
func serveNoConnections(t *testing.T) (address string) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	is.NoErr(err)
	for range 8 {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	return l.Addr().String()
}

// lateContext is a context at the moment in which its deadline has passed and Err does not say so yet.
type lateContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against requests that ran out of time, or whose callers left, as evidence that an address cannot be reached.
func TestOnConnectReportsOnlyWholeAttempts(t *testing.T) {
	is := is.New(t)
	address := serveNoConnections(t)
	p := newPool(t)
	var failures []error
	p.OnConnect = func(got Target, _ time.Time, err error) {
		is.Equal(got, Target{Address: address, Service: "s"})
		failures = append(failures, err)
	}
	target := Target{Address: address, Service: "s"}
	canceled, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	is.True(p.Connect(canceled, target) != nil)
	is.True(p.Connect(lateContext{t.Context(), time.Now().Add(100 * time.Millisecond)}, target) != nil)
	is.Equal(len(failures), 0)
	is.True(p.Connect(t.Context(), target) != nil)
	is.Equal(len(failures), 1)
	is.True(!errors.Is(failures[0], syscall.ECONNREFUSED))
}

// Guards against connections that died with a path and are used again once it is back.
func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{}, 4)
	address, _ := startServer(t, func(c net.Conn, request string) {
		accepted <- struct{}{}
		_, _ = c.Write([]byte(responseTo(requestIDOf(request), "ok")))
	})
	p := newPool(t)
	_, err := send(p, address, "r0")
	is.NoErr(err)
	<-accepted
	p.CloseIdle([]string{"127.0.0.1:1", address})
	is.Equal(len(p.idle), 0)
	is.Equal(len(p.openConns), 0)
}
