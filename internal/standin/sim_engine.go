package standin

import (
	"slices"
	"time"
)

// Costs and limits of a simulated engine, of the order of a mid-size model on one accelerator. Only ratios
// between the results of different policies are meaningful.
const (
	simStepTime            = 8 * time.Millisecond
	simStepTimePerSequence = 150 * time.Microsecond
	simStepTimePerToken    = 50 * time.Microsecond // of prompt computation, 20,000 tokens/s
	simChunkTokens         = 1024                  // prompt tokens computed in one step
	simBlockTokens         = 64                    // prompt tokens in one block of the prefix cache
	simCacheBlocks         = 4096                  // blocks that the prefix cache of one engine holds
	simSlots               = 16
	simReportInterval      = 500 * time.Millisecond
	simReportLag           = 500 * time.Millisecond
	simCacheLag            = 300 * time.Millisecond
)

// simJob is one attempt of a request at a simulated engine. The engine calls firstToken and done at the first
// and the last token.
type simJob struct {
	priority     int      // lower values run first
	blocks       []uint64 // hashes of the prompt's blocks, in order
	promptTokens int      // tokens still to compute
	outputTokens int      // tokens still to generate
	cachedBlocks int      // blocks found in the cache
	generating   bool     // the prompt is computed and the first token generated
	canceled     bool
	firstToken   func()
	nextToken    func() // may be nil
	done         func()
}

// simEngine models an engine with continuous batching, chunked prompt computation, priorities and a bounded
// prefix cache. Each step computes up to simChunkTokens prompt tokens and generates one token per sequence.
type simEngine struct {
	name         string
	number       int
	slowness     float64
	burst        bool
	clock        *simClock
	waiting      []*simJob
	running      []*simJob
	cache        map[uint64]int64 // block -> useCount at its last use
	useCount     int64
	active       bool // a step is in progress
	draining     bool
	failing      bool
	eventSeq     uint64
	onCacheEvent func(seq uint64, stored, evicted []uint64)
}

func newSimEngine(name string, clock *simClock) *simEngine {
	return &simEngine{name: name, clock: clock, cache: make(map[uint64]int64), slowness: 1}
}

// presentSlowness returns how long work takes at present, as a multiple of the usual time of this engine.
func (e *simEngine) presentSlowness() float64 {
	if e.burst {
		return simBurstSlowness
	}
	return 1
}

// submit queues a job by priority, and starts a step if the engine is inactive.
func (e *simEngine) submit(j *simJob) {
	at, _ := slices.BinarySearchFunc(e.waiting, j.priority, func(w *simJob, p int) int {
		if w.priority <= p {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, j)
	if !e.active {
		e.active = true
		e.startStep()
	}
}

// startStep starts the next step, or makes the engine inactive if it has no jobs.
func (e *simEngine) startStep() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *simJob) bool { return j.canceled })
	e.running = slices.DeleteFunc(e.running, func(j *simJob) bool { return j.canceled })
	for len(e.running) < simSlots && len(e.waiting) > 0 {
		e.startJob(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.active = false
		return
	}
	computed, ready, generating := e.compute()
	d := simStepTime + simStepTimePerToken*time.Duration(computed) + simStepTimePerSequence*time.Duration(len(generating))
	d = time.Duration(float64(d) * e.slowness * e.presentSlowness())
	e.clock.scheduleAfter(d, func() { e.finishStep(ready, generating) })
}

// startJob looks up the prompt of a job in the cache and adds the job to the running ones.
func (e *simEngine) startJob(j *simJob) {
	for j.cachedBlocks < len(j.blocks) {
		if _, ok := e.cache[j.blocks[j.cachedBlocks]]; !ok {
			break
		}
		j.cachedBlocks++
	}
	// At least one prompt token is always computed, even if all blocks are cached.
	j.promptTokens = max(1, j.promptTokens-j.cachedBlocks*simBlockTokens)
	e.running = append(e.running, j)
}

// compute distributes the prompt tokens of a step among the running jobs by priority. It also returns the
// jobs whose prompt is complete and those that generate a token in this step.
func (e *simEngine) compute() (computed int, ready, generating []*simJob) {
	for priority := range 3 {
		for _, j := range e.running {
			if j.priority != priority {
				continue
			}
			if j.generating {
				generating = append(generating, j)
				continue
			}
			n := min(j.promptTokens, simChunkTokens-computed)
			computed += n
			j.promptTokens -= n
			if j.promptTokens == 0 {
				ready = append(ready, j)
			}
		}
	}
	return computed, ready, generating
}

// finishStep ends a step: the jobs in ready get their first token, those in generating one more.
func (e *simEngine) finishStep(ready, generating []*simJob) {
	for _, j := range ready {
		j.generating = true
		e.store(j.blocks)
		if !j.canceled {
			j.firstToken()
		}
	}
	for _, j := range generating {
		j.outputTokens--
		if j.nextToken != nil && !j.canceled {
			j.nextToken()
		}
		if j.outputTokens <= 0 && !j.canceled {
			e.running = slices.DeleteFunc(e.running, func(o *simJob) bool { return o == j })
			j.done()
		}
	}
	e.startStep()
}

// store adds blocks to the cache. If the cache is above its limit, it evicts an eighth of the limit, the least
// recently used blocks.
func (e *simEngine) store(blocks []uint64) {
	var stored, evicted []uint64
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			stored = append(stored, b)
		}
		e.useCount++
		e.cache[b] = e.useCount
	}
	if len(e.cache) > simCacheBlocks {
		evicted = e.evict(simCacheBlocks / 8)
	}
	if e.onCacheEvent != nil && len(stored)+len(evicted) > 0 {
		e.eventSeq++
		e.onCacheEvent(e.eventSeq, stored, evicted)
	}
}

// evict removes the n least recently used blocks and returns them.
func (e *simEngine) evict(n int) []uint64 {
	lastUses := make([]int64, 0, len(e.cache))
	for _, used := range e.cache {
		lastUses = append(lastUses, used)
	}
	slices.Sort(lastUses)
	limit := lastUses[min(n, len(lastUses)-1)]
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
