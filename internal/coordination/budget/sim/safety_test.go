package sim

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

var testKeys = []record.EntryKey{
	{Name: "a", Generation: 1}, {Name: "b", Generation: 1}, {Name: "a", Generation: 2},
}

// world is a fleet under random faults, with what the checks need to know.
type world struct {
	*Fleet
	requests map[string]Request
	lowest   map[string]int64
	results  map[string]error
	nextID   int
	rng      *rand.Rand
	problem  string
}

func newWorld(copies bool) *world {
	w := &world{requests: map[string]Request{}, lowest: map[string]int64{}, results: map[string]error{}}
	policy := budget.DefaultPolicy()
	policy.MinGrant, policy.Horizon = 50, 10*time.Second
	w.rng = rand.New(rand.NewSource(1))
	w.Fleet = NewFleet(Config{
		Policy: policy, Partitions: 2, BillBuffer: 50, Regions: []int{2, 2}, Copies: copies,
	}, w.done)
	w.onReserve = w.observe
	for i, key := range testKeys {
		w.Adjust(key, "first", int64(100*(i+1)))
	}
	return w
}

func (w *world) done(p *Proc, r Request, err error) {
	if _, twice := w.results[r.ID]; twice {
		w.problem = "two results for " + r.ID
	}
	w.results[r.ID] = err
	w.observe()
	if errors.Is(err, budget.ErrExhausted) && w.lowest[r.ID] >= r.Amount {
		w.problem = fmt.Sprintf("refused %s for %d although never less than %d was left, at %s: %s", r.ID, r.Amount, w.lowest[r.ID], p.Holder(), w.describe(r.Entry))
	}
}

func (w *world) describe(key record.EntryKey) string {
	a := w.log.account(key)
	text := fmt.Sprintf("free %d of %d", a.Free, a.Prepaid)
	for _, p := range w.Procs {
		if s := a.Shares[p.Holder()]; s != nil {
			text += fmt.Sprintf("\n  %s dead %v paused %v: log %+v, own %+v", p.Holder(), p.Dead, p.Paused, *s,
				p.Node.Shares().Get(key).Counters())
		}
	}
	return text
}

// observe notes the least unreserved budget during the life of each request.
func (w *world) observe() {
	for id, r := range w.requests {
		w.lowest[id] = min(w.lowest[id], w.Unreserved(r.Entry))
		if _, over := w.results[id]; over {
			delete(w.requests, id)
		}
	}
}

func (w *world) submit(p *Proc, key record.EntryKey, amount, used int64, d time.Duration) string {
	w.nextID++
	r := Request{ID: fmt.Sprint("r", w.nextID), Entry: key, Amount: amount, Used: used, Duration: d}
	w.requests[r.ID], w.lowest[r.ID] = r, w.Unreserved(key)
	w.Submit(p, r)
	return r.ID
}

// check holds at every moment.
func (w *world) check(t *rapid.T) {
	w.observe()
	if w.problem != "" {
		t.Fatal(w.problem)
	}
	for _, key := range testKeys {
		a := w.log.account(key)
		if a == nil {
			continue
		}
		if w.Ran[key] > a.Prepaid {
			t.Fatalf("%v: upstreams ran %d of %d prepaid", key, w.Ran[key], a.Prepaid)
		}
		granted, returned := int64(0), int64(0)
		for h, s := range a.Shares {
			granted, returned = granted+s.Granted, returned+s.Returned
			if s.Outstanding() < 0 {
				t.Fatalf("%v: %s spent more than granted: %+v", key, h, *s)
			}
		}
		if granted-returned > a.Prepaid || a.Free != a.Prepaid-granted+returned || a.Free < 0 {
			t.Fatalf("%v: granted %d returned %d free %d of %d prepaid", key, granted, returned, a.Free, a.Prepaid)
		}
		if w.Unreserved(key) < 0 {
			t.Fatalf("%v: spent and reserved exceed the prepaid budget by %d", key, -w.Unreserved(key))
		}
	}
	w.checkBills(t)
}

func (w *world) checkBills(t *rapid.T) {
	charged := map[record.EntryKey]int64{}
	for id, bill := range w.log.charged {
		if bill.Charged < w.usedBy[id] {
			t.Fatalf("%s used %d and is billed %d", id, w.usedBy[id], bill.Charged)
		}
		charged[bill.Entry] += bill.Charged
	}
	for key, sum := range charged {
		if a := w.log.account(key); sum > a.Prepaid {
			t.Fatalf("%v: bills of %d for %d prepaid", key, sum, a.Prepaid)
		}
	}
}

func (w *world) draw(t *rapid.T, keep func(*Proc) bool) *Proc {
	var list []*Proc
	for _, p := range w.Procs {
		if keep(p) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		t.Skip("no such process")
	}
	return rapid.SampledFrom(list).Draw(t, "proc")
}

func (w *world) setFaults(percent int, seed int64) {
	w.rng = rand.New(rand.NewSource(seed))
	w.Fault = func() Fault {
		if w.rng.Intn(100) >= percent {
			return FaultNone
		}
		return Fault(1 + w.rng.Intn(3))
	}
}

func live(p *Proc) bool   { return p.active() && !p.Draining }
func paused(p *Proc) bool { return p.Paused && !p.Dead }
func killed(p *Proc) bool { return p.Dead && !p.proven }

