package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time          { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

const testModel = "m"

func engines(n int) *catalogue.Snapshot {
	var c catalogue.Catalogue
	for i := range n {
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: fmt.Sprintf("e%03d", i), Kind: catalogue.KindEngine, Models: []string{testModel},
			Zone: fmt.Sprint("z", i%4), Region: "r", Concurrency: 8,
		})
	}
	return catalogue.NewSnapshot(1, c, nil)
}

func newRouter(n int) (*Router, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	r := New(Config{Now: clock.Now, Zone: "z0", Region: "r", Rand: rand.New(rand.NewPCG(1, 2))})
	r.Update(engines(n))
	return r, clock
}

func pick(t testing.TB, r *Router, req Request) *Attempt {
	t.Helper()
	req.Model = testModel
	a, err := r.Pick(req)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against more retries than a tenth of the first attempts, and against credit that accumulates without
// limit. The budget is compared with a reference model.
func TestRetryBudgetProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b RetryBudget
		requests, retries := 0, 0
		credit := 0.0 // reference model
		for range 500 {
			if rapid.IntRange(0, 3).Draw(r, "action") > 0 {
				b.RecordRequest()
				requests++
				credit = min(20, credit+0.1)
			} else if got := b.TryRetry(); got != (credit > 1-1e-9) {
				r.Fatalf("TryRetry returned %v at credit %f", got, credit)
			} else if got {
				retries++
				credit--
			}
			if float64(requests+retries) > 1.1*float64(requests) {
				r.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestKVTransferWorthwhile(t *testing.T) {
	is := is.New(t)
	transfer := KVTransfer{Tokens: 1000, BytesPerToken: 1 << 17, BytesPerSecond: 1 << 30, SetupTime: 20 * time.Millisecond, PrefillTokensPerSecond: 4000}
	is.True(transfer.Worthwhile())
	transfer.BytesPerSecond /= 4
	is.True(!transfer.Worthwhile())
	transfer.BytesPerSecond = 0
	is.True(!transfer.Worthwhile())
}

func observation(r *rapid.T) Observation {
	return Observation{
		Crash:       CrashID{Upstream: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "upstream")},
		Fingerprint: Fingerprint{rapid.ByteRange(1, 4).Draw(r, "print")},
		Suspect:     rapid.Bool().Draw(r, "suspect"), Clean: rapid.IntRange(0, 4).Draw(r, "clean") == 0,
		UnixMilli: 1_000_000 + int64(rapid.IntRange(0, 3).Draw(r, "at")),
	}
}

// Guards against a crash history that depends on the order or repetition of messages. The status of each
// request is compared with a reference count.
func TestCrashHistoryMerge(t *testing.T) {
	now := func() time.Time { return time.Unix(1000, 0) }
	rapid.Check(t, func(r *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(observation), 1, 25).Draw(r, "observations")
		a, b := NewCrashHistory(now), NewCrashHistory(now)
		a.Merge(all...)
		for _, o := range rapid.Permutation(all).Draw(r, "order") {
			b.Merge(o)
			b.Merge(o, o)
		}
		is := is.New(t)
		is.Equal(a.Export(), b.Export())
		c := NewCrashHistory(now)
		c.Merge(b.Export()...)
		is.Equal(a.Export(), c.Export())
		for f := byte(1); f <= 4; f++ {
			suspect, soleSuspectCrashes := referenceStatus(all, Fingerprint{f})
			is.Equal(a.Suspect(Fingerprint{f}), suspect)
			is.Equal(a.Quarantined(Fingerprint{f}), soleSuspectCrashes >= 2)
		}
	})
}

// referenceStatus is the reference model of Suspect and Quarantined. All observations of an upstream belong
// to one crash.
func referenceStatus(all []Observation, f Fingerprint) (suspect bool, soleSuspectCrashes int) {
	for _, upstream := range []string{"a", "b", "c"} {
		seen, clean := false, false
		suspects := make(map[Fingerprint]bool)
		for _, o := range all {
			if o.Crash.Upstream != upstream {
				continue
			}
			if o.Suspect {
				suspects[o.Fingerprint] = true
			}
			if o.Fingerprint == f {
				seen = true
				clean = clean || o.Clean
			}
		}
		suspect = suspect || (seen && !clean)
		if seen && !clean && suspects[f] && len(suspects) == 1 {
			soleSuspectCrashes++
		}
	}
	return suspect, soleSuspectCrashes
}

// Guards against a crash history that grows without bound or never expires.
func TestCrashHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(10000, 0)}
	h := NewCrashHistory(clock.Now)
	h.maxObservations = 100
	for i := range 1000 {
		clock.advance(time.Millisecond)
		h.Merge(Observation{Crash: CrashID{Upstream: "u", Number: i}, Fingerprint: Fingerprint{byte(i % 50)}, UnixMilli: clock.now.UnixMilli()})
	}
	is.Equal(len(h.Export()), 100)
	is.True(h.Suspect(Fingerprint{49}))
	clock.advance(DefaultCrashRetention)
	is.True(!h.Suspect(Fingerprint{49}))
	h.Merge()
	is.Equal(len(h.byFingerprint), 0)
}

