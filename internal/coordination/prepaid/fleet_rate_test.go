package prepaid

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/callrate"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ratedLog refuses calls above a rate: more than that in the last second.
type ratedLog struct {
	*keyedlog.Memory
	writesPerSecond, readsPerSecond int

	mu            sync.Mutex
	writes, reads []time.Time
	counts        struct{ writes, reads, refused, refusedAtRestart, conflicts int }
	restartedAt   time.Time
}

func (l *ratedLog) admit(calls *[]time.Time, limit int, count *int) error {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	*count++
	now := time.Now()
	for len(*calls) > 0 && now.Sub((*calls)[0]) >= time.Second {
		*calls = (*calls)[1:]
	}
	if len(*calls) < limit {
		*calls = append(*calls, now)
		return nil
	}
	l.counts.refused++
	if now.Sub(l.restartedAt) < 4*time.Second {
		l.counts.refusedAtRestart++
	}
	return keyedlog.RateLimited(errors.New("429"))
}

func (l *ratedLog) Append(ctx context.Context, s keyedlog.Stream, r []keyedlog.Record, at uint64) (uint64, error) {
	if err := l.admit(&l.writes, l.writesPerSecond, &l.counts.writes); err != nil {
		return 0, err
	}
	end, err := l.Memory.Append(ctx, s, r, at)
	if errors.Is(err, keyedlog.ErrConflict) {
		l.mu.Lock()
		l.counts.conflicts++
		l.mu.Unlock()
	}
	return end, err
}

func (l *ratedLog) AppendAs(ctx context.Context, s keyedlog.Stream, r []keyedlog.Record, p keyedlog.Producer) (uint64, error) {
	if err := l.admit(&l.writes, l.writesPerSecond, &l.counts.writes); err != nil {
		return 0, err
	}
	return l.Memory.AppendAs(ctx, s, r, p)
}

func (l *ratedLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if err := l.admit(&l.reads, l.readsPerSecond, &l.counts.reads); err != nil {
		return keyedlog.Page{}, err
	}
	return l.Memory.Read(ctx, s, from, wait)
}

func (l *ratedLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	if err := l.admit(&l.reads, l.readsPerSecond, &l.counts.reads); err != nil {
		return keyedlog.Page{}, err
	}
	return l.Memory.Newest(ctx, s)
}

// ratedFleet is a fleet of routers on a ratedLog, with many budgets of uneven size.
type ratedFleet struct {
	log     *ratedLog
	vms     []string
	prepaid map[string]int64
	entries []string
	total   int64
	saving  bool

	mu       sync.Mutex
	managers map[string]*Manager
	used     map[string]int64
	loans    int
	requests int
	served   int
	refused  map[string]int
	starts   int
	// stopping holds the VMs whose process gets no new requests, and unclosed counts those that did not return their shares.
	stopping map[string]bool
	unclosed int
	// beforeRolling is the number of requests refused before the first router is replaced.
	beforeRolling int
	running       sync.WaitGroup
	// steady counts from 4 s after the first start until all processes end.
	steady fleetCounts
	// records is the number of records in the log at the end.
	records int
}

// ratedPeers are the Peers of one VM. They search as daemon.Gateway does.
type ratedPeers struct {
	fleet *ratedFleet
	vm    string
}

func (p *ratedPeers) Borrow(ctx context.Context, preferred []string, entry string, amount int64) (loans []Loan, drained []string) {
	for range 4 {
		if vm := p.fleet.vms[rand.IntN(len(p.fleet.vms))]; !slices.Contains(preferred, vm) && vm != p.vm {
			preferred = append(preferred, vm)
		}
	}
	for round := 0; len(preferred) > 0 && amount > 0 && ctx.Err() == nil; round++ {
		atOnce := 4
		if p.fleet.saving && round < 2 {
			atOnce = 1
		}
		asked := preferred[:min(atOnce, len(preferred))]
		part := (amount + int64(len(asked)) - 1) / int64(len(asked))
		time.Sleep(3 * time.Millisecond)
		for _, vm := range asked {
			p.fleet.mu.Lock()
			m := p.fleet.managers[vm]
			p.fleet.loans++
			id := fmt.Sprint("loan ", p.fleet.loans)
			p.fleet.mu.Unlock()
			lent := m.Lend(entry, id, part)
			if lent > 0 {
				loans = append(loans, Loan{ID: id, Lender: vm, Amount: lent})
				amount -= lent
			} else {
				p.fleet.mu.Lock()
				p.fleet.loans-- // only loans are counted
				p.fleet.mu.Unlock()
			}
			if lent < part {
				drained = append(drained, vm)
			}
		}
		preferred = preferred[len(asked):]
	}
	return loans, drained
}

