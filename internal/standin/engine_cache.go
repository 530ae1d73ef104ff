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

// maxCacheBlocks is the capacity of an engine's prefix cache.
const maxCacheBlocks = 1024

// prefixCache is an engine's prefix cache. It evicts the blocks that were stored first.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[uint64]bool
	order  []uint64
	events []cacheEvent
}

type cacheEvent struct {
	chat.CacheEvent
	storedAt time.Time
}

// store adds the blocks of a prompt, evicts blocks beyond the limit and records the change as an event.
func (c *prefixCache) store(hashes []uint64, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = make(map[uint64]bool)
	}
	event := chat.CacheEvent{Seq: uint64(len(c.events)) + 1}
	for _, h := range hashes {
		if !c.blocks[h] {
			c.blocks[h] = true
			c.order = append(c.order, h)
			event.Stored = append(event.Stored, h)
		}
	}
	for len(c.order) > limit {
		delete(c.blocks, c.order[0])
		event.Evicted = append(event.Evicted, c.order[0])
		c.order = c.order[1:]
	}
	if len(event.Stored)+len(event.Evicted) > 0 {
		c.events = append(c.events, cacheEvent{event, time.Now()})
	}
}

// eventsAfter returns the events that follow event number n and are at least as old as the lag. It omits
// events whose number is a multiple of omitEvery; 0 omits none.
func (c *prefixCache) eventsAfter(n uint64, lag time.Duration, omitEvery uint64) []chat.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []chat.CacheEvent
	for _, e := range c.events {
		if e.Seq <= n || (omitEvery > 0 && e.Seq%omitEvery == 0) {
			continue
		}
		if time.Since(e.storedAt) < lag {
			break
		}
		events = append(events, e.CacheEvent)
	}
	return events
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chat.CacheEvents{
		Incarnation: e.Incarnation, Events: e.cache.eventsAfter(after, e.CacheLag, e.CacheGap),
	})
}
