package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// ErrUnreachable reports a call that got no answer. The peer may have run it.
var ErrUnreachable = errors.New("peer is unreachable")

// RemoteError is an error that a peer's handler returned. A handler returns one
// to choose the code; its other errors travel as internal errors.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

func toWire(err error) *jsonrpc2.Error {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &jsonrpc2.Error{Code: remote.Code, Message: remote.Message}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func fromWire(err error) error {
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return &RemoteError{Code: wire.Code, Message: wire.Message}
	}
	return err
}

// Pool keeps one connection to each peer that is called.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// link is the connection to one address, or the attempt to open it.
type link struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	tcp   *countedConn
	peer  peerapi.Identity
	err   error
}

// silentSince reports whether the peer has sent nothing since a time.
func (l *link) silentSince(t time.Time) bool {
	return l.tcp.lastRead.Load() < t.UnixNano()
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) (*Pool, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, links: make(map[string]*link)}, nil
}

// Call runs a method on the peer at an address and stores its answer in result.
// Without a deadline in the context the call ends after the default time.
// It returns a RemoteError when the peer refused, and an error marked
// ErrUnreachable when no answer came.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	_, err := p.CallPeer(ctx, address, method, params, result)
	return err
}

// CallPeer is Call that also names the process that answered.
func (p *Pool) CallPeer(ctx context.Context, address, method string, params, result any) (peerapi.Identity, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.cfg.Call)
		defer cancel()
	}
	obs.PeerCallsTotal.Add(1)
	l, err := p.link(ctx, address)
	started := time.Now()
	if err == nil {
		err = fromWire(l.conn.Call(ctx, method, params, result, jsonrpc2.Meta(traceparent(ctx))))
	}
	var remote *RemoteError
	if err == nil || errors.As(err, &remote) {
		return l.peer, err
	}
	obs.PeerCallFailuresTotal.Add(1)
	if l != nil && l.conn != nil && errors.Is(err, context.DeadlineExceeded) && l.silentSince(started) {
		// A VM that was cut off or replaced leaves a connection that TCP keeps
		// for minutes; the next call dials again.
		p.forget(address, l)
		_ = l.conn.Close()
	}
	return peerapi.Identity{}, errors.Mark(errors.Wrapf(err, "call %s on %s", method, address), ErrUnreachable)
}

// link returns the open connection to an address. Callers that arrive while it
// is being opened wait for the same attempt.
func (p *Pool) link(ctx context.Context, address string) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("pool is closed")
	}
	l := p.links[address]
	if l == nil {
		l = &link{ready: make(chan struct{})}
		p.links[address] = l
		go p.open(address, l)
	}
	p.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials outside of any caller's context: a caller that gives up must not
// fail the others that wait for the connection.
func (p *Pool) open(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Handshake)
	defer cancel()
	l.err = p.dial(ctx, address, l)
	if l.err != nil {
		p.forget(address, l)
	}
	close(l.ready)
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed && l.conn != nil {
		_ = l.conn.Close()
	}
}

func (p *Pool) forget(address string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[address] == l {
		delete(p.links, address)
	}
}

func (p *Pool) dial(ctx context.Context, address string, l *link) error {
	obs.PeerDialsTotal.Add(1)
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	l.tcp = &countedConn{Conn: raw, sent: obs.PeerClientSentBytes, received: obs.PeerClientReceivedBytes}
	var conn net.Conn = l.tcp
	if p.cfg.TLS != nil {
		conn = tls.Client(conn, p.cfg.TLS)
	}
	h, err := newHandshakeConn(conn, p.cfg.Handshake)
	if err == nil {
		l.peer, err = p.cfg.connect(h)
	}
	if err != nil {
		_ = raw.Close()
		return err
	}
	st := &stream{
		conn: conn, reader: h.reader, codec: peerapi.NewCodec(l.peer.Version, p.cfg.MaxMessage, p.cfg.Self, l.peer),
		limit: p.cfg.MaxMessage, write: p.cfg.Write, idle: p.cfg.Idle,
		failed: func(err error) {
			countBadMessage(err)
			p.forget(address, l)
		},
	}
	l.conn = jsonrpc2.NewConn(context.Background(), st, refuseCalls{}, jsonrpc2.SetLogger(discard{}))
	return nil
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = make(map[string]*link)
	p.mu.Unlock()
	for _, l := range links {
		select {
		case <-l.ready:
			if l.conn != nil {
				_ = l.conn.Close()
			}
		default:
		}
	}
}

// refuseCalls is the handler of connections that this side opened: the other
// side only answers, so a call on them ends the connection.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	obs.PeerMalformedTotal.Add(1)
	_ = conn.Close()
}
