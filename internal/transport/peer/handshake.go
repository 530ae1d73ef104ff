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

// Handshake errors.
var (
	// ErrKeyMismatch reports a peer whose proof was not computed with the fleet's key.
	ErrKeyMismatch = errors.New("peer does not have the fleet key")
	// ErrVersionMismatch reports a peer without a common protocol version.
	ErrVersionMismatch = errors.New("no common protocol version")
)

// handshakeConn reads and writes handshake frames.
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
	data, err := readFrame(h.reader, maxHelloBytes)
	if err != nil {
		return f, err
	}
	return f, decodeSingleJSON(data, &f)
}

func (h *handshakeConn) receiveHello() (peerapi.HelloFrame, peerapi.Hello, error) {
	var hello peerapi.Hello
	f, err := h.receive()
	if err != nil {
		return f, hello, err
	}
	if err := decodeSingleJSON(f.Hello, &hello); err != nil {
		return f, hello, err
	}
	if len(hello.Nonce) != peerapi.NonceSize || hello.Self.VM == "" || hello.Self.Incarnation == "" {
		return f, hello, errors.Wrap(peerapi.ErrMalformed, "hello lacks a nonce or an identity")
	}
	return f, hello, nil
}

// decodeSingleJSON decodes data that must hold exactly one JSON value. Unknown keys are ignored, so that a
// newer peer can add fields.
func decodeSingleJSON(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode hello"), peerapi.ErrMalformed)
	}
	if dec.More() {
		return errors.Wrap(peerapi.ErrMalformed, "hello has trailing data")
	}
	return nil
}

func (c Config) newHello(chosen int) ([]byte, error) {
	nonce := make([]byte, peerapi.NonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "generate nonce")
	}
	return json.Marshal(peerapi.Hello{Versions: c.Versions, Chosen: chosen, Nonce: nonce, Self: c.Self})
}

// clientHandshake runs the handshake of the dialing side.
func (c Config) clientHandshake(h *handshakeConn) (peerapi.Identity, error) {
	own, err := c.newHello(0)
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
		return peerapi.Identity{}, ErrKeyMismatch
	}
	if hello.Chosen < c.Versions.Min || hello.Chosen > c.Versions.Max {
		return peerapi.Identity{}, errors.Wrapf(ErrVersionMismatch, "own versions %v, peer versions %v", c.Versions, hello.Versions)
	}
	proof := peerapi.Proof(c.Key, peerapi.RoleClient, own, frame.Hello)
	if err := h.send(peerapi.HelloFrame{Proof: proof}); err != nil {
		return peerapi.Identity{}, err
	}
	hello.Self.Version = hello.Chosen
	return hello.Self, h.conn.SetDeadline(time.Time{})
}

// serverHandshake runs the handshake of the accepting side. Without a common version it still sends its
// proof, so that the client can trust the reason for the failure.
func (c Config) serverHandshake(h *handshakeConn) (peerapi.Identity, error) {
	frame, hello, err := h.receiveHello()
	if err != nil {
		return peerapi.Identity{}, err
	}
	version, agreed := c.Versions.Negotiate(hello.Versions)
	if !agreed {
		version = 0
	}
	own, err := c.newHello(version)
	if err != nil {
		return peerapi.Identity{}, err
	}
	proof := peerapi.Proof(c.Key, peerapi.RoleServer, frame.Hello, own)
	if err := h.send(peerapi.HelloFrame{Hello: own, Proof: proof}); err != nil {
		return peerapi.Identity{}, err
	}
	if !agreed {
		return peerapi.Identity{}, errors.Wrapf(ErrVersionMismatch, "own versions %v, peer versions %v", c.Versions, hello.Versions)
	}
	clientProof, err := h.receive()
	if err != nil {
		return peerapi.Identity{}, err
	}
	if !peerapi.CheckProof(clientProof.Proof, c.Key, peerapi.RoleClient, frame.Hello, own) {
		return peerapi.Identity{}, ErrKeyMismatch
	}
	hello.Self.Version = version
	return hello.Self, h.conn.SetDeadline(time.Time{})
}
