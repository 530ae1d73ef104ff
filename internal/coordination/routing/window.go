package routing

import (
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// WindowConfig holds the settings of a WindowBudget.
type WindowConfig struct {
	// Ratio is the number of retries allowed per request of the window.
	Ratio float64
	// Extra is the number of retries that the whole fleet may make in a window
	// besides.
	Extra float64
	// Length is the length of the window.
	Length time.Duration
	// Routers returns the number of routers among which Extra is divided.
	Routers func() int
	Now     func() time.Time
}

// WindowBudget bounds retries over every window of a length, as a part of the
// requests in it. Routers divide the fixed part equally and need not ask each
// other. It is safe for concurrent use.
type WindowBudget struct {
	cfg WindowConfig
	// start makes the steps follow the steady clock.
	start time.Time

	mu    sync.Mutex
	slots [windowSlots]windowSlot
	last  int64
}

type windowSlot struct{ requests, retries int }

// windowSlots is the number of steps of a window. One more step than the window
// holds is counted, so that the steps cover every window of its length.
const windowSlots = 21

// windowMargin leaves room for routers that the others do not know of yet.
const windowMargin = 0.75

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(cfg WindowConfig) *WindowBudget {
	return &WindowBudget{cfg: cfg, start: cfg.Now()}
}

// forward drops the steps that have left the window.
func (b *WindowBudget) forward() *windowSlot {
	step := int64(b.cfg.Now().Sub(b.start) / (b.cfg.Length / (windowSlots - 1)))
	if step-b.last >= windowSlots {
		b.slots, b.last = [windowSlots]windowSlot{}, step
	}
	for ; b.last < step; b.last++ {
		b.slots[(b.last+1)%windowSlots] = windowSlot{}
	}
	return &b.slots[step%windowSlots]
}

// RecordRequest notes one first attempt.
func (b *WindowBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forward().requests++
}

// TryRetry takes one retry from the budget, if there is one.
func (b *WindowBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.forward()
	requests, retries := 0, 0
	for _, s := range b.slots {
		requests += s.requests
		retries += s.retries
	}
	allowed := windowMargin * (b.cfg.Ratio*float64(requests) + b.cfg.Extra/float64(max(1, b.cfg.Routers())))
	if float64(retries+1) > allowed {
		obs.RetriesDeniedTotal.Add(1)
		return false
	}
	now.retries++
	return true
}
