// Package netopt sets up TCP connections so that a peer that has gone silent is
// noticed within seconds.
package netopt

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle and keepAliveInterval let an idle or waiting connection fail
	// about three seconds after its peer has gone.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent data may stay without an acknowledgement. A
	// packet that is lost twice still arrives within it.
	userTimeout = 2500 * time.Millisecond
)

// KeepAlive is the keep-alive configuration of all connections.
var KeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}

// Control sets the options that have no field in the net package. It fits
// net.Dialer and net.ListenConfig.
func Control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

var dialer = net.Dialer{KeepAliveConfig: KeepAlive, Control: Control}

// Traffic counts the bytes of the process's connections.
var Traffic struct{ In, Out atomic.Int64 }

// conn counts its bytes.
type conn struct{ *net.TCPConn }

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	Traffic.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	Traffic.Out.Add(int64(n))
	return n, err
}

func counted(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return conn{tcp}
	}
	return c
}

// listener counts the bytes of the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted(c), nil
}

// Listen opens a listener on an address of an IP number and a port.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive, Control: Control}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// Dial opens a connection to an address of an IP number and a port.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return counted(c), nil
}

// Quiet reports whether an idle connection is open and has nothing to read. Data
// that comes while no answer is due, and the end of the connection, make it
// useless for another request.
func Quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
