package daemon

import (
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

const (
	// maxRepayFailures is the number of failed calls in a row after which the repayments to a lender are given up. The pause
	// after a failure begins with repayPause and doubles up to maxRepayPause. Together they cover a network partition of
	// some seconds.
	maxRepayFailures = 12
	repayPause       = 100 * time.Millisecond
	maxRepayPause    = 2 * time.Second
	// maxPendingRepayments bounds the repayments that wait for one lender.
	maxPendingRepayments = 4096
)

// repaymentQueue sends repayments until they arrive, one call at a time to each lender. Its zero value is empty.
type repaymentQueue struct {
	mu sync.Mutex
	// pending holds the repayments by lender. A lender has an entry while a goroutine sends to it.
	pending map[string][]repayment
}

// add queues a repayment. send sends repayments to a lender and reports whether they have arrived.
func (q *repaymentQueue) add(lender string, r repayment, send func(lender string, repayments []repayment) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[string][]repayment)
	}
	waiting, sending := q.pending[lender]
	if len(waiting) >= maxPendingRepayments {
		obs.LoansLostTotal.Add(1)
		return
	}
	q.pending[lender] = append(waiting, r)
	if !sending {
		go q.run(lender, send)
	}
}

// run sends the repayments to a lender until none is left or it has failed too often.
func (q *repaymentQueue) run(lender string, send func(lender string, repayments []repayment) bool) {
	failures, pause := 0, repayPause
	for {
		batch := q.next(lender, 0)
		if len(batch) == 0 {
			return
		}
		if send(lender, batch) {
			failures, pause = 0, repayPause
			if len(q.next(lender, len(batch))) == 0 {
				return
			}
			continue
		}
		if failures++; failures == maxRepayFailures {
			q.giveUp(lender)
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, maxRepayPause)
	}
}

// next removes the first repayments to a lender, which have arrived, and returns the others. Without any, it removes the
// lender.
func (q *repaymentQueue) next(lender string, arrived int) []repayment {
	q.mu.Lock()
	defer q.mu.Unlock()
	rest := q.pending[lender][arrived:]
	if len(rest) == 0 {
		delete(q.pending, lender)
		return nil
	}
	q.pending[lender] = rest
	return rest[:len(rest):len(rest)]
}

func (q *repaymentQueue) giveUp(lender string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	obs.LoansLostTotal.Add(int64(len(q.pending[lender])))
	delete(q.pending, lender)
}
