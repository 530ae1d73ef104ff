package routing

import (
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// Credit of a RetryBudget, in thousandths of a retry.
const (
	retryCost = 1000
	// creditPerRequest is the credit that one first attempt adds: a tenth of a retry.
	creditPerRequest = retryCost / 10
	// maxCredit limits the accumulated credit, so that a long period without retries does not allow a retry
	// storm.
	maxCredit = 20 * retryCost
)

// RetryBudget limits retries and hedges to a tenth of the first attempts. It starts empty, so that after n
// first attempts at most n/10 retries were allowed: the amplification is at most 1.1 for any sequence of
// calls. In any later interval with n first attempts it allows at most n/10 + 20 retries. It is safe for
// concurrent use. It is not related to the prepaid budget of an entry.
type RetryBudget struct {
	mu     sync.Mutex
	credit int64
}

// RecordRequest counts one first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+creditPerRequest)
}

// TryRetry consumes the credit of one retry or hedge. It reports false if the credit does not suffice.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		obs.RetriesDeniedTotal.Add(1)
		return false
	}
	b.credit -= retryCost
	return true
}
