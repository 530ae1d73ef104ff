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

// referenceModel keeps every accepted action and decides by scanning all of them.
type referenceModel []string

func (m referenceModel) count(action string) int {
	n := 0
	for _, a := range m {
		if a == action {
			n++
		}
	}
	return n
}

func (m referenceModel) has(action string) bool { return m.count(action) > 0 }

// mayHaveRun reports whether an attempt was sent without proof that it did not run.
func (m referenceModel) mayHaveRun() bool {
	for n := 1; n <= m.count("dispatch"); n++ {
		if !m.has(fmt.Sprintf("notrun-%d", n)) {
			return true
		}
	}
	return false
}

// ended reports whether the request is billed or refused. Unlike State.Terminal, it is false for an unknown
// request, which can still be resolved.
func (m referenceModel) ended() bool { return m.has("refuse") || m.has("settle") || m.has("resolve") }

func (m referenceModel) running() bool { return !m.ended() && !m.has("lose") && m.mayHaveRun() }

func (m referenceModel) acceptsResponse(attempt int) bool {
	return m.running() && attempt == m.count("dispatch") && !m.has(fmt.Sprintf("notrun-%d", attempt))
}

func (m referenceModel) allowed(action string, attempt int) bool {
	switch action {
	case "reserve":
		return len(m) == 0
	case "dispatch":
		return m.has("reserve") && !m.ended() && !m.has("lose") && !m.has("stream") && m.count("dispatch") < MaxAttempts
	case "notrun":
		known := attempt >= 1 && attempt <= m.count("dispatch")
		return m.running() && !m.has("stream") && known && !m.has(fmt.Sprintf("notrun-%d", attempt))
	case "stream":
		return m.acceptsResponse(attempt) && !m.has("stream")
	case "settle":
		return m.acceptsResponse(attempt)
	case "refuse":
		return !m.mayHaveRun() && !m.ended()
	case "lose":
		return m.running()
	default: // resolve
		return m.has("lose") && !m.ended()
	}
}

// apply calls the method of an action. The action "lose" is MarkUnknown.
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

// Guards against a request that is reported as "not run" after an attempt may have run, is billed twice,
// accepts the response of a replaced attempt, or leaves a terminal state.
func TestStatesAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Retention: time.Hour, MaxFinished: 10, Now: time.Now})
		r, _, err := table.Begin(Params{ID: "r1"})
		if err != nil {
			t.Fatal(err)
		}
		var m referenceModel
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			action := rapid.SampledFrom(actions).Draw(t, "action")
			attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
			allowed := m.allowed(action, attempt)
			err := apply(r, action, attempt)
			if allowed != (err == nil) {
				t.Fatalf("%s(%d) after %v: allowed %v, got %v", action, attempt, m, allowed, err)
			}
			if err != nil && !errors.Is(err, ErrTransition) {
				t.Fatalf("error is not an ErrTransition: %v", err)
			}
			if allowed && action == "notrun" {
				m = append(m, fmt.Sprintf("notrun-%d", attempt))
			} else if allowed {
				m = append(m, action)
			}
			info := r.Info()
			if r.NotRun() == m.mayHaveRun() || (info.NotRun && m.mayHaveRun()) {
				t.Fatalf("after %v: not run %v", m, info.NotRun)
			}
			if bills := m.count("settle") + m.count("resolve"); bills > 1 || (bills == 1) != (info.Bill != nil) {
				t.Fatalf("after %v: %d bills, %v", m, bills, info.Bill)
			}
		}
	})
}

// Guards against a table that grows with the number of requests served, or that drops an unknown request
// before it is billed.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := NewTable(Config{Retention: time.Minute, MaxFinished: 3, MaxAnswerBytes: 8, Now: func() time.Time { return now }})
	unknown, _, err := table.Begin(Params{ID: "lost"})
	is.NoErr(err)
	is.NoErr(unknown.Reserve())
	_, err = unknown.Dispatch()
	is.NoErr(err)
	is.NoErr(unknown.MarkUnknown("outcome_unknown"))
	unknown.MarkDone(nil)
	for i := range 100 {
		r, _, err := table.Begin(Params{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)})
		is.NoErr(err)
		is.NoErr(r.Refuse("x"))
		r.MarkDone(&StoredResponse{Body: make([]byte, 5)})
	}
	_, found := table.Find("99")
	is.True(found)
	is.Equal(table.Len(), 4)
	is.True(table.responseBytes <= 8)
	now = now.Add(2 * time.Minute)
	_, found = table.Find("99")
	is.True(!found)
	is.Equal(table.Len(), 1)
	is.Equal(len(table.byKey), 0)
	is.NoErr(unknown.Resolve(Bill{}))
}

// Guards against a repeat that runs again, a key that is accepted with another body or entry, and a key that
// stays blocked by a request that never ran.
func TestKeyIdentifiesOneRequest(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Retention: time.Minute, MaxFinished: 3, MaxAnswerBytes: 100, Now: time.Now})
	params := Params{ID: "a", Key: "k", Team: "t1", Entry: record.EntryKey{Name: "e"}, RequestHash: []byte{1}}
	first, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(!repeated)
	again, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(repeated && again == first)
	for _, change := range []func(*Params){
		func(p *Params) { p.RequestHash = []byte{2} },
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
	first.MarkDone(nil)
	second, repeated, err := table.Begin(params)
	is.NoErr(err)
	is.True(!repeated && second != first)
}
