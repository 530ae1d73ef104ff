package routing

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// Retry budget, in units of a thousandth of an attempt.
const (
	retryUnit = 1000
	// retryShare is what one first attempt adds: a tenth of a retry.
	retryShare = retryUnit / 10
	// retryCap bounds the saved retries, so that a quiet hour does not pay for
	// a storm of retries.
	retryCap = 20 * retryUnit
)

// RetryBudget bounds retries and hedges to a share of the first attempts. It
// starts empty, so that after n first attempts at most n/10 retries were
// allowed: the amplification is at most 1.1 for any sequence of calls. In any
// later stretch with n first attempts it allows at most n/10 + 20 retries. It
// is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	level int64
}

// RecordRequest notes one first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(retryCap, b.level+retryShare)
}

// TryRetry takes one retry or hedge from the budget, if there is one.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < retryUnit {
		obs.RetriesDeniedTotal.Add(1)
		return false
	}
	b.level -= retryUnit
	return true
}
