package daemon

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against repayments that are lost with a failed call, that arrive out of order, or that each keep a goroutine while a
// lender does not respond. Pattern: routers that are cut from each other.
func TestRepaymentsArriveTogether(t *testing.T) {
	is := is.New(t)
	var (
		q        repaymentQueue
		mu       sync.Mutex
		arrived  []int64
		calls    int
		finished = make(chan struct{})
	)
	const count = 500
	send := func(_ string, repayments []repayment) bool {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls < 3 {
			return false
		}
		for _, r := range repayments {
			arrived = append(arrived, r.Total)
		}
		if len(arrived) == count {
			close(finished)
		}
		return true
	}
	for i := range int64(count) {
		q.add("lender", repayment{Total: i}, send)
	}
	select {
	case <-finished:
	case <-time.After(5 * time.Second):
		t.Fatal("repayments did not arrive")
	}
	mu.Lock()
	defer mu.Unlock()
	is.True(slices.IsSorted(arrived))
	is.True(calls < 10)
}
