// Package netopt opens TCP connections and listeners with socket options that detect an unreachable peer, and
// counts their traffic. The listeners of daemon.Gateway, package relay and the store client in package platform
// use it.
package netopt

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Options of connections that Dial opens. A connection that is idle or waits for a response fails about three seconds
// after its peer has become unreachable: as userTimeout is set, it is the first unanswered probe at least that long after
// the last received packet that ends the connection, whatever the number of probes.
const (
	dialProbeIdle     = time.Second
	dialProbeInterval = time.Second
	// userTimeout is how long sent data may stay unacknowledged. It leaves time for a packet that is lost twice to be
	// retransmitted. It is also how long the peer may have no room in its window while data waits to be sent, although it
	// acknowledges each probe, so a peer that stands still for a second or two keeps its connection.
	userTimeout = 2500 * time.Millisecond
)

// Options of connections that a listener of Listen accepts. They have no user timeout: it would end the connection of a
// caller that reads slowly or pauses, and the response with it. Probes are not sent while data is unacknowledged, so a
// server must bound its writes and the idle time of its connections. A caller that waits for a response fails 15 seconds
// after it has become unreachable: one whose host or link stands still for some seconds has no other way to its response.
const (
	acceptProbeIdle     = 5 * time.Second
	acceptProbeInterval = 5 * time.Second
	// acceptProbeCount is the number of unanswered probes, an interval apart, after which the connection fails.
	acceptProbeCount = 2
)

var dialer = net.Dialer{
	// A negative count leaves the kernel's, which has no effect.
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: dialProbeIdle, Interval: dialProbeInterval, Count: -1},
	Control:         setUserTimeout,
}

var listenConfig = net.ListenConfig{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: acceptProbeIdle, Interval: acceptProbeInterval, Count: acceptProbeCount},
}

// setUserTimeout sets the socket option for which package net has no field.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Traffic counts the bytes received and sent on all connections of this package, except the bytes that
// io.Copy moves through a connection's ReadFrom and WriteTo.
var Traffic struct{ In, Out atomic.Int64 }

// countingConn adds the bytes of a connection to Traffic. ReadFrom and WriteTo of the embedded connection,
// which io.Copy uses, are not counted.
type countingConn struct{ *net.TCPConn }

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	Traffic.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	Traffic.Out.Add(int64(n))
	return n, err
}

func withByteCount(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return countingConn{tcp}
	}
	return c
}

// countingListener wraps accepted connections in acceptedConn.
type countingListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{countingConn: countingConn{c}}, nil
}

// Listen listens on an IPv4 address and port. The receive buffers of its connections are limited as by LimitReceiveBuffer.
func Listen(address string) (net.Listener, error) {
	l, err := listenConfig.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := LimitReceiveBuffer(l); err != nil {
		return nil, errors.CombineErrors(err, l.Close())
	}
	return countingListener{l.(*net.TCPListener)}, nil
}

// LimitConnections returns a listener that has at most limit connections open. Unlike netutil.LimitListener, its
// connections implement syscall.Conn if those of the given listener do.
func LimitConnections(l net.Listener, limit int) *LimitedListener {
	return &LimitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// LimitedListener is the listener that LimitConnections returns.
type LimitedListener struct {
	net.Listener
	// Hold pauses Accept while it returns true. It may be nil, and is set before the first call of Accept.
	Hold      func() bool
	slots     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// holdPollInterval is the time between two calls of LimitedListener.Hold.
const holdPollInterval = 10 * time.Millisecond

// Accept implements net.Listener. It waits while limit connections are open, or while Hold returns true.
func (l *LimitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	for l.Hold != nil && l.Hold() {
		select {
		case <-time.After(holdPollInterval):
		case <-l.closed:
			<-l.slots
			return nil, net.ErrClosed
		}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	release := sync.OnceFunc(func() { <-l.slots })
	if tcp, ok := c.(*acceptedConn); ok {
		return limitedTCPConn{tcp, release}, nil
	}
	return limitedConn{c, release}, nil
}

// Close implements net.Listener. It does not close the accepted connections.
func (l *LimitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetAcceptQueue sets the number of connections that the kernel accepts before Accept returns them. It has no effect on a
// listener without a file descriptor.
func (l *LimitedListener) SetAcceptQueue(n int) error {
	sys, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set accept queue")
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) })
	return errors.Wrap(errors.CombineErrors(err, listenErr), "set accept queue")
}

// Limit returns the number of connections that may be open.
func (l *LimitedListener) Limit() int { return cap(l.slots) }

// Open returns the number of open connections. A call of Accept in progress counts as one.
func (l *LimitedListener) Open() int { return len(l.slots) }

// Queued returns the number of connections that the kernel has accepted and Accept has not returned. The kernel resets
// them when the listener is closed. Queued returns 0 for a listener without a file descriptor.
func (l *LimitedListener) Queued() int {
	sys, ok := l.Listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { // an error means that the listener is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued = int(info.Unacked) // the length of the accept queue if the socket listens
		}
	})
	return queued
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

type limitedTCPConn struct {
	*acceptedConn
	release func()
}

// Close implements net.Conn.
func (c limitedTCPConn) Close() error {
	defer c.release()
	return c.acceptedConn.Close()
}

// Dial connects to an IPv4 address and port.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return withByteCount(c), nil
}

// IsReusable reports whether another request may be sent on a connection: the peer has not closed it and no
// data is unread. Data that arrives while no response is outstanding belongs to no request. IsReusable returns
// true for a connection without a file descriptor, which it cannot check.
func IsReusable(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// PeerHasClosed reports whether the peer has closed a connection on which no data is unread. It may be called while
// another goroutine reads from the connection. It returns false for a connection without a file descriptor.
func PeerHasClosed(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR && !errors.Is(err, errNoDescriptor)
}

// HasUnread reports whether data has arrived on a connection that is not read yet. It may be called while another
// goroutine reads from the connection. It returns false for a connection without a file descriptor.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// errNoDescriptor reports a connection without a file descriptor.
var errNoDescriptor = errors.New("the connection has no file descriptor")

// peek returns the length of the unread data of a connection, 1 at most.
func peek(c net.Conn) (n int, err error) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoDescriptor
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, errNoDescriptor
	}
	var buf [1]byte
	// Unlike Read, Control does not wait for the other reader.
	if controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, errNoDescriptor
	}
	return n, err
}

// Unsent returns the number of bytes that are written to a connection and not acknowledged by its peer. It returns 0 for a
// connection without a file descriptor.
func Unsent(c net.Conn) int {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is closed
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}
