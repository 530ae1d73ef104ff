package hop

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a caller that reaches the path for routers: with no proof, with one for another request or another router,
// with another fleet's, or with an old one.
func TestProofIsForOneRequest(t *testing.T) {
	is := is.New(t)
	key := NewKey([]byte("0123456789abcdef0123456789abcdef"))
	now := time.Unix(1_000_000, 0)
	request := Request{Address: "10.0.0.1:1", ID: "id", Method: "POST", Host: "h", URI: "/a?b", Counted: true}
	proof, err := key.Sign(request, now)
	is.NoErr(err)
	again, err := key.Sign(request, now)
	is.NoErr(err)
	is.True(proof != again)
	for _, skew := range []time.Duration{0, 5 * time.Second, -5 * time.Second, validity, -validity} {
		got, err := key.Verify(proof, Request{Address: "10.0.0.1:1", ID: "id", Method: "POST", Host: "h", URI: "/a?b"}, now.Add(skew))
		is.NoErr(err)
		is.True(got.Counted)
	}
	for name, c := range map[string]struct {
		key   Key
		proof string
		r     Request
		after time.Duration
	}{
		"none":          {key, "", request, 0},
		"other key":     {NewKey([]byte("another key of 32 bytes or more..")), proof, request, 0},
		"other router":  {key, proof, Request{Address: "10.0.0.2:1", ID: "id", Method: "POST", Host: "h", URI: "/a?b"}, 0},
		"other ID":      {key, proof, Request{Address: "10.0.0.1:1", ID: "i", Method: "POST", Host: "h", URI: "/a?b"}, 0},
		"other method":  {key, proof, Request{Address: "10.0.0.1:1", ID: "id", Method: "GET", Host: "h", URI: "/a?b"}, 0},
		"other host":    {key, proof, Request{Address: "10.0.0.1:1", ID: "id", Method: "POST", Host: "i", URI: "/a?b"}, 0},
		"moved bytes":   {key, proof, Request{Address: "10.0.0.1:1", ID: "id", Method: "POST", Host: "h/", URI: "a?b"}, 0},
		"old":           {key, proof, request, validity + time.Millisecond},
		"of the future": {key, proof, request, -validity - time.Millisecond},
		"cut":           {key, proof[:len(proof)-1], request, 0},
	} {
		if _, err := c.key.Verify(c.proof, c.r, now.Add(c.after)); !errors.Is(err, ErrUnauthorized) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
