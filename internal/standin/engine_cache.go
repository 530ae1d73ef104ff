package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// defaultCacheBlocks bounds the prefix cache of an engine that sets no size.
const defaultCacheBlocks = 1024

// prefixCache is an engine's prefix cache: blocks in the order of their storing,
// the oldest evicted first.
type prefixCache struct {
	mu     sync.Mutex
	held   map[uint64]bool
	order  []uint64
	events []cacheEvent
}

type cacheEvent struct {
	chat.CacheEvent
	at time.Time
}

// store adds the blocks of a prompt and records the change.
func (c *prefixCache) store(hashes []uint64, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[uint64]bool)
	}
	event := chat.CacheEvent{Seq: uint64(len(c.events)) + 1}
	for _, h := range hashes {
		if !c.held[h] {
			c.held[h] = true
			c.order = append(c.order, h)
			event.Stored = append(event.Stored, h)
		}
	}
	for len(c.order) > limit {
		delete(c.held, c.order[0])
		event.Evicted = append(event.Evicted, c.order[0])
		c.order = c.order[1:]
	}
	if len(event.Stored)+len(event.Evicted) > 0 {
		c.events = append(c.events, cacheEvent{event, time.Now()})
	}
}

// after returns the events after a number that are older than the lag. Every
// gap-th event is left out; 0 leaves none out.
func (c *prefixCache) after(n uint64, lag time.Duration, gap uint64) []chat.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []chat.CacheEvent
	for _, e := range c.events {
		if e.Seq <= n || (gap > 0 && e.Seq%gap == 0) {
			continue
		}
		if time.Since(e.at) < lag {
			break
		}
		list = append(list, e.CacheEvent)
	}
	return list
}

func (e *Engine) cacheEvents(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chat.CacheEvents{
		Incarnation: e.Incarnation, Events: e.cache.after(after, e.CacheLag, e.CacheGap),
	})
}
