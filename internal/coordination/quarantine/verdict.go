package quarantine

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstQuarantine is the time until the first trial. Each failed trial multiplies it by quarantineFactor, up
	// to maxQuarantine.
	firstQuarantine  = 30 * time.Second
	quarantineFactor = 4
	maxQuarantine    = time.Hour
	// trialStep is the time after which one more router may let a request through. The first one whose callers
	// send such a request reports what happened before many others may.
	trialStep = 300 * time.Millisecond
	// contentTrialTurn is how long each router in turn may let through a request whose whole content is quarantined.
	// Copies of it may arrive at many routers at once, and its report arrives at the others within a turn.
	contentTrialTurn = 2 * time.Second
	// trialTimeout is how long a trial counts as running. It may end without a crash and without an answer.
	trialTimeout = 10 * time.Second
	// verdictRetention is how long a quarantine lasts if no request comes after its end, and how long its release
	// is kept, so that an older verdict of a router that is gone does not hold again.
	verdictRetention = 10 * time.Minute
	// blockedRetryAfter is the retry time at the end of a quarantine, when this router may not yet let a request
	// through.
	blockedRetryAfter = 5 * time.Second
)

// Verdict says whether a subject is quarantined. Of two verdicts the one with the higher At holds.
type Verdict struct {
	Subject Subject `cbor:"1,keyasint"`
	// At is the time of the verdict in Unix milliseconds, or later than that of the verdict that it replaces.
	At int64 `cbor:"2,keyasint"`
	// Until is the time of the next trial in Unix milliseconds.
	Until int64 `cbor:"3,keyasint,omitempty"`
	// Level is the number of failed trials.
	Level  int  `cbor:"4,keyasint,omitempty"`
	Active bool `cbor:"5,keyasint,omitempty"`
}

func (v Verdict) until() time.Time { return time.UnixMilli(v.Until) }

// forgotten reports whether there is no verdict, or one so old that it no longer holds. The release of a subject
// is kept at least as long as the verdict that it replaces would hold.
func (v Verdict) forgotten(now time.Time) bool {
	return v.At == 0 || now.Sub(time.UnixMilli(max(v.At, v.Until))) > verdictRetention
}

// replace returns a release that holds against v.
func (v Verdict) replace(s Subject, now time.Time) Verdict {
	return Verdict{Subject: s, At: max(now.UnixMilli(), v.At+1), Until: v.Until, Level: v.Level}
}

// quarantineTime returns the time until the next trial after a number of failed trials.
func quarantineTime(level int) time.Duration {
	return time.Duration(min(float64(maxQuarantine), float64(firstQuarantine)*math.Pow(quarantineFactor, float64(level))))
}

// evaluate quarantines a subject after enough crashes in a row, and again after a failed trial.
func (r *Registry) evaluate(s Subject, known *subjectState, reported bool) {
	now := r.cfg.Now()
	crashes := r.crashesInRow(known)
	old := known.verdict
	switch {
	case !old.Active && !conclusive(crashes):
		return
	case old.Active && (len(crashes) == 0 || known.records[len(known.records)-1].crash.at.Before(old.until())):
		return
	}
	next := old.replace(s, now)
	next.Active = true
	if old.Active {
		next.Level++
	} else {
		next.Level = 0
	}
	next.Until = now.Add(quarantineTime(next.Level)).UnixMilli()
	known.verdict, known.learnedAt = next, now
	r.report.Verdicts = append(r.report.Verdicts, next)
	r.notify(Change{
		Kind: ChangeQuarantined, Subject: s, Crashes: len(crashes), Level: next.Level, For: next.until().Sub(now), Reported: reported,
	})
}

// release ends the quarantine of a subject.
func (r *Registry) release(s Subject, known *subjectState, reported bool) {
	known.verdict = known.verdict.replace(s, r.cfg.Now())
	r.report.Verdicts = append(r.report.Verdicts, known.verdict)
	r.notify(Change{Kind: ChangeReleased, Subject: s, Level: known.verdict.Level, Reported: reported})
}

// forgetVerdict ends a quarantine after which no request has come for a long time.
func (r *Registry) forgetVerdict(s Subject, known *subjectState, now time.Time) {
	if known.verdict.Active && known.verdict.forgotten(now) {
		known.verdict = known.verdict.replace(s, now)
		known.records = nil
		r.notify(Change{Kind: ChangeForgotten, Subject: s})
	}
}

// Check returns a BlockedError if a subject of a request is quarantined. At the end of a quarantine it lets one
// request of this router through, at a time that depends on the router.
func (r *Registry) Check(subjects []Subject) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.subjects) == 0 {
		return nil
	}
	now := r.cfg.Now()
	for i, s := range subjects {
		known := r.subjects[s]
		if known == nil || !known.verdict.Active {
			continue
		}
		if left := known.verdict.until().Sub(now); left > 0 {
			return &BlockedError{Subject: s, RetryAfter: left}
		}
		if !r.mayTry(s, known, now, i == 0) {
			return &BlockedError{Subject: s, RetryAfter: blockedRetryAfter}
		}
	}
	for _, s := range subjects {
		if known := r.subjects[s]; known != nil && known.verdict.Active {
			known.trialAt = now
			r.notify(Change{Kind: ChangeTrial, Subject: s, Level: known.verdict.Level})
		}
	}
	return nil
}

// mayTry reports whether this router may let a request through. For a part, one more router may do so after each trialStep;
// for a whole content, the routers take turns.
func (r *Registry) mayTry(s Subject, known *subjectState, now time.Time, content bool) bool {
	if now.Sub(known.trialAt) < trialTimeout {
		return false
	}
	rank, routers := r.rank(s)
	since := now.Sub(known.verdict.until())
	if content {
		return int(since/contentTrialTurn)%routers == rank
	}
	return time.Duration(rank)*trialStep <= since
}

// rank returns the number of routers that may let a request with the subject through before this one, and the number of
// all routers.
func (r *Registry) rank(s Subject) (rank, routers int) {
	routers = 1
	if r.cfg.Members == nil {
		return rank, routers
	}
	weight := func(vm string) uint64 { return xxhash.Sum64String(s.String() + vm) }
	own := weight(r.cfg.VM)
	for _, vm := range r.cfg.Members() {
		if vm == r.cfg.VM {
			continue
		}
		routers++
		if weight(vm) > own {
			rank++
		}
	}
	return rank, routers
}