func (w *world) actions() map[string]func(*rapid.T) {
	adjustments := 0
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			amount := rapid.Int64Range(1, 60).Draw(t, "amount")
			w.submit(w.draw(t, live), rapid.SampledFrom(testKeys).Draw(t, "key"), amount,
				rapid.Int64Range(0, amount).Draw(t, "used"),
				time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond)
		},
		"advance": func(t *rapid.T) {
			w.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"pump": func(t *rapid.T) { w.Pump(w.draw(t, live)) },
		"step": func(t *rapid.T) { w.StepCalls(w.draw(t, live)) },
		"faults": func(t *rapid.T) {
			w.setFaults(rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "percent"), rapid.Int64().Draw(t, "seed"))
		},
		"land":  func(*rapid.T) { w.LandDelayed() },
		"cut":   func(t *rapid.T) { w.Cut = rapid.Bool().Draw(t, "cut") },
		"log":   func(t *rapid.T) { w.LogDown = rapid.Bool().Draw(t, "down") },
		"pause": func(t *rapid.T) { w.draw(t, live).Paused = true },
		"wake":  func(t *rapid.T) { w.draw(t, paused).Paused = false },
		"kill": func(t *rapid.T) {
			p := w.draw(t, func(p *Proc) bool { return !p.Dead && len(w.Procs) < 12 })
			w.Kill(p)
			w.Replace(p)
		},
		"delist": func(t *rapid.T) { w.Delist(w.draw(t, killed)) },
		"drain": func(t *rapid.T) {
			p := w.draw(t, func(p *Proc) bool { return live(p) && len(w.Procs) < 12 })
			w.Drain(p)
			w.Replace(p)
		},
		"drained": func(t *rapid.T) {
			if p := w.draw(t, func(p *Proc) bool { return p.active() && p.Draining }); w.Drained(p) {
				w.Kill(p)
			}
		},
		"replace all": func(t *rapid.T) {
			if len(w.Procs) > 8 {
				t.Skip("replaced already")
			}
			for _, p := range append([]*Proc(nil), w.Procs...) {
				if !p.Dead {
					w.Kill(p)
					w.Replace(p)
				}
			}
		},
		"adjust": func(t *rapid.T) {
			adjustments++
			// A lowering and a top-up under the same ID race for it.
			id := fmt.Sprint("adjust", adjustments/2)
			w.Adjust(rapid.SampledFrom(testKeys).Draw(t, "key"), id, rapid.Int64Range(-80, 120).Draw(t, "delta"))
		},
		"": w.check,
	}
}

// Guards against overspend, double grants, double bills, false proofs of
// exhaustion and stranded budget under interleaved faults.
func TestBudgetIsSafeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "copies"))
		t.Repeat(w.actions())
		w.heal(t)
	})
}

// heal ends all failures and checks that what is left can be spent.
func (w *world) heal(t *rapid.T) {
	w.Fault, w.Cut, w.LogDown = nil, false, false
	for _, p := range w.Procs {
		p.Paused = false
		w.Delist(p)
	}
	for range w.delayed {
		w.LandDelayed()
	}
	for range 300 {
		w.Advance(100 * time.Millisecond)
		for _, p := range w.Procs {
			if p.active() && p.Draining && w.Drained(p) {
				w.Kill(p)
			}
			w.Delist(p)
		}
	}
	w.check(t)
	for _, key := range testKeys {
		w.checkNothingStranded(t, key)
	}
	for id := range w.usedBy {
		if _, billed := w.log.charged[id]; !billed && !w.lostWithItsBill(id) {
			at := w.where[id]
			t.Fatalf("%s ran and has no bill: on %s by %s dead %v, %d runs, %v", id, at.res.Holder, at.proc.Holder(), at.proc.Dead, len(w.runs), w.log.account(at.req.Entry).Shares[at.res.Holder])
		}
	}
}

// lostWithItsBill reports whether the holder whose share a request ran on died
// without a copy: the share is open and stays counted as spent.
func (w *world) lostWithItsBill(id string) bool {
	at := w.where[id]
	return w.proc(at.res.Holder).Dead && !w.log.account(at.req.Entry).Shares[at.res.Holder].Closed
}

func (w *world) hasCopy(dead *Proc) bool {
	for _, q := range w.Procs {
		proof := budget.TerminationProof{Kind: budget.ProofDelisted, Holder: dead.Holder(), Since: dead.provenAt}
		if q.active() && q.Node.Reclaim(w.Now, proof, w.resolve) == budget.ReclaimRunning {
			return true
		}
	}
	return false
}

func (w *world) checkNothingStranded(t *rapid.T, key record.EntryKey) {
	a := w.log.account(key)
	left := a.Prepaid - a.Spent()
	for _, p := range w.Procs {
		s := a.Shares[p.Holder()]
		if p.Dead && s != nil && !s.Closed {
			left -= s.Outstanding()
			if w.hasCopy(p) && s.Outstanding() > 0 {
				t.Fatalf("%v: %s is dead and copied, and its share is open: %+v", key, p.Holder(), *s)
			}
		}
	}
	if left <= 0 {
		return
	}
	var p *Proc
	for _, q := range w.Procs {
		if live(q) {
			p = q
		}
	}
	id := w.submit(p, key, left, 0, 0)
	for range 100 {
		w.Advance(100 * time.Millisecond)
	}
	if err, over := w.results[id]; !over || err != nil {
		t.Fatalf("%v: %d tokens are left and cannot be spent: %v", key, left, err)
	}
}
