// Package peerapi defines the messages between routers and their wire format. Package peer transports them.
// The parameters of the budget calls are defined in package budget.
//
// A message is a JSON-RPC 2.0 request or response. On the wire it is a short CBOR array instead of a JSON
// object, because the fields around the parameters, with the trace context, would otherwise be larger than
// the parameters.
package peerapi

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports a message that does not decode or fails its checks.
var ErrMalformed = errors.New("malformed peer message")

// Kind is the kind of message in a frame.
type Kind uint8

// The kinds of message.
const (
	KindRequest Kind = iota
	KindResult
	KindError
)

// Methods of the peer protocol that have a number on the wire. Package daemon defines further ones, which are
// sent by name.
const (
	MethodHeartbeat   = "heartbeat"
	MethodReserve     = "budget.reserve"
	MethodSettle      = "budget.settle"
	MethodAcquire     = "budget.acquire"
	MethodJournal     = "budget.journal"
	MethodReturn      = "budget.return"
	MethodClaimPlace  = "claim.place"
	MethodConfigFetch = "config.fetch"
	MethodRequestFind = "request.find"
)

// methods lists the well-known methods; a method's index is its number on the wire. The numbers are part of
// the protocol, so methods may only be appended. Number 0 means that the frame contains the method name.
var methods = []string{
	"", MethodHeartbeat, MethodReserve, MethodSettle, MethodAcquire, MethodJournal,
	MethodReturn, MethodClaimPlace, MethodConfigFetch, MethodRequestFind,
}

var methodNumbers = numberMethods()

func numberMethods() map[string]uint8 {
	numbers := make(map[string]uint8, len(methods))
	for i, name := range methods[1:] {
		numbers[name] = uint8(i + 1)
	}
	return numbers
}

// Frame is one message in its wire format.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	ID   uint64
	// Method is the number of a well-known method; for any other method it is 0 and Name is set.
	Method uint8
	Name   string
	// Trace is a W3C traceparent in binary form, or empty.
	Trace []byte
	// Body contains the parameters, the result or the error, as JSON or in compact form.
	Body []byte
}

// envelope is the JSON-RPC 2.0 form of a Frame.
type envelope struct {
	Version string          `json:"jsonrpc"`
	ID      *uint64         `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
	// Meta is the W3C traceparent of the message, or empty.
	Meta string `json:"meta,omitempty"`
}

// decMode rejects duplicate map keys, deep nesting and items of indefinite length.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: 4,
		IndefLength:     cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// compactVersion is the first protocol version that uses compact bodies.
const compactVersion = 2

// Codec encodes and decodes the messages of one connection. It is immutable and safe for concurrent use.
type Codec struct {
	compact       bool
	presetStrings [][]byte
	maxBodyBytes  int
}

// NewCodec returns the codec of a connection with the negotiated version. Compact bodies that expand beyond
// maxBodyBytes are rejected.
func NewCodec(version, maxBodyBytes int, client, server Identity) *Codec {
	c := &Codec{compact: version >= compactVersion, maxBodyBytes: maxBodyBytes}
	for _, side := range []Identity{client, server} {
		// Most messages contain the holder ID of one of the sides.
		literal, err := json.Marshal(side.VM + "/" + side.Incarnation)
		if err == nil && stringTable(c.presetStrings).find(literal) < 0 {
			c.presetStrings = append(c.presetStrings, literal)
		}
	}
	return c
}

// Encode converts the JSON-RPC 2.0 text of a message to its wire format.
func (c *Codec) Encode(text []byte) ([]byte, error) {
	var e envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	if e.ID == nil {
		return nil, errors.New("encode peer message: notifications are not part of the protocol")
	}
	f := Frame{ID: *e.ID}
	switch {
	case e.Method != "":
		f.Kind, f.Body = KindRequest, e.Params
		f.Method = methodNumbers[e.Method]
		if f.Method == 0 {
			f.Name = e.Method
		}
	case e.Error != nil:
		f.Kind, f.Body = KindError, e.Error
	default:
		f.Kind, f.Body = KindResult, e.Result
	}
	f.Trace = packTrace(e.Meta)
	if c.compact {
		var err error
		if f.Body, err = compactBody(f.Body, c.presetStrings); err != nil {
			return nil, errors.Wrap(err, "encode peer message")
		}
	}
	data, err := cbor.Marshal(f)
	return data, errors.Wrap(err, "encode peer message")
}

// Decode converts the wire format of a message to JSON-RPC 2.0 text. It validates every part, so that the
// text contains exactly one request or response.
func (c *Codec) Decode(data []byte) ([]byte, error) {
	var f Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode peer message"), ErrMalformed)
	}
	if c.compact {
		body, err := expandBody(f.Body, c.presetStrings, c.maxBodyBytes)
		if err != nil {
			return nil, errors.Mark(err, ErrMalformed)
		}
		f.Body = body
	}
	e, err := f.envelope()
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	// Marshal rejects a body that is not a single JSON value.
	text, err := json.Marshal(e)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode peer message"), ErrMalformed)
	}
	return text, nil
}

func (f Frame) envelope() (envelope, error) {
	trace, err := unpackTrace(f.Trace)
	if err != nil {
		return envelope{}, err
	}
	e := envelope{Version: "2.0", ID: &f.ID, Meta: trace}
	switch f.Kind {
	case KindRequest:
		e.Method, err = f.method()
		e.Params = f.Body
		return e, err
	case KindResult:
		e.Result = f.Body
		if len(f.Body) == 0 {
			e.Result = json.RawMessage("null")
		}
		return e, nil
	case KindError:
		e.Error = f.Body
		if !bytes.HasPrefix(bytes.TrimSpace(f.Body), []byte("{")) {
			return envelope{}, errors.New("error body is not a JSON object")
		}
		return e, nil
	}
	return envelope{}, errors.Newf("unknown message kind %d", f.Kind)
}

func (f Frame) method() (string, error) {
	switch {
	case f.Method == 0 && f.Name != "":
		return f.Name, nil
	case f.Method > 0 && int(f.Method) < len(methods) && f.Name == "":
		return methods[f.Method], nil
	}
	return "", errors.Newf("unknown method number %d", f.Method)
}
