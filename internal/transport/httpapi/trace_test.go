package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// exportedSpan holds the fields of an exported span that the test checks.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// Guards against a step of a request without a span, and against a trace that is interrupted between the
// caller, the router and the upstream.
func TestTraceContextIsPropagated(t *testing.T) {
	is := is.New(t)
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	const parent = "00-" + traceID + "-b7ad6b7169203331-01"
	_, handler := newEngine()
	var received string
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		received = req.Header.Get("Traceparent")
		handler.ServeHTTP(w, req)
	}))
	is.Equal(f.chat(false, "a", "Traceparent", parent).status, 200)
	is.Equal(received, parent) // passed through when no exporter is set

	var out bytes.Buffer
	stop, err := obs.StartTracing(context.Background(), obs.TraceConfig{Exporter: obs.TraceExporterStdout, Output: &out})
	is.NoErr(err)
	is.Equal(f.chat(false, "a", "Traceparent", parent).status, 200)
	is.NoErr(stop(context.Background()))
	spans := make(map[string]exportedSpan)
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var s exportedSpan
		is.NoErr(decoder.Decode(&s))
		is.Equal(s.SpanContext.TraceID, traceID)
		spans[s.Name] = s
	}
	request := spans[obs.SpanRequest]
	is.Equal(request.Parent.SpanID, "b7ad6b7169203331")
	is.Equal(spans[obs.SpanReserve].Parent.SpanID, request.SpanContext.SpanID)
	is.Equal(spans[obs.SpanAttempt].Parent.SpanID, request.SpanContext.SpanID)
	is.Equal(spans[obs.SpanSettle].Parent.SpanID, request.SpanContext.SpanID)
	is.True(strings.Contains(received, traceID+"-"+spans[obs.SpanAttempt].SpanContext.SpanID))
}
