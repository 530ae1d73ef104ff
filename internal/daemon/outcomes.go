package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	// askWorkers bounds the questions to upstreams or peers at a time.
	askWorkers = 16
	// askTimeout bounds one question.
	askTimeout = 2 * time.Second
)

// start begins the loops that need the other routers. Peers are served until the
// context peering ends; the other loops end with ctx.
func (f *fleet) start(peering, ctx context.Context, loops *conc.WaitGroup, d *Daemon) error {
	listener, err := net.Listen("tcp", f.self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	loops.Go(func() { _ = f.server.Serve(peering, listener) })
	loops.Go(func() { f.members.Run(peering) })
	loops.Go(func() { d.config.RunFetch(ctx, f.pool, d.reports) })
	loops.Go(func() { f.shareEvidence(ctx, d.evidence) })
	loops.Go(func() { f.reclaim(ctx, d.budget, d.cfg.UnknownBillDelay, d.askUpstreams) })
	return nil
}

// place returns this process's rank among the members that take part, and their
// number.
func (f *fleet) place() (index, routers int) {
	for _, m := range f.members.View().Members() {
		if m.State > membership.StateSuspect && m.VM != f.self.VM {
			continue
		}
		if m.VM < f.self.VM {
			index++
		}
		routers++
	}
	return index, max(1, routers)
}

// findParams asks a router for a request.
type findParams struct {
	ID    string          `json:"id"`
	Entry record.EntryKey `json:"entry"`
}

type findResult struct {
	Found bool         `json:"found"`
	Info  request.Info `json:"info"`
}

// serveRequests answers the other routers' questions for requests.
func (f *fleet) serveRequests(api *httpapi.API) {
	handle(f.server, peerapi.MethodRequestFind, func(_ context.Context, _ peerapi.Identity, p findParams) (any, error) {
		info, found := api.FindRequest(p.ID, p.Entry)
		return findResult{Found: found, Info: info}, nil
	})
}

// FindRequest implements httpapi.Remote. It asks every other member, since a
// request id does not name the router that has it.
func (f *fleet) FindRequest(ctx context.Context, id string, entry record.EntryKey) (request.Info, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var best findResult
	workers := pool.New().WithMaxGoroutines(askWorkers)
	for _, m := range f.members.View().Members() {
		if m.VM == f.self.VM || m.State == membership.StateGone {
			continue
		}
		workers.Go(func() {
			var r findResult
			err := f.pool.Call(ctx, m.PeerAddress, peerapi.MethodRequestFind, findParams{ID: id, Entry: entry}, &r)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.Found && !(best.Found && best.Info.State.Terminal()) {
				best = r
				if r.Info.State.Terminal() {
					cancel()
				}
			}
		})
	}
	workers.Wait()
	return best.Info, best.Found
}

// askUpstreams asks the engines what the requests of a stopped holder used. The
// copy of a reservation does not name the engine, so each engine is asked. It
// reports false while such a run goes on.
func (d *Daemon) askUpstreams(ctx context.Context, requests []budget.InFlight) (budget.Resolve, bool) {
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
func addCharge(charged map[string]int64, r budget.InFlight, usage chat.Usage) int64 {
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

// equalParts gives each live router the same part of a fleet-wide limit. The
// rest of a limit on a number goes to the first routers in order of VM id, so
// that routers with the same view stay within the limit together. A router
// whose part of a small limit is 0 admits none of that entry's requests.
type equalParts struct{ place func() (index, routers int) }

// Fraction implements admission.Parts.
func (p equalParts) Fraction(admission.Scope) float64 {
	_, routers := p.place()
	return 1 / float64(routers)
}

// Count implements admission.Parts.
func (p equalParts) Count(_ admission.Scope, limit int) int {
	index, routers := p.place()
	part := limit / routers
	if index < limit%routers {
		part++
	}
	return part
}
