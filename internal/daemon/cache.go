package daemon

import (
	"context"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// cacheReader passes the prefix cache events of the engines to the routing. For an engine that publishes
// none, the routing relies on the prompts that this router has sent to it.
type cacheReader struct {
	client  *upstream.Client
	routing *routing.Router

	mu        sync.Mutex
	positions map[string]cachePosition
}

// cachePosition identifies the last event that was read from an engine.
type cachePosition struct {
	incarnation string
	seq         uint64
}

// readEvents passes on the events since the last call. After a restart of the engine the events are numbered
// from 1 again.
func (r *cacheReader) readEvents(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r.mu.Lock()
	position := r.positions[name]
	r.mu.Unlock()
	batch, err := r.client.CacheEvents(ctx, address, position.seq)
	if err != nil {
		return
	}
	if batch.Incarnation != position.incarnation {
		restarted := position.incarnation != ""
		position = cachePosition{incarnation: batch.Incarnation}
		if restarted {
			// The response may lack the first events of the new incarnation. The next call returns all of
			// them.
			batch.Events = nil
		}
	}
	for _, e := range batch.Events {
		r.routing.ApplyCacheEvent(routing.CacheEvent{
			Upstream: name, Incarnation: batch.Incarnation, Seq: e.Seq, Stored: e.Stored, Evicted: e.Evicted,
		})
		position.seq = max(position.seq, e.Seq)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.positions[name] = position
}
