// Package quarantine finds out which part of their content makes requests crash the upstreams that run them, and
// keeps requests with that part away from upstreams. Requests that share their caller, their route or other
// parts with them are not affected.
//
// A Subject stands for a part that several requests may have in common, or for the content of a request as a
// whole. A subject is suspected when requests with it were running in crashes, one after the other, and none has
// been answered since. A complete answer to a request with the subject clears it. After QuarantineCrashes crashes in a row the
// subject is quarantined. If several subjects explain the crashes, it is the most specific one, which the fewest
// requests have; but two requests that differ in their content show that a part is the cause. A quarantine ends by
// itself: after some time a single request is let through, and its
// answer clears the subject in the whole fleet.
//
// The package does no I/O and uses an injected clock. Routers exchange reports, see Registry.TakeReport, and keep
// verdicts in their heartbeats, so that they survive the routers that reached them.
package quarantine

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subject identifies a part of the content of requests.
type Subject uint64

// String returns the subject in hexadecimal, as it appears in logs.
func (s Subject) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// PartSubject returns the subject of a part of a prompt, given its ID.
func PartSubject(id string) Subject { return Subject(xxhash.Sum64String("part\x00" + id)) }

// ContentSubject returns the subject of a request's whole content, given its hash.
func ContentSubject(hash []byte) Subject { return Subject(xxhash.Sum64(hash)) }

const (
	// QuarantineCrashes is the number of crashes in a row that quarantine a subject. Upstreams also crash for
	// other reasons: at one unrelated crash a second, some requests in a hundred are caught in one, and hardly
	// any part in three in a row.
	QuarantineCrashes = 3
	// retryCrashes is the number of crashes in a row after which a request is not sent again.
	retryCrashes = 2
	// sameCrashWindow is the time within which all routers notice a crash. An upstream takes longer to restart.
	sameCrashWindow = 2 * time.Second
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// clearedRetention is how long a cleared subject is kept, so that late reports of earlier crashes do not make
	// it suspected again.
	clearedRetention = 15 * time.Second
	// maxSubjects and maxCrashes limit the memory. The oldest are forgotten first.
	maxSubjects = 4096
	maxCrashes  = 1024
)

// BlockedError reports a request that is refused because a subject of it is quarantined.
type BlockedError struct {
	Subject    Subject
	RetryAfter time.Duration
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("requests with part %s have crashed upstreams and are quarantined", e.Subject)
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of change.
const (
	ChangeQuarantined ChangeKind = iota
	ChangeTrial
	ChangeReleased
	ChangeForgotten
)

// Change is a change of what the registry believes about a subject.
type Change struct {
	Kind    ChangeKind
	Subject Subject
	// Crashes is the number of crashes in a row, Level the number of failed trials, and For the time until the
	// next trial.
	Crashes, Level int
	For            time.Duration
	// Reported is true if the change comes from another router.
	Reported bool
}

// Config holds the dependencies of a Registry.
type Config struct {
	Now func() time.Time
	// VM is the name of this VM, and Members returns the names of the live routers' VMs. They decide which router
	// may let a request through first when a quarantine ends. A nil Members means that there is only this router.
	// Members is called with the registry's lock held and must not call the registry.
	VM      string
	Members func() []string
	// Notify is called with each change, with the registry's lock held. It may be nil.
	Notify func(Change)
}

// Registry holds the crashes and the verdicts that are known to a router. It is safe for concurrent use.
type Registry struct {
	cfg Config

	mu       sync.Mutex
	crashes  []*crash
	subjects map[Subject]*subjectState
	// answered and answeredParts remember when contents and parts were last answered.
	answered, answeredParts recentSubjects
	losses                  []loss
	report                  Report
}

// crash is one crash of an upstream.
type crash struct {
	upstream string
	at       time.Time
	// begun is true if the answer to a request had just begun. Then requests that still waited did not cause the crash.
	begun bool
}

// subjectState is what is known about a subject.
type subjectState struct {
	// records are the crashes in which a request with the subject was running, in the order of their times.
	records []crashRecord
	// clearedAt is when an answer to a request with the subject was last seen.
	clearedAt time.Time
	verdict   Verdict
	// learnedAt is when this router reached or learned of the verdict.
	learnedAt time.Time
	// trialAt is when this router last let a request through at the end of the quarantine.
	trialAt time.Time
}

// crashRecord is a request that was running in a crash, as seen from one of its subjects.
type crashRecord struct {
	crash  *crash
	sentAt time.Time
	stage  Stage
	// answered is true if the content of the request had recently been answered by an upstream.
	answered bool
	// specific are the more specific subjects of the request, its content first.
	specific []Subject
}

// doubtful reports whether another request is the more likely cause: its answer had just begun while this one waited.
func (o crashRecord) doubtful() bool { return o.stage == StageWaiting && o.crash.begun }

// content returns the subject of the request's content, and moreSpecificParts those of its parts that are more
// specific than the subject that the record belongs to.
func (o crashRecord) content() []Subject           { return o.specific[:min(1, len(o.specific))] }
func (o crashRecord) moreSpecificParts() []Subject { return o.specific[min(1, len(o.specific)):] }

// New returns a registry that knows of no crash.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, subjects: make(map[Subject]*subjectState)}
}

