package httpapi

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// WithCallerConn is the ConnContext of a server whose requests Handler or ForwardHandler serves. It lets the handler use the
// caller's connection itself.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// writeLimiter is a connection whose writes can be bounded by the progress of the caller.
type writeLimiter interface {
	LimitWrites(stall time.Duration, until time.Time)
}

// limitCallerWrites bounds writes to the caller by its progress. It returns false if the caller's connection does not
// support that.
func limitCallerWrites(ctx context.Context, stall time.Duration, until time.Time) bool {
	c, ok := ctx.Value(callerConnKey{}).(writeLimiter)
	if ok {
		c.LimitWrites(stall, until)
	}
	return ok
}

// errCallerLeft reports a request whose caller closed its connection before the request was sent.
var errCallerLeft = errors.New("the caller has closed its connection")

// callerHasLeft reports whether the caller has closed its connection. The context of a request ends only once the server
// has read that, which may be later: after a freeze of the VM many requests continue before.
func callerHasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && netopt.PeerHasClosed(c)
}

// defaultLinger lets the kernel send what is in its buffer after a connection is closed.
const defaultLinger = -1

// resetCallerConn makes the close of the caller's connection a reset, also at the end of the process. A caller that reads a
// response without a length and without chunks would otherwise take a truncated one for complete.
func resetCallerConn(ctx context.Context) { setCallerLinger(ctx, 0) }

// keepCallerConn undoes resetCallerConn, once the response is written completely.
func keepCallerConn(ctx context.Context) { setCallerLinger(ctx, defaultLinger) }

func setCallerLinger(ctx context.Context, seconds int) {
	if c, ok := ctx.Value(callerConnKey{}).(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(seconds) // fails only if the connection is closed
	}
}
