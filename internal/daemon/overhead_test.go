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

// BenchmarkRouterOverhead compares the same request sent to the stand-in engine
// directly and through a router. Both take turns in batches of one run, so that
// the load of the machine meets them alike. Allocations are those of the whole
// process; what the router adds is the difference.
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
	sides := []*side{{url: engine.URL}, {url: router}}
	for _, s := range sides {
		s.batch(b, client, callers, callers)
		s.latencies, s.allocs = nil, 0
	}
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		n := min(b.N-sent, 8*callers)
		for _, s := range sides {
			s.batch(b, client, callers, n)
		}
		sent += n
	}
	b.StopTimer()
	direct, routed := sides[0].median(), sides[1].median()
	b.ReportMetric(direct.Seconds()*1e3, "direct-ms")
	b.ReportMetric(routed.Seconds()*1e3, "routed-ms")
	b.ReportMetric((routed-direct).Seconds()*1e3, "added-ms")
	b.ReportMetric(routed.Seconds()/direct.Seconds(), "ratio")
	b.ReportMetric(float64(sides[0].allocs)/float64(b.N), "direct-allocs")
	b.ReportMetric(float64(sides[1].allocs-sides[0].allocs)/float64(b.N), "added-allocs")
	b.ReportMetric(0, "ns/op")
}

// side is one of the two ways to the engine.
type side struct {
	url       string
	mu        sync.Mutex
	latencies []time.Duration
	allocs    uint64
	requests  int
}

func (s *side) batch(b *testing.B, client *http.Client, callers, n int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work := make(chan string, n)
	for range n {
		s.requests++
		work <- fmt.Sprintf("%s-%d", s.url, s.requests)
	}
	close(work)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for id := range work {
				s.ask(b, client, id)
			}
		})
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	s.allocs += after.Mallocs - before.Mallocs
}

func (s *side) ask(b *testing.B, client *http.Client, id string) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":16,"messages":[{"role":"user","content":"which tooth angle for oak"}]}`, devModel)
	req, err := http.NewRequest(http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(body))
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
	var answer chat.Response
	err = json.NewDecoder(resp.Body).Decode(&answer)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	took := time.Since(start)
	if err != nil || resp.StatusCode != http.StatusOK || answer.Usage == nil {
		b.Errorf("status %d, %v", resp.StatusCode, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies = append(s.latencies, took)
}

func (s *side) median() time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)/2]
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

// topUp prepays more than the benchmark can spend.
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
