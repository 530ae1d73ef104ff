package e2e

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTracesReachTheCollector guards against spans that are recorded but never exported: the spans of the
// request and of its attempt reach an OTLP collector by the time the router has shut down.
func TestTracesReachTheCollector(t *testing.T) {
	is := is.New(t)
	bodies := make(chan string, 100)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + " " + string(body)
	}))
	defer collector.Close()
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	r := startRouter(t, "vm-0", logURL, "--trace-exporter", "otlp", "--trace-endpoint", collector.URL)
	resp, _ := sendCompletion(t, r.url, shortRequest(1))
	is.Equal(resp.StatusCode, http.StatusOK)
	r.shutdown(t)
	var received strings.Builder
	for len(bodies) > 0 {
		received.WriteString(<-bodies)
	}
	// Names are plain text in the protobuf encoding.
	for _, want := range []string{"/v1/traces", "caller.request", "upstream.attempt"} {
		if !strings.Contains(received.String(), want) {
			t.Errorf("%q did not reach the collector", want)
		}
	}
}
