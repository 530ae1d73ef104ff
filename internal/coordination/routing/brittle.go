package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

const (
	// rejectionWindow is the time over which the rejections of a brittle upstream count.
	rejectionWindow = time.Second
	// ownRejectionPart is the fraction of its part of the rejection limit that a router uses, and
	// knownRejectionPart the fraction of the whole limit at which it pauses because of the rejections that all routers
	// have reported. Rejections of the last moments are not known yet.
	ownRejectionPart   = 0.8
	knownRejectionPart = 0.5
	// maxRejectionPause is the longest pause after a rejection. Many routers that share a small limit pause for longer
	// than the window, so that they do not all come back within the same one.
	maxRejectionPause = 5 * time.Second
	// brittleReserve is the divisor of the slots for those that are left free: new connections hold slots too, and
	// runs of callers that have left may still hold one.
	brittleReserve = 8
	// slotTurn is the time for which routers own slots when the service has fewer slots than there are routers.
	slotTurn = 250 * time.Millisecond
	// roomReportAge is the age up to which a load report shows free slots, and spareAfterRejection the time after a
	// rejection without the use of slots that other routers own.
	roomReportAge       = 500 * time.Millisecond
	spareAfterRejection = 2 * time.Second
	// rejectionBackoff is the factor on the room of an upstream after a rejection, and roomRecovery the time until all of
	// its slots count again.
	rejectionBackoff = 0.75
	roomRecovery     = 10 * time.Second
	// An upstream with manySlots or more may run out of something else first, such as memory. It is assumed to be able to use
	// assumedRoom of its slots, and more only if it has been seen to run nearly as many, at most roomStep less. Both are
	// fractions of the slots.
	manySlots   = 16
	assumedRoom = 0.5
	roomStep    = 0.125
	// minRoomChange is the least change of the room, as a fraction of the slots, that a load report makes.
	minRoomChange = 0.05
	// brittleRetryAfter is the retry time when the slots that this router owns are in use.
	brittleRetryAfter = 200 * time.Millisecond
	// maxReportedRejections bounds the rejections in one message to the other routers.
	maxReportedRejections = 64
)

// MaxRejectionLimit is the largest rejection limit that an upstream can name.
const MaxRejectionLimit = 1e6

// brittleness is what this router knows of an upstream that falls over when it has to reject too many requests in a
// second, and what this router does about it.
//
// The routers own the slots of brittle upstreams: together they have as many requests in flight as there are slots, so that
// no request is rejected as long as their views of the fleet agree. Slots of other routers are used only while a recent
// report shows that most of them are free.
type brittleness struct {
	// named is true while the upstream names a limit, the number of rejections in a second that it bears.
	named bool
	limit float64
	// namedSince is when named became true, observedAt the time as of which it is known.
	namedSince, observedAt time.Time
	// rejections are the known rejections in the window, own those of this router's requests.
	rejections, own []time.Time
	lastRejection   time.Time
	// pausedUntil is the time until which requests need proof that the upstream has room.
	pausedUntil time.Time
	// room is the number of requests that the upstream can run, as of roomAt; 0 means that all slots count.
	room   float64
	roomAt time.Time
	// shown is the largest number of requests that the upstream has been seen to run while none waited, as of shownAt, and
	// sentShown what the other routers have been told of it.
	shown, sentShown int
	shownAt          time.Time
	// unsent is true if the other routers have not been told of named or room, and unsentRejections are the rejections
	// that they have not been told of.
	unsent           bool
	unsentRejections []time.Time
	malformedNoted   bool
}

// brittleOf returns the brittleness of an upstream by name, and creates it if necessary. The caller holds r.mu.
func (r *Router) brittleOf(upstream string) *brittleness {
	b := r.brittle[upstream]
	if b == nil {
		b = &brittleness{}
		r.brittle[upstream] = b
	}
	return b
}

// pruneBrittle removes what is known of upstreams that are not in the configuration any more. The caller holds r.mu.
func (r *Router) pruneBrittle(now time.Time) {
	for name, b := range r.brittle {
		if r.byName[name] == nil && now.Sub(b.observedAt) > limitRetention {
			if b.named {
				r.namedBrittle--
			}
			delete(r.brittle, name)
		}
	}
}

// RejectionLimit applies the rejection limit in a response, nil if it names none. A response without a limit ends one
// only if its request was sent after the limit was last named, and ran.
func (a *Attempt) RejectionLimit(limit *float64, ran bool) {
	if limit == nil && !ran {
		return
	}
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit == nil {
		r.setBrittle(a.upstream.Name, false, 0, a.pickedAt, false)
		return
	}
	r.setBrittle(a.upstream.Name, true, *limit, r.cfg.Now(), false)
}

