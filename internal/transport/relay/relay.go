// Package relay forwards HTTP/1.1 requests to upstreams over pooled connections. Package httpapi uses it for
// the requests that its ForwardHandler serves.
//
// Unlike a general HTTP client, it reports for a failed request whether anything was sent, it verifies that a
// response belongs to the request, and it never sends a request twice. A response is matched by the ID of its request
// and by its connection, which carries an ID only once: an upstream may write a response again later, and the ID does
// not tell which of two sends of one request that was the response to.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	// dialTimeout bounds a connection attempt. Upstreams are in the router's region and accept quickly; a
	// lost SYN would be retransmitted only after 1 s, so the attempt fails before that.
	dialTimeout = 600 * time.Millisecond
	// maxIdleTime is the longest time for which an idle connection is kept.
	maxIdleTime = 45 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's own idle timeout, so that no request is sent on a
	// connection that the upstream is about to close.
	idleTimeoutMargin = time.Second
	// maxResponses is the number of responses read for one request, including skipped responses to other requests, and
	// maxInterimResponses that of interim 1xx responses, which a sound upstream may send while it works.
	maxResponses        = 4
	maxInterimResponses = 64
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	readBufferBytes    = 8 << 10
	// maxRequestsPerConn is the number of requests after which a connection is closed. It bounds the memory for their IDs
	// to 18 KiB; above 896 IDs the map doubles.
	maxRequestsPerConn = 800
	// maxHeadBytes bounds the status line and header of a response. Without it a header without end would be stored
	// until the deadline of the request.
	maxHeadBytes = 256 << 10
	// freeHeadBytes is the size up to which a header does not count towards the limit of memory. A larger one counts
	// headCopies times, because it is copied as it is parsed.
	freeHeadBytes = 16 << 10
	headCopies    = 3
)

// errHeadTooLarge reports a response whose header exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("response header is too large")

// ErrConnectionLimit reports that all of this router's connections to an upstream are in use.
var ErrConnectionLimit = errors.New("upstream connection limit reached")

// Target is the destination of a request.
type Target struct {
	Address string
	// MaxConnections limits this router's connections to the address; 0 means no limit.
	MaxConnections int
	// Service is that of the upstream, for Pool.OnConnect.
	Service string
}

// Request is a request as sent to the upstream. Header contains neither Host nor hop-by-hop headers.
type Request struct {
	Method string
	// URI is the path and query as received.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID that the response must carry.
	ID string
}

// Response is a response whose body is read from Body. Close ends the exchange; it returns the connection to
// the pool if the body was read to its end.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Framed is false if the body has neither a length nor chunks. Then its end is that of the connection, which also ends
	// if the upstream's process does, so that the body may be incomplete.
	Framed bool
	Body   io.Reader

	pool *Pool
	conn *conn
	// stop ends the watch for the context's cancellation.
	stop func() bool
	ctx  context.Context
	resp *http.Response
	// readErr is the error that ended reading the body, io.EOF at its end.
	readErr error
}

// Pool keeps idle connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	// OnConnect is called with the result of each connection attempt, unless its caller ended the attempt. It may be nil, and
	// is set before the first use.
	OnConnect func(t Target, began time.Time, err error)

	// responseID returns the ID of the request that a response belongs to.
	responseID func(http.Header) string
	buffers    *membuf.Limiter
	// seed is that of the hashes of request IDs.
	seed maphash.Seed

	mu   sync.Mutex
	idle map[string][]*conn
	// openConns counts the open connections by address, idle ones included.
	openConns map[string]int
	closed    bool
}

// NewPool returns a pool without connections. responseID extracts from a response's header the ID of the
// request that the response belongs to. Large headers count towards the limit of buffers, which may be nil.
func NewPool(responseID func(http.Header) string, buffers *membuf.Limiter) *Pool {
	return &Pool{
		responseID: responseID, buffers: buffers, seed: maphash.MakeSeed(), idle: make(map[string][]*conn), openConns: make(map[string]int),
	}
}

// conn is one connection. It serves one exchange, that is a request and its response, at a time.
type conn struct {
	net.Conn
	address string
	// br reads from head.
	br   *bufio.Reader
	head *headLimiter
	// idleUntil is the time from which the idle connection must not be reused.
	idleUntil time.Time
	reused    bool
	// sent holds the hashes of the IDs of the requests that the connection has carried.
	sent map[uint64]struct{}
	// writeErr is the error of a request that was written in part. It has consumed the error of the socket, so that a read
	// from a connection that was reset reports its end.
	writeErr error
}

// Send writes a request and reads the header of its response. An error is marked upstream.ErrNotSent if
// nothing was sent; after any other error the upstream may run the request. The end of the context aborts the
// exchange.
func (p *Pool) Send(ctx context.Context, t Target, req Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(context.Cause(ctx), upstream.ErrNotSent)
	}
	c, err := p.acquire(ctx, t, req.ID)
	if err != nil {
		return nil, errors.Mark(err, upstream.ErrNotSent)
	}
	// A deadline in the past ends all reads and writes immediately.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.roundTrip(req, p.responseID)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(ctx), err)
		}
		return nil, err
	}
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: isFramed(resp),
		pool: p, conn: c, stop: stop, ctx: ctx, resp: resp,
	}
	r.Body = bodyReader{r}
	return r, nil
}

