package obs

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a histogram of durations, published as an expvar metric.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Bounds of a Latency, in microseconds, and its digits.
const (
	latencyLowest  = 100
	latencyHighest = 120_000_000
	latencyDigits  = 2
)

// newLatency registers a histogram under the given name.
func newLatency(name string) *Latency {
	l := &Latency{h: hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)}
	Metrics.Set(name, l)
	return l
}

// Record adds one duration. Durations beyond the bounds count as the bound.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(max(d.Microseconds(), latencyLowest), latencyHighest)) // within the bounds
}

// String implements expvar.Var: quantiles in milliseconds and the count.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	data, err := json.Marshal(map[string]any{
		"count": l.h.TotalCount(), "p50_ms": ms(50), "p95_ms": ms(95), "p99_ms": ms(99), "max_ms": float64(l.h.Max()) / 1000,
	})
	if err != nil {
		return "null"
	}
	return string(data)
}

// Latencies of forwarded requests.
var (
	FirstEventLatency = newLatency("first_event_latency")
	RequestLatency    = newLatency("request_latency")
)
