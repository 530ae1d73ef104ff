package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// failingConn fails its n-th write.
type failingConn struct {
	net.Conn
	writes, failing int
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == c.failing {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

func (c *failingConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a request that counts as not sent although its head was written before a large body, and against one that counts
// as sent although nothing was.
func TestNotSentMeansThatNothingWasWritten(t *testing.T) {
	for _, size := range []int{0, maxJoinedBody, maxJoinedBody + 1, 4 << 20} {
		for failing := 1; failing <= 2; failing++ {
			is := is.New(t)
			raw := &failingConn{failing: failing}
			c := newConn(raw, "a", nil)
			_, err := c.roundTrip(Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, size), ID: "r"}, func(http.Header) string { return "r" })
			is.True(err != nil)
			is.Equal(errors.Is(err, upstream.ErrNotSent), failing == 1)
		}
	}
}

// Guards against a large body that is changed, or copied, as it is sent.
func TestLargeBodyIsSentUnchangedWithoutCopy(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 1<<16)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	received := make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		received <- string(data)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	resp, err := newPool(t).Send(context.Background(), Target{Address: l.Addr().String()}, Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, Body: []byte(body), ID: "r",
	})
	is.NoErr(err)
	resp.Close()
	is.Equal(<-received, body)
	req := Request{Method: "POST", URI: "/", Host: "h", Body: []byte(body)}
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = req.writeTo(io.Discard)
		}
	}).AllocedBytesPerOp()
	is.True(allocated < 64<<10)
}
