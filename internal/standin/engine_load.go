package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// load answers GET /v1/load.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.lagged.report(e.LoadLag, e.loadReport))
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

// laggedLoad keeps a measurement until it is as old as the lag.
type laggedLoad struct {
	mu   sync.Mutex
	at   time.Time
	kept chat.LoadReport
}

func (l *laggedLoad) report(lag time.Duration, measure func() chat.LoadReport) chat.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := time.Since(l.at); l.at.IsZero() || age >= lag {
		l.kept, l.at = measure(), time.Now()
	}
	report := l.kept
	report.AgeMS = time.Since(l.at).Milliseconds()
	return report
}
