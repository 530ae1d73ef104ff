package httpapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// KeptConns are the connections of an http.Server. It closes those that wait for a request, for which net/http has no
// safe way: SetKeepAlivesEnabled and Shutdown also close a connection whose next request has arrived, or has been read,
// until its head is parsed. Its zero value is ready to use.
type KeptConns struct {
	// OnUndelivered is called when a connection ends and its last response, of which the handler has written everything, has
	// not reached the caller. It may be nil, and is set before the first use.
	OnUndelivered func(UndeliveredResponse)

	// Incoming limits the memory of the requests. It may be nil, and is set before the first use.
	Incoming *membuf.Incoming

	// MaxLargeWindows is the number of connections whose receive buffers may be enlarged for large bodies. It is set before the
	// first use.
	MaxLargeWindows int64
	largeWindows    atomic.Int64

	closing atomic.Bool

	mu    sync.Mutex
	conns map[*keptConn]struct{}
}

// UndeliveredResponse is a response that was written and has not reached its caller.
type UndeliveredResponse struct {
	RequestID string
	// Unacknowledged is the number of bytes that the caller's host had not acknowledged, and Err the error of the last write.
	Unacknowledged int
	Err            error
}

// noteWritten records that the handler has written all of its response.
func noteWritten(ctx context.Context, requestID string) {
	if c, ok := ctx.Value(keptConnKey{}).(*keptConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.written = requestID
	}
}

// keptConnKey is the key of a keptConn in the context of its requests.
type keptConnKey struct{}

// Attach sets the handler and the hooks of a server that accepts its connections from a Listener of k. The server's own
// handler and ConnContext are called by them.
func (k *KeptConns) Attach(s *http.Server) {
	handler, connContext := s.Handler, s.ConnContext
	s.ConnState = setIdle
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, keptConnKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A request that the server has read together with the one before does not pass through keptConn.Read.
		c, ok := r.Context().Value(keptConnKey{}).(*keptConn)
		if ok {
			c.setBusy()
			_ = c.hold.Complete() // the head; the error of a request that was ended comes from the read of its body
		}
		if k.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
		if ok && r.ContentLength != 0 {
			c.limitDiscard(w.Header().Get("Connection") != "close")
		}
	})
}

// discardTimeout limits the time in which the server discards what a handler has not read of a body. The server has no limit of
// its own, and sends the response afterwards.
const discardTimeout = 5 * time.Second

// limitDiscard lets what the server discards of a body count as an incomplete request until the connection is idle. It does not
// extend the time of a connection that is not kept.
func (c *keptConn) limitDiscard(kept bool) {
	if kept {
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
	}
	c.hold.Begin()
}

// AnnounceClose makes the responses to requests that are handled from now on the last ones of their connections.
func (k *KeptConns) AnnounceClose() { k.closing.Store(true) }

// Listener returns a listener whose connections belong to k.
func (k *KeptConns) Listener(l net.Listener) net.Listener { return keptListener{l, k} }

type keptListener struct {
	net.Listener
	conns *KeptConns
}

// Accept implements net.Listener.
func (l keptListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &keptConn{Conn: inner, conns: l.conns, idle: true, idleSince: time.Now()}
	c.hold = l.conns.Incoming.NewHold(func() { _ = inner.SetReadDeadline(time.Unix(1, 0)) })
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.conns == nil {
		l.conns.conns = make(map[*keptConn]struct{})
	}
	l.conns.conns[c] = struct{}{}
	return c, nil
}

// setIdle is the ConnState of the server.
func setIdle(c net.Conn, state http.ConnState) {
	if kept, ok := c.(*keptConn); ok && state == http.StateIdle {
		kept.mu.Lock()
		defer kept.mu.Unlock()
		kept.responded, kept.idleSince, kept.handled = true, time.Now(), false
		kept.releaseHead()
	}
}

// CloseIdle lets the server close the connections that have waited for a request for the given time. A connection whose
// request arrives first continues. It does not reach a connection that the server has just begun to wait for, so it is
// called repeatedly.
func (k *KeptConns) CloseIdle(after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.endIfIdle(after)
	}
}

// minIdleToClose is how long a connection must have waited for a request before MakeRoom closes it. Callers that send
// their next request at once keep theirs.
const minIdleToClose = 100 * time.Millisecond