func (p *ratedPeers) Repay(entry string, loan Loan) {
	time.AfterFunc(3*time.Millisecond, func() {
		p.fleet.mu.Lock()
		m := p.fleet.managers[loan.Lender]
		p.fleet.mu.Unlock()
		m.AcceptRepayment(entry, loan.ID, loan.Repaid)
	})
}

func (p *ratedPeers) Recall(context.Context) []map[string][]byte { return nil }

// ratedHeartbeats has no gap, and proves that the predecessor had a short one.
type ratedHeartbeats struct{ never chan struct{} }

func (h ratedHeartbeats) Gaps() heartbeat.Gaps { return heartbeat.Gaps{} }
func (h ratedHeartbeats) PredecessorGap(string) (time.Duration, map[string]int64, bool) {
	return time.Second, nil, true
}
func (h ratedHeartbeats) WhenPredecessorGapProven() <-chan struct{} { return h.never }

// fleetCounts counts loans and requests.
type fleetCounts struct{ loans, requests int }

func (f *ratedFleet) counts() fleetCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleetCounts{f.loans, f.requests}
}

// newRatedFleet returns a fleet of 78 routers with 24 budgets of uneven size, which suffice for half as much again as is asked
// for in 16 s.
func newRatedFleet(saving bool) *ratedFleet {
	f := &ratedFleet{
		log:    &ratedLog{Memory: keyedlog.NewMemory(), writesPerSecond: 1500, readsPerSecond: 6000},
		saving: saving, prepaid: make(map[string]int64), managers: make(map[string]*Manager), used: make(map[string]int64),
		refused: make(map[string]int), stopping: make(map[string]bool),
	}
	for i := range 78 {
		f.vms = append(f.vms, fmt.Sprintf("vm-%02d", i))
	}
	for i := range 24 {
		entry := fmt.Sprintf("team-%02d", i)
		f.entries = append(f.entries, entry)
		f.prepaid[entry] = int64(1.5 * 16 * 1_300_000 / 3.776 / float64(i+1))
		f.total += f.prepaid[entry]
	}
	return f
}

// start starts a new process on each of the VMs at once.
func (f *ratedFleet) start(ctx context.Context, loops *sync.WaitGroup, vms ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	f.log.restartedAt = time.Now()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var streams []keyedlog.Stream
	for i := range 24 {
		streams = append(streams, keyedlog.Stream{Name: "budgets", Partition: i})
	}
	for _, vm := range vms {
		cfg := Config{
			Log: f.log, Streams: streams, VM: vm, Process: record.HolderID(fmt.Sprintf("%s/%06d", vm, f.starts)),
			Prepaid: func(entry string) (int64, bool) { return f.prepaid[entry], true },
			Entries: func() []string { return f.entries }, Routers: func() int { return len(f.vms) },
			Policy: DefaultPolicy(), Heartbeats: ratedHeartbeats{make(chan struct{})}, Peers: &ratedPeers{f, vm},
			Interval: 700 * time.Millisecond, Now: time.Now, Logger: logger,
		}
		if f.saving {
			started := time.Now()
			limiter := callrate.New(callrate.Config{
				WritesPerSecond: float64(f.log.writesPerSecond), ReadsPerSecond: float64(f.log.readsPerSecond),
				FleetSize: func() (int, bool) { return len(f.vms), time.Since(started) > 3*time.Second }, Now: time.Now, Logger: logger,
			})
			cfg.Log, cfg.LogRateLimited = limiter.Wrap(f.log, callrate.ShareRaise, callrate.ShareRaise), limiter.Delaying
			holders := make(map[string][]string)
			for _, entry := range f.entries {
				holders[entry] = HoldersOf(entry, f.vms, f.prepaid[entry], f.total)
			}
			cfg.Holders = func(entry string) ([]string, bool) { return holders[entry], true }
		}
		m := New(cfg)
		f.managers[vm] = m
		loops.Go(func() { m.Run(ctx) })
	}
}

