package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// Weights is the rate-limited weight store, reachable over HTTP. A pull above the
// rate is refused.
type Weights struct {
	limiter *rate.Limiter
	pulls   atomic.Int64
	refused atomic.Int64
}

// WeightCounts is the answer to GET /weights.
type WeightCounts struct {
	Pulls   int64 `json:"pulls"`
	Refused int64 `json:"refused"`
}

// NewWeights returns a store that allows a number of pulls per second.
func NewWeights(pullsPerSecond float64) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(pullsPerSecond), 1)}
}

// Handler serves GET /weights/:model/:version, which pulls, and GET /weights.
func (s *Weights) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/weights", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(WeightCounts{Pulls: s.pulls.Load(), Refused: s.refused.Load()})
	})
	r.GET("/weights/:model/:version", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !s.limiter.Allow() {
			s.refused.Add(1)
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		s.pulls.Add(1)
	})
	return r
}
