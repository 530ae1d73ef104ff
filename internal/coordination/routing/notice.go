package routing

import "time"

const (
	// noticeRetention is how long the notice of an upstream that is not in the configuration is kept. It exceeds the
	// age of the copies that the log is restored from, which may list the upstream again.
	noticeRetention = 10 * time.Minute
	// MaxPause is the longest pause that an upstream can ask for. A longer one is more likely a defect of the upstream.
	MaxPause = time.Hour
)

// notice is what an upstream process has said about itself in its responses to this router. It is kept by the name of
// the upstream, which differs for each process, and it holds against whatever the log or other routers say later.
type notice struct {
	// leaving is true once the process has said that it leaves. It is never set back.
	leaving bool
	// pausedUntil is the time until which the upstream wants no requests from this router.
	pausedUntil time.Time
	// notedAt is when the upstream last said either.
	notedAt time.Time
}

// pauseLeft returns how long the upstream wants no requests from this router.
func (n *notice) pauseLeft(now time.Time) time.Duration { return max(0, n.pausedUntil.Sub(now)) }

// noticeOf returns the notice of an upstream by name, and creates it if necessary. The caller holds r.mu.
func (r *Router) noticeOf(upstream string) *notice {
	n := r.notices[upstream]
	if n == nil {
		n = &notice{}
		r.notices[upstream] = n
	}
	return n
}

// pruneNotices removes notices of upstreams that are not known any more. The caller holds r.mu.
func (r *Router) pruneNotices(now time.Time) {
	for name, n := range r.notices {
		if r.byName[name] == nil && now.Sub(n.notedAt) > noticeRetention {
			delete(r.notices, name)
		}
	}
}

// Leaving records that the upstream said in a response that its process leaves. The process gets no new requests from
// this router.
func (a *Attempt) Leaving() {
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	a.state.gotDrainingResponse = true
	r.noteLeaving(a.state)
}

// NoteLeaving is Attempt.Leaving for a response that another router has received.
func (r *Router) NoteLeaving(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byName[upstream]; s != nil {
		r.noteLeaving(s)
	}
}

// noteLeaving is called with the lock held.
func (r *Router) noteLeaving(s *upstreamState) {
	s.notice.notedAt = r.cfg.Now()
	if !s.notice.leaving {
		s.notice.leaving = true
		r.markDraining(s)
	}
}

// Pause records that the upstream turned the attempt away and wants no requests from this router for some time, at most
// MaxPause. A shorter pause does not end an earlier one.
func (a *Attempt) Pause(d time.Duration) {
	if d <= 0 || d > MaxPause {
		return
	}
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	n := a.state.notice
	n.notedAt = now
	if until := now.Add(d); until.After(n.pausedUntil) {
		if n.pauseLeft(now) == 0 {
			r.notify(Change{Kind: ChangePaused, Upstream: a.upstream.Name, Pause: d})
		}
		n.pausedUntil = until
		r.endExcessEjections()
	}
}
