package netopt

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	testWriteStall = 400 * time.Millisecond
	// testWriteEnd is far behind testWriteStall.
	testWriteEnd = 6 * time.Second
)

// limitWrites limits the writes of a connection that was accepted through LimitConnections or not.
func limitWrites(c net.Conn, stall, end time.Duration) {
	c.(interface {
		LimitWrites(time.Duration, time.Time)
	}).LimitWrites(stall, time.Now().Add(end))
}

// Guards against writes to a peer that reads nothing and that never end, whether the peer has vanished or stands still.
func TestLimitedWriteToStalledPeerFails(t *testing.T) {
	t.Parallel()
	for name, vanishes := range map[string]bool{"stands still": false, "vanished": true} {
		accepted, peer := acceptedPair(t)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			if vanishes {
				partition(t, peer)
			}
			start := time.Now()
			var err error
			for err == nil {
				limitWrites(accepted, testWriteStall, testWriteEnd)
				_, err = accepted.Write(bytes.Repeat([]byte("x"), 60<<10))
			}
			t.Logf("%v after %s", err, time.Since(start))
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			is.True(time.Since(start) < 3*testWriteStall)
		})
	}
}

// Guards against a write that ends although the peer reads, slowly and all the time, and against one that never ends because
// it does.
func TestLimitedWriteToSlowPeer(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]time.Duration{"in time": 10 * testWriteEnd, "too late": 4 * testWriteStall} {
		accepted, peer := acceptedPair(t)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const size = 3 << 20
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						_, _ = io.CopyN(io.Discard, peer, 4<<10)
					}
				}
			}()
			limitWrites(accepted, testWriteStall, end)
			start := time.Now()
			n, err := accepted.Write(bytes.Repeat([]byte("x"), 2*size))
			t.Logf("%d bytes, %v after %s", n, err, time.Since(start))
			if end > testWriteEnd {
				is.NoErr(err)
				is.True(time.Since(start) > testWriteStall)
			} else {
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
			}
		})
	}
}

// Guards against limits that outlast the response for which they were set: a write long after it would fail at once.
func TestWriteDeadlineEndsLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	accepted, _ := acceptedPair(t)
	limitWrites(accepted, testWriteStall, time.Millisecond)
	time.Sleep(10 * time.Millisecond)
	_, err := accepted.Write([]byte("x"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(accepted.SetWriteDeadline(time.Time{}))
	_, err = accepted.Write([]byte("x"))
	is.NoErr(err)
}
