package claim

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// testTimeout is longer than any decision in these tests takes.
const testTimeout = 20 * time.Second

func start(t *testing.T, log Log, options ...func(*Config)) *Claimer {
	t.Helper()
	cfg := Config{Partitions: 2, Interval: time.Millisecond, Queue: 1000, MaxWait: testTimeout, Retention: time.Hour}
	for _, f := range options {
		f(&cfg)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := New(cfg, log, logger)
	ctx, cancel := context.WithCancel(context.Background())
	var loops conc.WaitGroup
	loops.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return c
}

func newClaim(key, holder string) record.Claim {
	return record.Claim{
		Entry: record.EntryKey{Name: "orders", Generation: 1}, Key: key, BodyHash: []byte{1},
		RequestID: "request-of-" + holder, Holder: record.HolderID(holder),
	}
}

func testStream() string { return record.ClaimStream(record.Partition("orders", 2)) }

func countRecords(t *testing.T, log *standin.Log) int {
	t.Helper()
	page, err := log.Read(context.Background(), testStream(), 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records)
}

// Guards against a request that runs twice: three routers that claim the same keys concurrently, while
// responses are lost and appends are delayed, agree on one winner of each key.
func TestThreeRoutersOneWinner(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	const keys = 40
	var mu sync.Mutex
	wins, winners := make(map[string]int), make(map[string]map[string]bool)
	var callers conc.WaitGroup
	for r := range 3 {
		router := start(t, log)
		for k := range keys {
			callers.Go(func() {
				if k%8 == 0 {
					log.SetFaults(standin.LogFaults{LoseResponses: 1, LateAppends: 1})
				}
				claim := newClaim(fmt.Sprint("key-", k), fmt.Sprint("vm-", r))
				winner, won, err := router.Claim(context.Background(), claim)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Error(err)
					return
				}
				if won {
					wins[claim.Key]++
				}
				if winners[claim.Key] == nil {
					winners[claim.Key] = make(map[string]bool)
				}
				winners[claim.Key][winner.RequestID] = true
			})
		}
	}
	callers.Wait()
	is.Equal(len(wins), keys)
	for key := range wins {
		is.Equal(wins[key], 1)
		is.Equal(len(winners[key]), 1)
	}
}

// Guards against a request that runs twice because its caller sent it twice to the same router with the same
// request ID.
func TestSameRequestTwiceOnOneRouter(t *testing.T) {
	is := is.New(t)
	router := start(t, standin.NewLog())
	_, first, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	_, second, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	is.True(first)
	is.True(!second)
}

// Guards against a lost claim being reported for a key that was reused for another request, instead of a
// conflict, and against a claim whose key is too long.
func TestReusedKeyIsAConflict(t *testing.T) {
	is := is.New(t)
	router := start(t, standin.NewLog())
	_, _, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	otherBody, otherGeneration := newClaim("k", "vm-1"), newClaim("k", "vm-1")
	otherBody.BodyHash = []byte{2}
	otherGeneration.Entry.Generation = 2
	for _, claim := range []record.Claim{otherBody, otherGeneration} {
		_, won, err := router.Claim(context.Background(), claim)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.True(!won)
		is.Equal(conflict.Winner.RequestID, "request-of-vm-1")
	}
	oversized := newClaim(string(make([]byte, record.MaxNameBytes+1)), "vm-1")
	_, _, err = router.Claim(context.Background(), oversized)
	is.True(errors.Is(err, ErrInvalid))
}

// Guards against a decision made without reading the stream: a claim whose append took effect but whose
// response was lost is read back and wins, without a second append.
func TestLostResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	router := start(t, log)
	log.SetFaults(standin.LogFaults{LoseResponses: 1})
	_, won, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	is.True(won)
	is.Equal(countRecords(t, log), 1) // it was not appended again
}

// Guards against a claim that is dropped when reading the stream does not find it: it is appended again, and
// the first append has no effect when it arrives late.
func TestClaimNotReadBackIsAppendedAgain(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	router := start(t, log)
	log.SetFaults(standin.LogFaults{LateAppends: 1})
	_, won, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	is.True(won)
	is.Equal(countRecords(t, log), 2)
}

// Guards against a key that stays claimed after a refusal, and an unbounded queue: a claim that was abandoned
// during an outage leaves its key to the caller's next attempt, and further claims are refused while the
// queue is full.
func TestClaimAbandonedInOutageFreesItsKey(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	router := start(t, log, func(c *Config) { c.Queue = 1 })
	log.SetFaults(standin.LogFaults{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	var waiting conc.WaitGroup
	waiting.Go(func() {
		_, won, err := router.Claim(ctx, newClaim("k", "vm-1"))
		var unavailable *UnavailableError
		is.True(errors.As(err, &unavailable))
		is.True(!won)
	})
	for router.partitions[record.Partition("orders", 2)].undecidedCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, _, err := router.Claim(context.Background(), newClaim("other", "vm-1"))
	is.True(errors.Is(err, errQueueFull))
	cancel()
	waiting.Wait()
	log.SetFaults(standin.LogFaults{})
	deadline, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	for won := false; !won; {
		// An append that was in progress when the outage ended may hold the key until its release.
		_, won, err = router.Claim(deadline, newClaim("k", "vm-1"))
		is.NoErr(err)
	}
}

func (p *partition) undecidedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.undecided
}

// pausableLog is a log that holds back the results of reads while it is paused, as for a router that is
// paused after an append and before it reads the record back.
type pausableLog struct {
	Log
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pausableLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logstream.Page, error) {
	page, err := p.Log.Read(ctx, stream, from, max, wait)
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return page, err
}

func (p *pausableLog) pause() (resume func()) {
	paused := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused = nil
		close(paused)
	}
}

