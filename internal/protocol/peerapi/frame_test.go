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

// Guards against a field that is lost or changed when a message is encoded and decoded.
func TestMessageRoundTrip(t *testing.T) {
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

// Guards against a decoder that panics on malicious input, or that lets the content of a body alter the rest
// of the message.
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
		if countTrue(request, result, failure) != 1 {
			t.Fatalf("message is not exactly one of request, result and error: %s", text)
		}
		if request {
			_ = new(jsonrpc2.Request).UnmarshalJSON(text)
		}
	})
}

func countTrue(flags ...bool) int {
	n := 0
	for _, set := range flags {
		if set {
			n++
		}
	}
	return n
}

// Guards against a body that is changed by compacting and expanding it, and against a short message that
// expands beyond the limit.
func FuzzCompactBody(f *testing.F) {
	f.Add([]byte(`{"from":"vm-1/i1","entry":{"Name":"abcdef"},"z":["abcdef","\"from\":"]}`))
	f.Add([]byte(`{"kind":"from","a":["entry","bill"]}`))
	f.Add([]byte(`"` + strings.Repeat("x", 200) + `"` + strings.Repeat("\x02\x02", 10)))
	f.Fuzz(func(t *testing.T, body []byte) {
		const limit = 1 << 10
		if text, err := expandBody(body, testCodec.presetStrings, limit); err == nil && len(text) > max(limit, len(body)) {
			t.Fatalf("%d bytes expanded to %d", len(body), len(text))
		}
		if !json.Valid(body) || len(body) > limit {
			return
		}
		compacted, err := compactBody(body, testCodec.presetStrings)
		if err != nil {
			t.Fatal(err)
		}
		back, err := expandBody(compacted, testCodec.presetStrings, limit)
		if err != nil || string(back) != string(body) || len(compacted) > len(body) {
			t.Fatalf("%q was compacted to %q and expanded to %q: %v", body, compacted, back, err)
		}
	})
}
