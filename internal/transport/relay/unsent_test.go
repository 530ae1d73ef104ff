package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Guards against a request whose caller has gone that is sent all the same, and against the report that it may have run,
// after which its whole prompt is charged. Pattern: many requests at the end of a freeze.
func TestEndedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address, _ := startServer(t, func(c net.Conn, request string) {
		requests.Add(1)
		_, _ = c.Write([]byte(responseTo(requestIDOf(request), "ok")))
	})
	p := newPool(t)
	_, err := send(p, address, "r0") // leaves an idle connection
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, err = p.Send(ctx, Target{Address: address}, Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"r"}}, ID: "r"})
		is.True(errors.Is(err, upstream.ErrNotSent))
		is.True(errors.Is(err, context.Canceled))
	}
	is.Equal(requests.Load(), int64(1))
}

// Guards against a request of which no byte was written that counts as one that may have run.
func TestWriteWithoutBytesIsNotSent(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	is.NoErr(server.Close())
	c := &conn{Conn: client}
	_, err := c.roundTrip(Request{Method: "POST", URI: "/", Host: "h", ID: "r"}, func(http.Header) string { return "r" })
	is.True(errors.Is(err, upstream.ErrNotSent))
}