// Guards against a claim that passes to another router while its holder is paused: the holder wins when it
// resumes, and the other router has lost.
func TestPausedHolderIsStillTheWinner(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	pausable := &pausableLog{Log: log}
	holder, other := start(t, pausable), start(t, log)
	readToEnd(holder, record.Partition("orders", 2))
	resume := pausable.pause()
	var won bool
	var claiming conc.WaitGroup
	claiming.Go(func() {
		var err error
		_, won, err = holder.Claim(context.Background(), newClaim("k", "vm-1"))
		is.NoErr(err)
	})
	for countRecords(t, log) == 0 {
		time.Sleep(time.Millisecond)
	}
	winner, otherWon, err := other.Claim(context.Background(), newClaim("k", "vm-2"))
	is.NoErr(err)
	is.True(!otherWon)
	is.Equal(winner.RequestID, "request-of-vm-1")
	resume()
	claiming.Wait()
	is.True(won)
}

// Guards against a request that runs after it was refused: a holder that resumes after its deadline does not
// get the claim, and the key is released for the caller's next attempt.
func TestHolderThatResumesTooLateReleases(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	pausable := &pausableLog{Log: log}
	holder, other := start(t, pausable), start(t, log)
	readToEnd(holder, record.Partition("orders", 2))
	resume := pausable.pause()
	ctx, cancel := context.WithCancel(context.Background())
	var claiming conc.WaitGroup
	claiming.Go(func() {
		_, won, err := holder.Claim(ctx, newClaim("k", "vm-1"))
		var unavailable *UnavailableError
		is.True(errors.As(err, &unavailable))
		is.True(!won)
	})
	for countRecords(t, log) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	claiming.Wait()
	resume()
	for countRecords(t, log) < 2 {
		time.Sleep(time.Millisecond)
	}
	_, won, err := other.Claim(context.Background(), newClaim("k", "vm-2"))
	is.NoErr(err)
	is.True(won)
}

// Guards against a request that runs twice after a restart of all routers: a snapshot keeps claims whose
// records the log has already trimmed.
func TestSnapshotKeepsTrimmedClaims(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	before := start(t, log)
	_, won, err := before.Claim(ctx, newClaim("k", "vm-1"))
	is.NoErr(err)
	is.True(won)
	for _, key := range []string{"second", "third"} {
		_, _, err := before.Claim(ctx, newClaim(key, "vm-1"))
		is.NoErr(err)
	}
	p := record.Partition("orders", 2)
	complete, err := before.SnapshotWriter(log, p, time.Hour, 0).Step(ctx)
	is.NoErr(err)
	is.True(complete)
	log.SetFaults(standin.LogFaults{Retain: 2})
	_, err = log.Read(ctx, testStream(), 1, 1, 0)
	is.True(errors.Is(err, logstream.ErrTrimmed))
	after := start(t, log)
	winner, won, err := after.Claim(ctx, newClaim("k", "vm-2"))
	is.NoErr(err)
	is.True(!won)
	is.Equal(winner.RequestID, "request-of-vm-1")
}

// Guards against a lost claim reported falsely by a router that has just started: before it reaches the end
// of the stream, a key may have winners that were released or have expired since.
func TestNewRouterDecidesAtTheEndOfTheStream(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	at := time.Unix(1000, 0)
	log := standin.NewLogWithClock(func() time.Time { return at })
	write := func(items ...record.Item) {
		data, err := record.Encode(items)
		is.NoErr(err)
		_, err = log.Append(ctx, testStream(), data)
		is.NoErr(err)
	}
	expired, released, held := newClaim("expired", "vm-1"), newClaim("released", "vm-1"), newClaim("held", "vm-1")
	released.Token = "t"
	write(record.Item{Claim: &expired})
	at = at.Add(time.Hour)
	write(record.Item{Claim: &released}, record.Item{Claim: &held})
	write(record.Item{Release: &record.Release{Entry: released.Entry, Key: released.Key, Token: released.Token}})
	for key, free := range map[string]bool{"expired": true, "released": true, "held": false} {
		_, won, err := start(t, log).Claim(ctx, newClaim(key, "vm-2"))
		is.NoErr(err)
		is.Equal(won, free)
	}
}

// Guards against a router that reads streams it does not need, and one that is not ready until it has read
// them.
func TestUnusedStreamIsNotRead(t *testing.T) {
	is := is.New(t)
	router := start(t, standin.NewLog())
	_, _, err := router.Claim(context.Background(), newClaim("k", "vm-1"))
	is.NoErr(err)
	used := record.Partition("orders", 2)
	is.NoErr(router.Ready())
	is.True(router.partitions[1-used].follower.AsOf().IsZero())
	readToEnd(router, 1-used)
}

// readToEnd waits until a router has read a stream to its end.
func readToEnd(router *Claimer, p int) {
	router.Follow(p)
	for router.partitions[p].follower.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
}

// Guards against one append per claim: the claims of one interval share an append.
func TestClaimsShareAppends(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	router := start(t, log, func(c *Config) { c.Interval = 50 * time.Millisecond })
	const callers = 200
	var all conc.WaitGroup
	for i := range callers {
		all.Go(func() {
			_, won, err := router.Claim(context.Background(), newClaim(fmt.Sprint(i), "vm-1"))
			is.NoErr(err)
			is.True(won)
		})
	}
	all.Wait()
	is.True(countRecords(t, log) < callers)
}
