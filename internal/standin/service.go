package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Service is a stand-in for a plain HTTP service. It counts the calls that it ran, so that a test can detect
// a call that was sent twice.
type Service struct {
	mu     sync.Mutex
	calls  map[string]int
	faults ServiceFaults
}

// ServiceFaults are faults that a Service injects. Each number counts down to 0 as the fault occurs.
type ServiceFaults struct {
	// Refuse is the number of calls that get a 429 response and are not run.
	Refuse int
	// ResetAfter is the number of calls whose connection is closed after they ran.
	ResetAfter int
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of times that a call with the method, path and body ran.
func (s *Service) Calls(method, path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+path+" "+body]
}

// recordCall counts a call unless it is refused, and returns the fault to inject.
func (s *Service) recordCall(call string) (refused, resetConnection bool) {
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

// ServeHTTP runs a call and echoes it in the response.
func (s *Service) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	call := req.Method + " " + req.URL.Path + " " + string(body)
	refused, reset := s.recordCall(call)
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
