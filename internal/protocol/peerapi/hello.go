package peerapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Protocol versions. A process supports its own version and the previous one, so that a fleet can be upgraded
// one VM at a time.
const (
	Version    = 2
	MinVersion = Version - 1
)

// NonceSize is the size of a handshake nonce, in bytes.
const NonceSize = 16

// Versions is the range of protocol versions that a process supports.
type Versions struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Negotiate returns the newest common version, or false if there is none.
func (v Versions) Negotiate(other Versions) (int, bool) {
	newest := min(v.Max, other.Max)
	return newest, newest >= max(v.Min, other.Min)
}

// Hello is the first message of each side of a connection. The client sends its versions; the server responds
// with the version that it chose, or 0 if there is no common one.
type Hello struct {
	Versions Versions `json:"versions"`
	Chosen   int      `json:"chosen,omitempty"`
	Nonce    []byte   `json:"nonce"`
	Self     Identity `json:"self"`
}

// HelloFrame contains an encoded Hello, a proof, or both. Hello holds the bytes as sent, because the proofs
// are computed over them.
type HelloFrame struct {
	Hello []byte `json:"hello,omitempty"`
	Proof []byte `json:"proof,omitempty"`
}

// Role is the side of a connection that computed a proof.
type Role string

// The roles. The proof covers the role, so that one side's proof cannot be reflected as the proof of the
// other side.
const (
	RoleClient Role = "client"
	RoleServer Role = "server"
)

// Proof returns an HMAC-SHA256 that proves knowledge of the key. It covers both hellos, so that a nonce,
// version or identity that was modified in transit is detected.
func Proof(key []byte, role Role, clientHello, serverHello []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), clientHello, serverHello} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// CheckProof reports whether a proof is valid, in constant time.
func CheckProof(proof, key []byte, role Role, clientHello, serverHello []byte) bool {
	return hmac.Equal(proof, Proof(key, role, clientHello, serverHello))
}
