package chat

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// TestBoundCoversWhatTheEngineReads guards against a body that is reserved for
// less than the engine may use: by a name in another case, a field that only the
// engine knows, several answers, or text that grows when it is decoded.
func TestBoundCoversWhatTheEngineReads(t *testing.T) {
	is := is.New(t)
	const form = `{"model":"m","messages":[{"role":"user","content":"%s"%s}],"max_tokens":10%s}`
	long := strings.Repeat("x", 1000)
	for _, body := range []string{
		fmt.Sprintf(form, long, `,"Content":"x"`, ""),
		fmt.Sprintf(form, "x", `,"tool_calls":"`+long+`"`, ""),
		fmt.Sprintf(form, "x", "", `,"tools":"`+long+`"`),
		fmt.Sprintf(form, "x", "", `,"n":100`),
	} {
		r, err := Parse([]byte(body))
		is.NoErr(err)
		is.True(r.Bound() >= 1000)
	}
	r, err := Parse([]byte(fmt.Sprintf(form, "x", "", `,"Max_Tokens":1,"MODEL":"other"`)))
	is.NoErr(err)
	is.Equal(r.Model, "m")
	is.Equal(r.MaxTokens, int64(10))
	for _, body := range []string{
		fmt.Sprintf(form, "x", "", `,"max_completion_tokens":11`),
		fmt.Sprintf(form, "x", "", `,"best_of":2`),
		fmt.Sprintf(form, "x", "", `,"n":-1`),
		fmt.Sprintf(form, "x", "", `,"n":1000000`),
		fmt.Sprintf(form, "\xff", "", ""),
	} {
		_, err := Parse([]byte(body))
		is.True(err != nil)
	}
}

// TestParseNeverPanics guards against a body that takes the router down.
func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.SampledFrom([]string{
			"{", "}", "[", "]", ",", ":", `"messages"`, `"content"`, `"max_tokens"`, `"n"`, "1", "-1", "null", `"x"`,
		})).Draw(t, "body")
		r, err := Parse([]byte(strings.Join(body, "")))
		if err == nil && r.Bound() < 1 {
			t.Fatalf("bound is %d", r.Bound())
		}
	})
}