// MakeRoom closes n connections: those that have waited for a request for longest and, if these are too few, those whose requests
// are incomplete and have made no progress for longest. It returns their numbers. Those that are being closed already count
// towards n.
func (k *KeptConns) MakeRoom(n int) (idle, stalled int) {
	idle, left := k.closeLongestIdle(n)
	return idle, k.closeStalled(left)
}

// waitingConn is a connection on which nothing has arrived since a time.
type waitingConn struct {
	conn  *keptConn
	since time.Time
}

// longestWaiting returns up to n connections, the one that has waited for longest first.
func longestWaiting(conns []waitingConn, n int) []waitingConn {
	slices.SortFunc(conns, func(a, b waitingConn) int { return a.since.Compare(b.since) })
	return conns[:max(0, min(n, len(conns)))]
}

// closeLongestIdle is CloseIdle for up to n connections. left is the number that it lacks.
func (k *KeptConns) closeLongestIdle(n int) (closed, left int) {
	var idle []waitingConn
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.mu.Lock()
		switch {
		case c.ending:
			n--
		case c.idle:
			idle = append(idle, waitingConn{c, c.idleSince})
		}
		c.mu.Unlock()
	}
	for _, c := range longestWaiting(idle, n) {
		if c.conn.endIfIdle(minIdleToClose) {
			closed++
		}
	}
	return closed, max(0, n-closed)
}

// closeStalled ends up to n requests, whose callers get a refusal if their heads have arrived.
func (k *KeptConns) closeStalled(n int) (ended int) {
	var stalled []waitingConn
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if c.hold.Ended() {
			n--
		} else if since, ok := c.hold.Stalled(); ok {
			stalled = append(stalled, waitingConn{c, since})
		}
	}
	for _, c := range longestWaiting(stalled, n) {
		if c.conn.hold.EndStalled() {
			ended++
		}
	}
	return ended
}

// CloseIncomplete lets the server close the connections on which the head of a request has been incomplete for the given time.
func (k *KeptConns) CloseIncomplete(after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.endIfIncomplete(after)
	}
}

// keptConn is a connection of KeptConns.
type keptConn struct {
	net.Conn
	conns *KeptConns

	mu sync.Mutex
	// responded is true from the end of a response until data arrives or the next request is handled.
	responded bool
	// idle is true while the server waits for the first data of a request. idleSince is the time of the last response.
	idle      bool
	idleSince time.Time
	// handled is true while a request is handled. incompleteSince is when the first data of one that is not handled yet came.
	handled         bool
	incompleteSince time.Time
	// ending is true if the read deadline has been moved, so that the server stops waiting for a request.
	ending bool
	// hold is the memory of the request in progress, and head its part of the head.
	hold *membuf.Hold
	head headReader
	// reset is true if a close shall drop what is not sent, and closed once Close has been called.
	reset, closed bool
	// largeWindow is true if the receive buffer has been enlarged.
	largeWindow bool
	// written is the ID of the request whose response was written last, and writeErr the error of the last write.
	written  string
	writeErr error
}

// Write implements net.Conn.
func (c *keptConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeErr = err
	}
	return n, err
}

// reportUndelivered reports the last response if a part of it has not reached the caller.
func (c *keptConn) reportUndelivered(unacknowledged int) {
	c.mu.Lock()
	u := UndeliveredResponse{RequestID: c.written, Unacknowledged: unacknowledged, Err: c.writeErr}
	c.written = ""
	c.mu.Unlock()
	if report := c.conns.OnUndelivered; report != nil && u.RequestID != "" && (u.Unacknowledged > 0 || u.Err != nil) {
		report(u)
	}
}

// endIfIdle only moves the read deadline: the goroutine that reads the connection decides whether it ends. It reports whether
// it has moved the deadline.
func (c *keptConn) endIfIdle(after time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && time.Since(c.idleSince) >= after {
		c.endUnlessUnread()
		return c.ending
	}
	return false
}

func (c *keptConn) endIfIncomplete(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.incompleteSince.IsZero() && time.Since(c.incompleteSince) >= after {
		c.endUnlessUnread()
	}
}

