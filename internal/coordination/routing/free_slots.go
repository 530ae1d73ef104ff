package routing

import "math"

// FreeSlots returns the number of this router's requests at the upstreams of a model or service and, from load reports that
// are at most roomReportAge old, the number of free slots of all of them. Upstreams without a recent report count as those
// with one do on average. known is false if none has a recent report.
func (r *Router) FreeSlots(model, service string) (own, free int, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var total, reported, reportedFree float64
	for _, s := range r.upstreamsFor(&Request{Model: model, Service: service}) {
		own += s.outstanding
		if s.draining(now) || s.ejected(now) || s.notice.pauseLeft(now) > 0 {
			continue
		}
		slots := s.concurrency(now)
		total += slots
		if s.measuredAt.IsZero() || now.Sub(s.measuredAt) > roomReportAge {
			continue
		}
		reported += slots
		reportedFree += max(0, slots-float64(s.report.Running+s.report.Waiting+max(0, s.netSinceReport)))
	}
	if reported <= 0 {
		return own, 0, false
	}
	return own, int(math.Floor(reportedFree * total / reported)), true
}
