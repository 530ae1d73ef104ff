package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// acceptRetryDelay is the wait after a failed accept, for example when file descriptors are exhausted.
const acceptRetryDelay = 50 * time.Millisecond

// Handler handles the calls of one method.
type Handler func(ctx context.Context, from peerapi.Identity, params json.RawMessage) (any, error)

// Server serves the calls of peers.
type Server struct {
	cfg      Config
	handlers map[string]Handler

	mu      sync.Mutex
	stopped bool
	conns   map[net.Conn]struct{}
}

// NewServer returns a server without handlers. It fails if the key is too short.
func NewServer(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, handlers: make(map[string]Handler), conns: make(map[net.Conn]struct{})}, nil
}

// Handle registers the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h func(ctx context.Context, from peerapi.Identity, params json.RawMessage) (any, error)) {
	s.handlers[method] = h
}

// Serve accepts and serves connections until the context ends. It then closes the listener and all
// connections and returns when their handlers have returned.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	defer stop()
	var conns conc.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			cancel()
			return errors.Wrap(err, "peer listener")
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.addConn(conn) {
			obs.PeerOverConnLimitTotal.Add(1)
			_ = conn.Close()
			continue
		}
		conns.Go(func() { s.serveConn(ctx, conn) })
	}
}

// addConn registers a connection. It returns false if the server has stopped or has MaxConns connections.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.conns) >= s.cfg.MaxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// closeAll closes all connections and makes addConn refuse new ones.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.removeConn(raw)
	var conn net.Conn = &countingConn{Conn: raw, sent: obs.PeerServerSentBytes, received: obs.PeerServerReceivedBytes}
	if s.cfg.TLS != nil {
		conn = tls.Server(conn, s.cfg.TLS)
	}
	h, err := newHandshakeConn(conn, s.cfg.HandshakeTimeout)
	if err != nil {
		return
	}
	from, err := s.cfg.serverHandshake(h)
	if err != nil {
		s.rejectHandshake(raw, err)
		return
	}
	// Messages of peers may be large. Without a larger buffer they only arrive more slowly.
	_ = netopt.EnlargeReceiveBuffer(raw)
	session := &session{server: s, from: from, slots: make(chan struct{}, maxCallsPerConn)}
	st := &messageStream{
		conn: conn, reader: h.reader, codec: peerapi.NewCodec(from.Version, s.cfg.MaxMessageBytes, from, s.cfg.Self),
		maxBytes: s.cfg.MaxMessageBytes, writeTimeout: s.cfg.WriteTimeout, idleTimeout: s.cfg.IdleTimeout,
		onReadError: func(err error) { s.logBadMessage(from, err) },
	}
	rpc := jsonrpc2.NewConn(ctx, st, session, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
	session.shutdown()
}

// rejectHandshake counts and logs a connection whose handshake failed.
func (s *Server) rejectHandshake(conn net.Conn, err error) {
	switch {
	case errors.Is(err, ErrVersionMismatch):
		obs.PeerVersionRefusedTotal.Add(1)
	case countBadMessage(err):
	default:
		obs.PeerUnauthenticatedTotal.Add(1)
	}
	obs.EventPeerRefused.Log(s.cfg.Logger, logrus.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
}

// logBadMessage logs the end of a connection if a malformed or oversized message caused it.
func (s *Server) logBadMessage(from peerapi.Identity, err error) {
	if countBadMessage(err) {
		obs.EventPeerClosed.Log(s.cfg.Logger, logrus.Fields{"peer": from.VM, "error": err.Error()})
	}
}

// discardLogger drops the log lines of the JSON-RPC library; failures are counted and logged as numbered
// events instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// session is one authenticated connection of a peer. slots bounds its concurrent calls.
type session struct {
	server *Server
	from   peerapi.Identity
	slots  chan struct{}
	calls  conc.WaitGroup

	mu     sync.Mutex
	closed bool
}

// shutdown waits for the running calls. A message that the library read before the connection closed and
// delivers later is dropped.
func (s *session) shutdown() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.calls.Wait()
}

// Handle implements jsonrpc2.Handler. It blocks the connection's reader while all slots of the peer are in
// use.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.calls.Go(func() {
		defer func() { <-s.slots }()
		s.serveCall(ctx, conn, req)
	})
}

func (s *session) serveCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	obs.PeerCallsServedTotal.Add(1)
	ctx, cancel := context.WithTimeout(extractTrace(ctx, req.Meta), s.server.cfg.Call)
	defer cancel()
	result, err := s.invoke(ctx, req)
	if err == nil {
		err = conn.Reply(ctx, req.ID, result)
		if err == nil || !errors.Is(err, ErrOversized) {
			return
		}
	}
	_ = conn.ReplyWithError(ctx, req.ID, toRPCError(err))
}

// invoke runs the handler of the request's method. It returns an error if the method is unknown or the
// handler fails or panics.
func (s *session) invoke(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			obs.PeerHandlerPanicsTotal.Add(1)
			obs.EventPeerPanic.Log(s.server.cfg.Logger, logrus.Fields{"method": req.Method, "panic": p, "stack": string(debug.Stack())})
			err = errors.New("handler failed")
		}
	}()
	h := s.server.handlers[req.Method]
	if h == nil {
		return nil, &RemoteError{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, s.from, params)
}
