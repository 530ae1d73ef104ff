package callrate

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// rateStore is a log that refuses calls above a rate: more calls than that in the last second.
type rateStore struct {
	*keyedlog.Memory
	writes, reads int

	mu       sync.Mutex
	accepted [kinds][]time.Time
	refused  int
}

const storeResponse = 4 * time.Millisecond

func (s *rateStore) admit(kind Kind, limit int) error {
	time.Sleep(storeResponse)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	calls := s.accepted[kind]
	for len(calls) > 0 && now.Sub(calls[0]) >= time.Second {
		calls = calls[1:]
	}
	if len(calls) >= limit {
		s.refused++
		return keyedlog.RateLimited(errors.New("429"))
	}
	s.accepted[kind] = append(calls, now)
	return nil
}

func (s *rateStore) Append(ctx context.Context, stream keyedlog.Stream, records []keyedlog.Record, at uint64) (uint64, error) {
	if err := s.admit(Write, s.writes); err != nil {
		return 0, err
	}
	return s.Memory.Append(ctx, stream, records, at)
}

func (s *rateStore) Read(ctx context.Context, stream keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if err := s.admit(Read, s.reads); err != nil {
		return keyedlog.Page{}, err
	}
	return s.Memory.Read(ctx, stream, from, wait)
}

func newRateStore() *rateStore {
	return &rateStore{Memory: keyedlog.NewMemory(), writes: 1500, reads: 6000}
}

// newLimiter returns a limiter of a process that starts now and knows the number of routers after fleetKnownAfter.
func newLimiter(routers int) *Limiter {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	started := time.Now()
	return New(Config{
		WritesPerSecond: 1500, ReadsPerSecond: 6000, Now: time.Now, Logger: logger,
		FleetSize: func() (int, bool) {
			if time.Since(started) < fleetKnownAfter {
				return 1, false
			}
			return routers, true
		},
	})
}

const fleetKnownAfter = 3 * time.Second

// callRepeatedly makes calls from several loops until the end of the time, and returns the number that succeeded.
func callRepeatedly(ctx context.Context, log keyedlog.Log, loops int, until time.Time) int {
	var calls sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range loops {
		calls.Go(func() {
			for time.Now().Before(until) {
				_, err := log.Append(ctx, keyedlog.Stream{Name: "s"}, nil, keyedlog.AnyOffset)
				if err == nil {
					mu.Lock()
					done++
					mu.Unlock()
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	calls.Wait()
	return done
}

// Guards against calls above the rate while all routers restart at once. Pattern: each of 78 routers has 24 calls to make
// at the start, and 24 more whenever these are done.
func TestFleetRestartsWithinRate(t *testing.T) {
	for _, limited := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newRateStore()
			until := time.Now().Add(fleetKnownAfter)
			var routers sync.WaitGroup
			for range 78 {
				var log keyedlog.Log = store
				if limited {
					log = newLimiter(78).Wrap(store, Control, Control)
				}
				routers.Go(func() { callRepeatedly(t.Context(), log, 24, until) })
			}
			routers.Wait()
			t.Logf("limited %v: %d refused", limited, store.refused)
			if limited && store.refused > 0 {
				t.Errorf("%d calls of a fleet that restarts are refused", store.refused)
			}
		})
	}
}

// Guards against a rate that nobody uses while one router needs it, and against one that stays high once the others need
// their parts. Pattern: one of 78 routers has more calls to make than its part, then all have.
func TestRouterTakesUnusedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRateStore()
		limiters := make([]*Limiter, 78)
		for i := range limiters {
			limiters[i] = newLimiter(78)
		}
		time.Sleep(fleetKnownAfter)
		const alone = 20 * time.Second
		done := callRepeatedly(t.Context(), limiters[0].Wrap(store, Control, Control), 24, time.Now().Add(alone))
		part := 1500.0 / 78
		t.Logf("alone: %d calls, %.1f times its part; %d refused", done, float64(done)/alone.Seconds()/part, store.refused)
		is.True(float64(done) > 2*part*alone.Seconds())
		is.Equal(store.refused, 0)

		const together = 10 * time.Second
		var routers sync.WaitGroup
		var mu sync.Mutex
		least, sum := 1<<30, 0
		for _, l := range limiters {
			routers.Go(func() {
				n := callRepeatedly(t.Context(), l.Wrap(store, Control, Control), 24, time.Now().Add(together))
				mu.Lock()
				defer mu.Unlock()
				least, sum = min(least, n), sum+n
			})
		}
		routers.Wait()
		t.Logf("together: %d calls, at least %d of each router; %d refused", sum, least, store.refused)
		is.True(sum > int(0.7*1500*together.Seconds()))
		is.True(store.refused*10 < sum)
		is.True(float64(least) > 0.5*part*together.Seconds())
	})
}

