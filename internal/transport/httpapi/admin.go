package httpapi

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Status describes a router process to operators.
type Status struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Holder   string `json:"holder"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	// Routers is the number of live routers known to this one, itself included.
	Routers int `json:"routers"`
	// Backup is the process that replicates all reservations of this one, if any.
	Backup        string `json:"backup,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigLease is false while the router refuses requests because it can reach neither the log nor a
	// peer that can.
	ConfigLease     bool           `json:"config_lease"`
	OpenRequests    int64          `json:"open_requests"`
	UnknownRequests int            `json:"unknown_requests"`
	RequestStates   map[string]int `json:"request_states"`
	Started         time.Time      `json:"started"`
}

// EntryBalance is the remaining budget of an entry as this router sees it.
type EntryBalance struct {
	Entry      string `json:"entry"`
	Generation uint64 `json:"generation"`
	// Remaining is prepaid minus spent and reserved, in tokens.
	Remaining int64 `json:"remaining_tokens"`
}

// AdminBackend is the router process that the admin endpoints report on and control.
type AdminBackend interface {
	Status() Status
	// Drain starts a graceful shutdown and returns immediately.
	Drain()
	Balance(entry string) (EntryBalance, bool)
}

// AdminHandler serves the health checks, the metrics and the admin endpoints. It must not be exposed to
// callers: it does not authenticate.
func AdminHandler(backend AdminBackend) http.Handler {
	r := httprouter.New()
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if status := backend.Status(); !status.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	r.GET("/admin/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, backend.Status())
	})
	r.POST("/admin/drain", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		backend.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	r.GET("/admin/balance", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		balance, ok := backend.Balance(req.URL.Query().Get("entry"))
		if !ok {
			writeJSON(w, http.StatusNotFound, errorBody{Error: refusal(http.StatusNotFound, CodeNotFound, "no such entry")})
			return
		}
		writeJSON(w, http.StatusOK, balance)
	})
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
