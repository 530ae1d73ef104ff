package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// BenchmarkRouterOverhead compares requests sent to the stand-in engine directly with the same requests sent
// through a router. Batches of the two alternate, so that the load of the machine affects both alike.
// Allocations are counted in the whole process; those added by the router are the difference.
func BenchmarkRouterOverhead(b *testing.B) {
	for _, engineTime := range []time.Duration{0, 50 * time.Millisecond} {
		for _, callers := range []int{1, 32, 256} {
			b.Run(fmt.Sprintf("engine=%s/callers=%d", engineTime, callers), func(b *testing.B) {
				benchOverhead(b, engineTime, callers)
			})
		}
	}
}

func benchOverhead(b *testing.B, engineTime time.Duration, callers int) {
	engine := httptest.NewServer((&standin.Engine{FirstToken: engineTime}).Handler())
	defer engine.Close()
	router, stop := startOverheadRouter(b, engine.URL)
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * callers}}
	endpoints := []*endpoint{{url: engine.URL}, {url: router}}
	// The first batch opens the connections and is not measured.
	for _, e := range endpoints {
		e.sendBatch(b, client, callers, callers)
		e.latencies, e.allocs = nil, 0
	}
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		n := min(b.N-sent, 8*callers)
		for _, e := range endpoints {
			e.sendBatch(b, client, callers, n)
		}
		sent += n
	}
	b.StopTimer()
	direct, routed := endpoints[0].median(), endpoints[1].median()
	b.ReportMetric(direct.Seconds()*1e3, "direct-ms")
	b.ReportMetric(routed.Seconds()*1e3, "routed-ms")
	b.ReportMetric((routed-direct).Seconds()*1e3, "added-ms")
	b.ReportMetric(routed.Seconds()/direct.Seconds(), "ratio")
	b.ReportMetric(float64(endpoints[0].allocs)/float64(b.N), "direct-allocs")
	b.ReportMetric(float64(endpoints[1].allocs-endpoints[0].allocs)/float64(b.N), "added-allocs")
	// A value of 0 hides this default metric, which would cover both endpoints.
	b.ReportMetric(0, "ns/op")
}

// endpoint is the engine or the router in front of it, with the measurements of the requests sent to it.
type endpoint struct {
	url       string
	mu        sync.Mutex
	latencies []time.Duration
	allocs    uint64
	requests  int
}

func (e *endpoint) sendBatch(b *testing.B, client *http.Client, callers, n int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ids := make(chan string, n)
	for range n {
		e.requests++
		ids <- fmt.Sprintf("%s-%d", e.url, e.requests)
	}
	close(ids)
	var senders sync.WaitGroup
	for range callers {
		senders.Go(func() {
			for id := range ids {
				e.send(b, client, id)
			}
		})
	}
	senders.Wait()
	runtime.ReadMemStats(&after)
	e.allocs += after.Mallocs - before.Mallocs
}

func (e *endpoint) send(b *testing.B, client *http.Client, id string) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":16,"messages":[{"role":"user","content":"which tooth angle for oak"}]}`, devModel)
	req, err := http.NewRequest(http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+devCredential)
	req.Header.Set(chat.HeaderRequestID, id)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	var response chat.Response
	err = json.NewDecoder(resp.Body).Decode(&response)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	elapsed := time.Since(start)
	if err != nil || resp.StatusCode != http.StatusOK || response.Usage == nil {
		b.Errorf("status %d, %v", resp.StatusCode, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latencies = append(e.latencies, elapsed)
}

func (e *endpoint) median() time.Duration {
	slices.Sort(e.latencies)
	return e.latencies[len(e.latencies)/2]
}

// startOverheadRouter runs a router with an in-memory log in this process.
func startOverheadRouter(b *testing.B, engineURL string) (url string, stop func()) {
	b.Helper()
	cfg, findings, err := settings.Load([]string{"--dev", "--grant-size", "100000000"})
	if err != nil || len(findings) > 0 {
		b.Fatal(err, findings)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	dev := &Dev{Log: standin.NewLog()}
	if err := dev.publishSample(ctx, engineURL, cfg.LedgerPartitions); err != nil {
		b.Fatal(err)
	}
	topUp(b, dev, cfg.LedgerPartitions)
	public, admin := listen(b), listen(b)
	done := make(chan error, 1)
	d, err := New(cfg, dev.Log, logger)
	if err != nil {
		b.Fatal(err)
	}
	go func() { done <- d.Run(ctx, public, admin) }()
	for !d.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	return "http://" + public.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
}

// topUp prepays more tokens than the benchmark can spend.
func topUp(b *testing.B, dev *Dev, partitions int) {
	b.Helper()
	batch, err := record.Encode([]record.Item{{Adjust: &record.Adjust{
		Entry: record.EntryKey{Name: "demo", Generation: 1}, ID: "bench", Delta: 1 << 40,
	}}})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := dev.Log.Append(context.Background(), record.LedgerStream(record.Partition("demo", partitions)), batch); err != nil {
		b.Fatal(err)
	}
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}