// setBrittle applies a statement about an upstream unless a newer one is known. reported is true if another router got
// it. The caller holds r.mu.
func (r *Router) setBrittle(upstream string, named bool, limit float64, observedAt time.Time, reported bool) {
	b := r.brittleOf(upstream)
	if observedAt.Before(b.observedAt) {
		return
	}
	b.observedAt = observedAt
	if named == b.named && limit == b.limit {
		return
	}
	if named == b.named {
		b.limit = limit
		b.unsent = b.unsent || !reported
		return
	}
	malformedNoted := b.malformedNoted
	*b = brittleness{named: named, limit: limit, namedSince: observedAt, observedAt: observedAt, unsent: !reported, malformedNoted: malformedNoted}
	change := Change{Kind: ChangeBrittle, Upstream: upstream, PerSecond: limit, Reported: reported}
	if named {
		r.namedBrittle++
	} else {
		r.namedBrittle--
		change.Kind = ChangeNotBrittle
	}
	r.notify(change)
}

// RejectionLimitMalformed records that the upstream named a limit that is no sound number. The limit is ignored.
func (a *Attempt) RejectionLimitMalformed(text string) {
	obs.RejectionLimitsMalformedTotal.Add(1)
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.brittleOf(a.upstream.Name); !b.malformedNoted {
		b.malformedNoted = true
		r.notify(Change{Kind: ChangeRejectionLimitMalformed, Upstream: a.upstream.Name, Text: text})
	}
}

// Rejected records that the upstream rejected the attempt for want of room.
func (a *Attempt) Rejected() {
	r := a.router
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := a.state, r.cfg.Now()
	b := s.brittle
	if !b.named {
		return
	}
	obs.BrittleRejectionsTotal.Add(1)
	b.own = append(inWindow(b.own, now), now)
	if len(b.unsentRejections) < maxReportedRejections {
		b.unsentRejections = append(b.unsentRejections, now)
	}
	b.lowerRoom(rejectionBackoff*b.roomNow(float64(s.slots()), now), now)
	r.noteRejection(a.upstream.Name, b, now, now)
	part := ownRejectionPart * b.limit / float64(max(1, r.cfg.Position().Routers))
	if float64(len(b.own)) >= max(1, math.Floor(part)) {
		pause := maxRejectionPause
		if part > 0 {
			pause = min(pause, time.Duration(float64(rejectionWindow)/min(1, part)))
		}
		r.pauseBrittle(a.upstream.Name, b, now.Add(pause), now)
	}
}

// noteRejection counts a rejection of a request of any router. The caller holds r.mu.
func (r *Router) noteRejection(upstream string, b *brittleness, at, now time.Time) {
	b.rejections = append(inWindow(b.rejections, now), at)
	if at.After(b.lastRejection) {
		b.lastRejection = at
	}
	if float64(len(b.rejections)) >= max(1, knownRejectionPart*b.limit) {
		r.pauseBrittle(upstream, b, at.Add(rejectionWindow), now)
	}
}

// pauseBrittle ends the use of an upstream until a time, except for requests for which it is known to have room. The caller
// holds r.mu.
func (r *Router) pauseBrittle(upstream string, b *brittleness, until, now time.Time) {
	if !until.After(b.pausedUntil) {
		return
	}
	if !now.Before(b.pausedUntil) {
		r.notify(Change{Kind: ChangeRejectionBudgetUsed, Upstream: upstream, PerSecond: b.limit, Pause: until.Sub(now)})
	}
	b.pausedUntil = until
}

// inWindow removes the times that have left the window.
func inWindow(times []time.Time, now time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}

// slots returns the number of requests that the upstream runs at once, without a slow start.
func (s *upstreamState) slots() int {
	for _, n := range []int{s.report.Concurrency, s.upstream.Concurrency} {
		if n > 0 {
			return n
		}
	}
	return defaultConcurrency
}

// roomNow returns the number of requests that the upstream can run.
func (b *brittleness) roomNow(slots float64, now time.Time) float64 {
	room := slots
	if slots >= manySlots {
		room = max(slots*assumedRoom, float64(b.shown)+slots*roomStep)
	}
	if b.room > 0 {
		room = min(room, b.room+slots*now.Sub(b.roomAt).Seconds()/roomRecovery.Seconds())
	}
	return min(slots, room)
}

// noteRoom applies the load report of a brittle upstream. If requests wait although not all slots are in use, something
// else is, such as memory.
func (s *upstreamState) noteRoom(now time.Time) {
	b, slots := s.brittle, float64(s.slots())
	if s.report.Waiting == 0 && (s.report.Running >= b.shown || now.Sub(b.shownAt) > roomRecovery) {
		b.shown, b.shownAt = s.report.Running, now
		b.sentShown = min(b.sentShown, b.shown)
		if float64(b.shown) >= max(slots*(assumedRoom-roomStep), float64(b.sentShown)+slots*minRoomChange) {
			b.unsent = true
		}
	}
	if room := b.roomNow(slots, now); s.report.Waiting > 0 && float64(s.report.Running) < room-slots*minRoomChange {
		b.lowerRoom(float64(s.report.Running), now)
	}
}

