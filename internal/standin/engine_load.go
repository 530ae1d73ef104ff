package standin

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// load answers GET /v1/load.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.loadReport())
}

func (e *Engine) loadReport() chat.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := chat.LoadReport{Incarnation: e.Incarnation, Started: e.Runs.Load(), Leaving: e.faults.Leaving}
	for _, r := range e.runs {
		if produced, cancelled, _ := r.progress(); !cancelled && produced < len(r.tokens) {
			report.Running++
		}
	}
	return report
}
