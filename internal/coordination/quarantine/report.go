package quarantine

import (
	"slices"
	"time"
)

// Report is what a router tells the others. Merging it repeatedly or in another order has no further effect.
type Report struct {
	Observations []Observation `json:"observations,omitempty"`
	Clears       []Clear       `json:"clears,omitempty"`
	Verdicts     []Verdict     `json:"verdicts,omitempty"`
}

// Observation says that a request was running when an upstream crashed. Times are ages, because the clocks of routers
// differ.
type Observation struct {
	Upstream string `json:"upstream"`
	// Subjects are those of the request, as for Registry.RecordCrash.
	Subjects []Subject `json:"subjects"`
	// Begun and Streaming state its stage; without either it was waiting.
	Begun     bool `json:"begun,omitempty"`
	Streaming bool `json:"streaming,omitempty"`
	// Answered is true if the reporting router has recently seen an answer to the same content.
	Answered bool `json:"answered,omitempty"`
	// SentAgoMillis and AgoMillis are the times since the request was sent and since the crash.
	SentAgoMillis int64 `json:"sent_ago"`
	AgoMillis     int64 `json:"ago"`

	sentAt, at time.Time
}

func (o Observation) stage() Stage {
	switch {
	case o.Begun:
		return StageBegun
	case o.Streaming:
		return StageStreaming
	}
	return StageWaiting
}

// Clear says that a request with a subject was answered completely.
type Clear struct {
	Subject   Subject `json:"subject"`
	AgoMillis int64   `json:"ago"`

	at time.Time
}

// Empty reports whether the report says nothing.
func (p Report) Empty() bool { return len(p.Observations)+len(p.Clears)+len(p.Verdicts) == 0 }

// withAges returns the report with its times as ages.
func (p Report) withAges(now time.Time) Report {
	out := Report{Observations: slices.Clone(p.Observations), Clears: slices.Clone(p.Clears), Verdicts: p.Verdicts}
	for i, s := range out.Observations {
		out.Observations[i].SentAgoMillis, out.Observations[i].AgoMillis = now.Sub(s.sentAt).Milliseconds(), now.Sub(s.at).Milliseconds()
	}
	for i, c := range out.Clears {
		out.Clears[i].AgoMillis = now.Sub(c.at).Milliseconds()
	}
	return out
}

// TakeReport returns what has changed on this router since the last call.
func (r *Registry) TakeReport() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report.withAges(r.cfg.Now())
	r.report = Report{}
	return out
}

// Export returns all that this router knows, for routers that missed a report.
func (r *Registry) Export() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.expire(now)
	var out Report
	for s, known := range r.subjects {
		for _, o := range known.records {
			out.Observations = append(out.Observations, Observation{
				Upstream: o.crash.upstream, Subjects: append(slices.Clone(o.specific), s), Begun: o.stage == StageBegun, Streaming: o.stage == StageStreaming, Answered: o.answered,
				sentAt: o.sentAt, at: o.crash.at,
			})
		}
		if !known.clearedAt.IsZero() {
			out.Clears = append(out.Clears, Clear{Subject: s, at: known.clearedAt})
		}
		if known.verdict.At > 0 {
			out.Verdicts = append(out.Verdicts, known.verdict)
		}
	}
	return out.withAges(now)
}

// Verdicts returns the quarantined subjects and, for some time, those that were released.
func (r *Registry) Verdicts() []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Verdict
	for _, known := range r.subjects {
		if known.verdict.At > 0 {
			out = append(out, known.verdict)
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return int(a.At - b.At) })
	return out
}

// Merge applies a report of another router.
func (r *Registry) Merge(p Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, c := range p.Clears {
		r.clear(c.Subject, r.subject(c.Subject), now.Add(-time.Duration(c.AgoMillis)*time.Millisecond), true)
	}
	for _, s := range p.Observations {
		s.at = now.Add(-time.Duration(s.AgoMillis) * time.Millisecond)
		s.sentAt = now.Add(-time.Duration(s.SentAgoMillis) * time.Millisecond)
		r.addObservation(s, true)
	}
	r.mergeVerdicts(p.Verdicts)
	r.expire(now)
}

// MergeVerdicts applies the verdicts of another router.
func (r *Registry) MergeVerdicts(verdicts []Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeVerdicts(verdicts)
}

func (r *Registry) mergeVerdicts(verdicts []Verdict) {
	now := r.cfg.Now()
	for _, v := range verdicts {
		if v.forgotten(now) || v.At <= r.subject(v.Subject).verdict.At {
			continue
		}
		known := r.subject(v.Subject)
		old := known.verdict
		known.verdict, known.learnedAt = v, now
		switch {
		case v.Active && (!old.Active || v.Level > old.Level):
			r.notify(Change{Kind: ChangeQuarantined, Subject: v.Subject, Level: v.Level, For: v.until().Sub(now), Reported: true})
		case !v.Active:
			// A crash that the other router has taken into account must not count again here.
			known.clearedAt = later(known.clearedAt, now)
			known.records = nil
			if old.Active {
				r.notify(Change{Kind: ChangeReleased, Subject: v.Subject, Level: v.Level, Reported: true})
			}
		}
	}
}
