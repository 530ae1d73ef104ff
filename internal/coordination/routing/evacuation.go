package routing

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// noteEvacuations notes which evacuations a configuration has taken back. Upstreams may turn cold then. The caller holds
// r.mu.
func (r *Router) noteEvacuations(snapshot *catalogue.Snapshot, now time.Time) {
	zones := make(map[string]struct{})
	for zone := range snapshot.EvacuatedZones {
		zones[zone] = struct{}{}
		delete(r.takenBack, zone)
	}
	for zone := range r.evacuated {
		if _, still := zones[zone]; !still {
			r.takenBack[zone] = now
		}
	}
	r.evacuated = zones
}

// barred reports whether the configuration keeps a request from the upstream, whatever the upstream's state: its zone is
// evacuated, or the request must not reach its region.
func (s *upstreamState) barred(req *Request) bool {
	return s.evacuated || !req.Regions.Allow(s.upstream.Region)
}

// CheckBarred returns an error if no upstream may get the request because each one's zone is evacuated or its region
// is not allowed. Such a request need not wait for a slot that running requests hold.
func (r *Router) CheckBarred(req Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.upstreamsFor(&req)
	for _, s := range all {
		if !s.barred(&req) {
			return nil
		}
	}
	if len(all) == 0 {
		return nil
	}
	return &NoUpstreamError{Target: req.Model + req.Service, RetryAfter: noUpstreamRetryAfter}
}
