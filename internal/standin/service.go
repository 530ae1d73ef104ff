package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Service is a stand-in plain service. It records each call that it ran, so a
// test can tell whether an order was posted twice.
type Service struct {
	mu     sync.Mutex
	calls  map[string]int
	faults ServiceFaults
}

// ServiceFaults are the faults of a Service. Each counts down to 0.
type ServiceFaults struct {
	// Refuse answers that many calls with 429 without running them.
	Refuse int
	// ResetAfter closes the connection of that many calls after they ran.
	ResetAfter int
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often a call with the method, path and body ran.
func (s *Service) Calls(method, path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+path+" "+body]
}

// begin records a call and reports what becomes of it.
func (s *Service) begin(call string) (refused, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		return true, false
	}
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[call]++
	if s.faults.ResetAfter > 0 {
		s.faults.ResetAfter--
		return false, true
	}
	return false, false
}

// ServeHTTP runs any call and answers with what it was.
func (s *Service) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	call := req.Method + " " + req.URL.Path + " " + string(body)
	refused, reset := s.begin(call)
	if reset {
		abortConnection(w)
	}
	w.Header().Set(chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID))
	w.Header().Set(chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
	if refused {
		http.Error(w, "busy", http.StatusTooManyRequests)
		return
	}
	_, _ = fmt.Fprintf(w, "ran %s", call)
}
