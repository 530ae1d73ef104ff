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

// ErrOversized reports a message that exceeds the size limit.
var ErrOversized = errors.New("peer message is too large")

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *expvar.Int
	// lastRead is when data was last received, in nanoseconds after clockStart.
	lastRead atomic.Int64
}

// clockStart is the origin of countingConn.lastRead, which is a difference of the monotonic clock because the time
// of day may be set.
var clockStart = time.Now()

// sinceRead returns the time since data was last received, or since clockStart.
func (c *countingConn) sinceRead() time.Duration {
	return time.Since(clockStart) - time.Duration(c.lastRead.Load())
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(clockStart)))
	}
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// readFrame reads a length-prefixed frame. It allocates memory as bytes arrive, not up front from the length
// that the sender claims.
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

// messageStream is the jsonrpc2.ObjectStream of a connection that has completed its handshake.
type messageStream struct {
	conn         net.Conn
	reader       *bufio.Reader
	codec        *peerapi.Codec
	maxBytes     int
	writeTimeout time.Duration
	idleTimeout  time.Duration
	// onReadError, if set, is called once with the error that ended reading.
	onReadError func(error)

	mu sync.Mutex
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *messageStream) ReadObject(v any) error {
	err := s.read(v)
	if err != nil && s.onReadError != nil {
		s.onReadError(err)
	}
	return err
}

func (s *messageStream) read(v any) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
		return err
	}
	data, err := readFrame(s.reader, s.maxBytes)
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

// WriteObject implements jsonrpc2.ObjectStream. The write timeout ends a write to a peer that does not read;
// otherwise calls to that peer would block forever.
func (s *messageStream) WriteObject(obj any) error {
	text, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	data, err := s.codec.Encode(text)
	if err != nil {
		return err
	}
	if len(data) > s.maxBytes {
		return errors.Wrapf(ErrOversized, "%d bytes", len(data))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if err := writeFrame(s.conn, data); err != nil {
		// The frame may have been sent in part, so no other frame may follow it.
		_ = s.conn.Close()
		return err
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *messageStream) Close() error { return s.conn.Close() }

// countBadMessage counts a malformed or oversized message, which ends its connection. It returns false if the
// connection ended for another reason.
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