// endUnlessUnread is called with the lock held.
func (c *keptConn) endUnlessUnread() {
	if !netopt.HasUnread(c.Conn) {
		c.ending = true
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

func (c *keptConn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.responded, c.handled, c.incompleteSince = false, false, true, time.Time{}
	c.written = ""
}

// beginRead notes that the server waits for a request. A request that it has read together with the one before needs no read;
// while that is handled, the server reads a single byte to notice that the caller leaves.
func (c *keptConn) beginRead(length int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.idle || c.responded && length > 1
}

// Read implements net.Conn.
func (c *keptConn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	for {
		n, err := c.Conn.Read(p)
		if !c.continues(n, err) {
			if growErr := c.hold.Grow(c.countHead(n)); growErr != nil {
				obs.RequestsOverMemoryTotal.Add(1)
				return 0, growErr
			}
			return n, err
		}
	}
}

// countHead returns the bytes that count for the next n bytes, if they belong to the head of a request.
func (c *keptConn) countHead(n int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n <= 0 || c.handled || c.hold == nil {
		return 0
	}
	c.hold.Begin()
	c.hold.Progress(n)
	return c.head.next(n)
}

// releaseHead ends the count of a request. It is called with the lock held.
func (c *keptConn) releaseHead() {
	_ = c.hold.Complete() // the connection of a request that was ended is closed
	c.hold.Release(c.head.counted)
	c.head = headReader{}
}

// continues takes the result of a read, and reports whether the connection must be read again because data has arrived
// since CloseIdle moved the deadline.
func (c *keptConn) continues(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.idle, c.responded = false, false
		if !c.handled && c.incompleteSince.IsZero() {
			c.incompleteSince = time.Now()
		}
	}
	expired := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if !c.ending || n == 0 && !expired || expired && !netopt.HasUnread(c.Conn) {
		return false
	}
	c.ending, c.idle, c.responded = false, false, false
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed, which the next read reports
	return expired
}

const (
	// lingerTimeout limits the time for which a closed connection remains for a response that its caller reads slowly.
	lingerTimeout = 5 * time.Second
	// lingerPollInterval is the time between two checks whether the response is sent.
	lingerPollInterval = 20 * time.Millisecond
)

// Close implements net.Conn. The kernel resets a connection that is closed with unread data, or that receives data
// afterwards, and drops what it has not sent. So a connection with such data only ends its write side, and is closed once
// the caller has received everything.
func (c *keptConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.conns, c)
	c.conns.mu.Unlock()
	unsent := netopt.Unsent(c.Conn)
	c.mu.Lock()
	c.releaseHead()
	lingers := !c.closed && !c.reset && unsent > 0
	c.closed = true
	c.mu.Unlock()
	if !lingers || c.CloseWrite() != nil {
		c.reportUndelivered(unsent)
		return c.closeNow()
	}
	go c.linger()
	return nil
}

func (c *keptConn) closeNow() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.largeWindow {
		c.largeWindow = false
		c.conns.largeWindows.Add(-1)
	}
	return err
}

// enlargeWindow lets a caller far away send a large body with fewer round trips, if few enough connections have that already.
// They keep it until they are closed, since their callers may use it for any later request.
func (c *keptConn) enlargeWindow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.largeWindow {
		return
	}
	// Without a larger buffer the body only arrives more slowly.
	if c.conns.largeWindows.Add(1) > c.conns.MaxLargeWindows || netopt.EnlargeReceiveBuffer(c.Conn) != nil {
		c.conns.largeWindows.Add(-1)
		return
	}
	c.largeWindow = true
}

// linger discards what the caller sends until the response is sent, and closes the connection.
func (c *keptConn) linger() {
	defer func() { _ = c.closeNow() }()
	defer func() { c.reportUndelivered(netopt.Unsent(c.Conn)) }()
	for end := time.Now().Add(lingerTimeout); netopt.Unsent(c.Conn) > 0 && time.Now().Before(end); {
		if c.SetReadDeadline(time.Now().Add(lingerPollInterval)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, onlyReader{c.Conn}); !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(lingerPollInterval) // the caller has ended its side, and may still read
		}
	}
}

// onlyReader hides the other methods of a connection from io.Copy.
type onlyReader struct{ io.Reader }

// CloseWrite closes the write side. The server calls it before it closes a connection with unread data.
func (c *keptConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// LimitWrites bounds the writes by the progress of the caller, as connections of package netopt do. On others it bounds the
// next writes as a whole.
func (c *keptConn) LimitWrites(stall time.Duration, until time.Time) {
	if conn, ok := c.Conn.(writeLimiter); ok {
		conn.LimitWrites(stall, until)
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(stall)) // fails only if the connection is closed
}

// SetLinger sets how a close treats data that is not sent yet, as net.TCPConn does.
func (c *keptConn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.reset = seconds == 0
	c.mu.Unlock()
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *keptConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.New("the connection has no file descriptor")
}
