package peerapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Protocol versions. A process speaks its own version and the one before it, so
// that a fleet can be replaced one VM after the other.
const (
	Version    = 2
	MinVersion = Version - 1
)

// NonceSize is the size of a challenge, in bytes.
const NonceSize = 16

// Versions is the range of protocol versions that a process speaks.
type Versions struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Agree returns the newest common version, or false when there is none.
func (v Versions) Agree(other Versions) (int, bool) {
	newest := min(v.Max, other.Max)
	return newest, newest >= max(v.Min, other.Min)
}

// Hello opens a connection. The connecting side sends its versions; the
// accepting side answers with the version that it chose, 0 for none.
type Hello struct {
	Versions Versions `json:"versions"`
	Chosen   int      `json:"chosen,omitempty"`
	Nonce    []byte   `json:"nonce"`
	Self     Identity `json:"self"`
}

// HelloFrame carries a Hello or a proof. Hello is kept as the bytes that were
// sent, because the proofs cover them.
type HelloFrame struct {
	Hello []byte `json:"hello,omitempty"`
	Proof []byte `json:"proof,omitempty"`
}

// Role says which side of a connection made a proof.
type Role string

// The roles. They differ in the proof, so that one side's proof cannot be sent
// back to it as the other side's.
const (
	RoleClient Role = "client"
	RoleServer Role = "server"
)

// Proof returns the HMAC-SHA256 that shows knowledge of the key. It covers both
// hellos, so neither nonce, version nor identity can be changed on the way.
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

// CheckProof reports whether a proof is right, in constant time.
func CheckProof(proof, key []byte, role Role, clientHello, serverHello []byte) bool {
	return hmac.Equal(proof, Proof(key, role, clientHello, serverHello))
}
