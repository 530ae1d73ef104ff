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

// TestPromptsAreRoutedToCachedPrefix guards against a router that ignores the engines' cache events, or that
// depends on every event: events are delayed, and the eighth event of each engine is lost.
func TestPromptsAreRoutedToCachedPrefix(t *testing.T) {
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
	publishCatalogue(t, logURL, upstreams)
	r := startRouter(t, "vm-0", logURL)
	const prompts = 16
	for i := range prompts {
		// Sent to the engine directly, as by another router: the router under test learns of the prompt only from
		// events.
		req := newCompletionRequest(t, urls[i%2], longPromptRequest(i, "first"))
		req.Header.Set(chat.HeaderRequestID, fmt.Sprint("warm-", i))
		resp, _ := do(t, req)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	time.Sleep(3 * time.Second)
	cacheHits := 0
	for i := range prompts {
		before := startedRequests(t, urls[i%2])
		resp, _ := sendCompletion(t, r.url, longPromptRequest(i, "second"))
		is.Equal(resp.StatusCode, http.StatusOK)
		cacheHits += int(startedRequests(t, urls[i%2]) - before)
	}
	// Two of the events are lost. Without events only half of the prompts would hit the cache.
	is.True(cacheHits >= prompts-2)
}

func longPromptRequest(i int, userText string) chat.Request {
	return chat.Request{Model: testModel, MaxTokens: 4, Messages: []chat.Message{
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("blade history %d ", i), 80)},
		{Role: "user", Content: userText},
	}}
}
