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

// referenceLedger is the reference model: the unreserved tokens of each entry.
type referenceLedger struct{ unreserved map[record.EntryKey]int64 }

func (l *referenceLedger) reserve(r Request) bool {
	if l.unreserved[r.Entry] < r.Amount {
		return false
	}
	l.unreserved[r.Entry] -= r.Amount
	return true
}

func (l *referenceLedger) settle(r Request) { l.unreserved[r.Entry] += r.Amount - r.Used }

// Guards against a fleet that, without failures, serves other requests than a
// single ledger would, or that refuses requests without proof of exhaustion. Some
// requests last an hour, so that they stay in flight while all later ones are
// decided.
func TestFailureFreeResultsEqualReferenceLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.Bool().Draw(t, "copies"))
		ref := &referenceLedger{unreserved: map[record.EntryKey]int64{}}
		for i, key := range testKeys {
			ref.unreserved[key] = int64(100 * (i + 1))
		}
		inFlight := map[record.EntryKey]bool{}
		for i := range rapid.IntRange(1, 25).Draw(t, "requests") {
			key := rapid.SampledFrom(testKeys).Draw(t, "key")
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				delta := rapid.Int64Range(1, 100).Draw(t, "top-up")
				f.Adjust(key, fmt.Sprint("top-up", i), delta)
				ref.unreserved[key] += delta
			}
			amount := rapid.Int64Range(1, 120).Draw(t, "amount")
			r := Request{Entry: key, Amount: amount, Used: rapid.Int64Range(0, amount).Draw(t, "used")}
			if rapid.IntRange(0, 3).Draw(t, "length") == 0 {
				r.Duration = time.Hour
			}
			id := f.submit(f.draw(t, live), key, amount, r.Used, r.Duration)
			for range 40 {
				f.Advance(100 * time.Millisecond)
			}
			served := ref.reserve(r)
			checkResult(t, f, id, served, inFlight[key])
			if served && r.Duration == 0 {
				ref.settle(r)
			}
			inFlight[key] = inFlight[key] || served && r.Duration > 0
			f.check(t)
		}
	})
}

// checkResult compares the fleet's result with the reference. While requests of the
// entry are in flight, a refusal may have either error: those requests may return
// unused tokens, so exhaustion is not always proven.
func checkResult(t *rapid.T, f *testFleet, id string, served, inFlight bool) {
	err, decided := f.results[id]
	switch {
	case !decided:
		t.Fatalf("%s has no result", id)
	case served != (err == nil):
		t.Fatalf("%s: reference ledger serves: %v, fleet: %v", id, served, err)
	case err != nil && !inFlight && !errors.Is(err, budget.ErrExhausted):
		t.Fatalf("%s: refused without proof of exhaustion: %v", id, err)
	}
}
