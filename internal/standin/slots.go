package standin

import (
	"slices"
	"sync"
)

// slotQueue limits the number of requests that an engine runs concurrently. Waiting requests start in the
// order of their priority, lower values first, and of their arrival if the priority is equal.
type slotQueue struct {
	mu      sync.Mutex
	running int
	waiting []waitingRun
}

type waitingRun struct {
	priority int
	start    chan struct{}
}

// acquire requests a slot and returns a channel that is closed when the request may run. Each call must be
// followed by one call of release. A limit of 0 means unlimited.
func (s *slotQueue) acquire(limit, priority int) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waitingRun{priority: priority, start: make(chan struct{})}
	if limit == 0 || s.running < limit {
		s.running++
		close(w.start)
		return w.start
	}
	i, _ := slices.BinarySearchFunc(s.waiting, priority+1, func(w waitingRun, p int) int { return w.priority - p })
	s.waiting = slices.Insert(s.waiting, i, w)
	return w.start
}

// release passes the slot to the next waiting request.
func (s *slotQueue) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0].start)
	s.waiting = s.waiting[1:]
}

// counts returns the numbers of running and waiting requests.
func (s *slotQueue) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