// request reserves for one request at a random VM, and settles it some time later.
func (f *ratedFleet) request(entry string, amount int64) {
	f.mu.Lock()
	vm := f.vms[rand.IntN(len(f.vms))]
	for f.stopping[vm] {
		vm = f.vms[rand.IntN(len(f.vms))]
	}
	m := f.managers[vm]
	f.requests++
	f.mu.Unlock()
	res, err := m.Reserve(context.Background(), budget.ReserveRequest{Entry: record.EntryKey{Name: entry}, Amount: amount})
	f.mu.Lock()
	if err != nil {
		f.refused[err.Error()]++
		f.mu.Unlock()
		return
	}
	f.served++
	f.used[entry] += amount
	f.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	m.Settle(res, budget.Settlement{Charged: amount})
}

// send sends the requests of deployment whitcombe for some time.
func (f *ratedFleet) send(d time.Duration) {
	weights, sum := make([]float64, len(f.entries)), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	kinds := []struct {
		perSecond float64
		amount    int64
	}{{112, 6652}, {203, 660}, {233, 1803}}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, k := range kinds {
			n := int(k.perSecond / 100)
			if rand.Float64() < k.perSecond/100-float64(n) {
				n++
			}
			for range n {
				at, i := rand.Float64()*sum, 0
				for ; i < len(weights)-1 && at > weights[i]; i++ {
					at -= weights[i]
				}
				f.running.Go(func() { f.request(f.entries[i], k.amount) })
			}
		}
	}
}

// run starts the fleet, sends requests for some time, ends all processes at once, starts them
// again and goes on.
func (f *ratedFleet) run() {
	const before, after = 8 * time.Second, 8 * time.Second
	var loops sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	f.start(ctx, &loops, f.vms...)
	f.send(before / 2)
	steady := f.counts()
	f.send(before / 2)
	f.steady = f.counts()
	f.steady.loans -= steady.loans
	f.steady.requests -= steady.requests
	f.running.Wait()
	stop()
	loops.Wait()
	ctx, stop = context.WithCancel(context.Background())
	f.start(ctx, &loops, f.vms...)
	f.send(after)
	f.running.Wait()
	stop()
	loops.Wait()
	f.close()
}

// close returns the shares and the loans of all routers, without the rate limit.
func (f *ratedFleet) close() {
	f.log.writesPerSecond, f.log.readsPerSecond = math.MaxInt, math.MaxInt
	for range 2 {
		var closing sync.WaitGroup
		for _, m := range f.managers {
			closing.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if err := m.Close(ctx); err != nil {
					panic(err)
				}
			})
		}
		closing.Wait()
		time.Sleep(time.Second) // for the repayments
	}
}

// runRolling starts the fleet, sends requests, and replaces one router after the other meanwhile.
func (f *ratedFleet) runRolling() {
	var mu sync.Mutex
	stops := make(map[string]func())
	start := func(vm string) {
		ctx, stop := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		f.start(ctx, &loops, vm)
		mu.Lock()
		defer mu.Unlock()
		stops[vm] = func() { stop(); loops.Wait() }
	}
	setStopping := func(vm string, stopping bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopping[vm] = stopping
	}
	for _, vm := range f.vms {
		start(vm)
	}
	var background sync.WaitGroup
	background.Go(func() { f.send(16 * time.Second) })
	time.Sleep(6 * time.Second)
	f.beforeRolling = f.requests - f.served
	for _, vm := range f.vms {
		background.Go(func() {
			setStopping(vm, true)
			time.Sleep(400 * time.Millisecond) // until the last request has ended
			mu.Lock()
			stop := stops[vm]
			mu.Unlock()
			stop()
			ctx := callrate.WithPriority(context.Background(), callrate.Always(callrate.Ending))
			ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
			defer cancel()
			if f.managers[vm].Close(ctx) != nil {
				f.mu.Lock()
				f.unclosed++
				f.mu.Unlock()
			}
			start(vm)
			setStopping(vm, false)
		})
		time.Sleep(80 * time.Millisecond)
	}
	background.Wait()
	f.running.Wait()
	for _, stop := range stops {
		stop()
	}
	f.close()
}

