package peer

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceparentField = "traceparent"

var propagator = propagation.TraceContext{}

// traceparent returns the W3C trace context of a call. For a context without a span it starts a new,
// unsampled trace, so that both sides can log the same trace ID.
func traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		ctx = trace.ContextWithSpanContext(ctx, newSpanContext())
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceparentField]
}

func newSpanContext() trace.SpanContext {
	var cfg trace.SpanContextConfig
	_, _ = rand.Read(cfg.TraceID[:])
	_, _ = rand.Read(cfg.SpanID[:])
	return trace.NewSpanContext(cfg)
}

// extractTrace returns a context with the span of the calling peer as remote parent.
func extractTrace(ctx context.Context, meta *json.RawMessage) context.Context {
	var value string
	if meta == nil || json.Unmarshal(*meta, &value) != nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceparentField: value})
}