// lowerRoom sets the number of requests that the upstream can run.
func (b *brittleness) lowerRoom(room float64, now time.Time) {
	b.room, b.roomAt, b.unsent = max(1, room), now, true
}

// shareBrittle sets the slots that this router owns of the brittle upstreams of a pool, and reports whether there are any.
// An upstream that has said nothing since another one of its pool became brittle counts as brittle. The caller
// holds r.mu.
func (r *Router) shareBrittle(all []*upstreamState, p Position, now time.Time) bool {
	if r.namedBrittle == 0 {
		return false
	}
	since, usable := time.Time{}, 0
	for _, s := range all {
		if b := s.brittle; b.named && (since.IsZero() || b.namedSince.Before(since)) {
			since = b.namedSince
		}
		usable += s.usableSlots()
	}
	if since.IsZero() {
		for _, s := range all {
			s.isBrittle = false
		}
		return false
	}
	routers := max(1, p.Routers)
	owner, missing := p.Index, max(0, routers-usable)
	if missing > 0 {
		owner += int(turnAt(now) % int64(routers))
	}
	first := 0
	for _, s := range all {
		s.isBrittle = s.brittle.named || s.brittle.observedAt.Before(since)
		n := s.room(now) + int(min(knownRejectionPart*s.brittle.limit, float64(missing)))
		// The slots of the pool are numbered, and owned by the routers in turn. If they are few, more requests may be in
		// flight than there are slots: each rejection makes a router pause, so that in a second there are at most as many
		// rejections as there are extra requests.
		s.ownSlots = (first+n+routers-1-owner%routers)/routers - (first+routers-1-owner%routers)/routers
		first += s.usableSlots()
	}
	return true
}

// turnAt returns the number of the turn at a time of day.
func turnAt(now time.Time) int64 { return now.UnixNano() / int64(slotTurn) }

func (s *upstreamState) usableSlots() int { return s.slots() - s.slots()/brittleReserve }

// room returns the number of requests that all routers together may have in flight at the upstream.
func (s *upstreamState) room(now time.Time) int {
	return min(s.usableSlots(), int(s.brittle.roomNow(float64(s.slots()), now)))
}

// brittleWait returns how long this router should wait until it sends a request to a brittle upstream, 0 if it may send it
// now. shareBrittle has been called. The caller holds r.mu.
func (r *Router) brittleWait(s *upstreamState, req *Request, p Position, now time.Time) time.Duration {
	b := s.brittle
	switch {
	case !s.isBrittle:
		return 0
	case !p.Known:
		return noUpstreamRetryAfter
	case (now.Before(b.pausedUntil) || r.wasRejected(req)) && !s.provenRoom(now):
		return max(b.pausedUntil.Sub(now), brittleRetryAfter)
	case s.outstanding < s.ownSlots, s.outstanding < s.ownSlots+s.spareSlots(p, now):
		return 0
	default:
		return brittleRetryAfter
	}
}

// wasRejected reports whether an earlier attempt of the request went to a brittle upstream. What one upstream has rejected
// must not make the next one fall over.
func (r *Router) wasRejected(req *Request) bool {
	return slices.ContainsFunc(req.Exclude, func(name string) bool {
		b := r.brittle[name]
		return b != nil && b.named
	})
}

// reportedFree returns the free slots according to a recent load report, corrected by this router's requests since then. It
// is negative without a recent report.
func (s *upstreamState) reportedFree(now time.Time) int {
	if s.measuredAt.IsZero() || now.Sub(s.measuredAt) > roomReportAge {
		return -1
	}
	return s.room(now) - s.report.Running - s.report.Waiting - max(0, s.netSinceReport)
}

// provenRoom reports whether a load report, newer than the last rejection, shows that most of its room is free.
func (s *upstreamState) provenRoom(now time.Time) bool {
	return s.measuredAt.After(s.brittle.lastRejection) && 2*s.reportedFree(now) > s.room(now)
}

// spareSlots returns how many slots of other routers this router may use at present. All routers together may use half of
// those that are free; if these are fewer than routers, the routers may use one in turn.
func (s *upstreamState) spareSlots(p Position, now time.Time) int {
	free := s.reportedFree(now)
	if free <= 0 || s.brittle.limit < 1 || now.Sub(s.brittle.lastRejection) < spareAfterRejection {
		return 0
	}
	routers := max(1, p.Routers)
	turn := (uint64(p.Index) + s.nameHash%uint64(routers) + uint64(turnAt(now))) % uint64(routers)
	return int(math.Floor((float64(free)/2 + float64(turn)) / float64(routers)))
}

