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

// ErrUnreachable reports a call without a response. The peer may have executed it.
var ErrUnreachable = errors.New("peer is unreachable")

// errStalled reports a call of Query whose connection has received nothing for too long.
var errStalled = errors.New("nothing received from the peer in time")

// RemoteError is an error returned by a peer's handler. A handler returns a RemoteError to choose the code;
// any other error is sent as an internal error.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

func toRPCError(err error) *jsonrpc2.Error {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &jsonrpc2.Error{Code: remote.Code, Message: remote.Message}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func fromRPCError(err error) error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return &RemoteError{Code: rpcErr.Code, Message: rpcErr.Message}
	}
	return err
}

// Pool keeps one connection to each peer that it calls. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	closed bool
	conns  map[string]*peerConn
}

// peerConn is an open connection to one address, or an attempt to open it.
type peerConn struct {
	// ready is closed when the attempt has ended; the other fields are set by then.
	ready   chan struct{}
	conn    *jsonrpc2.Conn
	counted *countingConn
	peer    peerapi.Identity
	err     error
}

// noDataSince reports whether the peer has sent nothing since t.
func (pc *peerConn) noDataSince(t time.Time) bool {
	return pc.counted.sinceRead() > time.Since(t)
}

// NewPool returns a pool without connections. It fails if the key is too short.
func NewPool(cfg Config) (*Pool, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, conns: make(map[string]*peerConn)}, nil
}

// Call runs a method on the peer at an address and stores its result in result. Without a deadline in the
// context, the timeout Config.Call applies. It returns a RemoteError if the peer's handler failed, and an
// error marked ErrUnreachable if no response arrived.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	_, err := p.CallPeer(ctx, address, method, params, result)
	return err
}

// CallPeer is like Call and also returns the identity of the process that responded.
func (p *Pool) CallPeer(ctx context.Context, address, method string, params, result any) (peerapi.Identity, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.cfg.Call)
		defer cancel()
	}
	obs.PeerCallsTotal.Add(1)
	pc, _, err := p.connection(ctx, address)
	started := time.Now()
	if err == nil {
		err = fromRPCError(pc.conn.Call(ctx, method, params, result, jsonrpc2.Meta(traceparent(ctx))))
	}
	var remote *RemoteError
	if err == nil || errors.As(err, &remote) {
		return pc.peer, err
	}
	obs.PeerCallFailuresTotal.Add(1)
	if pc != nil && pc.conn != nil && errors.Is(err, context.DeadlineExceeded) && pc.noDataSince(started) {
		// TCP keeps a connection to a disconnected or replaced VM open for minutes. Dropping it makes the
		// next call dial again.
		p.drop(address, pc)
	}
	return peerapi.Identity{}, errors.Mark(errors.Wrapf(err, "call %s on %s", method, address), ErrUnreachable)
}

// Query is like Call for a method whose repetition has no effect. It fails when nothing has arrived for the time
// stall, so that a large response may take longer. If a connection from an earlier call stalls, the query is
// repeated once on a new one: the connection may be dead although the peer lives.
func (p *Pool) Query(ctx context.Context, address, method string, params, result any, stall time.Duration) error {
	obs.PeerCallsTotal.Add(1)
	reused, err := p.queryOnce(ctx, address, method, params, result, stall)
	if reused && errors.Is(err, errStalled) {
		_, err = p.queryOnce(ctx, address, method, params, result, stall)
	}
	var remote *RemoteError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	obs.PeerCallFailuresTotal.Add(1)
	return errors.Mark(errors.Wrapf(err, "query %s on %s", method, address), ErrUnreachable)
}

// queryOnce makes one call and reports whether it used a connection of an earlier call.
func (p *Pool) queryOnce(ctx context.Context, address, method string, params, result any, stall time.Duration) (reused bool, err error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, stall)
	defer cancelDial()
	pc, reused, err := p.connection(dialCtx, address)
	if err != nil {
		return reused, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go pc.watchStall(ctx, stall, cancel)
	err = fromRPCError(pc.conn.Call(ctx, method, params, result, jsonrpc2.Meta(traceparent(ctx))))
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		p.drop(address, pc)
		return reused, errStalled
	}
	return reused, err
}

// watchStall cancels a call when nothing has arrived on its connection for the given time, until the context
// ends.
func (pc *peerConn) watchStall(ctx context.Context, stall time.Duration, cancel context.CancelCauseFunc) {
	started := time.Now()
	for {
		left := stall - min(time.Since(started), pc.counted.sinceRead())
		if left <= 0 {
			cancel(errStalled)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(left):
		}
	}
}

// drop closes a connection and forgets it.
func (p *Pool) drop(address string, pc *peerConn) {
	p.removeConn(address, pc)
	_ = pc.conn.Close()
}

// connection returns the open connection to an address and whether it was open or being opened before.
// Concurrent calls share one attempt to open it.
func (p *Pool) connection(ctx context.Context, address string) (pc *peerConn, reused bool, err error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, errors.New("pool is closed")
	}
	pc = p.conns[address]
	reused = pc != nil
	if pc == nil {
		pc = &peerConn{ready: make(chan struct{})}
		p.conns[address] = pc
		go p.openConn(address, pc)
	}
	p.mu.Unlock()
	select {
	case <-pc.ready:
		return pc, reused, pc.err
	case <-ctx.Done():
		return nil, reused, ctx.Err()
	}
}

// openConn dials independently of the context of any call: a canceled call must not fail the other calls that
// wait for the connection.
func (p *Pool) openConn(address string, pc *peerConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.HandshakeTimeout)
	defer cancel()
	pc.err = p.dial(ctx, address, pc)
	if pc.err != nil {
		p.removeConn(address, pc)
	}
	close(pc.ready)
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed && pc.conn != nil {
		_ = pc.conn.Close()
	}
}

func (p *Pool) removeConn(address string, pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == pc {
		delete(p.conns, address)
	}
}

func (p *Pool) dial(ctx context.Context, address string, pc *peerConn) error {
	obs.PeerDialsTotal.Add(1)
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	pc.counted = &countingConn{Conn: raw, sent: obs.PeerClientSentBytes, received: obs.PeerClientReceivedBytes}
	var conn net.Conn = pc.counted
	if p.cfg.TLS != nil {
		conn = tls.Client(conn, p.cfg.TLS)
	}
	h, err := newHandshakeConn(conn, p.cfg.HandshakeTimeout)
	if err == nil {
		pc.peer, err = p.cfg.clientHandshake(h)
	}
	if err != nil {
		_ = raw.Close()
		return err
	}
	st := &messageStream{
		conn: conn, reader: h.reader, codec: peerapi.NewCodec(pc.peer.Version, p.cfg.MaxMessageBytes, p.cfg.Self, pc.peer),
		maxBytes: p.cfg.MaxMessageBytes, writeTimeout: p.cfg.WriteTimeout, idleTimeout: p.cfg.IdleTimeout,
		onReadError: func(err error) {
			countBadMessage(err)
			p.removeConn(address, pc)
		},
	}
	pc.conn = jsonrpc2.NewConn(context.Background(), st, rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	return nil
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = make(map[string]*peerConn)
	p.mu.Unlock()
	for _, pc := range conns {
		select {
		case <-pc.ready:
			if pc.conn != nil {
				_ = pc.conn.Close()
			}
		default:
		}
	}
}

// rejectCalls is the handler of dialed connections. Only the dialing side makes calls, so a call from the
// peer closes the connection.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	obs.PeerMalformedTotal.Add(1)
	_ = conn.Close()
}
