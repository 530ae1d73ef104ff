package standin

import (
	"slices"
	"sync"
)

// slots bounds what an engine runs at a time. Waiting requests start in the order
// of their priority, and in the order of their arrival among equals.
type slots struct {
	mu      sync.Mutex
	running int
	waiting []waitingRun
}

type waitingRun struct {
	priority int
	start    chan struct{}
}

// enter returns a channel that is closed when the request may run. Each request
// that entered leaves once. A limit of 0 lets everything run.
func (s *slots) enter(limit, priority int) <-chan struct{} {
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

// leave gives the slot to the next request.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0].start)
	s.waiting = s.waiting[1:]
}

// counts returns how many requests run and wait.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
