package streamorigin

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// fate is what becomes of an append.
type fate int

const (
	fateDone fate = iota
	// fateRefused is an append that the log refuses.
	fateRefused
	// fateUnanswered is an append that is executed and whose response is lost.
	fateUnanswered
	// fateLate is an append without a response that is executed when the test calls one of the functions in late.
	fateLate
)

// faultyLog loses and delays appends.
type faultyLog struct {
	*keyedlog.Memory
	// draw returns the fate of an append. It may be nil; then that is next.
	draw func() fate
	next fate
	late []func()
}

func newFaultyLog() *faultyLog { return &faultyLog{Memory: keyedlog.NewMemory()} }

func (l *faultyLog) Append(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, at uint64) (end uint64, err error) {
	return l.play(func() (uint64, error) { return l.Memory.Append(ctx, s, records, at) })
}

func (l *faultyLog) AppendAs(
	ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, p keyedlog.Producer,
) (end uint64, err error) {
	return l.play(func() (uint64, error) { return l.Memory.AppendAs(ctx, s, records, p) })
}

func (l *faultyLog) play(do func() (uint64, error)) (end uint64, err error) {
	if l.draw != nil {
		l.next = l.draw()
	}
	switch l.next {
	case fateRefused:
		return 0, keyedlog.ErrUnavailable
	case fateUnanswered:
		_, _ = do()
		return 0, keyedlog.ErrOutcomeUnknown
	case fateLate:
		l.late = append(l.late, func() { _, _ = do() })
		return 0, keyedlog.ErrOutcomeUnknown
	default:
		return do()
	}
}

// originModel plays a fleet with injected clocks: upstreams of versions come and go, routers learn of them late, begin streams,
// write, lose writes and end without a word. It keeps the true origin of each stream.
type originModel struct {
	log     *faultyLog
	now     time.Time
	routers []*modelRouter
	vms     int
	listed  map[Origin]struct{}
	// joinedAt is when the versions last came into service, and leftAt when those that are not listed left it.
	joinedAt, leftAt map[Origin]time.Time
	streams          []*modelStream
}

// modelRouter is a process with the clock of its VM.
type modelRouter struct {
	*Registry
	vm     string
	offset time.Duration
	// listedAt is when the router last read the list of upstreams, and listedSince since when it has done so without a gap.
	listedSince, listedAt time.Time
	// announced are the versions that the record in the log has named, as the log has acknowledged.
	announced map[Origin]bool
}

type modelStream struct {
	id     string
	origin Origin
	router *modelRouter
	// endedAt is when the answer ended, or zero.
	endedAt time.Time
	// beganAt is when the stream began, and left how long its version had been out of service then.
	beganAt time.Time
	left    time.Duration
}

// modelPatience is how long clients of the model try to go on with a stream.
const modelPatience = 15 * time.Second

const (
	// modelLinger is how long upstreams that have left serve routers that have not learned of it, and modelStreamTimeout the time
	// limit of a stream. A router without the log relies on both: it forgets a version retention after it has left.
	modelLinger        = 5 * time.Second
	modelStreamTimeout = 15 * time.Second
	// modelMinService is the least time for which a version is listed that may have begun a stream. A router without the log does
	// not notice one that comes and goes between two reads.
	modelMinService = 1500 * time.Millisecond
)

func (m *originModel) start(i int, vm string, offset time.Duration) {
	if old := m.routers[i]; old != nil {
		for _, s := range m.streams {
			if s.router == old && s.endedAt.IsZero() {
				s.endedAt = m.now
			}
		}
	}
	m.now = m.now.Add(time.Millisecond)
	r := &modelRouter{vm: vm, offset: offset, announced: make(map[Origin]bool)}
	r.Registry = newTestRegistry(m.log, vm, func() time.Time { return m.now.Add(offset) })
	r.cfg.Listed = func() (since, asOf time.Time) { return r.listedSince.Add(offset), r.listedAt.Add(offset) }
	m.learn(r)
	m.routers[i] = r
}