// Guards against a poison request that keeps crashing upstreams under new request IDs on several routers, and
// against crashes that are attributed to requests in flight next to it.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	var routers []*Router
	var clocks []*fakeClock
	for range 3 {
		r, clock := newRouter(12)
		routers, clocks = append(routers, r), append(clocks, clock)
	}
	poison := FingerprintOf("entry", testModel, []byte("poison"))
	crashes, quarantined := 0, 0
	neighbours := make(map[Fingerprint]bool)
	for i := range 10 {
		r := routers[i%len(routers)]
		for _, clock := range clocks {
			clock.advance(5 * time.Second)
		}
		a, err := r.Pick(Request{Model: testModel, Fingerprint: poison})
		var q *QuarantinedError
		if errors.As(err, &q) {
			quarantined++
			continue
		}
		is.NoErr(err)
		// Neighbours are in flight on every upstream.
		var others []*Attempt
		for n := range 24 {
			f := FingerprintOf("entry", testModel, fmt.Appendf(nil, "neighbour %d %d", i, n))
			neighbours[f] = true
			others = append(others, pick(t, r, Request{Fingerprint: f}))
		}
		crashes++
		for _, o := range append(others, a) {
			if o.Upstream() == a.Upstream() {
				o.Done(ResultCrashed)
			} else {
				o.Done(ResultOK)
			}
		}
		for _, from := range routers {
			for _, to := range routers {
				to.cfg.CrashHistory.Merge(from.cfg.CrashHistory.Export()...)
			}
		}
	}
	is.Equal(crashes, 3) // the first one makes it a suspect, the next two are attributed to it
	is.Equal(quarantined, 7)
	for f := range neighbours {
		is.True(!routers[0].cfg.CrashHistory.Quarantined(f))
		is.Equal(routers[0].cfg.CrashHistory.status(f).soleSuspectCrashes, 0)
		for routers[0].cfg.CrashHistory.Suspect(f) {
			pick(t, routers[0], Request{Fingerprint: f}).Done(ResultOK) // one clean run clears a suspect
			is.True(!routers[0].cfg.CrashHistory.Suspect(f))
		}
	}
}

// Guards against a crash that counts again for each request in flight, for requests that end late, or for a
// second router. Also guards against prefixes that are expected in the cache of a restarted upstream.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(1)
	a := pick(t, r, Request{Fingerprint: Fingerprint{1}, PrefixHashes: []uint64{1, 2}})
	late := pick(t, r, Request{Fingerprint: Fingerprint{2}})
	a.Done(ResultCrashed)
	other, otherClock := newRouter(1)
	otherClock.now = clock.now.Add(300 * time.Millisecond)
	other.cfg.CrashHistory.Merge(r.cfg.CrashHistory.Export()...)
	pick(t, other, Request{Fingerprint: Fingerprint{4}}).Done(ResultCrashed)
	r.cfg.CrashHistory.Merge(other.cfg.CrashHistory.Export()...)
	is.Equal(len(r.cfg.CrashHistory.crashes), 1)

	clock.advance(5 * time.Second)
	second := pick(t, r, Request{Fingerprint: Fingerprint{3}, PrefixHashes: []uint64{1, 2}})
	is.Equal(second.PredictedBlocks(), 0)
	second.Done(ResultCrashed)
	clock.advance(5 * time.Second)
	third := pick(t, r, Request{Fingerprint: Fingerprint{5}})
	late.Done(ResultCrashed)
	is.Equal(len(r.cfg.CrashHistory.crashes), 2)
	third.Done(ResultCrashed)
	is.Equal(len(r.cfg.CrashHistory.crashes), 3)
	is.Equal(len(r.cfg.CrashHistory.byFingerprint[Fingerprint{2}]), 1)
}

