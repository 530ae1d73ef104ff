package quarantine

import (
	"slices"
	"time"
)

const (
	// endTogetherWindow is the time within which routers notice the ends of upstreams that have one cause, such as a power loss.
	endTogetherWindow = 500 * time.Millisecond
	// lossRetention is how long a lost request is kept. Until then its crash is recorded, if it was one.
	lossRetention = 2 * time.Second
	// maxLosses limits the memory. The oldest are forgotten first.
	maxLosses = 1024
)

// loss is a request of this router that has lost its connection to an upstream, which may have crashed.
type loss struct {
	upstream   string
	content    Subject
	sentAt, at time.Time
}

// inTurnWith reports whether one of two requests was sent after the other one was lost.
func (l loss) inTurnWith(sentAt, lostAt time.Time) bool {
	return !l.sentAt.Before(lostAt) || !sentAt.Before(l.at)
}

// NoteLoss records that a request has lost its connection to an upstream. Whether the upstream has crashed is found out
// afterwards, see RecordCrash.
func (r *Registry) NoteLoss(c Crash) {
	if len(c.Subjects) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := c.At.Add(-lossRetention)
	r.losses = slices.DeleteFunc(r.losses, func(l loss) bool { return l.at.Before(oldest) })
	if len(r.losses) >= maxLosses {
		r.losses = slices.Delete(r.losses, 0, 1)
	}
	r.losses = append(r.losses, loss{c.Upstream, c.Subjects[0], c.SentAt, c.At})
}

// EndedApart returns the upstreams that are known not to have ended together with an upstream for a common cause: those that
// crashed half a second or more before a time, and those that lost a request before the same content was sent to the
// upstream, or the other way round.
func (r *Registry) EndedApart(upstream string, at time.Time) map[string]struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	apart := make(map[string]struct{})
	for _, c := range r.crashes {
		if c.at.Before(at.Add(-endTogetherWindow)) {
			apart[c.upstream] = struct{}{}
		}
	}
	for _, l := range r.losses {
		if l.upstream == upstream {
			r.addEndedApart(apart, l)
		}
	}
	delete(apart, upstream)
	return apart
}

// addEndedApart adds the upstreams that lost a request with the content of l before l was sent, or that were sent one after l
// was lost.
func (r *Registry) addEndedApart(apart map[string]struct{}, l loss) {
	for _, o := range r.losses {
		if o.content == l.content && l.inTurnWith(o.sentAt, o.at) {
			apart[o.upstream] = struct{}{}
		}
	}
	if known := r.subjects[l.content]; known != nil {
		for _, o := range known.records {
			if l.inTurnWith(o.sentAt, o.crash.at) {
				apart[o.crash.upstream] = struct{}{}
			}
		}
	}
}
