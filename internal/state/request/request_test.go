package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// history is the naive model: it keeps every accepted action and decides by
// reading them all again.
type history []string

func (h history) count(action string) int {
	n := 0
	for _, a := range h {
		if a == action {
			n++
		}
	}
	return n
}

func (h history) has(action string) bool { return h.count(action) > 0 }

// open reports whether an attempt was sent without proof that it did not run.
func (h history) open() bool {
	for n := 1; n <= h.count("dispatch"); n++ {
		if !h.has(fmt.Sprintf("notrun-%d", n)) {
			return true
		}
	}
	return false
}

func (h history) ended() bool { return h.has("refuse") || h.has("settle") || h.has("resolve") }

func (h history) running() bool { return !h.ended() && !h.has("lose") && h.open() }

func (h history) answers(attempt int) bool {
	return h.running() && attempt == h.count("dispatch") && !h.has(fmt.Sprintf("notrun-%d", attempt))
}

func (h history) allowed(action string, attempt int) bool {
	switch action {
	case "reserve":
		return len(h) == 0
	case "dispatch":
		return h.has("reserve") && !h.ended() && !h.has("lose") && !h.has("stream") && h.count("dispatch") < MaxAttempts
	case "notrun":
		known := attempt >= 1 && attempt <= h.count("dispatch")
		return h.running() && !h.has("stream") && known && !h.has(fmt.Sprintf("notrun-%d", attempt))
	case "stream":
		return h.answers(attempt) && !h.has("stream")
	case "settle":
		return h.answers(attempt)
	case "refuse":
		return !h.open() && !h.ended()
	case "lose":
		return h.running()
	default: // resolve
		return h.has("lose") && !h.ended()
	}
}

func apply(r *Request, action string, attempt int) error {
	switch action {
	case "reserve":
		return r.Reserve()
	case "dispatch":
		_, err := r.Dispatch()
		return err
	case "notrun":
		return r.AttemptNotRun(attempt)
	case "stream":
		return r.Stream(attempt)
	case "settle":
		return r.Settle(attempt, Bill{Charged: 1})
	case "refuse":
		return r.Refuse("refused")
	case "lose":
		return r.MarkUnknown("outcome_unknown")
	default:
		return r.Resolve(Bill{Charged: 2})
	}
}

var actions = []string{"reserve", "dispatch", "notrun", "stream", "settle", "refuse", "lose", "resolve"}

// TestStatesAgreeWithHistory guards against a request that is called "not run"
// after an attempt may have run, is billed twice, takes the answer of a replaced
// attempt, or leaves a terminal state.
func TestStatesAgreeWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Retention: time.Hour, MaxFinished: 10, Now: time.Now})
		r, _, err := table.Begin(Params{ID: "r1"})
		if err != nil {
			t.Fatal(err)
		}
		var h history
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			action := rapid.SampledFrom(actions).Draw(t, "action")
			attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
			allowed := h.allowed(action, attempt)
			err := apply(r, action, attempt)
			if allowed != (err == nil) {
				t.Fatalf("%s(%d) after %v: allowed %v, got %v", action, attempt, h, allowed, err)
			}
			if err != nil && !errors.Is(err, ErrTransition) {
				t.Fatalf("error is no ErrTransition: %v", err)
			}
			if allowed && action == "notrun" {
				h = append(h, fmt.Sprintf("notrun-%d", attempt))
			} else if allowed {
				h = append(h, action)
			}
			info := r.Info()
			if r.NotRun() == h.open() || (info.NotRun && h.open()) {
				t.Fatalf("after %v: not run %v", h, info.NotRun)
			}
			if bills := h.count("settle") + h.count("resolve"); bills > 1 || (bills == 1) != (info.Bill != nil) {
				t.Fatalf("after %v: %d bills, %v", h, bills, info.Bill)
			}
		}
	})
}

// TestTableIsBounded guards against a table that grows with the number of
// requests served, or that forgets an unknown request before it is billed.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := NewTable(Config{Retention: time.Minute, MaxFinished: 3, MaxAnswerBytes: 8, Now: func() time.Time { return now }})
	lost, _, err := table.Begin(Params{ID: "lost"})
	is.NoErr(err)
	is.NoErr(lost.Reserve())
	_, err = lost.Dispatch()
	is.NoErr(err)
	is.NoErr(lost.MarkUnknown("outcome_unknown"))
	lost.Finish(nil)
	for i := range 100 {
		r, _, err := table.Begin(Params{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)})
		is.NoErr(err)
		is.NoErr(r.Refuse("x"))
		r.Finish(&StoredResponse{Body: make([]byte, 5)})
	}
	_, found := table.Find("99")
	is.True(found)
	is.Equal(table.Len(), 4)
	is.True(table.answerBytes <= 8)
	now = now.Add(2 * time.Minute)
	_, found = table.Find("99")
	is.True(!found)
	is.Equal(table.Len(), 1)
	is.Equal(len(table.byKey), 0)
	is.NoErr(lost.Resolve(Bill{}))
}

// TestKeyNamesOneRequest guards against a repeat that runs again, a key that
// answers for another body, and a key lost to a request that never ran.
func TestKeyNamesOneRequest(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Retention: time.Minute, MaxFinished: 3, MaxAnswerBytes: 100, Now: time.Now})
	params := Params{ID: "a", Key: "k", Team: "t1", Entry: record.EntryKey{Name: "e"}, BodyHash: []byte{1}}
	first, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(!repeated)
	again, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(repeated && again == first)
	for _, change := range []func(*Params){
		func(p *Params) { p.BodyHash = []byte{2} },
		func(p *Params) { p.Entry.Name = "f" },
	} {
		other := params
		change(&other)
		_, _, err = table.Begin(other)
		is.True(errors.Is(err, ErrKeyConflict))
	}
	other := params
	other.ID, other.Team = "b", "t2"
	_, repeated, err = table.Begin(other)
	is.NoErr(err)
	is.True(!repeated)
	is.NoErr(first.Refuse("overloaded"))
	first.Finish(nil)
	second, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(!repeated && second != first)
}
