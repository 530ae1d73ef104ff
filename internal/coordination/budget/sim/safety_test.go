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

// testFleet is a fleet with the state that the checks need. Its actions add random
// faults.
type testFleet struct {
	*Fleet
	undecided     map[string]Request
	minUnreserved map[string]int64
	results       map[string]error
	nextID        int
	rng           *rand.Rand
	violation     string
}

func newTestFleet(replication bool) *testFleet {
	f := &testFleet{undecided: map[string]Request{}, minUnreserved: map[string]int64{}, results: map[string]error{}}
	policy := budget.DefaultPolicy()
	policy.MinGrant, policy.Horizon = 50, 10*time.Second
	f.rng = rand.New(rand.NewSource(1))
	f.Fleet = NewFleet(Config{
		Policy: policy, Partitions: 2, BillBuffer: 50, Regions: []int{2, 2}, Replication: replication,
	}, f.requestDecided)
	f.onReserve = f.updateMinimums
	for i, key := range testKeys {
		f.Adjust(key, "first", int64(100*(i+1)))
	}
	return f
}

func (f *testFleet) requestDecided(p *Process, r Request, err error) {
	if _, decided := f.results[r.ID]; decided {
		f.violation = "two results for " + r.ID
	}
	f.results[r.ID] = err
	f.updateMinimums()
	if errors.Is(err, budget.ErrExhausted) && f.minUnreserved[r.ID] >= r.Amount {
		f.violation = fmt.Sprintf("%s refused as exhausted for %d tokens although at least %d were left throughout, at %s: %s", r.ID, r.Amount, f.minUnreserved[r.ID], p.Holder(), f.describe(r.Entry))
	}
}

func (f *testFleet) describe(key record.EntryKey) string {
	a := f.log.account(key)
	text := fmt.Sprintf("free %d of %d", a.Free, a.Prepaid)
	for _, p := range f.Processes {
		if s := a.Shares[p.Holder()]; s != nil {
			text += fmt.Sprintf("\n  %s terminated %v paused %v: log %+v, own %+v", p.Holder(), p.Terminated, p.Paused, *s,
				p.Node.Shares().Get(key).Counters())
		}
	}
	return text
}

// updateMinimums updates, for each undecided request, the least unreserved budget of
// its entry since the request was submitted.
func (f *testFleet) updateMinimums() {
	for id, r := range f.undecided {
		f.minUnreserved[id] = min(f.minUnreserved[id], f.Unreserved(r.Entry))
		if _, decided := f.results[id]; decided {
			delete(f.undecided, id)
		}
	}
}

func (f *testFleet) submit(p *Process, key record.EntryKey, amount, used int64, d time.Duration) string {
	f.nextID++
	r := Request{ID: fmt.Sprint("r", f.nextID), Entry: key, Amount: amount, Used: used, Duration: d}
	f.undecided[r.ID], f.minUnreserved[r.ID] = r, f.Unreserved(key)
	f.Submit(p, r)
	return r.ID
}

// check verifies the invariants that hold after every step.
func (f *testFleet) check(t *rapid.T) {
	f.updateMinimums()
	if f.violation != "" {
		t.Fatal(f.violation)
	}
	for _, key := range testKeys {
		a := f.log.account(key)
		if a == nil {
			continue
		}
		if f.TokensUsed[key] > a.Prepaid {
			t.Fatalf("%v: upstreams ran %d of %d prepaid", key, f.TokensUsed[key], a.Prepaid)
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
		if f.Unreserved(key) < 0 {
			t.Fatalf("%v: spent and reserved exceed the prepaid budget by %d", key, -f.Unreserved(key))
		}
	}
	f.checkBills(t)
}

func (f *testFleet) checkBills(t *rapid.T) {
	charged := map[record.EntryKey]int64{}
	for id, bill := range f.log.charged {
		if bill.Charged < f.usedByRequest[id] {
			t.Fatalf("%s used %d and is billed %d", id, f.usedByRequest[id], bill.Charged)
		}
		charged[bill.Entry] += bill.Charged
	}
	for key, sum := range charged {
		if a := f.log.account(key); sum > a.Prepaid {
			t.Fatalf("%v: bills of %d for %d prepaid", key, sum, a.Prepaid)
		}
	}
}

// draw draws one of the processes for which keep reports true.
func (f *testFleet) draw(t *rapid.T, keep func(*Process) bool) *Process {
	var list []*Process
	for _, p := range f.Processes {
		if keep(p) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		t.Skip("no process in the required state")
	}
	return rapid.SampledFrom(list).Draw(t, "proc")
}

func (f *testFleet) setFaults(percent int, seed int64) {
	f.rng = rand.New(rand.NewSource(seed))
	f.Fault = func() Fault {
		if f.rng.Intn(100) >= percent {
			return FaultNone
		}
		return Fault(1 + f.rng.Intn(3))
	}
}

func live(p *Process) bool             { return p.active() && !p.Draining }
func paused(p *Process) bool           { return p.Paused && !p.Terminated }
func listedTerminated(p *Process) bool { return p.Terminated && !p.delisted }

func (f *testFleet) actions() map[string]func(*rapid.T) {
	adjustments := 0
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			amount := rapid.Int64Range(1, 60).Draw(t, "amount")
			f.submit(f.draw(t, live), rapid.SampledFrom(testKeys).Draw(t, "key"), amount,
				rapid.Int64Range(0, amount).Draw(t, "used"),
				time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond)
		},
		"advance": func(t *rapid.T) {
			f.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"pump": func(t *rapid.T) { f.RunBackground(f.draw(t, live)) },
		"step": func(t *rapid.T) { f.StepAttempts(f.draw(t, live)) },
		"faults": func(t *rapid.T) {
			f.setFaults(rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "percent"), rapid.Int64().Draw(t, "seed"))
		},
		"land":  func(*rapid.T) { f.ApplyDelayed() },
		"cut":   func(t *rapid.T) { f.Partitioned = rapid.Bool().Draw(t, "cut") },
		"log":   func(t *rapid.T) { f.LogDown = rapid.Bool().Draw(t, "down") },
		"pause": func(t *rapid.T) { f.draw(t, live).Paused = true },
		"wake":  func(t *rapid.T) { f.draw(t, paused).Paused = false },
		"kill": func(t *rapid.T) {
			p := f.draw(t, func(p *Process) bool { return !p.Terminated && len(f.Processes) < 12 })
			f.Kill(p)
			f.Replace(p)
		},
		"delist": func(t *rapid.T) { f.Delist(f.draw(t, listedTerminated)) },
		"drain": func(t *rapid.T) {
			p := f.draw(t, func(p *Process) bool { return live(p) && len(f.Processes) < 12 })
			f.Drain(p)
			f.Replace(p)
		},
		"drained": func(t *rapid.T) {
			if p := f.draw(t, func(p *Process) bool { return p.active() && p.Draining }); f.Drained(p) {
				f.Kill(p)
			}
		},
		"replace all": func(t *rapid.T) {
			if len(f.Processes) > 8 {
				t.Skip("replaced already")
			}
			for _, p := range append([]*Process(nil), f.Processes...) {
				if !p.Terminated {
					f.Kill(p)
					f.Replace(p)
				}
			}
		},
		"adjust": func(t *rapid.T) {
			adjustments++
			// Two adjustments, for example a decrease and a top-up, share each ID. An
			// entry takes only the first of them.
			id := fmt.Sprint("adjust", adjustments/2)
			f.Adjust(rapid.SampledFrom(testKeys).Draw(t, "key"), id, rapid.Int64Range(-80, 120).Draw(t, "delta"))
		},
		"": f.check,
	}
}

