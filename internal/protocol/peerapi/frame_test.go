package peerapi

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

var testCodec = NewCodec(Version, 1<<16, Identity{VM: "vm-1", Incarnation: "i1"}, Identity{VM: "vm-2", Incarnation: "i2"})

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
		`{"jsonrpc":"2.0","id":10,"method":"budget.settle","params":{"from":"vm-1/i1","request_id":"r-12345","bill":{"request_id":"r-12345","x":"\\\"from\\\":"}}}`,
	} {
		data, err := testCodec.Encode([]byte(text))
		is.NoErr(err)
		back, err := testCodec.Decode(data)
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
		data, err := testCodec.Encode([]byte(text))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := testCodec.Decode(data)
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

// Guards against a body that changes in its compact form, and against a short
// message that expands beyond the limit.
func FuzzCompactBody(f *testing.F) {
	f.Add([]byte(`{"from":"vm-1/i1","entry":{"Name":"abcdef"},"z":["abcdef","\"from\":"]}`))
	f.Add([]byte(`{"kind":"from","a":["entry","bill"]}`))
	f.Add([]byte(`"` + strings.Repeat("x", 200) + `"` + strings.Repeat("\x02\x02", 10)))
	f.Fuzz(func(t *testing.T, body []byte) {
		const limit = 1 << 10
		if text, err := expand(body, testCodec.known, limit); err == nil && len(text) > max(limit, len(body)) {
			t.Fatalf("%d bytes expanded to %d", len(body), len(text))
		}
		if !json.Valid(body) || len(body) > limit {
			return
		}
		short, err := shorten(body, testCodec.known)
		if err != nil {
			t.Fatal(err)
		}
		back, err := expand(short, testCodec.known, limit)
		if err != nil || string(back) != string(body) || len(short) > len(body) {
			t.Fatalf("%q became %q, then %q: %v", body, short, back, err)
		}
	})
}
