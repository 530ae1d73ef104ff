package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"expvar"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

func testConfig(vm string) Config {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return Config{
		Self: peerapi.Identity{VM: vm, Incarnation: vm + "-1", Zone: "a", Region: "r"},
		Key:  []byte(strings.Repeat("k", MinKeyBytes)), MaxMessageBytes: 4096,
		HandshakeTimeout: 2 * time.Second, Call: 2 * time.Second, Logger: logger,
	}
}

// startServer serves the methods echo, trace, panic and large until the test ends.
func startServer(t *testing.T, cfg Config) string {
	t.Helper()
	s, err := NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle("echo", func(_ context.Context, from peerapi.Identity, p json.RawMessage) (any, error) {
		return map[string]any{"from": from.VM, "version": from.Version, "params": p}, nil
	})
	s.Handle("trace", func(ctx context.Context, _ peerapi.Identity, _ json.RawMessage) (any, error) {
		return trace.SpanContextFromContext(ctx).TraceID().String(), nil
	})
	s.Handle("panic", func(context.Context, peerapi.Identity, json.RawMessage) (any, error) { panic("defect") })
	s.Handle("large", func(context.Context, peerapi.Identity, json.RawMessage) (any, error) {
		return strings.Repeat("x", cfg.MaxMessageBytes), nil
	})
	return serve(t, s)
}

// serve runs a server until the test ends and returns its address.
func serve(t testing.TB, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func newPool(t testing.TB, cfg Config) *Pool {
	t.Helper()
	p, err := NewPool(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

type echo struct {
	From    string
	Version int
	Params  string
}

func mustEcho(t *testing.T, p *Pool, address string) echo {
	t.Helper()
	var got echo
	if err := p.Call(context.Background(), address, "echo", "hi", &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// waitFor polls a counter until it reaches atLeast.
func waitFor(t *testing.T, c *expvar.Int, atLeast int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); c.Value() < atLeast; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counter is %d, want at least %d", c.Value(), atLeast)
		}
	}
}

// Guards against a call that loses its parameters, the identity of the calling peer or its trace, and against a
// handler failure that closes the connection.
func TestCallCarriesIdentityTraceAndErrors(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testConfig("b"))
	p := newPool(t, testConfig("a"))
	is.Equal(mustEcho(t, p, address), echo{From: "a", Version: peerapi.Version, Params: "hi"})

	span := newSpanContext()
	var traceID string
	is.NoErr(p.Call(trace.ContextWithSpanContext(context.Background(), span), address, "trace", nil, &traceID))
	is.Equal(traceID, span.TraceID().String())

	for _, method := range []string{"panic", "unknown", "large"} {
		var remote *RemoteError
		err := p.Call(context.Background(), address, method, nil, nil)
		is.True(errors.As(err, &remote)) // an error response of the peer, not ErrUnreachable
	}
	mustEcho(t, p, address)
}

// Guards against a process without the fleet key that gets a response or stops the server, as client or as
// server of the handshake.
func TestWrongKeyIsRefusedOnBothSides(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testConfig("b"))
	wrongKey := testConfig("x")
	wrongKey.Key = []byte(strings.Repeat("z", MinKeyBytes))
	err := newPool(t, wrongKey).Call(context.Background(), address, "echo", "hi", nil)
	is.True(errors.Is(err, ErrKeyMismatch)) // the server's proof does not match the client's key

	before := obs.PeerUnauthenticatedTotal.Value()
	h, own, server := beginHandshake(t, wrongKey, address)
	is.NoErr(h.send(peerapi.HelloFrame{Proof: peerapi.Proof(wrongKey.Key, peerapi.RoleClient, own, server.Hello)}))
	waitFor(t, obs.PeerUnauthenticatedTotal, before+1)

	h, _, server = beginHandshake(t, wrongKey, address)
	is.NoErr(h.send(peerapi.HelloFrame{Proof: server.Proof})) // reflects the server's own proof
	waitFor(t, obs.PeerUnauthenticatedTotal, before+2)
	mustEcho(t, newPool(t, testConfig("a")), address)
}

func beginHandshake(t *testing.T, cfg Config, address string) (*handshakeConn, []byte, peerapi.HelloFrame) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	cfg, _ = cfg.withDefaults()
	h, err := newHandshakeConn(conn, time.Second)
	own, err2 := cfg.newHello(0)
	err = errors.CombineErrors(err, err2)
	err = errors.CombineErrors(err, h.send(peerapi.HelloFrame{Hello: own}))
	frame, _, err2 := h.receiveHello()
	if err = errors.CombineErrors(err, err2); err != nil {
		t.Fatal(err)
	}
	return h, own, frame
}

// Guards against a malformed or oversized message that stops the server or leaves its connection open, before
// and after the handshake.
func TestBadMessagesCloseOnlyTheirConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testConfig("b"))
	cases := []struct {
		counter        *expvar.Int
		afterHandshake bool
		bytes          []byte
	}{
		{obs.PeerMalformedTotal, false, []byte("\x05hello")},
		{obs.PeerOversizedTotal, false, []byte("\xff\xff\xff\xff\x0f")},
		{obs.PeerMalformedTotal, true, []byte("\x03\x83\x00\x00")},
		{obs.PeerMalformedTotal, true, []byte("\x00")},
		{obs.PeerOversizedTotal, true, []byte("\x81\x20")},
	}
	for _, c := range cases {
		before := c.counter.Value()
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		if c.afterHandshake {
			cfg, err := testConfig("a").withDefaults()
			is.NoErr(err)
			_, err = cfg.clientHandshake(&handshakeConn{conn: conn, reader: bufio.NewReader(conn)})
			is.NoErr(err)
		}
		_, err = conn.Write(c.bytes)
		is.NoErr(err)
		waitFor(t, c.counter, before+1)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err = bufio.NewReader(conn).WriteTo(new(strings.Builder))
		var timeout net.Error
		is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the server closed it
		_ = conn.Close()
	}
	mustEcho(t, newPool(t, testConfig("a")), address)
}

// Guards against a rolling upgrade that splits the fleet: versions n and n-1 interoperate, and a difference
// of two is rejected with ErrVersionMismatch on both sides.
func TestVersionsOneApartInteroperate(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testConfig("b"))
	older := testConfig("a")
	older.Versions = peerapi.Versions{Min: peerapi.Version - 1, Max: peerapi.Version - 1}
	is.Equal(mustEcho(t, newPool(t, older), address).Version, peerapi.Version-1)
	is.Equal(mustEcho(t, newPool(t, testConfig("a")), startServer(t, older)).Version, peerapi.Version-1)

	before := obs.PeerVersionRefusedTotal.Value()
	newer := testConfig("c")
	newer.Versions = peerapi.Versions{Min: peerapi.Version, Max: peerapi.Version + 1}
	err := newPool(t, older).Call(context.Background(), startServer(t, newer), "echo", "hi", nil)
	is.True(errors.Is(err, ErrVersionMismatch))
	waitFor(t, obs.PeerVersionRefusedTotal, before+1)
}

// Guards against a connection to an unresponsive VM that is kept for the minutes until TCP times out.
func TestUnresponsiveConnectionIsRedialed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		cfg, _ := testConfig("b").withDefaults()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h, _ := newHandshakeConn(conn, time.Second)
			_, _ = cfg.serverHandshake(h)
			accepted <- conn
		}
	}()
	p := newPool(t, testConfig("a"))
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		is.True(errors.Is(p.Call(ctx, listener.Addr().String(), "echo", "hi", nil), ErrUnreachable))
		cancel()
		conn := <-accepted
		defer conn.Close()
	}
}
