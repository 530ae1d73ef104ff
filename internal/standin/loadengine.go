package standin

import (
	"slices"
	"time"
)

// Costs of the modelled engine. They are of the order of a mid-size model on
// one accelerator; only ratios between policies matter.
const (
	loadStep         = 8 * time.Millisecond
	loadPerSequence  = 150 * time.Microsecond
	loadPerToken     = 50 * time.Microsecond // prompt computation: 20,000 tokens/s
	loadChunk        = 1024                  // prompt tokens computed in one step
	loadBlockTokens  = 64
	loadCacheBlocks  = 4096
	loadSlots        = 16
	loadReportPeriod = 500 * time.Millisecond
	loadReportLag    = 500 * time.Millisecond
	loadCacheLag     = 300 * time.Millisecond
)

// loadJob is one attempt at a modelled engine.
type loadJob struct {
	priority int
	blocks   []uint64
	prompt   int // tokens still to compute
	output   int // tokens still to generate
	cached   int // blocks found in the cache
	started  bool
	canceled bool
	first    func()
	done     func()
}

// loadEngine models an engine with continuous batching, chunked prompt
// computation, priorities and a bounded prefix cache. Each step computes some
// prompt tokens and generates one token per sequence.
type loadEngine struct {
	name    string
	clock   *loadClock
	waiting []*loadJob
	running []*loadJob
	cache   map[uint64]int64 // last use
	uses    int64
	active  bool
	leaving bool
	failing bool
	seq     uint64
	events  func(seq uint64, stored, evicted []uint64)
}

func newLoadEngine(name string, clock *loadClock) *loadEngine {
	return &loadEngine{name: name, clock: clock, cache: make(map[uint64]int64)}
}

func (e *loadEngine) submit(j *loadJob) {
	at, _ := slices.BinarySearchFunc(e.waiting, j.priority, func(w *loadJob, p int) int {
		if w.priority <= p {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, j)
	if !e.active {
		e.active = true
		e.step()
	}
}

func (e *loadEngine) step() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *loadJob) bool { return j.canceled })
	e.running = slices.DeleteFunc(e.running, func(j *loadJob) bool { return j.canceled })
	for len(e.running) < loadSlots && len(e.waiting) > 0 {
		e.start(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.active = false
		return
	}
	computed, ready, generating := e.compute()
	d := loadStep + loadPerToken*time.Duration(computed) + loadPerSequence*time.Duration(len(generating))
	e.clock.after(d, func() { e.finish(ready, generating) })
}

func (e *loadEngine) start(j *loadJob) {
	for j.cached < len(j.blocks) {
		if _, ok := e.cache[j.blocks[j.cached]]; !ok {
			break
		}
		j.cached++
	}
	// The last token is always computed.
	j.prompt = max(1, j.prompt-j.cached*loadBlockTokens)
	e.running = append(e.running, j)
}

// compute spends the step's prompt tokens, urgent requests first.
func (e *loadEngine) compute() (computed int, ready, generating []*loadJob) {
	for priority := range 3 {
		for _, j := range e.running {
			if j.priority != priority {
				continue
			}
			if j.started {
				generating = append(generating, j)
				continue
			}
			n := min(j.prompt, loadChunk-computed)
			computed += n
			j.prompt -= n
			if j.prompt == 0 {
				ready = append(ready, j)
			}
		}
	}
	return computed, ready, generating
}

func (e *loadEngine) finish(ready, generating []*loadJob) {
	for _, j := range ready {
		j.started = true
		e.store(j.blocks)
		if !j.canceled {
			j.first()
		}
	}
	for _, j := range generating {
		j.output--
		if j.output <= 0 && !j.canceled {
			e.running = slices.DeleteFunc(e.running, func(o *loadJob) bool { return o == j })
			j.done()
		}
	}
	e.step()
}

// store puts blocks into the cache and evicts those unused for longest.
func (e *loadEngine) store(blocks []uint64) {
	var stored, evicted []uint64
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			stored = append(stored, b)
		}
		e.uses++
		e.cache[b] = e.uses
	}
	if len(e.cache) > loadCacheBlocks {
		evicted = e.evict(loadCacheBlocks / 8)
	}
	if e.events != nil && len(stored)+len(evicted) > 0 {
		e.seq++
		e.events(e.seq, stored, evicted)
	}
}

func (e *loadEngine) evict(n int) []uint64 {
	ages := make([]int64, 0, len(e.cache))
	for _, used := range e.cache {
		ages = append(ages, used)
	}
	slices.Sort(ages)
	limit := ages[min(n, len(ages)-1)]
	var evicted []uint64
	for b, used := range e.cache {
		if used < limit {
			evicted = append(evicted, b)
		}
	}
	slices.Sort(evicted)
	for _, b := range evicted {
		delete(e.cache, b)
	}
	return evicted
}
