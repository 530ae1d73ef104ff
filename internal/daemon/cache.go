package daemon

import (
	"context"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// cacheReader passes the engines' prefix cache events to the routing. An engine
// that publishes none is routed to by what this router sent it.
type cacheReader struct {
	client  *upstream.Client
	routing *routing.Router

	mu   sync.Mutex
	last map[string]cachePosition
}

// cachePosition is the last event read of an engine.
type cachePosition struct {
	incarnation string
	seq         uint64
}

// read passes on the events since the last call. After a restart of the engine
// the numbers start again.
func (r *cacheReader) read(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r.mu.Lock()
	last := r.last[name]
	r.mu.Unlock()
	batch, err := r.client.CacheEvents(ctx, address, last.seq)
	if err != nil {
		return
	}
	if batch.Incarnation != last.incarnation {
		restarted := last.incarnation != ""
		last = cachePosition{incarnation: batch.Incarnation}
		if restarted {
			// The answer may leave out the first events; the next call has them.
			batch.Events = nil
		}
	}
	for _, e := range batch.Events {
		r.routing.ApplyCacheEvent(routing.CacheEvent{
			Upstream: name, Incarnation: batch.Incarnation, Seq: e.Seq, Stored: e.Stored, Evicted: e.Evicted,
		})
		last.seq = max(last.seq, e.Seq)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[name] = last
}
