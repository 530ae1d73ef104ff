package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// TestPromptsGoWhereTheirPrefixIs guards against a router that ignores the
// engines' cache events, or that needs every event: they come late, and the eighth
// of each engine never comes.
func TestPromptsGoWhereTheirPrefixIs(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	var urls []string
	var upstreams []catalogue.Upstream
	for i := range 2 {
		url := startStandin(t, "engine", "--cache-lag", "300ms", "--cache-gap", "8")
		urls = append(urls, url)
		upstreams = append(upstreams, catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i), Kind: catalogue.KindEngine, Address: url, Models: []string{testModel},
		})
	}
	publishUpstreams(t, logURL, upstreams)
	r := startRouter(t, "vm-0", logURL)
	const prompts = 16
	for i := range prompts {
		// Another router's request: this router learns of it by events only.
		req := completion(t, urls[i%2], longPrompt(i, "first"))
		req.Header.Set(chat.HeaderRequestID, fmt.Sprint("warm-", i))
		resp, _ := do(t, req)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	time.Sleep(3 * time.Second)
	hits := 0
	for i := range prompts {
		before := started(t, urls[i%2])
		resp, _ := ask(t, r.url, longPrompt(i, "second"))
		is.Equal(resp.StatusCode, http.StatusOK)
		hits += int(started(t, urls[i%2]) - before)
	}
	// Two of the events never come. Without events half of the prompts would hit.
	is.True(hits >= prompts-2)
}

func longPrompt(i int, question string) chat.Request {
	return chat.Request{Model: testModel, MaxTokens: 4, Messages: []chat.Message{
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("blade history %d ", i), 80)},
		{Role: "user", Content: question},
	}}
}
