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
	// Routers is the number of live routers that this one knows, itself included.
	Routers int `json:"routers"`
	// Backup is the process that has copies of all reservations, if any.
	Backup        string `json:"backup,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigLease is false while the router refuses because it hears neither the
	// log nor a peer that has.
	ConfigLease     bool           `json:"config_lease"`
	OpenRequests    int64          `json:"open_requests"`
	UnknownRequests int            `json:"unknown_requests"`
	RequestStates   map[string]int `json:"request_states"`
	Started         time.Time      `json:"started"`
}

// EntryBalance is what is left of an entry's budget, as far as the router knows.
type EntryBalance struct {
	Entry      string `json:"entry"`
	Generation uint64 `json:"generation"`
	// Remaining is prepaid minus spent and reserved, in tokens.
	Remaining int64 `json:"remaining_tokens"`
}

// Operated is the router process behind the operators' endpoints.
type Operated interface {
	Status() Status
	// Drain begins a planned stop and returns at once.
	Drain()
	Balance(entry string) (EntryBalance, bool)
}

// AdminHandler serves health, metrics and the operators' endpoints. Its address
// is not for callers.
func AdminHandler(o Operated) http.Handler {
	r := httprouter.New()
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if s := o.Status(); !s.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	r.GET("/admin/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, o.Status())
	})
	r.POST("/admin/drain", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		o.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	r.GET("/admin/balance", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		balance, ok := o.Balance(req.URL.Query().Get("entry"))
		if !ok {
			writeJSON(w, http.StatusNotFound, errorBody{Error: refuse(http.StatusNotFound, CodeNotFound, "no such entry")})
			return
		}
		writeJSON(w, http.StatusOK, balance)
	})
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
