package daemon

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

// findParams are the parameters of peerapi.MethodRequestFind.
type findParams struct {
	ID    string          `json:"id"`
	Entry record.EntryKey `json:"entry"`
}

type findResult struct {
	Found bool         `json:"found"`
	Info  request.Info `json:"info"`
}

// registerRequestHandler registers the handler that looks up a request for another router.
func (f *fleet) registerRequestHandler(api *httpapi.API) {
	registerHandler(f.server, peerapi.MethodRequestFind, func(_ context.Context, _ peerapi.Identity, p findParams) (any, error) {
		info, found := api.FindRequest(p.ID, p.Entry)
		return findResult{Found: found, Info: info}, nil
	})
}

// FindRequest implements httpapi.PeerRequests. It queries every other member, since a request ID does not
// name the router that has the request.
func (f *fleet) FindRequest(ctx context.Context, id string, entry record.EntryKey) (request.Info, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var best findResult
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
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
