package routing

// barred reports whether the operator's word keeps a request from the upstream, whatever the upstream's state: its zone is
// evacuated.
func (s *upstreamState) barred(*Request) bool { return s.evacuated }

// CheckBarred returns an error if no upstream may get the request because each one's zone is evacuated. Such a request
// need not wait for a slot that running requests in that zone hold.
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
