// Package hop authenticates requests that a router passes on to a peer and defines the headers of that protocol. Such a
// request is the caller's, sent over HTTP/1.1 to a listener for routers only. Package httpapi sends and serves it.
package hop

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// HeaderAuth proves that a router passed the request on.
	HeaderAuth = "Router-Hop"
	// HeaderResult says what a response of a router is, see Result.
	HeaderResult = "Router-Hop-Result"
	// HeaderLeaving names, in a response, the instances of upstreams that have said to the responding router that they leave.
	HeaderLeaving = "Router-Hop-Leaving"
)

// Result is the value of HeaderResult.
type Result string

// Results of a request that was passed on.
const (
	// ResultAnswer is the answer of an upstream.
	ResultAnswer Result = "answer"
	// ResultRefused means that the request did not run and will not.
	ResultRefused Result = "refused"
	// ResultBusy is ResultRefused by a router that has no room, and ResultLeaving by one that stops.
	ResultBusy    Result = "busy"
	ResultLeaving Result = "leaving"
	// ResultNoPath is ResultRefused by a router that reaches no upstream of the service.
	ResultNoPath Result = "no-path"
	// ResultUnknown means that the request may have run.
	ResultUnknown Result = "unknown"
)

// NotRun reports whether the request provably did not run.
func (r Result) NotRun() bool {
	return r == ResultRefused || r == ResultBusy || r == ResultLeaving || r == ResultNoPath
}

const (
	version = "1"
	// validity is the time for which a proof is accepted, before and after it was made. It covers differences between
	// the clocks of two VMs.
	validity   = time.Minute
	nonceBytes = 12
)

// ErrUnauthorized reports a request that no router of the fleet has passed on to this one.
var ErrUnauthorized = errors.New("the request was not passed on by a router of the fleet")

// Key signs and verifies proofs.
type Key struct{ key []byte }

// NewKey derives a Key from the key that the routers of the fleet share.
func NewKey(fleetKey []byte) Key {
	mac := hmac.New(sha256.New, fleetKey)
	_, _ = io.WriteString(mac, "dotterelthread hop "+version)
	return Key{mac.Sum(nil)}
}

// Request is what a proof is valid for.
type Request struct {
	// Address is that of the peer.
	Address string
	// ID is the ID of the caller's attempt.
	ID                string
	Method, Host, URI string
	// Counted is true if the router that passes the request on has counted it towards its retry budget.
	Counted bool
}

// Sign returns the value of HeaderAuth.
func (k Key) Sign(r Request, now time.Time) (string, error) {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return "", errors.Wrap(err, "read random bytes")
	}
	fields := []string{version, strconv.FormatInt(now.UnixMilli(), 10), hex.EncodeToString(nonce[:]), strconv.FormatBool(r.Counted)}
	return strings.Join(append(fields, k.mac(r, fields)), " "), nil
}

// Verify checks the value of HeaderAuth and sets Counted of the returned request. Its error is ErrUnauthorized.
func (k Key) Verify(value string, r Request, now time.Time) (Request, error) {
	fields := strings.Split(value, " ")
	if len(fields) != 5 || fields[0] != version {
		return r, ErrUnauthorized
	}
	r.Counted = fields[3] == strconv.FormatBool(true)
	if !hmac.Equal([]byte(fields[4]), []byte(k.mac(r, fields[:4]))) {
		return r, ErrUnauthorized
	}
	millis, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || now.Sub(time.UnixMilli(millis)).Abs() > validity {
		return r, errors.Wrap(ErrUnauthorized, "the proof has expired or the clocks differ")
	}
	return r, nil
}

func (k Key) mac(r Request, fields []string) string {
	mac := hmac.New(sha256.New, k.key)
	for _, text := range append([]string{r.Address, r.ID, r.Method, r.Host, r.URI}, fields...) {
		_, _ = io.WriteString(mac, strconv.Itoa(len(text))+":"+text)
	}
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