// learn tells a router of the upstreams. Whatever happens next, happens later.
func (m *originModel) learn(r *modelRouter) {
	r.SetListed(m.listed)
	if m.now.Sub(r.listedAt) > modelMinService {
		r.listedSince = m.now
	}
	r.listedAt = m.now
	m.now = m.now.Add(time.Millisecond)
}

func (m *originModel) write(r *modelRouter) {
	if r.step(context.Background()) != nil {
		return
	}
	for o := range r.listed {
		if s := r.seen[o.Service][o.Version]; s.announced && !s.first.After(r.writer.builtAt) {
			r.announced[o] = true
		}
	}
}

// takeUp takes a stream up at a router, which lists several times. Between the listings others go on.
func (m *originModel) takeUp(rt *rapid.T, s *modelStream, r *modelRouter, between func()) {
	first := make(map[string]record)
	takenUpAt := r.cfg.Now()
	for range rapid.IntRange(1, 4).Draw(rt, "listings") {
		var o Origin
		var ok bool
		_, listed := m.listed[s.origin]
		withinLimits := (listed || m.leftAt[s.origin].Sub(m.joinedAt[s.origin]) > modelMinService) && s.left <= modelLinger && m.now.Sub(s.beganAt) <= modelStreamTimeout+modelPatience
		if withinLimits && rapid.IntRange(0, 3).Draw(rt, "listing fails") == 0 {
			o, ok = r.resolveWithoutLog(s.id, s.origin.Service, takenUpAt)
		} else {
			o, ok = r.resolveNow(s.id, s.origin.Service, first)
		}
		if ok {
			if o != s.origin {
				rt.Fatalf("stream %s began at %v and goes on at %v", s.id, s.origin, o)
			}
			return
		}
		between()
	}
}