// Stage is how far a request had come when its upstream crashed. A higher one is stronger evidence that it is the cause.
type Stage int

// Stages. Of the requests at an upstream, most are either waiting or streaming, and hardly any is just begun.
const (
	StageWaiting Stage = iota
	StageStreaming
	StageBegun
)

// Crash is a crash of an upstream, as seen from a request that was running there.
type Crash struct {
	Upstream string
	// Subjects are that of the request's content and those of its parts, the most specific one first.
	Subjects []Subject
	// SentAt is when the request was sent, and At when the upstream crashed.
	SentAt, At time.Time
	Stage      Stage
}

// RecordCrash records a crash that this router has seen.
func (r *Registry) RecordCrash(c Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	s := Observation{
		Upstream: c.Upstream, Subjects: c.Subjects, Begun: c.Stage == StageBegun, Streaming: c.Stage == StageStreaming,
		Answered: len(c.Subjects) > 0 && !r.answered.last(c.Subjects[0], now).IsZero(), sentAt: c.SentAt, at: c.At,
	}
	r.addObservation(s, false)
	r.report.Observations = append(r.report.Observations, s)
	r.expire(now)
}

// addObservation adds a crash to the subjects of a request and evaluates them.
func (r *Registry) addObservation(s Observation, reported bool) {
	c := r.crash(s.Upstream, s.at)
	stage := s.stage()
	c.begun = c.begun || stage == StageBegun
	for i, subject := range s.Subjects {
		known := r.subject(subject)
		if at := r.recentAnswers(i).last(subject, r.cfg.Now()); at.After(c.at) && at.After(known.clearedAt) {
			// It was answered before this router learned of the crash.
			r.clearAndReport(subject, known, at)
		}
		o := crashRecord{crash: c, sentAt: s.sentAt, stage: stage, answered: s.Answered, specific: s.Subjects[:i]}
		at := slices.IndexFunc(known.records, func(o crashRecord) bool { return o.crash == c })
		switch {
		case at < 0:
			known.records = append(known.records, o)
		case stage > known.records[at].stage:
			known.records[at] = o
		default:
			known.records[at].answered = known.records[at].answered || s.Answered
			continue
		}
		slices.SortFunc(known.records, func(a, b crashRecord) int { return a.crash.at.Compare(b.crash.at) })
		r.evaluate(subject, known, reported)
	}
}

// recentAnswers returns the memory of answers for the subject of a request at an index: contents are far more than parts.
func (r *Registry) recentAnswers(i int) *recentSubjects {
	if i == 0 {
		return &r.answered
	}
	return &r.answeredParts
}

// subject returns what is known about a subject.
func (r *Registry) subject(s Subject) *subjectState {
	known := r.subjects[s]
	if known == nil {
		known = &subjectState{}
		r.subjects[s] = known
	}
	return known
}

// crash returns the crash of an upstream at a time, which other routers may have noticed a little earlier or
// later.
func (r *Registry) crash(upstream string, at time.Time) *crash {
	for _, c := range r.crashes {
		if c.upstream == upstream && at.Sub(c.at).Abs() <= sameCrashWindow {
			if at.Before(c.at) {
				c.at = at
			}
			return c
		}
	}
	c := &crash{upstream: upstream, at: at}
	r.crashes = append(r.crashes, c)
	return c
}

// crashesInRow returns the crashes since the subject was last cleared. Of crashes at the same time only one
// counts, because upstreams may fail together: a request that counts was sent after the last counted crash. Copies of
// one content count each, unless upstreams have answered it: many callers may send the same sound request. A
// request does not count for its parts if it waited while the answer to another one had just begun, or if a more specific part
// of it is quarantined.
func (r *Registry) crashesInRow(s *subjectState) []crashRecord {
	var counted []crashRecord
	last := s.clearedAt
	for _, o := range s.records {
		isContent := len(o.specific) == 0
		copied := isContent && !o.answered
		if o.crash.at.Before(s.clearedAt) || o.doubtful() && !isContent || len(counted) > 0 && o.sentAt.Before(last) && !copied ||
			slices.ContainsFunc(o.moreSpecificParts(), r.quarantined) {
			continue
		}
		counted = append(counted, o)
		last = o.crash.at
	}
	return counted
}