// Guards against two suspects on one upstream, crashes that are attributed to a request that was not the only
// suspect, and suspects that remain after a clean run. Random attempts run on few upstreams, and one
// fingerprint always crashes its upstream.
func TestSuspectsAndAttribution(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r, clock := newRouter(3)
		var running []*Attempt
		for range 100 {
			clock.advance(500 * time.Millisecond)
			if rapid.Bool().Draw(rt, "send") || len(running) == 0 {
				f := Fingerprint{rapid.ByteRange(1, 5).Draw(rt, "print")}
				if a, err := r.Pick(Request{Model: testModel, Fingerprint: f}); err == nil {
					running = append(running, a)
				}
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "i")
				a := running[i]
				result := ResultOK
				if a.fingerprint == (Fingerprint{1}) {
					result = ResultCrashed
				}
				rest := running[:0]
				for _, o := range running {
					switch {
					case o == a || (result == ResultCrashed && o.state == a.state):
						o.Done(result)
					default:
						rest = append(rest, o)
					}
				}
				running = rest
				if result == ResultOK && r.cfg.CrashHistory.Suspect(a.fingerprint) && a.suspect && a.knownCrashes == r.cfg.CrashHistory.knownCrashes() {
					rt.Fatalf("still a suspect after a clean run")
				}
			}
			onUpstream := make(map[*upstreamState]int)
			for _, a := range running {
				if a.suspect {
					onUpstream[a.state]++
				}
				if onUpstream[a.state] > 1 {
					rt.Fatalf("two suspects on %s", a.Upstream().Name)
				}
			}
		}
		for f := byte(2); f <= 5; f++ {
			crashes := r.cfg.CrashHistory.status(Fingerprint{f}).soleSuspectCrashes
			if crashes > 0 && !inPoisonCrash(r.cfg.CrashHistory, Fingerprint{f}) {
				rt.Fatalf("crashes are attributed to fingerprint %d", f)
			}
		}
	})
}

// inPoisonCrash reports whether the fingerprint was in flight in a crash that the poison request, fingerprint
// 1, caused before it was a suspect. If the fingerprint was the only suspect then, the crash is attributed to
// it, because the crash history cannot tell which of the two caused it.
func inPoisonCrash(h *CrashHistory, f Fingerprint) bool {
	for _, c := range h.crashes {
		poison, poisonInFlight := c.requests[Fingerprint{1}]
		if _, inFlight := c.requests[f]; inFlight && poisonInFlight && !poison.suspect {
			return true
		}
	}
	return false
}

// Guards against new requests for an upstream after any source said that it is draining, and against a late
// report that ends the draining although it was measured before the upstream said so.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	sources := map[string]func(*Router, string){
		"list":   func(r *Router, name string) { r.SetListedDraining(name, true) },
		"report": func(r *Router, name string) { r.Report(Report{Upstream: name, Draining: true}) },
		"peer":   func(r *Router, name string) { r.MarkDraining(name) },
		"answer": func(r *Router, name string) {
			for {
				a := pick(t, r, Request{})
				if a.Upstream().Name == name {
					a.Done(ResultDraining)
					return
				}
			}
		},
		"catalogue": func(r *Router, _ string) { r.Update(engines(3)) },
	}
	for source, apply := range sources {
		t.Run(source, func(t *testing.T) {
			is := is.New(t)
			r, clock := newRouter(4)
			apply(r, "e003")
			clock.advance(time.Second)
			if source == "peer" || source == "answer" {
				r.Report(Report{Upstream: "e003", Age: 500 * time.Millisecond})
			}
			for range 100 {
				is.True(pick(t, r, Request{}).Upstream().Name != "e003")
			}
			// Only what an upstream said to this router itself is sent to peers.
			is.Equal(len(r.DrainingResponses()) == 1, source == "answer")
			r.Report(Report{Upstream: "e003", Incarnation: "new"})
			if s := r.byName["e003"]; s != nil {
				is.Equal(s.draining(clock.now), source == "list") // a restart ends what the upstream said itself
			}
		})
	}
}

