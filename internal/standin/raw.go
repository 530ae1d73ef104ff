package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// RawServer is a stand-in for an upstream whose process ends at any byte of a response. It writes given bytes in
// response to each request and then closes the connection.
type RawServer struct {
	listener net.Listener
	answer   func(req *http.Request) (response string, reset bool)
	serving  sync.WaitGroup

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// NewRawServer starts a server on a loopback address. It calls answer, possibly concurrently, for each request, whose
// body was read and can be read again. If reset is true, the connection ends with a TCP reset and else regularly.
func NewRawServer(answer func(req *http.Request) (response string, reset bool)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, answer: answer, open: make(map[net.Conn]bool)}
	s.serving.Go(s.serve)
	return s, nil
}

// URL returns the base URL of the server.
func (s *RawServer) URL() string { return "http://" + s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// track reports whether the server still serves the new connection.
func (s *RawServer) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	return !s.closed
}

func (s *RawServer) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *RawServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.serveConnection(c) })
	}
}

func (s *RawServer) serveConnection(c net.Conn) {
	defer c.Close()
	defer s.untrack(c)
	if !s.track(c) {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// A connection that is closed with unread bytes is reset.
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	response, reset := s.answer(req)
	_, _ = io.WriteString(c, response)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// Framing says how the end of a response body is marked.
type Framing string

// The framings of a response body.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingNone marks the end by the end of the connection only.
	FramingNone Framing = "none"
)

// RawResponse returns the head and the body of a response with status 200 to the request, as they are on the wire.
func RawResponse(req *http.Request, framing Framing, contentType, body string) (head, rawBody string) {
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\n",
		chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID), chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt), contentType)
	switch framing {
	case FramingLength:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	case FramingChunks:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n", body
}
