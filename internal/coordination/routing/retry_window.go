package routing

import (
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// WindowConfig holds the settings of a WindowRetryBudget.
type WindowConfig struct {
	// Ratio is the number of retries allowed per request of the window.
	Ratio float64
	// Extra is the number of further retries per window that the whole fleet is allowed.
	Extra  float64
	Length time.Duration
	// Routers returns the number of routers that divide Extra among them.
	Routers func() int
	Now     func() time.Time
}

// WindowRetryBudget limits the retries in every sliding window to a ratio of the requests in it plus a fixed
// number. Routers divide the fixed number equally, so they need no coordination. It is safe for concurrent
// use. It is not related to the prepaid budget of an entry.
type WindowRetryBudget struct {
	cfg WindowConfig
	// start is the origin of the buckets. Times are measured from it on the monotonic clock.
	start time.Time

	mu       sync.Mutex
	buckets  [retryBuckets]retryBucket
	lastStep int64
}

type retryBucket struct{ requests, retries int }

// retryBuckets is the number of time buckets that are summed. A window spans one bucket less. The additional
// one is needed because only a part of the current bucket has passed, so that the sum covers the whole window
// at any time.
const retryBuckets = 21

// retryMargin is the fraction of the allowed retries that is used. The rest covers routers that the others do
// not know of yet.
const retryMargin = 0.75

// NewWindowRetryBudget returns a WindowRetryBudget that has counted no requests.
func NewWindowRetryBudget(cfg WindowConfig) *WindowRetryBudget {
	return &WindowRetryBudget{cfg: cfg, start: cfg.Now()}
}

// advance clears the buckets that have left the window and returns the current one.
func (b *WindowRetryBudget) advance() *retryBucket {
	step := int64(b.cfg.Now().Sub(b.start) / (b.cfg.Length / (retryBuckets - 1)))
	if step-b.lastStep >= retryBuckets {
		b.buckets, b.lastStep = [retryBuckets]retryBucket{}, step
	}
	for ; b.lastStep < step; b.lastStep++ {
		b.buckets[(b.lastStep+1)%retryBuckets] = retryBucket{}
	}
	return &b.buckets[step%retryBuckets]
}

// RecordRequest counts one first attempt.
func (b *WindowRetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance().requests++
}

// TryRetry counts one retry if the window allows it, and reports whether it does.
func (b *WindowRetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance()
	requests, retries := 0, 0
	for _, s := range b.buckets {
		requests += s.requests
		retries += s.retries
	}
	allowed := retryMargin * (b.cfg.Ratio*float64(requests) + b.cfg.Extra/float64(max(1, b.cfg.Routers())))
	if float64(retries+1) > allowed {
		obs.RetriesDeniedTotal.Add(1)
		return false
	}
	current.retries++
	return true
}
