package e2e

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTracesReachTheCollector guards against spans that are made and never sent:
// the request and its attempt reach an OTLP collector at the latest when the
// router stops.
func TestTracesReachTheCollector(t *testing.T) {
	is := is.New(t)
	bodies := make(chan string, 100)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + " " + string(body)
	}))
	defer collector.Close()
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishSample(t, logURL, engineURL)
	r := startRouter(t, "vm-0", logURL, "--trace-exporter", "otlp", "--trace-endpoint", collector.URL)
	resp, _ := ask(t, r.url, question(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	r.stop(t)
	var all strings.Builder
	for len(bodies) > 0 {
		all.WriteString(<-bodies)
	}
	// Names are plain text in the protobuf encoding.
	for _, span := range []string{"/v1/traces", "caller.request", "upstream.attempt"} {
		if !strings.Contains(all.String(), span) {
			t.Errorf("%q did not reach the collector", span)
		}
	}
}