// roundTrip writes the request and reads the header of its response, skipping responses to other requests.
func (c *conn) roundTrip(req Request, responseID func(http.Header) string) (*http.Response, error) {
	n, writeErr := req.writeTo(c)
	c.writeErr = writeErr
	if n == 0 && writeErr != nil {
		return nil, errors.Mark(errors.Wrap(writeErr, "write request"), upstream.ErrNotSent)
	}
	// An upstream may respond before it has read the whole request, so a response is read even after a failed
	// write.
	for responses, interim := 0, 0; responses < maxResponses && interim <= maxInterimResponses; {
		c.head.begin()
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method})
		c.head.limited = false
		if err != nil {
			return nil, errors.Mark(errors.CombineErrors(err, writeErr), upstream.ErrIncomplete)
		}
		if err := checkStatus(resp); err != nil {
			return nil, errors.Mark(err, upstream.ErrIncomplete)
		}
		if resp.StatusCode < http.StatusOK {
			interim++
			continue
		}
		responses++
		if id := responseID(resp.Header); id == req.ID {
			return resp, nil
		}
		obs.MismatchedResponsesTotal.Add(1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || resp.Close || !isFramed(resp) {
			return nil, errors.Mark(errors.New("response to another request"), upstream.ErrMismatch)
		}
	}
	return nil, errors.Mark(errors.New("only interim responses and responses to other requests received"), upstream.ErrMismatch)
}

// checkStatus checks the status of a response that has three characters, as ReadResponse demands. Of the statuses below 200, those
// from 100 are of interim responses, to which HTTP allows no body: bytes behind one that states a body would be read as the
// next response. 101 begins another protocol, which no request asks for.
func checkStatus(resp *http.Response) error {
	interim := resp.StatusCode < http.StatusOK
	length := resp.Header.Get("Content-Length")
	switch {
	case !upstream.IsValidStatus(resp.StatusCode):
		return errors.Newf("invalid status %.20q", resp.Status)
	case interim && (len(resp.TransferEncoding) > 0 || length != "" && length != "0"):
		return errors.Newf("interim response with status %d has a body", resp.StatusCode)
	}
	return nil
}

// isFramed reports whether the body of a response has a length or chunks, or is none.
func isFramed(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// maxJoinedBody is the size up to which a body is copied behind its head, to send both at once. Larger ones are written by
// themselves, because the memory of their callers' bodies is limited and that of the copies is not.
const maxJoinedBody = 16 << 10

// writeTo writes the request, and returns the number of bytes that were written.
func (r Request) writeTo(w io.Writer) (int, error) {
	head := r.encodeHead()
	if len(r.Body) <= maxJoinedBody {
		return w.Write(append(head, r.Body...))
	}
	n, err := w.Write(head)
	if err != nil {
		return n, err
	}
	m, err := w.Write(r.Body)
	return n + m, err
}

// encodeHead returns the request line and the headers, with room for a small body.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headSizeHint + min(len(r.Body), maxJoinedBody))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headSizeHint is the initial buffer size for the request line and headers, in bytes.
const headSizeHint = 1 << 10

// acquire returns a connection for a request with the given ID: a usable idle one that has not carried the ID, or a new one.
func (p *Pool) acquire(ctx context.Context, t Target, id string) (*conn, error) {
	hash := maphash.String(p.seed, id)
	c, err := p.idleOrNew(ctx, t, hash)
	if err != nil {
		return nil, err
	}
	c.sent[hash] = struct{}{}
	return c, nil
}

func (p *Pool) idleOrNew(ctx context.Context, t Target, hash uint64) (*conn, error) {
	for {
		c, err := p.takeIdle(t, hash)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.br.Buffered() == 0 && netopt.IsReusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx, t)
}

// dial opens a connection that has been counted towards the limit of its address.
func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	address, began := t.Address, time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := netopt.Dial(dialCtx, address)
	if p.OnConnect != nil && (err == nil || ctx.Err() == nil && !endedEarly(err, time.Since(began))) {
		p.OnConnect(t, began, err)
	}
	if err != nil {
		p.decrementOpenConns(address)
		return nil, errors.Wrap(err, "connect")
	}
	obs.UpstreamConnectionsTotal.Add(1)
	return newConn(raw, address, p.buffers), nil
}

// endedEarly reports whether the deadline of its caller ended a connection attempt before dialTimeout. Such an attempt says
// nothing about the path.
func endedEarly(err error, after time.Duration) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && after < dialTimeout-dialTimeoutSlack
}

// dialTimeoutSlack covers the time that passes before a connection attempt begins.
const dialTimeoutSlack = 50 * time.Millisecond

