package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Guards against priorities that are served in order of arrival: on one router with a single slot, requests of the
// priorities 1 to 9 wait for it. Before, they formed a single level.
func TestPrioritiesAreServedInOrder(t *testing.T) {
	is := is.New(t)
	c := New(Config{Now: newClock().Now, Capacity: func(string) int { return 1 }, BurstFactor: 1})
	var order, want []int
	running, err := c.AdmitAsync(request("e", "t", catalogue.ClassInteractive, 10), nil)
	is.NoErr(err)
	for priority := 9; priority >= 1; priority-- {
		req := request(fmt.Sprint(priority), "t", catalogue.ClassService, 10)
		req.Priority = priority
		var ticket *Ticket
		ticket, err = c.AdmitAsync(req, func() { order, running = append(order, priority), ticket })
		is.NoErr(err)
		want = append(want, 10-priority)
	}
	for range want {
		running.Done()
	}
	is.Equal(order, want)
}

// levelLoad is what a simulated upstream gets per second of one priority, and what becomes of it.
type levelLoad struct {
	priority, perSecond int
	offered, served     int
}

func (l *levelLoad) ratio() float64 { return float64(l.served) / float64(l.offered) }

// offerLevels offers the loads to a controller with 10 slots and requests of 100 ms, which is 100 requests per second, and
// counts from the third second on.
// If oneLevel is true, all priorities but 0 form one level, as they did before.
func offerLevels(seconds int, loads []*levelLoad, oneLevel bool) {
	clock := newClock()
	wait := 400 * time.Millisecond
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 10 }, BurstFactor: 1, MaxWait: map[catalogue.Class]time.Duration{
		catalogue.ClassInteractive: wait, catalogue.ClassService: wait}})
	ends := make(map[*Ticket]time.Time)
	for ms := range seconds * 1000 {
		clock.advance(time.Millisecond)
		for ticket, end := range ends {
			if !end.After(clock.now) {
				delete(ends, ticket)
				ticket.Done()
			}
		}
		for _, l := range loads {
			for range (ms+1)*l.perSecond/1000 - ms*l.perSecond/1000 {
				counted := 0
				if ms >= 3000 {
					counted = 1
				}
				l.offered += counted
				class := catalogue.ClassService
				if l.priority == 0 {
					class = catalogue.ClassInteractive
				}
				req := request(fmt.Sprint(l.priority), "t", class, 1)
				if !oneLevel {
					req.Priority = l.priority
				}
				var ticket *Ticket
				start := func() { ends[ticket], l.served = clock.now.Add(100*time.Millisecond), l.served+counted }
				var err error
				if ticket, err = c.AdmitAsync(req, start); err == nil && ticket.Admitted() && ends[ticket].IsZero() {
					start()
				}
			}
		}
	}
}

// Guards against a less urgent kind of request that is served better than a more urgent one, and against one that is
// starved. One kind sends 2.3 times its usual rate to a service for 100 requests per second.
func TestServedRatiosFollowPriorities(t *testing.T) {
	for _, tt := range []struct {
		name  string
		loads []*levelLoad
	}{
		{"burst of priority 0", []*levelLoad{{priority: 0, perSecond: 207}, {priority: 1, perSecond: 2}, {priority: 2, perSecond: 2}}},
		{"burst of priority 1", []*levelLoad{{priority: 0, perSecond: 30}, {priority: 1, perSecond: 92}, {priority: 2, perSecond: 30}}},
		{"burst of priority 2", []*levelLoad{{priority: 0, perSecond: 30}, {priority: 1, perSecond: 30}, {priority: 2, perSecond: 92}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var before []*levelLoad
			for _, l := range tt.loads {
				before = append(before, &levelLoad{priority: l.priority, perSecond: l.perSecond})
			}
			offerLevels(20, before, true)
			offerLevels(20, tt.loads, false)
			for i, l := range tt.loads {
				t.Logf("priority %d: %d of %d served, %d as one level", l.priority, l.served, l.offered, before[i].served)
				is.True(l.served > 0)
				if i > 0 {
					is.True(l.ratio() <= tt.loads[i-1].ratio()+0.05)
				}
			}
		})
	}
}

// Guards against refused callers that all return at the same time, later than they wait for, or not in the order in which
// they were refused, and against a request that waits although its time would end before: one router with 10 slots and
// requests of 100 ms gets 100 requests at once.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	c := New(Config{Now: clock.Now, Capacity: func(string) int { return 10 }, BurstFactor: 1, MaxWait: map[catalogue.Class]time.Duration{
		catalogue.ClassService: 400 * time.Millisecond}})
	req := request("e", "t", catalogue.ClassService, 1)
	for range 20 {
		ticket, err := c.Admit(t.Context(), req)
		is.NoErr(err)
		clock.advance(100 * time.Millisecond)
		ticket.Done()
	}
	req.TimeLeft, req.Target = 3*time.Second, 300*time.Millisecond
	waiting, last, refused := 0, time.Duration(0), 0
	for range 100 {
		var overloaded *OverloadedError
		ticket, err := c.AdmitAsync(req, func() {})
		if !errors.As(err, &overloaded) {
			is.NoErr(err)
			if !ticket.Admitted() {
				waiting++
			}
			continue
		}
		is.True(overloaded.RetryAfter > last || overloaded.RetryAfter == time.Second)
		last = overloaded.RetryAfter
		refused++
	}
	t.Logf("%d wait, %d are refused, the last for %v", waiting, refused, last)
	is.True(waiting >= 10 && waiting <= 16) // 150 ms, half of the target, at 100 requests per second
	is.True(last >= 700*time.Millisecond)   // one every 10 ms
	is.True(last <= time.Second)            // a third of the time left
	req.TimeLeft, req.Target = 50*time.Millisecond, 0
	_, err := c.AdmitAsync(req, func() {})
	is.True(err != nil)
	req.TimeLeft = time.Second // without a target, the time left alone counts
	_, err = c.AdmitAsync(req, func() {})
	is.NoErr(err)
}
