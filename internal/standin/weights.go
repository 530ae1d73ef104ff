package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// WeightStore is an HTTP stand-in for the rate-limited weight store. It refuses pulls above the rate.
type WeightStore struct {
	limiter *rate.Limiter
	pulls   atomic.Int64
	refused atomic.Int64
}

// WeightCounts is the response to GET /weights.
type WeightCounts struct {
	Pulls   int64 `json:"pulls"`
	Refused int64 `json:"refused"`
}

// NewWeightStore returns a store that allows the given rate of pulls.
func NewWeightStore(pullsPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(pullsPerSecond), 1)}
}

// Handler returns an HTTP handler for pulls, GET /weights/:model/:version, and for the counts, GET /weights.
func (s *WeightStore) Handler() http.Handler {
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