// lost is the fraction of all prepaid tokens that count as spent in the log and were not used.
func (f *ratedFleet) lost() float64 {
	sum := int64(0)
	for i := range 24 {
		page, _ := f.log.Memory.Newest(context.Background(), keyedlog.Stream{Name: "budgets", Partition: i})
		for _, rec := range page.Records {
			var share shareRecord
			if cbor.Unmarshal(rec.Value, &share) == nil {
				sum += share.Spent
			}
		}
	}
	for _, used := range f.used {
		sum -= used
	}
	return float64(sum) / float64(f.total)
}

// Guards against a fleet whose budgets cost more calls than the log accepts, so that requests are refused although their
// budgets are not used up. Pattern: deployment whitcombe, 78 routers, 24 budgets of uneven size that suffice for half as
// much again as is asked for, all routers restart at once; without and with the saving of calls.
func TestCallsOfLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	var plain *ratedFleet
	for _, saving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newRatedFleet(saving)
			f.run()
			for i := range 24 {
				page, _ := f.log.Newest(t.Context(), keyedlog.Stream{Name: "budgets", Partition: i})
				f.records += len(page.Records)
			}
			c := f.log.counts
			t.Logf("saving %v: %d of %d requests refused (%v); %d loans, %.2f per request from the 4th to the 8th second; "+
				"%d writes (%d conflicts), %d reads, %d calls refused; %d records; %.3f of the tokens lost",
				saving, f.requests-f.served, f.requests, f.refused, f.loans, float64(f.steady.loans)/float64(f.steady.requests),
				c.writes, c.conflicts, c.reads, c.refused, f.records, f.lost())
			for entry, used := range f.used {
				if used > f.prepaid[entry] {
					t.Errorf("%s: requests used %d of %d tokens", entry, used, f.prepaid[entry])
				}
			}
			if !saving {
				plain = f
				return
			}
			if c.refused > (c.writes+c.reads)/100 {
				t.Errorf("%d of %d calls are refused", c.refused, c.writes+c.reads)
			}
			if before := plain.log.counts; c.writes*2 > before.writes || c.reads > before.reads {
				t.Errorf("%d writes and %d reads, %d and %d without saving", c.writes, c.reads, before.writes, before.reads)
			}
			if f.steady.loans*4 > f.steady.requests*3 {
				t.Errorf("%d loans for %d requests after the start", f.steady.loans, f.steady.requests)
			}
			if refused := f.requests - f.served; refused*2 > plain.requests-plain.served || refused*100 > f.requests*4 {
				t.Errorf("%d of %d requests are refused, %d without saving", refused, f.requests, plain.requests-plain.served)
			}
			if f.lost() > plain.lost()+0.03 {
				t.Errorf("%.3f of the tokens are lost, %.3f without saving", f.lost(), plain.lost())
			}
			if n := len(f.vms)*holdersPerRouter + len(f.entries)*minHolders; f.records > n {
				t.Errorf("%d records, more than %d", f.records, n)
			}
		})
	}
}

// Guards against a rolling restart during which calls are refused, routers end without returning their shares, or requests
// are refused although their budgets are not used up. Pattern: 78 routers, one replaced each 80 ms, without and with the
// saving of calls.
func TestRollingRestartOfLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	plain := 0
	for _, saving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newRatedFleet(saving)
			f.runRolling()
			c, refused := f.log.counts, f.requests-f.served-f.beforeRolling
			t.Logf("saving %v: %d of %d requests refused, %d before the restart (%v); %d loans; %d writes (%d conflicts), %d reads, "+
				"%d calls refused; %d routers ended with shares; %.3f of the tokens lost", saving, f.requests-f.served, f.requests,
				f.beforeRolling, f.refused, f.loans, c.writes, c.conflicts, c.reads, c.refused, f.unclosed, f.lost())
			for entry, used := range f.used {
				if used > f.prepaid[entry] {
					t.Errorf("%s: requests used %d of %d tokens", entry, used, f.prepaid[entry])
				}
			}
			if !saving {
				plain = refused
				return
			}
			if c.refused > (c.writes+c.reads)/100 || f.unclosed > 0 || refused > max(plain, f.requests/100) {
				t.Error("calls are refused, shares are not returned, or requests are refused")
			}
		})
	}
}
