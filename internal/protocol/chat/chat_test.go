package chat

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// TestBoundCoversEngineUsage guards against a reservation that is smaller than the engine's possible usage,
// because of a field name in another case, a field that only the engine knows, several choices, or invalid
// UTF-8 that grows when the engine decodes it.
func TestBoundCoversEngineUsage(t *testing.T) {
	is := is.New(t)
	const template = `{"model":"m","messages":[{"role":"user","content":"%s"%s}],"max_tokens":10%s}`
	longText := strings.Repeat("x", 1000)
	for _, body := range []string{
		fmt.Sprintf(template, longText, `,"Content":"x"`, ""),
		fmt.Sprintf(template, "x", `,"tool_calls":"`+longText+`"`, ""),
		fmt.Sprintf(template, "x", "", `,"tools":"`+longText+`"`),
		fmt.Sprintf(template, "x", "", `,"n":100`),
	} {
		r, err := Parse([]byte(body))
		is.NoErr(err)
		is.True(r.CostBound() >= 1000)
	}
	r, err := Parse([]byte(fmt.Sprintf(template, "x", "", `,"Max_Tokens":1,"MODEL":"other"`)))
	is.NoErr(err)
	is.Equal(r.Model, "m")
	is.Equal(r.MaxTokens, int64(10))
	for _, body := range []string{
		fmt.Sprintf(template, "x", "", `,"max_completion_tokens":11`),
		fmt.Sprintf(template, "x", "", `,"best_of":2`),
		fmt.Sprintf(template, "x", "", `,"n":-1`),
		fmt.Sprintf(template, "x", "", `,"n":1000000`),
		fmt.Sprintf(template, "\xff", "", ""),
	} {
		_, err := Parse([]byte(body))
		is.True(err != nil)
	}
}

// TestParseNeverPanics guards against a body that crashes the router.
func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.SampledFrom([]string{
			"{", "}", "[", "]", ",", ":", `"messages"`, `"content"`, `"max_tokens"`, `"n"`, "1", "-1", "null", `"x"`,
		})).Draw(t, "body")
		r, err := Parse([]byte(strings.Join(body, "")))
		if err == nil && r.CostBound() < 1 {
			t.Fatalf("bound is %d", r.CostBound())
		}
	})
}
