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
	testMaxCost = 3000
	testQuantum = 4000
	testShare   = 0.2
)

// queueModel follows each request from outside the controller.
type queueModel struct {
	c        *Controller
	waiting  map[*Ticket]bool
	running  []*Ticket
	capacity int
	// higher and own count tokens admitted while a queued request waited
	// without a break.
	higher, own int64
	// above counts tokens of higher classes, early those of queued requests
	// admitted while a higher class waited.
	above, early int64
}

func (m *queueModel) note(t *Ticket) {
	delete(m.waiting, t)
	m.running = append(m.running, t)
	if t.class != indexQueued {
		m.above += t.cost
		if m.classWaits(indexQueued, indexQueued) {
			m.higher += t.cost
		}
		return
	}
	m.own += t.cost
	if m.classWaits(indexInteractive, indexService) {
		m.early += t.cost
	}
}

func (m *queueModel) classWaits(from, to int) bool {
	for t := range m.waiting {
		if t.class >= from && t.class <= to {
			return true
		}
	}
	return false
}

func (m *queueModel) offer(r *rapid.T, req Request) {
	var t *Ticket
	t, err := m.c.AdmitAsync(req, func() { m.note(t) })
	if err != nil {
		r.Fatalf("unexpected refusal: %v", err)
	}
	if t.Admitted() {
		if _, noted := m.waiting[t]; !noted {
			m.note(t)
		}
		return
	}
	m.waiting[t] = true
}

// Guards against lost requests, idle slots beside waiting requests, starved
// queued requests, and queued requests that go before interactive ones beyond
// their share.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newClock()
		m := &queueModel{waiting: make(map[*Ticket]bool), capacity: rapid.IntRange(2, 8).Draw(r, "capacity")}
		m.c = New(Config{
			Now: clock.Now, Capacity: func(string) int { return m.capacity }, Quantum: testQuantum, Burst: 1, QueuedShare: testShare,
			MaxWait: map[catalogue.Class]time.Duration{
				catalogue.ClassInteractive: time.Hour, catalogue.ClassService: time.Hour, catalogue.ClassQueued: time.Hour * 24,
			},
		})
		// Mostly interactive requests, so that the higher classes saturate.
		classes := []catalogue.Class{catalogue.ClassInteractive, catalogue.ClassInteractive,
			catalogue.ClassInteractive, catalogue.ClassService, catalogue.ClassQueued}
		pressure := rapid.IntRange(1, 4).Draw(r, "pressure")
		for range 300 {
			switch n := rapid.IntRange(0, 9).Draw(r, "action"); {
			case n < 3+pressure:
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "team")
				class := rapid.SampledFrom(classes).Draw(r, "class")
				m.offer(r, request(team+"1", team, class, rapid.Int64Range(1, testMaxCost).Draw(r, "tokens")))
			case n < 9 && len(m.running) > 0:
				done := m.running[0]
				m.running = m.running[1:]
				clock.advance(10 * time.Millisecond)
				done.Done()
				done.Done()
			default:
				m.giveUp()
			}
			m.check(r)
		}
	})
}

func (m *queueModel) giveUp() {
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
			r.Fatalf("a request of class %s waits beside a free slot", className(w.class))
		}
	}
	if float64(m.early) > float64(m.above)*testShare+testMaxCost {
		r.Fatalf("%d tokens of queued requests went before higher classes, which got %d", m.early, m.above)
	}
	if !m.classWaits(indexQueued, indexQueued) {
		m.higher, m.own = 0, 0
		return
	}
	owed := float64(m.higher) * testShare
	if owed > float64(m.own)+2*testMaxCost {
		r.Fatalf("queued requests starve: %d tokens served while higher classes got %d", m.own, m.higher)
	}
}

// Guards against a large team that crowds out small ones: among teams that
// always have requests waiting, the served tokens differ by at most one quantum
// and the largest request.
func TestFairWithinOneQuantum(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q classQueue
		q.quantum = testQuantum
		teams := rapid.IntRange(2, 6).Draw(r, "teams")
		sizes := rapid.SliceOfN(rapid.Int64Range(1, testMaxCost), teams, teams).Draw(r, "sizes")
		for team := range teams {
			// The first team has ten times as many requests waiting.
			n := min(400, 40*testMaxCost/int(sizes[team]))
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
			if high-low > testQuantum+testMaxCost {
				r.Fatalf("served tokens differ by %d: %v", high-low, served)
			}
		}
	})
}

// Guards against queued requests that get their ordinary turns and their share
// on top: what a class got in its turn counts, but leaves no debt.
func TestOrdinaryTurnsCount(t *testing.T) {
	is := is.New(t)
	var p pool
	p.classes[indexQueued].push(&Ticket{class: indexQueued, cost: 10})
	p.credit[indexQueued] = 100
	p.account(&Ticket{class: indexQueued, cost: 60}, false, testShare)
	is.Equal(p.credit[indexQueued], 40.0)
	p.account(&Ticket{class: indexQueued, cost: 60}, false, testShare)
	is.Equal(p.credit[indexQueued], 0.0)
}