// TestStreamsAreNeverJoined guards against a wrong origin, with random orders of events. A stream may be unknown, but never
// go on at another version.
func TestStreamsAreNeverJoined(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &originModel{log: newFaultyLog(), now: time.Unix(1_000_000, 0), listed: listed(v1),
			joinedAt: make(map[Origin]time.Time), leftAt: make(map[Origin]time.Time), routers: make([]*modelRouter, 3)}
		healthy := false
		m.log.draw = func() fate {
			if healthy {
				return fateDone
			}
			return rapid.SampledFrom([]fate{fateDone, fateDone, fateDone, fateRefused, fateUnanswered, fateLate}).Draw(rt, "fate")
		}
		for i := range m.routers {
			m.vms++
			m.start(i, fmt.Sprint("vm-", m.vms), 0)
		}
		versions := []Origin{v1, v2, {Service: service, Version: "v3"}, {Service: "counter", Version: "v1"}, {Service: "counter", Version: "v2"}}
		anyIndex := rapid.IntRange(0, len(m.routers)-1)
		anyRouter := func(rt *rapid.T) *modelRouter { return m.routers[anyIndex.Draw(rt, "router")] }
		execute := func(rt *rapid.T) {
			if n := len(m.log.late); n > 0 {
				i := rapid.IntRange(0, n-1).Draw(rt, "late append")
				do := m.log.late[i]
				m.log.late = slices.Delete(m.log.late, i, i+1)
				do()
			}
		}
		offsets := rapid.SampledFrom([]time.Duration{0, -20 * time.Second, 20 * time.Second})
		begin := func(rt *rapid.T, r *modelRouter) {
			for _, o := range versions {
				if _, ok := r.listed[o]; !ok || !r.MayBegin(o) || !r.announced[o] || rapid.Bool().Draw(rt, "other version") {
					continue
				}
				s := &modelStream{id: fmt.Sprint("s", len(m.streams)), origin: o, router: r, beganAt: m.now}
				if _, ok := m.listed[o]; !ok {
					s.left = m.now.Sub(m.leftAt[o])
				}
				r.Begin(s.id, o)
				m.streams = append(m.streams, s)
				if rapid.Bool().Draw(rt, "ended") {
					r.End(s.id, true)
					s.endedAt = m.now
				}
				return
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"release": func(rt *rapid.T) {
				before := m.listed
				for o := range before {
					m.leftAt[o] = m.now
				}
				m.listed = make(map[Origin]struct{})
				for _, o := range rapid.SliceOfNDistinct(rapid.SampledFrom(versions), 1, len(versions), rapid.ID).Draw(rt, "versions") {
					m.listed[o] = struct{}{}
					if _, ok := before[o]; !ok {
						m.joinedAt[o] = m.now
					}
				}
			},
			"learn":   func(rt *rapid.T) { m.learn(anyRouter(rt)) },
			"begin":   func(rt *rapid.T) { begin(rt, anyRouter(rt)) },
			"write":   func(rt *rapid.T) { m.write(anyRouter(rt)) },
			"inherit": func(rt *rapid.T) { _ = anyRouter(rt).inherit(context.Background()) },
			"kill": func(rt *rapid.T) {
				i := anyIndex.Draw(rt, "router")
				m.start(i, m.routers[i].vm, m.routers[i].offset)
			},
			"kill all": func(*rapid.T) {
				for i, r := range m.routers {
					m.start(i, r.vm, r.offset)
				}
			},
			"replace": func(rt *rapid.T) {
				m.vms++
				m.start(anyIndex.Draw(rt, "router"), fmt.Sprint("vm-", m.vms), offsets.Draw(rt, "offset"))
			},
			"late append": execute,
			"time":        func(*rapid.T) { m.now = m.now.Add(300 * time.Millisecond) },
			"long time": func(*rapid.T) {
				healthy = true
				defer func() { healthy = false }()
				m.now = m.now.Add(20 * time.Second)
				m.log.late = nil
				for _, r := range m.routers {
					m.write(r)
				}
			},
			"take up": func(rt *rapid.T) {
				var waiting []*modelStream
				for _, s := range m.streams {
					if s.endedAt.IsZero() || m.now.Sub(s.endedAt) <= modelPatience {
						waiting = append(waiting, s)
					}
				}
				if len(waiting) == 0 {
					return
				}
				s := rapid.SampledFrom(waiting).Draw(rt, "stream")
				taking := anyRouter(rt)
				m.takeUp(rt, s, taking, func() {
					if rapid.Bool().Draw(rt, "learns") {
						m.learn(taking)
					}
					for _, other := range m.routers {
						for rapid.Bool().Draw(rt, "writes") {
							m.write(other)
						}
					}
					if rapid.Bool().Draw(rt, "late") {
						execute(rt)
					}
				})
			},
		})
	})
}

// resolveNow is Resolve without its wait, which needs a clock that runs.
func (r *Registry) resolveNow(id, service string, first map[string]record) (Origin, bool) {
	if o, ok := r.local(hashOf(id)); ok {
		return o, true
	}
	l, err := r.list(context.Background())
	if err != nil {
		return Origin{}, false
	}
	if o, ok := l.find(hashOf(id), func(name string) bool { return name == service }); ok {
		return o, true
	}
	if versions := r.candidates(service, l, first); len(versions) == 1 {
		return Origin{Service: service, Version: versions[0]}, true
	}
	return Origin{}, false
}

// resolveWithoutLog is Resolve when a listing fails and no other router answers.
func (r *Registry) resolveWithoutLog(id, service string, takenUpAt time.Time) (Origin, bool) {
	if o, ok := r.local(hashOf(id)); ok {
		return o, true
	}
	versions, _ := r.versionsWithoutLog(service, takenUpAt)
	if len(versions) != 1 {
		return Origin{}, false
	}
	return Origin{Service: service, Version: versions[0]}, true
}
