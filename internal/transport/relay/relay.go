// Package relay forwards HTTP/1.1 requests to upstreams over kept connections.
//
// It differs from a general HTTP client in what it promises about a failed
// request: whether it was sent at all, and that an answer belongs to it. A
// request is never sent twice.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	// dialTimeout bounds a connection attempt. Upstreams are in the router's
	// region; a lost packet is sent again only after a second.
	dialTimeout = 600 * time.Millisecond
	// maxIdle is how long a connection is kept without use.
	maxIdle = 45 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection
	// is not used any more.
	idleMargin = time.Second
	// maxSkipped bounds the answers to other requests that are read over.
	maxSkipped = 4
	// maxSkippedBytes bounds one of them.
	maxSkippedBytes = 1 << 20
	readBuffer      = 8 << 10
)

// ErrConnectionLimit reports that this router's connections to an upstream are
// all in use.
var ErrConnectionLimit = errors.New("connection limit of the upstream")

// Target is where a request goes.
type Target struct {
	Address string
	// MaxConnections bounds this router's connections to the address.
	MaxConnections int
}

// Request is a request as it goes to the upstream. Header holds neither Host nor
// the headers that concern one connection.
type Request struct {
	Method string
	// URI is the path and query, unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the id that the answer must bear.
	ID string
}

// Response is the head of an answer. Its body is read from Body; Close ends the
// exchange and keeps the connection if the body was read to its end.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	Body   io.Reader

	pool *Pool
	conn *conn
	stop func() bool
	ctx  context.Context
	resp *http.Response
	end  error
}

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// answerID returns the id of the request that an answer belongs to.
	answerID func(http.Header) string

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(answerID func(http.Header) string) *Pool {
	return &Pool{answerID: answerID, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// conn is one connection. It belongs to one exchange at a time.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
	reused    bool
}

// Send writes a request and reads the head of its answer. An error is marked
// upstream.ErrNotSent if nothing was sent; after any other error the upstream
// may run the request. The exchange ends with the context.
func (p *Pool) Send(ctx context.Context, t Target, req Request) (*Response, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, errors.Mark(err, upstream.ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(req, p.answerID)
	if err != nil {
		stop()
		p.drop(c)
		if ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(ctx), err)
		}
		return nil, err
	}
	a := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, conn: c, stop: stop, ctx: ctx, resp: resp,
	}
	a.Body = bodyReader{a}
	return a, nil
}

// exchange writes the request and reads the head of its answer. Answers to other
// requests are read over.
func (c *conn) exchange(req Request, answerID func(http.Header) string) (*http.Response, error) {
	_, writeErr := c.Write(req.encode())
	// An upstream may answer before it has read the whole request, so an answer
	// is looked for even after a failed write.
	for range maxSkipped {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Mark(errors.CombineErrors(err, writeErr), upstream.ErrIncomplete)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := answerID(resp.Header); id == req.ID {
			return resp, nil
		}
		obs.MismatchedResponsesTotal.Add(1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close || resp.ContentLength < 0 && !chunked(resp) {
			return nil, errors.Mark(errors.New("answer to another request"), upstream.ErrMismatch)
		}
	}
	return nil, errors.Mark(errors.New("answers to other requests only"), upstream.ErrMismatch)
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(headGrow + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// headGrow is the usual size of a request's head.
const headGrow = 1 << 10

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, t Target) (*conn, error) {
	for {
		c, err := p.reuse(t)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.br.Buffered() == 0 && netopt.Quiet(c.Conn) {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := netopt.Dial(ctx, t.Address)
	if err != nil {
		p.forget(t.Address)
		return nil, errors.Wrap(err, "connect")
	}
	obs.UpstreamConnectionsTotal.Add(1)
	return &conn{Conn: raw, address: t.Address, br: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// reuse takes the idle connection that was used last, or counts a new one.
func (p *Pool) reuse(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[t.Address]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[t.Address] = list[:len(list)-1]
		return c, nil
	}
	if t.MaxConnections > 0 && p.open[t.Address] >= t.MaxConnections {
		return nil, errors.Wrapf(ErrConnectionLimit, "%d connections to %s are in use", p.open[t.Address], t.Address)
	}
	p.open[t.Address]++
	return nil, nil
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.forget(c.address)
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleUntil = time.Now().Add(keep)
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if closed {
		p.drop(c)
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// Close closes the idle connections, and the others when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = make(map[string][]*conn), true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			p.drop(c)
		}
	}
}

// bodyReader reads the body and remembers how it ended.
type bodyReader struct{ a *Response }

func (b bodyReader) Read(data []byte) (int, error) {
	n, err := b.a.resp.Body.Read(data)
	if err != nil {
		b.a.end = err
		if err != io.EOF && b.a.ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(b.a.ctx), err)
		}
		if err != io.EOF {
			err = errors.Mark(err, upstream.ErrIncomplete)
		}
	}
	return n, err
}

// Close ends the exchange. A body that was not read to its end stops the
// upstream's work, because the connection is closed.
func (a *Response) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	clean := a.stop() && a.end == io.EOF && !a.resp.Close && c.br.Buffered() == 0
	keep := keepFor(a.Header)
	if !clean || keep <= 0 {
		a.pool.drop(c)
		return
	}
	a.pool.put(c, keep)
}

// keepFor returns how long a connection may be kept idle.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdle, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdle
}
