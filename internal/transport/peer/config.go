// Package peer carries calls between the routers: JSON-RPC 2.0 over TCP, opened
// by a mutual HMAC-SHA256 challenge. A peer that does not know the key never
// reaches the JSON-RPC layer.
//
// The challenge authenticates the connection and not each message. Networks
// where others can change packets need TLS, which the settings switch on.
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

// Sizes and times of the protocol.
const (
	// MinKeyBytes is the shortest key accepted: the output size of SHA-256.
	MinKeyBytes = 32

	defaultMaxMessage = 1 << 20
	// maxHello bounds what a stranger can make a process read.
	maxHello         = 4 << 10
	defaultHandshake = 3 * time.Second
	defaultWrite     = 5 * time.Second
	defaultCall      = 5 * time.Second
	// defaultIdle is longer than the 95 s in which one of 380 nodes probes each
	// other node once, so that heartbeats find their connections open.
	defaultIdle = 4 * time.Minute
	// defaultMaxConns leaves room for 380 nodes that all reconnect at once.
	defaultMaxConns = 1024
	// maxCallsPerConn bounds the handlers that one peer can occupy. Further
	// messages wait in the peer's socket.
	maxCallsPerConn = 64
)

// Config is what both sides of the protocol need. Zero values of sizes and
// times mean the defaults.
type Config struct {
	Self peerapi.Identity
	// Key is shared by the fleet.
	Key []byte
	// Versions is the range of protocol versions spoken.
	Versions   peerapi.Versions
	MaxMessage int
	Handshake  time.Duration
	Write      time.Duration
	Call       time.Duration
	Idle       time.Duration
	MaxConns   int
	// TLS is used when it is not nil.
	TLS    *tls.Config
	Logger logrus.FieldLogger
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < MinKeyBytes {
		return c, errors.Newf("the peers' key has %d bytes; at least %d are needed", len(c.Key), MinKeyBytes)
	}
	if c.Versions == (peerapi.Versions{}) {
		c.Versions = peerapi.Versions{Min: peerapi.MinVersion, Max: peerapi.Version}
	}
	setDefault(&c.MaxMessage, defaultMaxMessage)
	setDefault(&c.Handshake, defaultHandshake)
	setDefault(&c.Write, defaultWrite)
	setDefault(&c.Call, defaultCall)
	setDefault(&c.Idle, defaultIdle)
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

// LoadTLS reads the certificate, key and CA files of the settings. Both sides
// must present a certificate of the CA. Peers are addressed by IP address and
// a VM's address is not known when certificates are made, so a connecting side
// checks the chain and not the name; the HMAC challenge says who it is.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the peers' certificate")
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the peers' CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s has no certificate in PEM form", caFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// VerifyConnection replaces the default check, which needs a name.
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
