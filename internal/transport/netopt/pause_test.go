package netopt

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	// smallReceiveBuffer is a receive buffer, in bytes, that a large transfer fills at once.
	smallReceiveBuffer = 8 << 10
	// largeTransfer exceeds what the send buffer of a connection holds, in bytes.
	largeTransfer = 24 << 20
	// longPause is longer than any timeout for unacknowledged data on a connection to an upstream.
	longPause = 4 * time.Second
)

// setSmallReceiveBuffer is a Control function of net.Dialer and net.ListenConfig. The size takes effect only if it is set
// before the connection is open.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.CombineErrors(err, optErr)
}

// acceptedPair returns a connection that a listener of this package has accepted, and its other end, which has a small
// receive buffer.
func acceptedPair(t *testing.T) (accepted, peer net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	d := net.Dialer{Control: setSmallReceiveBuffer}
	peer, err = d.DialContext(context.Background(), "tcp4", l.Addr().String())
	is.NoErr(err)
	accepted, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = peer.Close(); _ = accepted.Close() })
	return accepted, peer
}

// dialedPair returns a connection that Dial has opened, and its other end, which has a small receive buffer.
func dialedPair(t *testing.T) (dialed, peer net.Conn) {
	t.Helper()
	is := is.New(t)
	config := net.ListenConfig{Control: setSmallReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialed, err = Dial(context.Background(), l.Addr().String())
	is.NoErr(err)
	peer, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = peer.Close(); _ = dialed.Close() })
	return dialed, peer
}

// transferWithPause writes size bytes to a peer that reads a little, pauses, and reads the rest. It returns the number of
// bytes that arrived.
func transferWithPause(w, peer net.Conn, size int, pause time.Duration) (arrived int64, writeErr, readErr error) {
	written := make(chan error, 1)
	go func() {
		_, err := w.Write(bytes.Repeat([]byte("x"), size))
		written <- errors.CombineErrors(err, w.Close())
	}()
	n, readErr := io.ReadFull(peer, make([]byte, smallReceiveBuffer/2))
	arrived = int64(n)
	if readErr == nil {
		time.Sleep(pause)
		var rest int64
		rest, readErr = io.Copy(io.Discard, peer)
		arrived += rest
	}
	return arrived, <-written, readErr
}

// Guards against a caller that does not read for seconds while its window is full, and whose connection ends although it
// acknowledges every probe, so that it loses a response that was ready.
func TestCallerThatPausesGetsWholeResponse(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1 << 20, 4 << 20, largeTransfer} {
		accepted, peer := acceptedPair(t)
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			arrived, writeErr, readErr := transferWithPause(accepted, peer, size, longPause)
			if writeErr != nil || readErr != nil || arrived != int64(size) {
				t.Errorf("%d of %d bytes arrived, write error %v, read error %v", arrived, size, writeErr, readErr)
			}
		})
	}
}

// Guards against an upstream that stands still for a second or two with a full window, as a sound one may, and to which a
// large request body is not sent to its end.
func TestUpstreamThatPausesGetsWholeRequest(t *testing.T) {
	t.Parallel()
	dialed, peer := dialedPair(t)
	arrived, writeErr, readErr := transferWithPause(dialed, peer, largeTransfer, 1800*time.Millisecond)
	is := is.New(t)
	is.NoErr(writeErr)
	is.NoErr(readErr)
	is.Equal(arrived, int64(largeTransfer))
}

// partition makes the host of a connection drop every packet that arrives for it, without a reset.
func partition(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	dropAll := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var optErr error
	is.NoErr(raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	}))
	is.NoErr(optErr)
}

// heal undoes partition.
func heal(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var optErr error
	is.NoErr(raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) }))
	is.NoErr(optErr)
}

// Guards against a caller whose host or link stands still for seconds, and whose connection ends in that time: while a
// response is in flight, or while the caller waits for one.
func TestCallerThatIsUnreachableForSecondsGetsResponse(t *testing.T) {
	t.Parallel()
	const response = "response"
	for name, sendAfter := range map[string]time.Duration{"in flight": 0, "sent later": longPause} {
		accepted, peer := acceptedPair(t)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			partition(t, peer)
			time.Sleep(sendAfter)
			_, err := accepted.Write([]byte(response))
			is.NoErr(err)
			time.Sleep(longPause - sendAfter)
			heal(t, peer)
			// The kernel may wait for as long again until it retransmits.
			is.NoErr(peer.SetReadDeadline(time.Now().Add(3 * longPause)))
			got := make([]byte, len(response))
			_, err = io.ReadFull(peer, got)
			is.NoErr(err)
			is.Equal(string(got), response)
		})
	}
}

// timeToFail returns how long a read of a connection takes to fail, and its error.
func timeToFail(c net.Conn, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(limit))
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

// partitionBound is the time within which a connection to an upstream has to fail after a silent partition. Timers of the
// kernel and of a busy machine add to the timeouts.
const partitionBound = 4 * time.Second

// Guards against a connection to a partitioned upstream that a request waits on until its deadline, with sent data that is
// not acknowledged, and without any.
func TestPartitionedUpstreamIsDetected(t *testing.T) {
	t.Parallel()
	for name, sendAfter := range map[string]bool{"waiting for a response": false, "unacknowledged request": true} {
		dialed, peer := dialedPair(t)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := dialed.Write([]byte("a"))
			is.NoErr(err)
			_, err = peer.Read(make([]byte, 1))
			is.NoErr(err)
			partition(t, peer)
			if sendAfter {
				_, err = dialed.Write([]byte("b"))
				is.NoErr(err)
			}
			took, err := timeToFail(dialed, 2*partitionBound)
			t.Logf("%v after %s", err, took)
			is.True(errors.Is(err, unix.ETIMEDOUT))
			is.True(took < partitionBound)
		})
	}
}

// vanishedCallerBound is the time within which the connection of a vanished caller has to fail while nothing is sent on it.
const vanishedCallerBound = 20 * time.Second

// Guards against the connection of a caller that has vanished while its request runs, and that is never noticed.
func TestVanishedCallerIsDetected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	accepted, peer := acceptedPair(t)
	partition(t, peer)
	took, err := timeToFail(accepted, 2*vanishedCallerBound)
	t.Logf("%v after %s", err, took)
	is.True(errors.Is(err, unix.ETIMEDOUT))
	is.True(took < vanishedCallerBound)
}