// Guards against a fleet that stays above the rate because each router counts too few others.
func TestRefusalsCorrectTooLargeParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRateStore()
		var routers sync.WaitGroup
		for range 78 {
			l := newLimiter(20)
			routers.Go(func() {
				callRepeatedly(t.Context(), l.Wrap(store, Control, Control), 24, time.Now().Add(30*time.Second))
			})
		}
		time.Sleep(20 * time.Second)
		store.mu.Lock()
		refused := store.refused
		store.mu.Unlock()
		routers.Wait()
		late := store.refused - refused
		t.Logf("%d refused in 20 s, %d in the 10 s after that", refused, late)
		if late > 1500*10/5 {
			t.Errorf("%d of some 15,000 calls are refused after 20 s", late)
		}
	})
}

// Guards against callers that wait behind reports, against reports that are never made, and against a priority that is
// fixed when the call is made although a caller begins to wait later.
func TestOrderOfCalls(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := newBucket(1000, now)
	b.setRouters(100)
	b.tokens = 0
	urgency := Report
	report := &waitingCall{priority: func() Priority { return urgency }, since: now}
	old := &waitingCall{priority: Always(StreamOrigin), since: now}
	b.waiting = []*waitingCall{old, report}
	for range 3 {
		b.waiting = append(b.waiting, &waitingCall{priority: Always(ShareRaise), since: now})
	}
	is.Equal(b.grant(now), nil) // no token
	urgency = Caller
	now = now.Add(200 * time.Millisecond)
	is.True(b.grant(now) == report)

	grants := 1
	for {
		b.waiting = append(b.waiting, &waitingCall{priority: Always(Caller), since: now})
		now = now.Add(200 * time.Millisecond)
		grants++
		if b.grant(now) == old {
			break
		}
		is.True(grants < 3*fairEvery)
	}
}

// Guards against calls that begin too late before their deadline, and a process that ends without returning its shares
// because the rate is used up.
func TestDeadlinesAndEnding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRateStore()
		l := newLimiter(78)
		log := l.Wrap(store, ShareRaise, ShareRaise)
		ctx, stop := context.WithCancel(t.Context())
		var busy sync.WaitGroup
		busy.Go(func() { callRepeatedly(ctx, log, 24, time.Now().Add(2*time.Second)) })
		time.Sleep(time.Second)
		is.True(l.Delaying())

		deadline, cancel := context.WithTimeout(ctx, 40*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := log.Append(WithPriority(deadline, Always(StreamOrigin)), keyedlog.Stream{Name: "s"}, nil, keyedlog.AnyOffset)
		is.True(errors.Is(err, keyedlog.ErrRateLimited) && errors.Is(err, keyedlog.ErrUnavailable))
		is.True(time.Since(began) <= 20*time.Millisecond)

		began = time.Now()
		for range 24 {
			_, err = log.Append(WithPriority(ctx, Always(Ending)), keyedlog.Stream{Name: "s"}, nil, keyedlog.AnyOffset)
			is.NoErr(err)
		}
		is.Equal(time.Since(began), 24*storeResponse)
		stop()
		busy.Wait()
	})
}

// Guards against a limit where none is configured.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	l := New(Config{Now: time.Now})
	log := l.Wrap(keyedlog.NewMemory(), Report, Report)
	for range 1000 {
		_, err := log.Read(context.Background(), keyedlog.Stream{Name: "s"}, 0, 0)
		is.NoErr(err)
	}
	is.True(!l.Delaying() && !l.Limited(Write))
}
