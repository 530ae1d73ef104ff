package obs

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	apitrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Values of TraceConfig.Exporter.
const (
	TraceExporterNone   = "none"
	TraceExporterStdout = "stdout"
	TraceExporterOTLP   = "otlp"
)

// Names of the spans, one for each stage of a request.
const (
	SpanRequest = "caller.request"
	SpanReserve = "budget.reserve"
	SpanAttempt = "upstream.attempt"
	SpanSettle  = "budget.settle"
)

const tracerName = "github.com/dotterelthread/dotterelthread"

// propagator carries the W3C trace context. It works without an exporter, so that a router that records no
// spans still passes a caller's trace context on.
var propagator = propagation.TraceContext{}

// tracer is nil while no spans are recorded.
var tracer atomic.Pointer[apitrace.Tracer]

// TraceConfig says where spans are exported to.
type TraceConfig struct {
	// Exporter is one of the TraceExporter constants.
	Exporter string
	// Endpoint is the base URL of an OTLP collector.
	Endpoint string
	// Output receives the spans of the stdout exporter.
	Output io.Writer
	// VM and Zone describe this process.
	VM, Zone string
}

// StartTracing starts recording spans. The returned function ends the recording and exports the remaining
// spans. StartTracing is called once, before requests are served.
func StartTracing(ctx context.Context, t TraceConfig) (stop func(context.Context) error, err error) {
	var exporter trace.SpanExporter
	switch t.Exporter {
	case TraceExporterNone, "":
		return func(context.Context) error { return nil }, nil
	case TraceExporterStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(t.Output))
	case TraceExporterOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(strings.TrimRight(t.Endpoint, "/")+tracesPath))
	default:
		err = errors.Newf("unknown trace exporter %q", t.Exporter)
	}
	if err != nil {
		return nil, errors.Wrap(err, "start trace exporter")
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "dotterelthread"),
		attribute.String("host.id", t.VM), attribute.String("cloud.availability_zone", t.Zone),
	)))
	started := provider.Tracer(tracerName)
	tracer.Store(&started)
	return func(ctx context.Context) error {
		tracer.Store(nil)
		return provider.Shutdown(ctx)
	}, nil
}

// tracesPath is the path, below its base URL, at which an OTLP collector accepts traces.
const tracesPath = "/v1/traces"

// StartSpan starts a span for one stage of a request. Without an exporter it does nothing.
func StartSpan(ctx context.Context, name, requestID string) (context.Context, apitrace.Span) {
	t := tracer.Load()
	if t == nil {
		return ctx, noop.Span{}
	}
	return (*t).Start(ctx, name, apitrace.WithAttributes(attribute.String("request.id", requestID)))
}

// EndSpan ends a span and records err on it unless err is nil.
func EndSpan(span apitrace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// ExtractTrace returns ctx with the trace context of the request headers.
func ExtractTrace(ctx context.Context, header http.Header) context.Context {
	if header.Get("Traceparent") == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// InjectTrace writes the trace context of ctx to the request headers.
func InjectTrace(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