// Guards against ejections that empty a pool. At least half of a pool stays in use when all upstreams fail,
// when reports stop, and when the pool shrinks after ejections.
func TestPoolIsNeverEmptied(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "upstreams")
		r, clock := newRouter(n)
		for range 100 {
			name := fmt.Sprintf("e%03d", rapid.IntRange(0, n-1).Draw(rt, "upstream"))
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				r.SetListedDraining(name, rapid.Bool().Draw(rt, "leaving"))
			case 1:
				r.Report(Report{Upstream: name, Age: time.Minute, Running: 1000, Waiting: 1000})
			case 2:
				clock.advance(time.Second)
			default:
				if a, err := r.Pick(Request{Model: testModel}); err == nil {
					a.Done(rapid.SampledFrom([]Result{ResultFailed, ResultFailed, ResultFailed, ResultCrashed}).Draw(rt, "result"))
				}
			}
			members, ejected := r.pools[testModel].counts(clock.now)
			if 2*ejected > members {
				rt.Fatalf("%d of %d upstreams are ejected", ejected, members)
			}
			if _, err := r.Pick(Request{Model: testModel}); err != nil && members > 0 {
				rt.Fatalf("no upstream picked although %d are not draining", members)
			}
		}
	})
}

// Guards against a failing upstream that keeps getting requests, and against one that returns at full load.
func TestOutlierAndSlowStart(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(4)
	countSent := func() int {
		n := 0
		var sent []*Attempt
		for range 16 {
			a := pick(t, r, Request{})
			sent = append(sent, a)
			if a.Upstream().Name == "e000" {
				n++
			}
		}
		for _, a := range sent {
			a.Done(ResultOK)
		}
		return n
	}
	before := countSent()
	for s := r.byName["e000"]; !s.ejected(clock.now); {
		r.recordFailure(s, clock.now)
	}
	is.Equal(countSent(), 0)
	clock.advance(baseEjection)
	is.True(countSent() < before/2+1)
	clock.advance(defaultSlowStart)
	is.Equal(countSent(), before)
}

// Guards against decisions on a delayed report. Requests that this router and its peers have sent since the
// report must count.
func TestLaggingReportIsCorrected(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(2)
	for _, name := range []string{"e000", "e001"} {
		r.Report(Report{Upstream: name, Running: 0})
	}
	clock.advance(300 * time.Millisecond)
	r.MergeSent([]SentDelta{{Upstream: "e000", Net: 6}}, 50*time.Millisecond)
	is.Equal(r.byName["e000"].correctedReport(1), 6.0)
	is.Equal(pick(t, r, Request{}).Upstream().Name, "e001")
	is.Equal(r.byName["e001"].correctedReport(1), 1.0)
	// A report measured before the requests were sent does not hide them; one measured after them does not
	// count them twice.
	clock.advance(200 * time.Millisecond)
	r.Report(Report{Upstream: "e000", Age: 400 * time.Millisecond})
	is.Equal(r.byName["e000"].correctedReport(1), 6.0)
	r.Report(Report{Upstream: "e000", Age: 0, Running: 6})
	is.Equal(r.byName["e000"].correctedReport(1), 6.0)
}

