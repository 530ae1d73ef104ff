package netopt

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// UnreadBytes bounds what an accepted connection has received and the process has not read. It counts towards the memory of
	// the VM.
	UnreadBytes = kernelBufferRatio * receiveBuffer

	// receiveBuffer is the receive buffer of accepted connections. A request of usual size fits into it. The kernel would
	// otherwise let it grow to megabytes.
	receiveBuffer = 8 << 10
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

func setReceiveBuffer(sys syscall.Conn, bytes int) error {
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	return errors.CombineErrors(err, optErr)
}
