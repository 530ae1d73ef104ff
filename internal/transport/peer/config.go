// Package peer implements calls between routers: JSON-RPC 2.0 over TCP, after a mutual HMAC-SHA256
// challenge-response handshake. A peer without the fleet's key never reaches the JSON-RPC layer. The daemon
// runs one Server and one Pool per process; package peerapi defines the messages.
//
// The handshake authenticates the connection, not each message. Networks where a third party can modify
// packets need TLS, which the settings enable.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// Limits and timeouts of the protocol.
const (
	// MinKeyBytes is the minimum key length: the output size of SHA-256.
	MinKeyBytes = 32

	defaultMaxMessageBytes = 1 << 20
	// maxHelloBytes bounds what an unauthenticated peer can make the process read.
	maxHelloBytes           = 4 << 10
	defaultHandshakeTimeout = 3 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultCallTimeout      = 5 * time.Second
	// defaultIdleTimeout exceeds the 95 s in which a router of a fleet of 380 probes every other router once,
	// so that heartbeats find their connections open.
	defaultIdleTimeout = 4 * time.Minute
	// defaultMaxConns is enough for 380 routers that reconnect at the same time.
	defaultMaxConns = 1024
	// maxCallsPerConn bounds the handlers that one peer can occupy. Further messages wait in the socket
	// buffer.
	maxCallsPerConn = 64
)

// Config configures a Server or a Pool. Zero sizes and timeouts select the defaults.
type Config struct {
	Self peerapi.Identity
	// Key is the shared secret of the fleet.
	Key []byte
	// Versions is the range of supported protocol versions.
	Versions peerapi.Versions
	// MaxMessageBytes limits the size of a message in both directions.
	MaxMessageBytes int
	// HandshakeTimeout applies to dialing and to the handshake.
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// Call is the timeout of a call whose context has no deadline, and of each run of a handler.
	Call time.Duration
	// IdleTimeout closes a connection on which no message arrives.
	IdleTimeout time.Duration
	// MaxConns limits the connections that a Server accepts.
	MaxConns int
	// TLS enables TLS when it is not nil.
	TLS    *tls.Config
	Logger logrus.FieldLogger
}

// withDefaults returns the config with defaults for zero values. It fails if the key is too short.
func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < MinKeyBytes {
		return c, errors.Newf("peer key has %d bytes, need at least %d", len(c.Key), MinKeyBytes)
	}
	if c.Versions == (peerapi.Versions{}) {
		c.Versions = peerapi.Versions{Min: peerapi.MinVersion, Max: peerapi.Version}
	}
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.Call, defaultCallTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxConns, defaultMaxConns)
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	return c, nil
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// LoadTLS loads the certificate, key and CA files named in the settings. Both sides must present a certificate
// issued by the CA. Peers are dialed by IP address, and a VM's address is not known when its certificate is
// issued, so the dialing side verifies the chain but not the name. The HMAC handshake proves that the peer has
// the fleet's key and that its identity was not changed in transit.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	caPEM, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Newf("no PEM certificate in %s", caFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// VerifyConnection replaces the default verification, which requires a server name.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyChain(pool),
	}, nil
}

func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