// Guards against overspend, duplicate grants, duplicate bills, false proofs of
// exhaustion and stranded budget under interleaved faults.
func TestBudgetIsSafeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.Bool().Draw(t, "copies"))
		t.Repeat(f.actions())
		f.endFaults(t)
	})
}

// endFaults ends all faults, lets the fleet run, and checks that the remaining
// budget can be spent and that every run has a bill, unless the bill is lost, see
// billLost.
func (f *testFleet) endFaults(t *rapid.T) {
	f.Fault, f.Partitioned, f.LogDown = nil, false, false
	for _, p := range f.Processes {
		p.Paused = false
		f.Delist(p)
	}
	for range f.delayed {
		f.ApplyDelayed()
	}
	for range 300 {
		f.Advance(100 * time.Millisecond)
		for _, p := range f.Processes {
			if p.active() && p.Draining && f.Drained(p) {
				f.Kill(p)
			}
			f.Delist(p)
		}
	}
	f.check(t)
	for _, key := range testKeys {
		f.checkNothingStranded(t, key)
	}
	for id := range f.usedByRequest {
		if _, billed := f.log.charged[id]; !billed && !f.billLost(id) {
			r := f.runByRequest[id]
			t.Fatalf("%s was run but has no bill: holder %s, router %s (terminated: %v), %d runs in progress, share %v", id, r.res.Holder, r.process.Holder(), r.process.Terminated, len(f.runs), f.log.account(r.req.Entry).Shares[r.res.Holder])
		}
	}
}

// billLost reports whether the holder of the share that a request was charged to
// was terminated without a replica of its reservations. The bill is then lost, and
// the share stays open and counts as spent.
func (f *testFleet) billLost(id string) bool {
	r := f.runByRequest[id]
	return f.process(r.res.Holder).Terminated && !f.log.account(r.req.Entry).Shares[r.res.Holder].Closed
}

// canReclaim reports whether an active process can reclaim the shares of a
// terminated one. It calls Node.Reclaim, which also starts the reclaim.
func (f *testFleet) canReclaim(terminated *Process) bool {
	for _, q := range f.Processes {
		proof := budget.TerminationProof{Kind: budget.ProofDelisted, Holder: terminated.Holder(), Since: terminated.delistedAt}
		if q.active() && q.Node.Reclaim(f.Now, proof, f.lookUpCharge) == budget.ReclaimRunning {
			return true
		}
	}
	return false
}

// checkNothingStranded checks that all tokens of an entry that are left can be
// spent, except open shares of terminated processes without a replica.
func (f *testFleet) checkNothingStranded(t *rapid.T, key record.EntryKey) {
	a := f.log.account(key)
	left := a.Prepaid - a.Spent()
	for _, p := range f.Processes {
		s := a.Shares[p.Holder()]
		if p.Terminated && s != nil && !s.Closed {
			left -= s.Outstanding()
			if f.canReclaim(p) && s.Outstanding() > 0 {
				t.Fatalf("%v: %s is terminated and has a replica, but its share is open: %+v", key, p.Holder(), *s)
			}
		}
	}
	if left <= 0 {
		return
	}
	var p *Process
	for _, q := range f.Processes {
		if live(q) {
			p = q
		}
	}
	id := f.submit(p, key, left, 0, 0)
	for range 100 {
		f.Advance(100 * time.Millisecond)
	}
	if err, decided := f.results[id]; !decided || err != nil {
		t.Fatalf("%v: %d tokens are left but cannot be spent: %v", key, left, err)
	}
}
