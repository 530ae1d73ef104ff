package admission

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

type fakeClock struct{ now time.Time }

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) Now() time.Time          { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func request(entry, team string, class catalogue.Class, tokens int64) Request {
	return Request{Entry: record.EntryKey{Name: entry}, Team: team, Class: class, Tokens: tokens}
}

const (
	testMaxTokens          = 3000
	testQuantum            = 4000
	testLowerClassFraction = 0.2
)

// queueModel tracks the requests of a controller from outside.
type queueModel struct {
	c        *Controller
	waiting  map[*Ticket]bool
	running  []*Ticket
	capacity int
	// higherSinceWait and queuedSinceWait count the admitted tokens of higher classes and of queued requests
	// since queued requests last began to wait.
	higherSinceWait, queuedSinceWait int64
	// higherTotal counts all admitted tokens of higher classes. queuedAhead counts the tokens of queued
	// requests that were admitted while a higher class waited.
	higherTotal, queuedAhead int64
}

func (m *queueModel) recordAdmission(t *Ticket) {
	delete(m.waiting, t)
	m.running = append(m.running, t)
	if t.class != indexQueued {
		m.higherTotal += t.cost
		if m.anyWaiting(indexQueued, indexQueued) {
			m.higherSinceWait += t.cost
		}
		return
	}
	m.queuedSinceWait += t.cost
	if m.anyWaiting(indexInteractive, indexService) {
		m.queuedAhead += t.cost
	}
}

func (m *queueModel) anyWaiting(from, to int) bool {
	for t := range m.waiting {
		if t.class >= from && t.class <= to {
			return true
		}
	}
	return false
}

func (m *queueModel) submit(r *rapid.T, req Request) {
	var t *Ticket
	t, err := m.c.AdmitAsync(req, func() { m.recordAdmission(t) })
	if err != nil {
		r.Fatalf("unexpected refusal: %v", err)
	}
	if t.Admitted() {
		if _, tracked := m.waiting[t]; !tracked {
			m.recordAdmission(t)
		}
		return
	}
	m.waiting[t] = true
}

// Guards against lost requests, slots that stay free while interactive or service requests wait, starved
// queued requests, and queued requests that get more than LowerClassFraction while higher classes wait.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newClock()
		m := &queueModel{waiting: make(map[*Ticket]bool), capacity: rapid.IntRange(2, 8).Draw(r, "capacity")}
		m.c = New(Config{
			Now: clock.Now, Capacity: func(string) int { return m.capacity }, QuantumTokens: testQuantum, BurstFactor: 1, LowerClassFraction: testLowerClassFraction,
			MaxWait: map[catalogue.Class]time.Duration{
				catalogue.ClassInteractive: time.Hour, catalogue.ClassService: time.Hour, catalogue.ClassQueued: time.Hour * 24,
			},
		})
		// Mostly interactive requests, so that the higher classes saturate the capacity.
		classes := []catalogue.Class{catalogue.ClassInteractive, catalogue.ClassInteractive,
			catalogue.ClassInteractive, catalogue.ClassService, catalogue.ClassQueued}
		pressure := rapid.IntRange(1, 4).Draw(r, "pressure")
		for range 300 {
			switch n := rapid.IntRange(0, 9).Draw(r, "action"); {
			case n < 3+pressure:
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "team")
				class := rapid.SampledFrom(classes).Draw(r, "class")
				m.submit(r, request(team+"1", team, class, rapid.Int64Range(1, testMaxTokens).Draw(r, "tokens")))
			case n < 9 && len(m.running) > 0:
				done := m.running[0]
				m.running = m.running[1:]
				clock.advance(10 * time.Millisecond)
				done.Done()
				done.Done()
			default:
				m.cancelOne()
			}
			m.check(r)
		}
	})
}

func (m *queueModel) cancelOne() {
	for w := range m.waiting {
		if w.class != indexQueued {
			delete(m.waiting, w)
			w.Done()
			return
		}
	}
}

func (m *queueModel) check(r *rapid.T) {
	s := m.c.Stats()
	if s.Waiting != len(m.waiting) || s.InFlight != len(m.running) {
		r.Fatalf("controller has %+v, but %d wait and %d run", s, len(m.waiting), len(m.running))
	}
	for w := range m.waiting {
		if w.class != indexQueued && s.InFlight < m.capacity {
			r.Fatalf("a request of class %s waits although a slot is free", classAt(w.class))
		}
	}
	if float64(m.queuedAhead) > float64(m.higherTotal)*testLowerClassFraction+testMaxTokens {
		r.Fatalf("%d tokens of queued requests were admitted before higher classes, which got %d", m.queuedAhead, m.higherTotal)
	}
	if !m.anyWaiting(indexQueued, indexQueued) {
		m.higherSinceWait, m.queuedSinceWait = 0, 0
		return
	}
	owed := float64(m.higherSinceWait) * testLowerClassFraction
	if owed > float64(m.queuedSinceWait)+2*testMaxTokens {
		r.Fatalf("queued requests are starved: %d tokens served while higher classes got %d", m.queuedSinceWait, m.higherSinceWait)
	}
}

