package netopt

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// UnreadBytes bounds what an accepted connection has received and the process has not read, unless its receive buffer is
	// enlarged. It counts towards the memory of the VM.
	UnreadBytes = kernelBufferRatio * receiveBuffer
	// EnlargedUnreadBytes is the same for a connection after EnlargeReceiveBuffer.
	EnlargedUnreadBytes = kernelBufferRatio * enlargedReceiveBuffer

	// receiveBuffer is the receive buffer of accepted connections. A request of usual size fits into it. The kernel would
	// otherwise let it grow to megabytes.
	receiveBuffer = 8 << 10
	// enlargedReceiveBuffer is the largest window of a connection whose receive buffer was small when it was opened.
	enlargedReceiveBuffer = 64 << 10
	// kernelBufferRatio is what the kernel reserves in proportion to the size that is set.
	kernelBufferRatio = 2
)

// LimitReceiveBuffer bounds the receive buffer of the connections that a listener accepts from now on to UnreadBytes. It has no
// effect on a listener without a file descriptor.
func LimitReceiveBuffer(l net.Listener) error {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	return errors.Wrap(setReceiveBuffer(sys, receiveBuffer), "limit receive buffer")
}

// EnlargeReceiveBuffer lets a connection receive up to EnlargedUnreadBytes before the process reads them. A large transfer from a
// remote peer takes a round trip for each window. It cannot be reverted: the peer may use the larger window at any later time.
func EnlargeReceiveBuffer(c net.Conn) error {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	return errors.Wrap(setReceiveBuffer(sys, enlargedReceiveBuffer), "enlarge receive buffer")
}

func setReceiveBuffer(sys syscall.Conn, bytes int) error {
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	return errors.CombineErrors(err, optErr)
}
