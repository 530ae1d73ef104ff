package httpapi

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

const (
	// freeHeadBytes is the size up to which the head of a request does not count towards the limit of memory. A larger one counts
	// headCopies times: it is read into a line and copied into the header.
	freeHeadBytes = 4 << 10
	headCopies    = 2
	// largeBodyBytes is the part of a body after which the receive buffer of its connection is enlarged.
	largeBodyBytes = 16 << 10
	// memoryEventInterval is the shortest time between two events about used up memory.
	memoryEventInterval = time.Second
)

// requestHold returns the memory of the request: that of its connection or, on a connection that does not come from KeptConns, a
// new one.
func (x *exchange) requestHold() *membuf.Hold {
	if c, ok := x.httpReq.Context().Value(keptConnKey{}).(*keptConn); ok && c.hold != nil {
		return c.hold
	}
	return x.api.Incoming.NewHold(x.endReads)
}

// bodyReader returns a reader of the request's body.
func (x *exchange) bodyReader() io.Reader {
	if c, ok := x.httpReq.Context().Value(keptConnKey{}).(*keptConn); ok {
		return &bodyReader{Reader: x.httpReq.Body, conn: c}
	}
	return x.httpReq.Body
}

// bodyReader enlarges the receive buffer of a connection while it reads a large body.
type bodyReader struct {
	io.Reader
	conn *keptConn
	read int
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if before := b.read; before < largeBodyBytes && before+n >= largeBodyBytes {
		b.conn.enlargeWindow()
	}
	b.read += n
	return n, err
}

// endReads makes the reads from the caller's connection fail.
func (x *exchange) endReads() { _ = x.control.SetReadDeadline(time.Unix(1, 0)) }

// overMemory refuses a request because the memory for callers' requests is used up.
func (x *exchange) overMemory() *APIError {
	obs.RequestsOverMemoryTotal.Add(1)
	x.api.logMemory(obs.EventIncomingMemoryUsedUp)
	return refusal(http.StatusServiceUnavailable, CodeOverloaded,
		"the memory for requests is used up").withRetryAfter(defaultRetryAfter)
}

// noteStalled notes a request that was ended for others.
func (x *exchange) noteStalled() {
	obs.RequestsStalledTotal.Add(1)
	x.api.logMemory(obs.EventIncomingMemoryUsedUp)
}

// logMemory logs that memory is used up, at most once in memoryEventInterval.
func (a *API) logMemory(event obs.Event) {
	now := time.Now().UnixNano()
	last := a.memoryEventAt.Load()
	if now-last < int64(memoryEventInterval) || !a.memoryEventAt.CompareAndSwap(last, now) {
		return
	}
	event.Log(a.Logger, logrus.Fields{
		"bytes": a.Incoming.Used(), "refused": obs.RequestsOverMemoryTotal.Value(), "stalled": obs.RequestsStalledTotal.Value(),
		"open": a.InProgress(),
	})
}

// headReader counts the bytes of a request's head.
type headReader struct {
	read, counted int64
}

// next returns the bytes that count for the next n bytes of the head.
func (h *headReader) next(n int) int64 {
	h.read += int64(n)
	if h.read <= freeHeadBytes {
		return 0
	}
	more := h.read*headCopies - h.counted
	h.counted += more
	return more
}
