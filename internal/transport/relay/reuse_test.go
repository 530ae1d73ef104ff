package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// startCopyingServer refuses the first request with each ID and serves all others. Where the next answer on a connection is
// due, it writes the last refusal there once more.
func startCopyingServer(t *testing.T) (address string, connections func() int64) {
	var mu sync.Mutex
	seen, copies := make(map[string]bool), make(map[net.Conn]string)
	address, opened := startServer(t, func(c net.Conn, request string) {
		mu.Lock()
		defer mu.Unlock()
		id, earlier := requestIDOf(request), copies[c]
		delete(copies, c)
		if !seen[id] {
			seen[id] = true
			copies[c] = refusalOf(id, true)
			_, _ = io.WriteString(c, earlier+copies[c])
			return
		}
		_, _ = io.WriteString(c, earlier+responseTo(id, "for "+id))
	})
	return address, opened.Load
}

// Guards against the copy of a refusal that is taken for the refusal of the same request as it is sent once more: the
// connection on which the copy is due must not carry the ID again.
func TestSameIDUsesAnotherConnection(t *testing.T) {
	is := is.New(t)
	address, connections := startCopyingServer(t)
	p := newPool(t)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		got, err := send(p, address, id)
		is.NoErr(err)
		is.Equal(got, "full")
		for range 2 {
			got, err = send(p, address, id)
			is.NoErr(err)
			is.Equal(got, "for "+id)
		}
	}
	is.Equal(connections(), int64(3)) // they are used again for other IDs
}

// Guards against a request that is refused for want of a connection, because all that may be opened are idle and have carried
// its ID.
func TestSameIDAtTheConnectionLimit(t *testing.T) {
	is := is.New(t)
	address, connections := startCopyingServer(t)
	p := newPool(t)
	for n := range int64(6) {
		_, err := send(p, address, "r") // the limit is 4
		is.NoErr(err)
		is.Equal(connections(), n+1)
		p.mu.Lock()
		open := p.openConns[address]
		p.mu.Unlock()
		is.Equal(open, int(min(n+1, 4)))
	}
	// The connections in use are not closed for others.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	target := Target{Address: address, MaxConnections: 4}
	for range 4 {
		c, err := p.acquire(ctx, target, "other")
		is.NoErr(err)
		defer p.discard(c)
	}
	_, err := send(p, address, "r")
	is.True(errors.Is(err, ErrConnectionLimit))
}

// Guards against a memory of IDs that grows without bound, and against a connection that forgets some of them: it is closed
// instead.
func TestConnectionIsRetiredWhenItsMemoryIsFull(t *testing.T) {
	is := is.New(t)
	address, connections := startServer(t, func(c net.Conn, request string) {
		_, _ = io.WriteString(c, responseTo(requestIDOf(request), "ok"))
	})
	p := newPool(t)
	for i := range 2*maxRequestsPerConn + 1 {
		_, err := send(p, address, fmt.Sprint("r", i))
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(3))
}

// Guards against idle connections that are all kept in use, so that none expires: the one used last is taken first, also if
// one that has carried the ID lies between.
func TestTakesTheConnectionUsedLast(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(net.Conn, string) {})
	p := newPool(t)
	ctx, target := context.Background(), Target{Address: address}
	var conns []*conn
	for _, id := range []string{"a", "b", "c"} {
		c, err := p.acquire(ctx, target, id)
		is.NoErr(err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.release(c, maxIdleTime)
	}
	take := func(id string) *conn {
		c, err := p.acquire(ctx, target, id)
		is.NoErr(err)
		return c
	}
	is.Equal(take("c"), conns[1])
	is.Equal(take("d"), conns[2])
	is.Equal(take("d"), conns[0])
}

// Guards against a probe of the upstream's port whose connection is not used, or counts as one that has carried a request.
func TestProbeConnectionCarriesARequest(t *testing.T) {
	is := is.New(t)
	address, connections := startCopyingServer(t)
	p := newPool(t)
	_, err := send(p, address, "r")
	is.NoErr(err)
	is.True(!p.RefusesConnections(context.Background(), Target{Address: address}))
	got, err := send(p, address, "r")
	is.NoErr(err)
	is.Equal(got, "for r")
	is.Equal(connections(), int64(2))
}

// Guards against a new connection for each check whether an upstream lives, and against a process that has ended and counts as
// one that lives because connections to it are idle.
func TestLivesAsksIdleConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	p, ctx, target := newPool(t), context.Background(), Target{Address: l.Addr().String()}
	is.True(p.Lives(ctx, target)) // opens a connection
	first := <-accepted
	is.True(p.Lives(ctx, target))
	select {
	case <-accepted:
		t.Error("a second connection was opened")
	case <-time.After(50 * time.Millisecond):
	}
	_ = first.Close()
	is.True(eventually(func() bool { return !netopt.IsReusable(p.idle[target.Address][0].Conn) }))
	is.True(p.Lives(ctx, target)) // accepts a new one
	_ = l.Close()
	_ = (<-accepted).Close()
	is.True(eventually(func() bool { return !p.Lives(ctx, target) }))
}

// eventually reports whether the condition holds within a second.
func eventually(holds func() bool) bool {
	for range 100 {
		if holds() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// BenchmarkAcquire takes and returns a connection that has carried half of the IDs that it may carry.
func BenchmarkAcquire(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	p := NewPool(nil, nil)
	defer p.Close()
	target := Target{Address: l.Addr().String()}
	ids := make([]string, maxRequestsPerConn/2)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	for i := 0; b.Loop(); i++ {
		c, err := p.acquire(context.Background(), target, ids[i%len(ids)])
		if err != nil {
			b.Fatal(err)
		}
		if len(c.sent) == len(ids) {
			b.StopTimer()
			clear(c.sent)
			b.StartTimer()
		}
		p.release(c, maxIdleTime)
	}
}
