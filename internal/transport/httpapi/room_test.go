package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// Guards against incomplete requests that keep all connections, and against requests that are ended although they run, make
// progress or wait in an idle connection that can be closed instead.
func TestMakeRoomEndsStalledRequests(t *testing.T) {
	is := is.New(t)
	var clock atomic.Int64
	incoming := membuf.NewIncoming(1<<20, func() time.Time { return time.Unix(0, clock.Load()) })
	k := KeptConns{Incoming: incoming}
	listener := startKept(t, &k, readBodies(incoming))
	dial := func(request string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		is.NoErr(c.SetDeadline(time.Now().Add(30 * time.Second)))
		_, err = io.WriteString(c, request)
		is.NoErr(err)
		return c, bufio.NewReader(c)
	}
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	runningConn, running := dial(head + "X-Wait: runs\r\nContent-Length: 1\r\n\r\nx")
	first, err := http.ReadResponse(running, nil)
	is.NoErr(err)
	_, body := dial(head + "Content-Length: 10\r\n\r\nxxx")
	time.Sleep(50 * time.Millisecond)
	clock.Add(1)
	headConn, headReader := dial(head)
	stalled := func() (n int) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for c := range k.conns {
			if _, ok := c.hold.Stalled(); ok {
				n++
			}
		}
		return n
	}
	time.Sleep(50 * time.Millisecond)
	_, ended := k.MakeRoom(10)
	is.Equal(ended, 0) // none has stalled yet
	clock.Add(int64(time.Minute))
	is.Equal(stalled(), 2) // the running request is complete
	progress, progressReader := dial(head + "Content-Length: 3\r\n\r\nxx")
	for stalled() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	_, ended = k.MakeRoom(1)
	is.Equal(ended, 1) // the one without progress for longest
	refused, err := http.ReadResponse(body, nil)
	is.NoErr(err)
	is.Equal(refused.StatusCode, http.StatusRequestTimeout)
	is.True(refused.Close)
	_, ended = k.MakeRoom(10)
	is.Equal(ended, 1)
	_, err = headReader.ReadByte()
	is.Equal(err, io.EOF)
	_ = headConn.Close()
	_, err = io.WriteString(progress, "x")
	is.NoErr(err)
	served, err := http.ReadResponse(progressReader, nil)
	is.NoErr(err)
	is.Equal(served.StatusCode, http.StatusOK)
	_, _ = io.Copy(io.Discard, served.Body)
	content := make([]byte, len("runs"))
	_, err = io.ReadFull(first.Body, content)
	is.NoErr(err)
	is.Equal(string(content), "runs")
	is.True(!netopt.PeerHasClosed(runningConn))
}