// Guards against a large team that starves small ones: among teams that always have requests waiting, the
// served tokens differ by at most one quantum plus the largest request.
func TestFairWithinOneQuantum(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q classQueue
		q.quantum = testQuantum
		teams := rapid.IntRange(2, 6).Draw(r, "teams")
		sizes := rapid.SliceOfN(rapid.Int64Range(1, testMaxTokens), teams, teams).Draw(r, "sizes")
		for team := range teams {
			// The first team has ten times as many requests waiting.
			n := min(400, 40*testMaxTokens/int(sizes[team]))
			if team == 0 {
				n *= 10
			}
			for range n {
				q.push(&Ticket{teamName: fmt.Sprint(team), cost: sizes[team]})
			}
		}
		served := make(map[string]int64)
		for range 200 {
			popped := q.pop(func(*Ticket) bool { return true })
			served[popped.teamName] += popped.cost
			if len(q.ring) < teams {
				return
			}
			low, high := int64(math.MaxInt64), int64(0)
			for team := range teams {
				low, high = min(low, served[fmt.Sprint(team)]), max(high, served[fmt.Sprint(team)])
			}
			if high-low > testQuantum+testMaxTokens {
				r.Fatalf("served tokens differ by %d: %v", high-low, served)
			}
		}
	})
}

// Guards against queued requests that get LowerClassFraction in addition to their regular turns: a request
// served in class order reduces the credit of its class, but not below 0.
func TestRegularTurnsReduceCredit(t *testing.T) {
	is := is.New(t)
	var p pool
	p.classes[indexQueued].push(&Ticket{class: indexQueued, cost: 10})
	p.credit[indexQueued] = 100
	p.updateCredit(&Ticket{class: indexQueued, cost: 60}, false, testLowerClassFraction)
	is.Equal(p.credit[indexQueued], 40.0)
	p.updateCredit(&Ticket{class: indexQueued, cost: 60}, false, testLowerClassFraction)
	is.Equal(p.credit[indexQueued], 0.0)
}

// Guards against an interactive request that waits behind queued ones.
func TestClassOrder(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 2 }, BurstFactor: 1})
	var order []string
	submit := func(name string, class catalogue.Class) *Ticket {
		ticket, err := c.AdmitAsync(request(name, name, class, 10), func() { order = append(order, name) })
		is.NoErr(err)
		return ticket
	}
	first := submit("first", catalogue.ClassInteractive)
	second := submit("second", catalogue.ClassInteractive)
	submit("review", catalogue.ClassQueued)
	submit("lookup", catalogue.ClassService)
	submit("question", catalogue.ClassInteractive)
	first.Done()
	second.Done()
	is.Equal(order, []string{"question", "lookup"})
}

// simulatedUpstream simulates an upstream on a fake clock: it ends admitted requests after a given duration.
type simulatedUpstream struct {
	c        *Controller
	clock    *fakeClock
	duration time.Duration
	running  map[*Ticket]time.Time
	started  int
}

func (s *simulatedUpstream) submit(team string, class catalogue.Class) error {
	var ticket *Ticket
	start := func() {
		// Varied durations keep requests from ending at the same time.
		s.started++
		s.running[ticket] = s.clock.now.Add(s.duration * time.Duration(5+s.started%11) / 10)
	}
	ticket, err := s.c.AdmitAsync(request(team, team, class, 100), start)
	if err == nil && ticket.Admitted() {
		start()
	}
	return err
}

// run advances the clock by d and submits requests of the large team every 50 ms. It returns the last
// refusal.
func (s *simulatedUpstream) run(d time.Duration, arrivals int) (last *OverloadedError) {
	for end := s.clock.now.Add(d); s.clock.now.Before(end); {
		s.clock.advance(50 * time.Millisecond)
		for ticket, end := range s.running {
			if !end.After(s.clock.now) {
				delete(s.running, ticket)
				ticket.Done()
			}
		}
		for range arrivals {
			errors.As(s.submit("large", catalogue.ClassInteractive), &last)
		}
	}
	return last
}

// Guards against a queue longer than the wait that its class accepts, a retry time that is too short or too
// long, and a small team that is refused because of the large team's queue.
func TestRetryTimesAreAccurate(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 10 }, BurstFactor: 1, MaxWait: map[catalogue.Class]time.Duration{
		catalogue.ClassInteractive: 10 * time.Second, catalogue.ClassQueued: 4 * time.Second}})
	s := &simulatedUpstream{c: c, clock: clock, duration: time.Second, running: make(map[*Ticket]time.Time)}
	is.True(s.run(40*time.Second, 2) != nil) // 40 requests per second against a capacity of 10
	is.True(c.Stats().Waiting <= 120)        // about ten seconds of work
	is.NoErr(s.submit("small", catalogue.ClassInteractive))

	var refusal *OverloadedError
	is.True(errors.As(s.submit("review", catalogue.ClassQueued), &refusal))
	is.True(refusal.RetryAfter > 4*time.Second)
	s.run(refusal.RetryAfter*7/10, 0)
	is.True(s.submit("review", catalogue.ClassQueued) != nil)
	s.run(refusal.RetryAfter*5/10, 0)
	is.NoErr(s.submit("review", catalogue.ClassQueued))
}

