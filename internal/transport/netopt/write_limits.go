package netopt

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// progressChecks is the number of times that a write looks for progress before it has stalled. Checks are counted, not
// timed, because a process that got no processor for a while must not take that for a stall.
const progressChecks = 10

// WithWriteLimits returns a listener whose connections have the method LimitWrites. It returns the given one unless that
// listens on TCP.
func WithWriteLimits(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return countingListener{tcp}
	}
	return l
}

// acceptedConn is a connection whose writes can be limited by the progress of its peer.
type acceptedConn struct {
	countingConn
	limits atomic.Pointer[writeLimits]
}

type writeLimits struct {
	stall time.Duration
	until time.Time
}

// LimitWrites makes writes fail once the peer has acknowledged nothing for the time stall, and at the time until. Unlike a
// write deadline, it does not end a large write to a slow peer that reads. It applies until a write deadline is set.
func (c *acceptedConn) LimitWrites(stall time.Duration, until time.Time) {
	c.limits.Store(&writeLimits{stall: stall, until: until})
}

// SetWriteDeadline implements net.Conn.
func (c *acceptedConn) SetWriteDeadline(t time.Time) error {
	c.limits.Store(nil)
	return c.countingConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *acceptedConn) SetDeadline(t time.Time) error {
	c.limits.Store(nil)
	return c.countingConn.SetDeadline(t)
}

// Write implements net.Conn.
func (c *acceptedConn) Write(p []byte) (int, error) {
	limits := c.limits.Load()
	if limits == nil {
		return c.countingConn.Write(p)
	}
	written, unacknowledged := 0, -1
	for checks := 0; ; {
		deadline := time.Now().Add(limits.stall / progressChecks)
		if deadline.After(limits.until) {
			deadline = limits.until
		}
		if err := c.countingConn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.countingConn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limits.until) {
			return written, err
		}
		// The kernel accepts more only once a large part of a full buffer is acknowledged.
		left, ok := unacknowledgedBytes(c.TCPConn)
		if checks++; n > 0 || ok && left < unacknowledged {
			checks = 0
		}
		if unacknowledged = left; checks >= progressChecks {
			return written, err
		}
	}
}

// unacknowledgedBytes returns the number of bytes in a connection's send buffer, and false if the platform does not tell.
func unacknowledgedBytes(c syscall.Conn) (int, bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	var n int
	var optErr error
	err = raw.Control(func(fd uintptr) { n, optErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n, err == nil && optErr == nil
}
