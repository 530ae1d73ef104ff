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
)

// acceptRetry is the wait after a failed accept, for example without free file
// descriptors.
const acceptRetry = 50 * time.Millisecond

// Handler answers calls of one method.
type Handler func(ctx context.Context, from peerapi.Identity, params json.RawMessage) (any, error)

// Server answers the calls of peers.
type Server struct {
	cfg      Config
	handlers map[string]Handler

	mu      sync.Mutex
	stopped bool
	conns   map[net.Conn]struct{}
}

// NewServer returns a server without handlers.
func NewServer(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, handlers: make(map[string]Handler), conns: make(map[net.Conn]struct{})}, nil
}

// Handle sets the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h func(ctx context.Context, from peerapi.Identity, params json.RawMessage) (any, error)) {
	s.handlers[method] = h
}

// Serve answers connections until the context ends. It closes the listener
// and all connections, and returns when their handlers have returned.
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
			return errors.Wrap(err, "peers' listener")
		case err != nil:
			time.Sleep(acceptRetry)
			continue
		}
		if !s.add(conn) {
			obs.PeerOverConnLimitTotal.Add(1)
			_ = conn.Close()
			continue
		}
		conns.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.conns) >= s.cfg.MaxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.remove(raw)
	var conn net.Conn = &countedConn{Conn: raw, sent: obs.PeerServerSentBytes, received: obs.PeerServerReceivedBytes}
	if s.cfg.TLS != nil {
		conn = tls.Server(conn, s.cfg.TLS)
	}
	h, err := newHandshakeConn(conn, s.cfg.Handshake)
	if err != nil {
		return
	}
	from, err := s.cfg.accept(h)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	session := &session{server: s, from: from, slots: make(chan struct{}, maxCallsPerConn)}
	st := &stream{
		conn: conn, reader: h.reader, codec: peerapi.NewCodec(from.Version, s.cfg.MaxMessage, from, s.cfg.Self),
		limit: s.cfg.MaxMessage, write: s.cfg.Write, idle: s.cfg.Idle,
		failed: func(err error) { s.closed(from, err) },
	}
	rpc := jsonrpc2.NewConn(ctx, st, session, jsonrpc2.SetLogger(discard{}))
	<-rpc.DisconnectNotify()
	session.end()
}

// refuse counts a connection whose handshake failed.
func (s *Server) refuse(conn net.Conn, err error) {
	switch {
	case errors.Is(err, ErrVersion):
		obs.PeerVersionRefusedTotal.Add(1)
	case countBadMessage(err):
	default:
		obs.PeerUnauthenticatedTotal.Add(1)
	}
	obs.EventPeerRefused.Log(s.cfg.Logger, logrus.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
}

func (s *Server) closed(from peerapi.Identity, err error) {
	if countBadMessage(err) {
		obs.EventPeerClosed.Log(s.cfg.Logger, logrus.Fields{"peer": from.VM, "error": err.Error()})
	}
}

// discard drops the library's own log lines; failures are counted and logged
// as numbered events.
type discard struct{}

func (discard) Printf(string, ...any) {}

// session is one authenticated connection of a peer.
type session struct {
	server *Server
	from   peerapi.Identity
	slots  chan struct{}
	calls  conc.WaitGroup

	mu    sync.Mutex
	ended bool
}

// end waits for the running calls. The library may still deliver a message
// that it had read before the connection closed; it is dropped.
func (s *session) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.calls.Wait()
}

// Handle implements jsonrpc2.Handler. It blocks the connection's reader while
// the peer has its full number of calls running.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.calls.Go(func() {
		defer func() { <-s.slots }()
		s.answer(ctx, conn, req)
	})
}

func (s *session) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	obs.PeerCallsServedTotal.Add(1)
	ctx, cancel := context.WithTimeout(extractTrace(ctx, req.Meta), s.server.cfg.Call)
	defer cancel()
	result, err := s.run(ctx, req)
	if err == nil {
		err = conn.Reply(ctx, req.ID, result)
		if err == nil || !errors.Is(err, ErrOversized) {
			return
		}
	}
	_ = conn.ReplyWithError(ctx, req.ID, toWire(err))
}

func (s *session) run(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
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
