package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// ErrOversized reports a message above the size limit.
var ErrOversized = errors.New("peer message is too large")

// countedConn adds the bytes of a connection to its direction's counters.
type countedConn struct {
	net.Conn
	sent, received *expvar.Int
	// lastRead is the time of the last received byte, in Unix nanoseconds.
	lastRead atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// readFrame reads a length and as many bytes. Memory for a frame grows with
// the bytes that arrive, not with the length that the sender claims.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > uint64(limit) {
		return nil, errors.Wrapf(ErrOversized, "%d bytes", size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && uint64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

func writeFrame(w io.Writer, data []byte) error {
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

// stream is the jsonrpc2.ObjectStream of a connection after its handshake.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	codec  *peerapi.Codec
	limit  int
	write  time.Duration
	idle   time.Duration
	// failed is called once with the error that ended reading.
	failed func(error)

	mu sync.Mutex
}

// ReadObject reads the next message into v, a jsonrpc2 message.
func (s *stream) ReadObject(v any) error {
	err := s.read(v)
	if err != nil && s.failed != nil {
		s.failed(err)
	}
	return err
}

func (s *stream) read(v any) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
		return err
	}
	data, err := readFrame(s.reader, s.limit)
	if err != nil {
		return err
	}
	text, err := s.codec.Decode(data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode peer message"), peerapi.ErrMalformed)
	}
	return nil
}

// WriteObject sends one message. A peer that does not read is given up after
// the write timeout, so a stuck peer holds no caller for ever.
func (s *stream) WriteObject(obj any) error {
	text, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	data, err := s.codec.Encode(text)
	if err != nil {
		return err
	}
	if len(data) > s.limit {
		return errors.Wrapf(ErrOversized, "%d bytes", len(data))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.write)); err != nil {
		return err
	}
	if err := writeFrame(s.conn, data); err != nil {
		// Part of the frame may be on the wire, so nothing may follow it.
		_ = s.conn.Close()
		return err
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// countBadMessage counts a message that ends a connection. It returns false
// for the usual ends of a connection.
func countBadMessage(err error) bool {
	switch {
	case errors.Is(err, ErrOversized):
		obs.PeerOversizedTotal.Add(1)
	case errors.Is(err, peerapi.ErrMalformed):
		obs.PeerMalformedTotal.Add(1)
	default:
		return false
	}
	return true
}
