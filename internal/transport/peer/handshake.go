package peer

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// Errors of a handshake.
var (
	// ErrStranger reports a peer that does not know the key.
	ErrStranger = errors.New("peer does not know the key")
	// ErrVersion reports a peer without a common protocol version.
	ErrVersion = errors.New("no common protocol version")
)

// handshakeConn reads and writes the frames of a handshake.
type handshakeConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newHandshakeConn(conn net.Conn, timeout time.Duration) (*handshakeConn, error) {
	err := conn.SetDeadline(time.Now().Add(timeout))
	return &handshakeConn{conn: conn, reader: bufio.NewReader(conn)}, err
}

func (h *handshakeConn) send(f peerapi.HelloFrame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return writeFrame(h.conn, data)
}

func (h *handshakeConn) receive() (peerapi.HelloFrame, error) {
	var f peerapi.HelloFrame
	data, err := readFrame(h.reader, maxHello)
	if err != nil {
		return f, err
	}
	return f, strictJSON(data, &f)
}

func (h *handshakeConn) receiveHello() (peerapi.HelloFrame, peerapi.Hello, error) {
	var hello peerapi.Hello
	f, err := h.receive()
	if err != nil {
		return f, hello, err
	}
	if err := strictJSON(f.Hello, &hello); err != nil {
		return f, hello, err
	}
	if len(hello.Nonce) != peerapi.NonceSize || hello.Self.VM == "" || hello.Self.Incarnation == "" {
		return f, hello, errors.Wrap(peerapi.ErrMalformed, "hello lacks a nonce or an identity")
	}
	return f, hello, nil
}

// strictJSON decodes a single JSON value. Unknown keys are allowed, so that a
// newer peer can add some.
func strictJSON(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode hello"), peerapi.ErrMalformed)
	}
	if dec.More() {
		return errors.Wrap(peerapi.ErrMalformed, "hello has trailing data")
	}
	return nil
}

func (c Config) hello(chosen int) ([]byte, error) {
	nonce := make([]byte, peerapi.NonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "make a nonce")
	}
	return json.Marshal(peerapi.Hello{Versions: c.Versions, Chosen: chosen, Nonce: nonce, Self: c.Self})
}

// connect is the handshake of the side that opened the connection.
func (c Config) connect(h *handshakeConn) (peerapi.Identity, error) {
	own, err := c.hello(0)
	if err != nil {
		return peerapi.Identity{}, err
	}
	if err := h.send(peerapi.HelloFrame{Hello: own}); err != nil {
		return peerapi.Identity{}, err
	}
	frame, hello, err := h.receiveHello()
	if err != nil {
		return peerapi.Identity{}, err
	}
	if !peerapi.CheckProof(frame.Proof, c.Key, peerapi.RoleServer, own, frame.Hello) {
		return peerapi.Identity{}, ErrStranger
	}
	if hello.Chosen < c.Versions.Min || hello.Chosen > c.Versions.Max {
		return peerapi.Identity{}, errors.Wrapf(ErrVersion, "own %v, peer %v", c.Versions, hello.Versions)
	}
	proof := peerapi.Proof(c.Key, peerapi.RoleClient, own, frame.Hello)
	if err := h.send(peerapi.HelloFrame{Proof: proof}); err != nil {
		return peerapi.Identity{}, err
	}
	hello.Self.Version = hello.Chosen
	return hello.Self, h.conn.SetDeadline(time.Time{})
}

// accept is the handshake of the side that accepted the connection. Without a
// common version it still proves itself, so that the other side learns why.
func (c Config) accept(h *handshakeConn) (peerapi.Identity, error) {
	frame, hello, err := h.receiveHello()
	if err != nil {
		return peerapi.Identity{}, err
	}
	version, agreed := c.Versions.Agree(hello.Versions)
	if !agreed {
		version = 0
	}
	own, err := c.hello(version)
	if err != nil {
		return peerapi.Identity{}, err
	}
	proof := peerapi.Proof(c.Key, peerapi.RoleServer, frame.Hello, own)
	if err := h.send(peerapi.HelloFrame{Hello: own, Proof: proof}); err != nil {
		return peerapi.Identity{}, err
	}
	if !agreed {
		return peerapi.Identity{}, errors.Wrapf(ErrVersion, "own %v, peer %v", c.Versions, hello.Versions)
	}
	answer, err := h.receive()
	if err != nil {
		return peerapi.Identity{}, err
	}
	if !peerapi.CheckProof(answer.Proof, c.Key, peerapi.RoleClient, frame.Hello, own) {
		return peerapi.Identity{}, ErrStranger
	}
	hello.Self.Version = version
	return hello.Self, h.conn.SetDeadline(time.Time{})
}