func (r *Registry) quarantined(s Subject) bool {
	known := r.subjects[s]
	return known != nil && known.verdict.Active
}

// suspected reports whether a subject is quarantined or nearly so after a number of further crashes.
func (r *Registry) suspected(s Subject, further int) bool {
	known := r.subjects[s]
	if known == nil {
		return further >= retryCrashes
	}
	return known.verdict.Active || atLeast(r.crashesInRow(known), retryCrashes-further)
}

// atLeast reports whether there are n crashes, or one more if some of them are doubtful. On a busy upstream the answer to some
// request has nearly always just begun, so that all crashes by a request which never gets an answer are.
func atLeast(counted []crashRecord, n int) bool {
	certain := 0
	for _, o := range counted {
		if !o.doubtful() {
			certain++
		}
	}
	return certain >= n || len(counted) > n
}

// conclusive reports whether crashes show that a subject causes them. They do not if all of them may be due to one
// request that was sent repeatedly. If the requests of several crashes have a more specific part in common, that
// one is the more likely cause, unless there are as many crashes without it.
func conclusive(counted []crashRecord) bool {
	sameContent := mostCommon(counted, crashRecord.content)
	samePart := mostCommon(counted, crashRecord.moreSpecificParts)
	return atLeast(counted, QuarantineCrashes) && sameContent < len(counted) &&
		(samePart < retryCrashes || len(counted)-samePart >= retryCrashes)
}

// mostCommon returns the number of records that the most frequent one of the selected subjects occurs in.
func mostCommon(counted []crashRecord, selected func(crashRecord) []Subject) (most int) {
	occurrences := make(map[Subject]int)
	for _, o := range counted {
		for _, s := range selected(o) {
			occurrences[s]++
			most = max(most, occurrences[s])
		}
	}
	return most
}

// RecordAnswer records that a request with the given subjects was answered completely. This clears them of all crashes so
// far.
func (r *Registry) RecordAnswer(subjects []Subject) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for i, s := range subjects {
		r.recentAnswers(i).add(s, now)
		if known := r.subjects[s]; known != nil && (len(known.records) > 0 || known.verdict.Active) {
			r.clearAndReport(s, known, now)
		}
	}
}

// clearAndReport clears a subject that this router has seen answered, and tells the others.
func (r *Registry) clearAndReport(s Subject, known *subjectState, at time.Time) {
	r.clear(s, known, at, false)
	r.report.Clears = append(r.report.Clears, Clear{Subject: s, at: at})
}

// clear clears a subject of the crashes before a time. It ends a quarantine only if the answer came after this
// router had learned of it.
func (r *Registry) clear(s Subject, known *subjectState, at time.Time, reported bool) {
	if at.After(known.clearedAt) {
		known.clearedAt = at
	}
	known.records = slices.DeleteFunc(known.records, func(o crashRecord) bool { return o.crash.at.Before(known.clearedAt) })
	if known.verdict.Active && len(known.records) == 0 && at.After(known.learnedAt) {
		r.release(s, known, reported)
	}
}

// Suspected reports whether a request that has failed must not be sent again, because a subject of it is
// quarantined or nearly so. unrecorded is the number of its crashes that are not recorded yet.
func (r *Registry) Suspected(subjects []Subject, unrecorded int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(subjects, func(s Subject) bool { return r.suspected(s, unrecorded) })
}

// expire forgets what is too old or too much.
func (r *Registry) expire(now time.Time) {
	if len(r.crashes) > maxCrashes {
		slices.SortFunc(r.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		r.crashes = slices.Clone(r.crashes[len(r.crashes)-maxCrashes:])
	}
	oldest := now.Add(-crashRetention)
	if len(r.crashes) == maxCrashes {
		oldest = later(oldest, r.crashes[0].at)
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c *crash) bool { return c.at.Before(oldest) })
	for s, known := range r.subjects {
		known.records = slices.DeleteFunc(known.records, func(o crashRecord) bool { return o.crash.at.Before(oldest) })
		r.forgetVerdict(s, known, now)
		if len(known.records) == 0 && now.Sub(known.clearedAt) > clearedRetention && known.verdict.forgotten(now) {
			delete(r.subjects, s)
		}
	}
	r.limitSubjects()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// limitSubjects forgets subjects that are not quarantined while there are more than maxSubjects.
func (r *Registry) limitSubjects() {
	for s, known := range r.subjects {
		if len(r.subjects) <= maxSubjects {
			return
		}
		if !known.verdict.Active {
			delete(r.subjects, s)
		}
	}
}

func (r *Registry) notify(c Change) {
	if r.cfg.Notify != nil {
		r.cfg.Notify(c)
	}
}