// OwnCapacity returns the number of requests for a model or service that this router may run at once. It reports false
// if none of the upstreams is brittle.
func (r *Router) OwnCapacity(model, service string) (capacity int, brittle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.namedBrittle == 0 {
		return 0, false
	}
	now, p := r.cfg.Now(), r.cfg.Position()
	all := r.upstreamsFor(&Request{Model: model, Service: service})
	if !r.shareBrittle(all, p, now) {
		return 0, false
	}
	for _, s := range all {
		switch {
		case s.usable(now) && !s.ejected(now) && !s.limit.active() && s.isCold(now):
			rate, _ := r.coldPermits(s.upstream.ColdPerSecond)
			capacity += min(s.ownSlots, int(math.Ceil(rate/float64(max(1, p.Routers)))))
		case !s.available(now) || s.ejected(now):
		case s.isBrittle && now.Before(s.brittle.pausedUntil) && !s.provenRoom(now):
		case s.isBrittle:
			capacity += s.ownSlots + s.spareSlots(p, now)
		default:
			capacity += int(math.Ceil(s.concurrency(now)))
		}
	}
	return capacity, true
}

// BrittleReport is what a router knows of an upstream's rejection limit and has seen of its rejections, for the other
// routers.
type BrittleReport struct {
	Upstream string `json:"upstream"`
	// Named is false if the upstream names no limit any more.
	Named bool    `json:"named"`
	Limit float64 `json:"limit"`
	// Room is the number of requests that it could run RoomAgeMillis ago; 0 if that is not known.
	Room          float64 `json:"room,omitempty"`
	RoomAgeMillis int64   `json:"room_age_ms,omitempty"`
	// Shown is the number of requests that it has been seen to run while none waited.
	Shown int `json:"shown,omitempty"`
	// AgeMillis is the time since the statement, and RejectionAges the times since rejections of this router's requests
	// that no earlier report had.
	AgeMillis     int64   `json:"age_ms"`
	RejectionAges []int64 `json:"rejection_ages_ms,omitempty"`
}

// BrittleReports are the reports that a router sends at once.
type BrittleReports []BrittleReport

// Empty reports whether there is nothing to send.
func (b BrittleReports) Empty() bool { return len(b) == 0 }

// TakeBrittleReports returns what this router has learned itself since the last call.
func (r *Router) TakeBrittleReports() (out BrittleReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for name, b := range r.brittle {
		if !b.unsent && len(b.unsentRejections) == 0 {
			continue
		}
		report := b.report(name, now)
		for _, at := range b.unsentRejections {
			report.RejectionAges = append(report.RejectionAges, now.Sub(at).Milliseconds())
		}
		b.unsent, b.unsentRejections = false, nil
		out = append(out, report)
	}
	return out
}

// ExportBrittle returns all limits in force.
func (r *Router) ExportBrittle() (out BrittleReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for name, b := range r.brittle {
		if b.named {
			out = append(out, b.report(name, now))
		}
	}
	return out
}

func (b *brittleness) report(name string, now time.Time) BrittleReport {
	b.sentShown = b.shown
	report := BrittleReport{Upstream: name, Named: b.named, Limit: b.limit, Shown: b.shown, AgeMillis: now.Sub(b.observedAt).Milliseconds()}
	if b.room > 0 {
		report.Room, report.RoomAgeMillis = b.room, now.Sub(b.roomAt).Milliseconds()
	}
	return report
}

// MergeBrittle applies the reports of another router. If this router has a newer statement, it is sent to the others
// again.
func (r *Router) MergeBrittle(reports BrittleReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, report := range reports {
		if !(report.Limit >= 0 && report.Limit <= MaxRejectionLimit) {
			continue
		}
		r.setBrittle(report.Upstream, report.Named, report.Limit, now.Add(-time.Duration(report.AgeMillis)*time.Millisecond), true)
		b := r.brittleOf(report.Upstream)
		if b.named != report.Named {
			b.unsent = true
		}
		if !b.named {
			continue
		}
		if at := now.Add(-time.Duration(report.RoomAgeMillis) * time.Millisecond); report.Room >= 1 && at.After(b.roomAt) {
			b.room, b.roomAt = report.Room, at
		}
		if report.Shown > b.shown {
			b.shown, b.sentShown, b.shownAt = report.Shown, report.Shown, now
		}
		for _, age := range report.RejectionAges[:min(len(report.RejectionAges), maxReportedRejections)] {
			if at := now.Add(-time.Duration(age) * time.Millisecond); now.Sub(at) < rejectionWindow {
				r.noteRejection(report.Upstream, b, at, now)
			}
		}
	}
	r.pruneBrittle(now)
}
