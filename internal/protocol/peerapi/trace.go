package peerapi

import (
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// The version of a W3C traceparent, and its sizes as text, "00-<32 hex>-<16 hex>-<2 hex>", and in binary form,
// the decoded bytes of the three hexadecimal fields after the version.
const (
	traceTextSize   = 55
	tracePackedSize = 16 + 8 + 1
	traceVersion    = "00-"
)

// packTrace returns the binary form of a traceparent, or nil if it is not a valid traceparent of version 00.
// The traceparent is optional, so an invalid one never fails a call.
func packTrace(text string) []byte {
	if len(text) != traceTextSize || text[:3] != traceVersion || text[35] != '-' || text[52] != '-' {
		return nil
	}
	packed, err := hex.DecodeString(text[3:35] + text[36:52] + text[53:])
	if err != nil {
		return nil
	}
	return packed
}

// unpackTrace returns the traceparent for the result of packTrace, or an empty string for none.
func unpackTrace(packed []byte) (string, error) {
	if len(packed) == 0 {
		return "", nil
	}
	if len(packed) != tracePackedSize {
		return "", errors.Newf("trace context of %d bytes", len(packed))
	}
	text := hex.EncodeToString(packed)
	return traceVersion + text[:32] + "-" + text[32:48] + "-" + text[48:], nil
}