// Guards against an interactive request that waits behind queued ones.
func TestClassOrder(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 2 }, Burst: 1})
	var order []string
	offer := func(name string, class catalogue.Class) *Ticket {
		ticket, err := c.AdmitAsync(request(name, name, class, 10), func() { order = append(order, name) })
		is.NoErr(err)
		return ticket
	}
	first := offer("first", catalogue.ClassInteractive)
	second := offer("second", catalogue.ClassInteractive)
	offer("review", catalogue.ClassQueued)
	offer("lookup", catalogue.ClassService)
	offer("question", catalogue.ClassInteractive)
	first.Done()
	second.Done()
	is.Equal(order, []string{"question", "lookup"})
}

// server runs admitted requests for a fixed time on a fake clock.
type server struct {
	c        *Controller
	clock    *fakeClock
	duration time.Duration
	running  map[*Ticket]time.Time
	started  int
}

func (s *server) offer(team string, class catalogue.Class) error {
	var ticket *Ticket
	start := func() {
		// Varied durations keep requests from ending in step.
		s.started++
		s.running[ticket] = s.clock.now.Add(s.duration * time.Duration(5+s.started%11) / 10)
	}
	ticket, err := s.c.AdmitAsync(request(team, team, class, 100), start)
	if err == nil && ticket.Admitted() {
		start()
	}
	return err
}

// run passes time and offers requests of the large team; it returns the last refusal.
func (s *server) run(d time.Duration, arrivals int) (last *OverloadedError) {
	for end := s.clock.now.Add(d); s.clock.now.Before(end); {
		s.clock.advance(50 * time.Millisecond)
		for ticket, end := range s.running {
			if !end.After(s.clock.now) {
				delete(s.running, ticket)
				ticket.Done()
			}
		}
		for range arrivals {
			errors.As(s.offer("large", catalogue.ClassInteractive), &last)
		}
	}
	return last
}

// Guards against a queue that grows past the wait its class accepts, a retry
// time that is too short or too long, and a small team that is refused for the
// large team's queue.
func TestSheddingIsTruthful(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 10 }, Burst: 1, MaxWait: map[catalogue.Class]time.Duration{
		catalogue.ClassInteractive: 10 * time.Second, catalogue.ClassQueued: 4 * time.Second}})
	s := &server{c: c, clock: clock, duration: time.Second, running: make(map[*Ticket]time.Time)}
	is.True(s.run(40*time.Second, 2) != nil) // 40 requests per second against a capacity of 10
	is.True(c.Stats().Waiting <= 120)        // about ten seconds of work
	is.NoErr(s.offer("small", catalogue.ClassInteractive))

	var refusal *OverloadedError
	is.True(errors.As(s.offer("review", catalogue.ClassQueued), &refusal))
	is.True(refusal.RetryAfter > 4*time.Second)
	s.run(refusal.RetryAfter*7/10, 0)
	is.True(s.offer("review", catalogue.ClassQueued) != nil)
	s.run(refusal.RetryAfter*5/10, 0)
	is.NoErr(s.offer("review", catalogue.ClassQueued))
}

// Guards against a queued request that is lost on a rate limit or a full scope.
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

// Guards against a ticket that stays in the queue after its caller gave up.
func TestAdmitEndsWithContext(t *testing.T) {
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

func BenchmarkAdmit(b *testing.B) {
	for _, contended := range []bool{false, true} {
		b.Run(fmt.Sprintf("teams=610/waiting=%v", contended), func(b *testing.B) {
			c := New(Config{Capacity: func(string) int { return 100 }, Burst: 1, MaxQueue: 1 << 30, MaxWait: map[catalogue.Class]time.Duration{
				catalogue.ClassInteractive: time.Hour}, TeamLimits: func(string) catalogue.Limits {
				return catalogue.Limits{TokensPerSecond: 1e12}
			}})
			requests := make([]Request, 610)
			for i := range requests {
				requests[i] = request(fmt.Sprint("entry", i), fmt.Sprint("team", i), catalogue.ClassInteractive, 1000)
			}
			var running []*Ticket
			for i := 0; contended && i < 100+10*len(requests); i++ {
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

// BenchmarkTeamHeap reports the heap per team with limits on the team and one
// entry, and per waiting request.
func BenchmarkTeamHeap(b *testing.B) {
	const teams, each = 610, 10
	limits := catalogue.Limits{TokensPerSecond: 1e12, Concurrency: 1 << 20}
	for b.Loop() {
		c := New(Config{Capacity: func(string) int { return 1 }, Burst: 1, TeamLimits: func(string) catalogue.Limits { return limits }})
		before := heapInUse()
		offer := func(i int, class catalogue.Class) *Ticket {
			req := request("entry", "team", class, 1000)
			req.Entry.Name, req.Team, req.Limits = fmt.Sprint("entry-", i), fmt.Sprint("team-", i), limits
			ticket, err := c.AdmitAsync(req, func() {})
			if err != nil {
				b.Fatal(err)
			}
			return ticket
		}
		for i := range teams {
			offer(i, catalogue.ClassInteractive).Done()
		}
		idle := heapInUse()
		for i := range teams * each {
			offer(i%teams, catalogue.ClassQueued)
		}
		full := heapInUse()
		b.ReportMetric(float64(idle-before)/teams, "heapB/team")
		b.ReportMetric(float64(full-idle)/(teams*each), "heapB/waiting")
		runtime.KeepAlive(c)
	}
}
