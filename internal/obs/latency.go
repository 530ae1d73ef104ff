package obs

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a histogram of durations, published as an expvar metric.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Range of a Latency, in microseconds, and its precision in significant digits.
const (
	latencyMinMicros         = 100
	latencyMaxMicros         = 120_000_000
	latencySignificantDigits = 2
)

// newLatency registers a histogram under the given name.
func newLatency(name string) *Latency {
	l := &Latency{histogram: hdrhistogram.New(latencyMinMicros, latencyMaxMicros, latencySignificantDigits)}
	Metrics.Set(name, l)
	return l
}

// Record adds one duration. A duration outside the range counts as the nearest value in it.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), latencyMinMicros), latencyMaxMicros)) // in range
}

// String implements expvar.Var. It returns the count and the quantiles in milliseconds, as JSON.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	data, err := json.Marshal(map[string]any{
		"count": l.histogram.TotalCount(), "p50_ms": ms(50), "p95_ms": ms(95), "p99_ms": ms(99), "max_ms": float64(l.histogram.Max()) / 1000,
	})
	if err != nil {
		return "null"
	}
	return string(data)
}

// Latencies of forwarded requests.
var (
	FirstByteLatency = newLatency("first_event_latency")
	RequestLatency   = newLatency("request_latency")
)