func newConn(raw net.Conn, address string, buffers *membuf.Limiter) *conn {
	head := &headLimiter{r: raw, buffers: buffers, owner: address}
	return &conn{Conn: raw, address: address, head: head, br: bufio.NewReaderSize(head, readBufferBytes), sent: make(map[uint64]struct{})}
}

// headLimiter bounds what is read while limited is set.
type headLimiter struct {
	r       io.Reader
	limited bool
	left    int

	buffers *membuf.Limiter
	owner   string
	// reserved are the bytes that the header counts for.
	reserved int64
}

// begin starts a header.
func (l *headLimiter) begin() {
	l.release()
	l.limited, l.left = true, maxHeadBytes
}

func (l *headLimiter) release() {
	l.buffers.Release(l.owner, l.reserved)
	l.reserved = 0
}

// reserve counts the next n bytes of the header.
func (l *headLimiter) reserve(n int) error {
	if maxHeadBytes-l.left < freeHeadBytes {
		return nil
	}
	bytes := int64(n) * headCopies
	if err := l.buffers.Reserve(l.owner, bytes); err != nil {
		return err
	}
	l.reserved += bytes
	return nil
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	p = p[:min(len(p), l.left)]
	if err := l.reserve(len(p)); err != nil {
		return 0, err
	}
	n, err := l.r.Read(p)
	l.left -= n
	return n, err
}

// RefusesConnections reports whether the host of an upstream refuses connections, because no process listens.
func (p *Pool) RefusesConnections(ctx context.Context, t Target) bool {
	return errors.Is(p.Connect(ctx, t), syscall.ECONNREFUSED)
}

// Connect opens a connection, which is kept for the next request.
func (p *Pool) Connect(ctx context.Context, t Target) error {
	p.mu.Lock()
	p.openConns[t.Address]++
	p.mu.Unlock()
	c, err := p.dial(ctx, t)
	if err == nil {
		p.release(c, maxIdleTime)
	}
	return err
}

// takeIdle removes and returns the most recently used of the idle connections that have not carried a request ID with the
// given hash. Without one it counts a new connection towards the limit and returns nil. At the limit the new connection
// takes the place of the idle one that was not used for longest, which is closed.
func (p *Pool) takeIdle(t Target, hash uint64) (*conn, error) {
	var replaced []*conn
	defer func() {
		for _, c := range replaced {
			c.close()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t.Address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.hasSent(hash) {
			p.idle[t.Address] = slices.Delete(list, i, i+1)
			return c, nil
		}
	}
	if excess := p.openConns[t.Address] + 1 - t.MaxConnections; t.MaxConnections > 0 && excess > 0 {
		if excess > len(list) {
			return nil, errors.Wrapf(ErrConnectionLimit, "%d connections to %s are in use", p.openConns[t.Address]-len(list), t.Address)
		}
		replaced = slices.Clone(list[:excess])
		p.idle[t.Address] = slices.Delete(list, 0, excess)
		p.openConns[t.Address] -= excess
	}
	p.openConns[t.Address]++
	return nil, nil
}

// decrementOpenConns stops counting one connection to the address.
func (p *Pool) decrementOpenConns(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns[address]--; p.openConns[address] <= 0 {
		delete(p.openConns, address)
	}
}

func (c *conn) hasSent(hash uint64) bool {
	_, ok := c.sent[hash]
	return ok
}

// close closes a connection that is no longer counted.
func (c *conn) close() {
	c.head.release()
	_ = c.Close()
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.decrementOpenConns(c.address)
}

// release makes a connection available to the next request, unless it has carried as many as it may.
func (p *Pool) release(c *conn, idleTimeout time.Duration) {
	if len(c.sent) >= maxRequestsPerConn {
		p.discard(c)
		return
	}
	c.head.release()
	c.idleUntil = time.Now().Add(idleTimeout)
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if closed {
		p.discard(c)
	}
}

// bodyReader reads the body and records the error that ended it.
type bodyReader struct{ r *Response }

func (b bodyReader) Read(data []byte) (int, error) {
	n, err := b.r.resp.Body.Read(data)
	if c := b.r.conn; err == io.EOF && !b.r.Framed && c != nil && c.writeErr != nil {
		err = errors.CombineErrors(io.ErrUnexpectedEOF, c.writeErr)
	}
	if err != nil {
		b.r.readErr = err
		if err != io.EOF && b.r.ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(b.r.ctx), err)
		}
		if err != io.EOF {
			err = errors.Mark(err, upstream.ErrIncomplete)
		}
	}
	return n, err
}

// Close ends the exchange. If the body was not read to its end, Close closes the connection, which makes the
// upstream stop its work.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	reusable := r.stop() && r.readErr == io.EOF && !r.resp.Close && c.br.Buffered() == 0 && c.writeErr == nil
	idleTimeout := idleTimeoutOf(r.Header)
	if !reusable || idleTimeout <= 0 {
		r.pool.discard(c)
		return
	}
	r.pool.release(c, idleTimeout)
}

// idleTimeoutOf returns how long a connection may stay idle, from the upstream's Keep-Alive header if there
// is one.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return maxIdleTime
}