// Guards against a queued request that is lost when a rate limit or the queue limit of its scope is reached.
func TestRateLimits(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now})
	limited := request("e", "t", catalogue.ClassInteractive, 10)
	limited.Limits = catalogue.Limits{RequestsPerSecond: 1, Queue: 1}
	first, err := c.Admit(context.Background(), limited)
	is.NoErr(err)
	first.Done()
	_, err = c.Admit(context.Background(), limited)
	var rate *RateLimitedError
	is.True(errors.As(err, &rate))
	is.Equal(rate.Limit, limitRequests)
	is.Equal(rate.RetryAfter, time.Second)

	limited.Class = catalogue.ClassQueued
	ran := false
	_, err = c.AdmitAsync(limited, func() { ran = true })
	is.NoErr(err) // waits for the limit
	_, err = c.AdmitAsync(limited, func() {})
	is.True(errors.As(err, &rate))
	is.Equal(rate.Limit, limitQueue)
	clock.advance(rate.RetryAfter)
	clock.advance(time.Second)
	c.Advance()
	is.True(ran)
}

// Guards against a ticket that stays in the queue after its caller's context ended.
func TestAdmitReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	c := New(Config{Now: newClock().Now, Capacity: func(string) int { return 1 }})
	first, err := c.Admit(context.Background(), request("e", "t", catalogue.ClassInteractive, 1))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Admit(ctx, request("e", "t", catalogue.ClassQueued, 1))
	is.True(errors.Is(err, context.Canceled))
	is.Equal(c.Stats(), Stats{Waiting: 0, InFlight: 1})
	first.Done()
	is.Equal(c.Stats(), Stats{})
}

// BenchmarkAdmit measures one admission and one Done with 610 teams, the number at the target fleet size:
// with free slots, and with all slots taken and ten requests of each team waiting.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []bool{false, true} {
		b.Run(fmt.Sprintf("teams=610/waiting=%v", waiting), func(b *testing.B) {
			c := New(Config{Capacity: func(string) int { return 100 }, BurstFactor: 1, MaxQueue: 1 << 30, MaxWait: map[catalogue.Class]time.Duration{
				catalogue.ClassInteractive: time.Hour}, TeamLimits: func(string) catalogue.Limits {
				return catalogue.Limits{TokensPerSecond: 1e12}
			}})
			requests := make([]Request, 610)
			for i := range requests {
				requests[i] = request(fmt.Sprint("entry", i), fmt.Sprint("team", i), catalogue.ClassInteractive, 1000)
			}
			var running []*Ticket
			for i := 0; waiting && i < 100+10*len(requests); i++ {
				var ticket *Ticket
				ticket, _ = c.AdmitAsync(requests[i%len(requests)], func() { running = append(running, ticket) })
				if ticket.Admitted() {
					running = append(running, ticket)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				var ticket *Ticket
				ticket, err := c.AdmitAsync(requests[i%len(requests)], func() { running = append(running, ticket) })
				if err != nil {
					b.Fatal(err)
				}
				if ticket.state == stateAdmitted {
					ticket.Done()
					continue
				}
				next := running[0]
				running = running[1:]
				next.Done()
			}
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTeamHeap reports the heap bytes per team, with limits on the team and on one entry, and per
// waiting request.
func BenchmarkTeamHeap(b *testing.B) {
	const teams, perTeam = 610, 10
	limits := catalogue.Limits{TokensPerSecond: 1e12, Concurrency: 1 << 20}
	for b.Loop() {
		c := New(Config{Capacity: func(string) int { return 1 }, BurstFactor: 1, TeamLimits: func(string) catalogue.Limits { return limits }})
		before := heapInUse()
		submit := func(i int, class catalogue.Class) *Ticket {
			req := request("entry", "team", class, 1000)
			req.Entry.Name, req.Team, req.Limits = fmt.Sprint("entry-", i), fmt.Sprint("team-", i), limits
			ticket, err := c.AdmitAsync(req, func() {})
			if err != nil {
				b.Fatal(err)
			}
			return ticket
		}
		for i := range teams {
			submit(i, catalogue.ClassInteractive).Done()
		}
		idle := heapInUse()
		for i := range teams * perTeam {
			submit(i%teams, catalogue.ClassQueued)
		}
		full := heapInUse()
		b.ReportMetric(float64(idle-before)/teams, "heapB/team")
		b.ReportMetric(float64(full-idle)/(teams*perTeam), "heapB/waiting")
		runtime.KeepAlive(c)
	}
}
