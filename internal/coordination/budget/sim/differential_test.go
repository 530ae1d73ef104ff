package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// naive is a single-threaded ledger: one number per entry.
type naive struct{ left map[record.EntryKey]int64 }

func (n *naive) reserve(r Request) bool {
	if n.left[r.Entry] < r.Amount {
		return false
	}
	n.left[r.Entry] -= r.Amount
	return true
}

func (n *naive) settle(r Request) { n.left[r.Entry] += r.Amount - r.Used }

// Guards against a fleet that without failures serves other requests than one
// ledger would, or calls a budget exhausted that is only unknown. Long requests
// stay in flight past the wait of every later one.
func TestFailureFreeAnswersEqualNaiveLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "copies"))
		ref := &naive{left: map[record.EntryKey]int64{}}
		for i, key := range testKeys {
			ref.left[key] = int64(100 * (i + 1))
		}
		long := map[record.EntryKey]bool{}
		for i := range rapid.IntRange(1, 25).Draw(t, "requests") {
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				delta := rapid.Int64Range(1, 100).Draw(t, "top-up")
				w.Adjust(key, fmt.Sprint("top-up", i), delta)
				ref.left[key] += delta
			}
			amount := rapid.Int64Range(1, 120).Draw(t, "amount")
			r := Request{Entry: key, Amount: amount, Used: rapid.Int64Range(0, amount).Draw(t, "used")}
			if rapid.IntRange(0, 3).Draw(t, "length") == 0 {
				r.Duration = time.Hour
			}
			id := w.submit(w.draw(t, live), key, amount, r.Used, r.Duration)
			for range 40 {
				w.Advance(100 * time.Millisecond)
			}
			served := ref.reserve(r)
			checkAnswer(t, w, id, served, long[key])
			if served && r.Duration == 0 {
				ref.settle(r)
			}
			long[key] = long[key] || served && r.Duration > 0
			w.check(t)
		}
	})
}

// checkAnswer compares the fleet's answer with the naive one. While requests of
// the entry are in flight, a refusal may be either error: their rest may come
// back, so exhaustion is not always proven.
func checkAnswer(t *rapid.T, w *world, id string, served, inFlight bool) {
	err, over := w.results[id]
	switch {
	case !over:
		t.Fatalf("%s has no answer", id)
	case served != (err == nil):
		t.Fatalf("%s: naive ledger serves: %v, fleet: %v", id, served, err)
	case err != nil && !inFlight && !errors.Is(err, budget.ErrExhausted):
		t.Fatalf("%s: refused without proof: %v", id, err)
	}
}