// Guards against requests that ignore cached prefixes, pile up on one upstream because of them, or keep
// missing the cache after a lost cache event.
func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(4)
	prompt := make([]uint64, 128)
	for i := range prompt {
		prompt[i] = uint64(i + 1)
	}
	r.ApplyCacheEvent(CacheEvent{Upstream: "e002", Seq: 1, Stored: prompt})
	a := pick(t, r, Request{PrefixHashes: prompt})
	is.Equal(a.Upstream().Name, "e002")
	is.Equal(a.PredictedBlocks(), 128)
	seen := make(map[string]bool)
	for range 24 {
		seen[pick(t, r, Request{PrefixHashes: prompt}).Upstream().Name] = true
	}
	is.Equal(len(seen), 4) // a full upstream is not worth the prefix
	r.ApplyCacheEvent(CacheEvent{Upstream: "e002", Seq: 5, Evicted: prompt[16:]})
	r.ApplyCacheEvent(CacheEvent{Upstream: "e002", Seq: 4, Stored: prompt}) // late
	found := 0
	r.prefix.match(prompt, func(id cacheID, n int) {
		if id == r.byName["e002"].cacheID {
			found = max(found, n)
		}
	})
	is.Equal(found, 16)
	long := append(append([]uint64{}, prompt[:16]...), make([]uint64, 500)...)
	for i := range long[16:] {
		long[16+i] = uint64(10000 + i)
	}
	is.Equal(pick(t, r, Request{PrefixHashes: long}).PredictedBlocks(), 16)
	is.True(pick(t, r, Request{PrefixHashes: long}).PredictedBlocks() > 500)
	x := newPrefixIndex(1000)
	for i := range uint64(100000) {
		x.add(i, cacheID(i%7+1))
	}
	is.True(len(x.young)+len(x.old) <= 1000)
}

// Guards against the choice of an engine without the adapter, version or role, of a plain service in another
// zone while the local zone has room, and of excluded upstreams.
func TestPickMatchesRequest(t *testing.T) {
	is := is.New(t)
	r, clock := newRouter(4)
	r.Report(Report{Upstream: "e001", Adapters: []string{"a"}, Version: "2"})
	r.Report(Report{Upstream: "e002", Role: "prefill"})
	for range 20 {
		is.Equal(pick(t, r, Request{Adapter: "a", Version: "2"}).Upstream().Name, "e001")
		is.True(pick(t, r, Request{Exclude: []string{"e000"}}).Upstream().Name != "e002")
	}
	is.Equal(pick(t, r, Request{Role: "prefill", Exclude: []string{"e000", "e001", "e003"}}).Upstream().Name, "e002")
	_, err := r.Pick(Request{Model: "other"})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))

	var c catalogue.Catalogue
	for i := range 3 {
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{Name: fmt.Sprint("s", i), Kind: catalogue.KindService,
			Service: "stock", Zone: fmt.Sprint("z", i%2), Region: "r", Concurrency: 2})
	}
	r.Update(catalogue.NewSnapshot(2, c, nil))
	clock.advance(defaultSlowStart)
	counts := make(map[string]int)
	for range 4 {
		a, err := r.Pick(Request{Service: "stock"})
		is.NoErr(err)
		counts[a.Upstream().Name]++
	}
	is.Equal(counts, map[string]int{"s0": 2, "s2": 2})
	a, err := r.Pick(Request{Service: "stock"})
	is.NoErr(err)
	is.Equal(a.Upstream().Name, "s1") // the local zone is full
}

// BenchmarkPick measures a Pick with a prompt of 32 blocks and reports the heap bytes per upstream.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{24, 90, 600} {
		for _, measured := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/measured=%t", n, measured), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, clock := newRouter(n)
				if measured {
					r.cfg.Measure = MeasureAll
					for _, t := range r.times {
						t.inUse = true
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				perUpstream := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				hashes := make([]uint64, 32)
				for i := range hashes {
					hashes[i] = uint64(i + 1)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					a := pick(b, r, Request{PrefixHashes: hashes})
					clock.advance(time.Millisecond)
					a.Event()
					a.Complete()
					a.Done(ResultOK)
				}
				b.ReportMetric(perUpstream, "heapB/upstream")
			})
		}
	}
}
