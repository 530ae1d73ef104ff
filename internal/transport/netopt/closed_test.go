package netopt

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that has left and is not noticed until its connection is read, against one that is there and
// seems to have left, and against a look at the connection that waits for the goroutine that reads it.
func TestPeerHasClosed(t *testing.T) {
	is := is.New(t)
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	l := LimitConnections(inner, 1)
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	is.True(!PeerHasClosed(c))
	_, err = peer.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	is.True(!PeerHasClosed(c))
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond)
	is.True(!PeerHasClosed(c))
	is.NoErr(peer.Close())
	time.Sleep(10 * time.Millisecond)
	is.True(PeerHasClosed(c))
}

// Guards against more open connections than the limit, and against a closed one that still counts.
func TestLimitConnections(t *testing.T) {
	is := is.New(t)
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	l := LimitConnections(inner, 1)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("second connection accepted")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(first.Close())
	second := <-accepted
	is.NoErr(l.Close())
	_ = second.Close()
	_, open := <-accepted
	is.True(!open)
}

// Guards against connections that a router resets by closing its listener and that its log does not count.
func TestLimitedListenerCountsConnections(t *testing.T) {
	is := is.New(t)
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	l := LimitConnections(inner, 3)
	defer l.Close()
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	is.Equal(l.Queued(), 3)
	is.Equal(l.Open(), 0)
	c, err := l.Accept()
	is.NoErr(err)
	is.Equal(l.Queued(), 2)
	is.Equal(l.Open(), 1)
	is.NoErr(c.Close())
	is.Equal(l.Open(), 0)
	is.NoErr(l.Close())
	is.Equal(l.Queued(), 0)
}

// Guards against connections that are accepted while the router takes no more, and against a listener that cannot be closed
// meanwhile.
func TestLimitedListenerHolds(t *testing.T) {
	is := is.New(t)
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	l := LimitConnections(inner, 10)
	is.NoErr(l.SetAcceptQueue(2))
	var hold atomic.Bool
	hold.Store(true)
	l.Hold = hold.Load
	accepted := make(chan error, 2)
	go func() {
		for range 2 {
			_, err := l.Accept()
			accepted <- err
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	select {
	case <-accepted:
		t.Fatal("connection accepted")
	case <-time.After(50 * time.Millisecond):
	}
	hold.Store(false)
	is.NoErr(<-accepted)
	hold.Store(true)
	is.NoErr(l.Close())
	is.True(<-accepted != nil)
}
