// Package peerapi defines the messages that the routers send each other and
// their wire form.
//
// A message is a JSON-RPC 2.0 request or response. On the wire its envelope is
// a short CBOR array instead of JSON text, because the envelope and the trace
// context would otherwise be larger than the parameters that they carry.
package peerapi

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports a message that does not decode or fails its checks.
var ErrMalformed = errors.New("malformed peer message")

// Kind says what a frame carries.
type Kind uint8

// The kinds of frame.
const (
	KindRequest Kind = iota
	KindResult
	KindError
)

// Methods of the peers' protocol.
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

// methods gives each well-known method its number on the wire, which is its
// index. Numbers are part of the protocol: append only. Number 0 means that
// the frame carries the name.
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

// Frame is one message as it is sent.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	ID   uint64
	// Method is the number of a well-known method; Name is set for others.
	Method uint8
	Name   string
	// Trace is a W3C trace context in binary form, or empty.
	Trace []byte
	// Body is JSON, or its compact form: the parameters, the result or the error.
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
	Meta    string          `json:"meta,omitempty"`
}

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

// compactVersion is the first protocol version with compact bodies.
const compactVersion = 2

// Codec turns messages of one connection into their wire form and back. It is
// never changed and safe for concurrent use.
type Codec struct {
	compact bool
	known   [][]byte
	limit   int
}

// NewCodec returns the codec of a connection with the agreed version. Texts
// above the limit are refused.
func NewCodec(version, limit int, client, server Identity) *Codec {
	c := &Codec{compact: version >= compactVersion, limit: limit}
	for _, side := range []Identity{client, server} {
		// The id of either side as a holder is in most messages.
		literal, err := json.Marshal(side.VM + "/" + side.Incarnation)
		if err == nil && sharedStrings(c.known).find(literal) < 0 {
			c.known = append(c.known, literal)
		}
	}
	return c
}

// Encode turns the JSON-RPC 2.0 text of a message into its wire form.
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
		if f.Body, err = shorten(f.Body, c.known); err != nil {
			return nil, errors.Wrap(err, "encode peer message")
		}
	}
	data, err := cbor.Marshal(f)
	return data, errors.Wrap(err, "encode peer message")
}

// Decode turns the wire form of a message into JSON-RPC 2.0 text. Every part is
// checked, so the text has exactly one request or response in it.
func (c *Codec) Decode(data []byte) ([]byte, error) {
	var f Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode peer message"), ErrMalformed)
	}
	if c.compact {
		body, err := expand(f.Body, c.known, c.limit)
		if err != nil {
			return nil, errors.Mark(err, ErrMalformed)
		}
		f.Body = body
	}
	e, err := f.envelope()
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	// Marshal rejects a body that is not one JSON value.
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
			return envelope{}, errors.New("error body is not an object")
		}
		return e, nil
	}
	return envelope{}, errors.Newf("unknown kind %d", f.Kind)
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
