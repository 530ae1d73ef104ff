package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// handleLoad serves GET /v1/load.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.loadReports.get(e.LoadLag, e.loadReport))
}

func (e *Engine) loadReport() chat.LoadReport {
	running, waiting := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return chat.LoadReport{
		Incarnation: e.Incarnation, Started: e.Runs.Load(), Running: running, Waiting: waiting,
		Concurrency: e.Slots, Draining: e.faults.Draining,
	}
}

// cachedLoadReport reuses a load report until it is as old as the lag.
type cachedLoadReport struct {
	mu         sync.Mutex
	measuredAt time.Time
	cached     chat.LoadReport
}

func (l *cachedLoadReport) get(lag time.Duration, measure func() chat.LoadReport) chat.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := time.Since(l.measuredAt); l.measuredAt.IsZero() || age >= lag {
		l.cached, l.measuredAt = measure(), time.Now()
	}
	report := l.cached
	report.AgeMS = time.Since(l.measuredAt).Milliseconds()
	return report
}
