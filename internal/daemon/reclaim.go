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

// proofKinds maps the kinds of proof of package membership to those of package budget, which does not
// distinguish a process that has reported its termination from one that was replaced on its VM.
var proofKinds = map[membership.ProofKind]budget.ProofKind{
	membership.ProofClosed:   budget.ProofReplaced,
	membership.ProofDelisted: budget.ProofDelisted,
	membership.ProofReplaced: budget.ProofReplaced,
}

// reclaimInterval is the time between two checks for terminated holders.
const reclaimInterval = time.Second

// usageQuery queries the upstreams for what the requests of a terminated holder used. The result is false if
// an upstream reports that one of them still runs.
type usageQuery func(ctx context.Context, requests []budget.InFlightRequest) (budget.ChargeLookup, bool)

// reclaim reports provably terminated holders to the budget. It waits up to the delay for their requests that
// still run; after that the tokens used so far are billed.
func (f *fleet) reclaim(ctx context.Context, m *budget.Manager, delay time.Duration, query usageQuery) {
	provenAt := make(map[record.HolderID]time.Time)
	every(ctx, reclaimInterval, func() {
		for _, holder := range m.OtherHolders() {
			kind, proven := f.terminationProof(holder)
			if !proven {
				continue
			}
			if provenAt[holder].IsZero() {
				provenAt[holder] = time.Now()
			}
			lookup, final := query(ctx, m.InFlightRequests(holder))
			if final || time.Since(provenAt[holder]) >= delay {
				m.ReportTerminated(budget.TerminationProof{Kind: proofKinds[kind], Holder: holder, Since: provenAt[holder]}, lookup)
			}
		}
	})
}

func (f *fleet) terminationProof(holder record.HolderID) (membership.ProofKind, bool) {
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

// queryUsage queries the engines for what the requests of a terminated holder used. The replica of a
// reservation does not name the engine, so every engine is queried. The result is false if an engine reports
// that one of the requests still runs. Engines that do not respond are ignored.
func (d *Daemon) queryUsage(ctx context.Context, requests []budget.InFlightRequest) (budget.ChargeLookup, bool) {
	var mu sync.Mutex
	charged, final := make(map[string]int64), true
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for u := range d.config.Current().Upstreams {
		if u.Kind != catalogue.KindEngine {
			continue
		}
		for _, r := range requests {
			workers.Go(func() {
				usage, err := d.engineUsage(ctx, u.Address, r.RequestID)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				final = final && usage.Final()
				charged[r.RequestID] = updatedCharge(charged, r, usage.Usage)
			})
		}
	}
	workers.Wait()
	return func(id string) (int64, bool) {
		n, known := charged[id]
		return n, known
	}, final
}

// updatedCharge returns the charge of a request after one more engine has reported its usage. charged holds
// the charges so far by request ID. The result is budget.NotCharged while only runs are known that another
// process than the dispatcher holds: they are charged to that process.
func updatedCharge(charged map[string]int64, r budget.InFlightRequest, usage chat.Usage) int64 {
	sum, known := charged[r.RequestID]
	switch {
	case !usage.HeldByOther(string(r.Dispatcher)):
		return max(sum, 0) + usage.TotalTokens
	case known:
		return sum
	}
	return budget.NotCharged
}

func (d *Daemon) engineUsage(ctx context.Context, address, id string) (chat.RunUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return d.engines.Usage(ctx, upstream.Call{Address: address, RequestID: id})
}
