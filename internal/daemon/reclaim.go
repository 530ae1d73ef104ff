package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// proofKinds maps membership's proofs to those of the budget.
var proofKinds = map[membership.ProofKind]budget.ProofKind{
	membership.ProofClosed:   budget.ProofReplaced,
	membership.ProofUnlisted: budget.ProofDelisted,
	membership.ProofReplaced: budget.ProofReplaced,
}

// reclaimInterval is the time between two looks for holders that have stopped.
const reclaimInterval = time.Second

// askUsage asks the upstreams about the requests of a stopped holder. It reports
// false while one of them still runs.
type askUsage func(ctx context.Context, requests []budget.InFlightRequest) (budget.ChargeLookup, bool)

// reclaim reports holders that have provably stopped to the budget. Runs that go
// on are waited for up to the delay; then what they used so far is billed.
func (f *fleet) reclaim(ctx context.Context, m *budget.Manager, delay time.Duration, ask askUsage) {
	since := make(map[record.HolderID]time.Time)
	every(ctx, reclaimInterval, func() {
		for _, holder := range m.OtherHolders() {
			kind, proven := f.proof(holder)
			if !proven {
				continue
			}
			if since[holder].IsZero() {
				since[holder] = time.Now()
			}
			resolve, final := ask(ctx, m.InFlightRequests(holder))
			if final || time.Since(since[holder]) >= delay {
				m.ReportTerminated(budget.TerminationProof{Kind: proofKinds[kind], Holder: holder, Since: since[holder]}, resolve)
			}
		}
	})
}

func (f *fleet) proof(holder record.HolderID) (membership.ProofKind, bool) {
	vm, incarnation, ok := strings.Cut(string(holder), "/")
	if !ok {
		return membership.ProofNone, false
	}
	f.members.TrackProcess(vm, incarnation, f.addressOf(vm))
	return f.members.Proof(vm, incarnation)
}

func (f *fleet) addressOf(vm string) string {
	for _, m := range f.members.View().Members() {
		if m.VM == vm {
			return m.PeerAddress
		}
	}
	return ""
}

// askUpstreams asks the engines what the requests of a stopped holder used. The
// copy of a reservation does not name the engine, so each engine is asked. It
// reports false while such a run goes on.
func (d *Daemon) askUpstreams(ctx context.Context, requests []budget.InFlightRequest) (budget.ChargeLookup, bool) {
	var mu sync.Mutex
	charged, final := make(map[string]int64), true
	workers := pool.New().WithMaxGoroutines(askWorkers)
	for u := range d.config.Current().Upstreams {
		if u.Kind != catalogue.KindEngine {
			continue
		}
		for _, r := range requests {
			workers.Go(func() {
				usage, err := d.usage(ctx, u.Address, r.RequestID)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				final = final && usage.Final()
				charged[r.RequestID] = addCharge(charged, r, usage.Usage)
			})
		}
	}
	workers.Wait()
	return func(id string) (int64, bool) {
		n, known := charged[id]
		return n, known
	}, final
}

// addCharge adds what one engine tells of a request. A run that another process
// than the dispatcher holds is paid for by that process.
func addCharge(charged map[string]int64, r budget.InFlightRequest, usage chat.Usage) int64 {
	sum, known := charged[r.RequestID]
	switch {
	case !usage.HeldByOther(string(r.Dispatcher)):
		return max(sum, 0) + usage.TotalTokens
	case known:
		return sum
	}
	return budget.NotCharged
}

func (d *Daemon) usage(ctx context.Context, address, id string) (chat.StreamUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.engines.Usage(ctx, upstream.Call{Address: address, RequestID: id})
}
