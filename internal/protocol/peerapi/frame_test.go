package peerapi

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

const traceExample = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// Guards against a field that is lost or changed between the JSON-RPC form and
// the wire form.
func TestMessageKeepsEveryField(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{"jsonrpc":"2.0","id":7,"method":"heartbeat","params":{"a":1},"meta":"` + traceExample + `"}`,
		`{"jsonrpc":"2.0","id":0,"method":"a.new.method"}`,
		`{"jsonrpc":"2.0","id":8,"result":null}`,
		`{"jsonrpc":"2.0","id":9,"error":{"code":-32601,"message":"unknown method"}}`,
	} {
		data, err := EncodeMessage([]byte(text))
		is.NoErr(err)
		back, err := DecodeMessage(data)
		is.NoErr(err)
		is.Equal(string(back), text)
	}
}

// Guards against a decoder that panics on hostile bytes, or that lets a body
// break out of its field and change the message around it.
func FuzzDecodeMessage(f *testing.F) {
	for _, text := range []string{
		`{"id":1,"method":"budget.reserve","params":{"e":"bench"},"meta":"` + traceExample + `"}`,
		`{"id":2,"result":{"k":true}}`,
		`{"id":3,"error":{"code":1,"message":"m"}}`,
	} {
		data, err := EncodeMessage([]byte(text))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := DecodeMessage(data)
		if err != nil {
			return
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil {
			t.Fatalf("decoded text is not JSON: %v", err)
		}
		_, request := fields["method"]
		_, result := fields["result"]
		_, failure := fields["error"]
		if count(request, result, failure) != 1 {
			t.Fatalf("not one kind of message: %s", text)
		}
		if request {
			_ = new(jsonrpc2.Request).UnmarshalJSON(text)
		}
	})
}

func count(flags ...bool) int {
	n := 0
	for _, set := range flags {
		if set {
			n++
		}
	}
	return n
}
