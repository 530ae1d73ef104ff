// Package streamorigin remembers which software version began each stream, so that a stream goes on only at upstreams of
// that version. What two versions write does not fit together, and upstreams do not check it.
//
// Each router keeps the streams that it began in memory. While a service has upstreams of several versions, the router also
// writes them to a keyed stream of the log, as one record per VM, so that other routers and later processes can find
// them. While a service has had one version only, the record says just that.
package streamorigin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// ErrUnknown reports a stream that may have been begun by any of several versions.
var ErrUnknown = errors.New("the software version that began the stream is not known")

const (
	// retention is how long a stream is remembered after its last answer, and how long a version counts after its last
	// upstream was seen. It exceeds the time for which callers try to go on with a stream.
	retention = 40 * time.Second
	// unrecordedRetention is how long a version counts at which more streams began than are remembered. Their answers may
	// still go on.
	unrecordedRetention = 2 * retention
	// announceTimeout is how long a service waits for the log before a version that the log does not name is used, if it
	// has no other.
	announceTimeout = time.Second
	// logAwayAfter is how long ago the log last confirmed the upstreams when take-ups no longer wait for it. It exceeds the
	// time between two reads of the upstreams.
	logAwayAfter = time.Second
	// maxStreams bounds the streams that are remembered.
	maxStreams = 50_000
)

// Config configures a Registry.
type Config struct {
	Log keyedlog.Log
	// Stream holds one record per VM.
	Stream keyedlog.Stream
	// VM is the name of this VM. At most one process of a VM runs at a time.
	VM string
	// Routers returns the number of live routers.
	Routers func() int
	// Listed returns the time for which SetListed was told of all upstreams in the log.
	Listed func() (since, asOf time.Time)
	// QueryPeers asks other routers for the origin of a stream by its hash, see Known, and returns the answers of those that
	// know it. It may be nil.
	QueryPeers func(ctx context.Context, hash uint64) []Origin
	// OnAnnounced is called when the result of MayBegin has changed for a version.
	OnAnnounced func()
	Now         func() time.Time
	Logger      logrus.FieldLogger
}

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string
}

// streamHash identifies a stream by the ID of the attempt that brought its first event.
type streamHash uint64

func hashOf(attemptID string) streamHash { return streamHash(xxhash.Sum64String(attemptID)) }

// stream is a stream that this router, or an earlier process of its VM, began.
type stream struct {
	Origin
	// answers counts the answers in progress.
	answers int
	endedAt time.Time
	// written is true once the record in the log has the stream.
	written bool
}

// sighting is when upstreams of a version were seen.
type sighting struct {
	first, last time.Time
	// announced is true once the record in the log names the version, or it is used without that.
	announced bool
}

// Registry knows the origins of streams. It is safe for concurrent use.
type Registry struct {
	cfg Config

	// writers is the number of VMs that had a record in the last listing.
	writers atomic.Int64
	// stepping holds one element while a step is in progress.
	stepping chan struct{}

	mu      sync.Mutex
	streams map[streamHash]*stream
	// seen holds, by service, the versions that upstreams have had in the retention time.
	seen map[string]map[string]*sighting
	// unrecorded holds the versions at which this process or earlier ones of the VM may have begun streams that are not
	// known, and until when they count.
	unrecorded map[Origin]time.Time
	// listed holds the versions that upstreams have at present.
	listed map[Origin]struct{}
	writer writerState
	// fetches shares the listings of the log among the requests that wait for one.
	fetches fetchState
	// wake asks Run for a write soon.
	wake chan struct{}
}

// New returns a Registry that has not started. The time of day is the first epoch, so that it follows those of earlier
// processes.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, stepping: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		streams: make(map[streamHash]*stream), seen: make(map[string]map[string]*sighting),
		unrecorded: make(map[Origin]time.Time), listed: make(map[Origin]struct{}),
		writer: writerState{producer: keyedlog.Producer{ID: cfg.VM, Epoch: uint64(cfg.Now().UnixMicro())}},
	}
}

// SetListed replaces the services and versions that upstreams have at present.
func (r *Registry) SetListed(listed map[Origin]struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for o := range r.listed {
		r.noteSeen(o, now)
	}
	r.listed = listed
	for o := range listed {
		if r.noteSeen(o, now) {
			r.wakeWriter()
		}
	}
}

// noteSeen records that an upstream of a version took or may have taken streams at a time, and reports whether the version
// is new.
func (r *Registry) noteSeen(o Origin, at time.Time) (added bool) {
	versions := r.seen[o.Service]
	if versions == nil {
		versions = make(map[string]*sighting)
		r.seen[o.Service] = versions
	}
	s := versions[o.Version]
	if s == nil {
		versions[o.Version] = &sighting{first: at, last: at}
		return true
	}
	if at.After(s.last) {
		s.last = at
	}
	return false
}

// MayBegin reports whether new streams may begin at a version. The log must name it first: else nobody would know of it if
// this router ended, and its streams could be taken for those of another version. While the log does not respond, a service
// that has no other version gets one after announceTimeout.
func (r *Registry) MayBegin(o Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seen[o.Service][o.Version]
	return s == nil || s.announced
}

// announce marks the versions that the log names, and reports whether there are any. While the log does not respond, a service
// whose listed versions are all unannounced gets the one that has waited longest: what a router began at two versions that
// the log does not name could be taken for either.
func (r *Registry) announce(written bool, now time.Time) (changed bool) {
	for service, versions := range r.seen {
		var waiting *sighting
		usable := false
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			s := versions[version]
			if !s.announced && written && !s.first.After(r.writer.builtAt) {
				s.announced = true
				changed = true
			}
			if _, ok := r.listed[Origin{Service: service, Version: version}]; !ok {
				continue
			}
			usable = usable || s.announced
			if waiting == nil || s.first.Before(waiting.first) {
				waiting = s
			}
		}
		if !usable && waiting != nil && now.Sub(waiting.first) >= announceTimeout {
			waiting.announced = true
			changed = true
		}
	}
	return changed
}

// Begin records that an answer of the given origin brings events of the stream, whose first event the attempt brought. The
// caller calls End when the answer has ended.
func (r *Registry) Begin(attemptID string, o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteSeen(o, r.cfg.Now())
	h := hashOf(attemptID)
	s := r.streams[h]
	if s == nil {
		if len(r.streams) >= maxStreams {
			obs.StreamOriginsDroppedTotal.Add(1)
			r.unrecorded[o] = r.cfg.Now().Add(unrecordedRetention)
			return
		}
		s = &stream{Origin: o}
		r.streams[h] = s
	}
	if s.Service != o.Service {
		// The route has moved.
		s.Origin, s.written = o, false
	}
	s.answers++
}

// End records the end of an answer. If the stream was broken off, it may be continued at another router at once.
func (r *Registry) End(attemptID string, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.streams[hashOf(attemptID)]
	if s == nil {
		return
	}
	s.answers--
	s.endedAt = r.cfg.Now()
	if broken && !s.written && len(r.seen[s.Service]) > 1 {
		r.wakeWriter()
	}
}

// wakeWriter asks for a write before its interval has passed.
func (r *Registry) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// expire forgets streams and versions whose retention has passed. A version is kept as long as a stream that it began.
func (r *Registry) expire(now time.Time) {
	for h, s := range r.streams {
		switch {
		case s.answers > 0:
			r.noteSeen(s.Origin, now)
		case now.Sub(s.endedAt) > retention:
			delete(r.streams, h)
		default:
			r.noteSeen(s.Origin, s.endedAt)
		}
	}
	for o := range r.listed {
		r.noteSeen(o, now)
	}
	for o, until := range r.unrecorded {
		if now.After(until) {
			delete(r.unrecorded, o)
		}
	}
	for service, versions := range r.seen {
		for version, s := range versions {
			if now.Sub(s.last) > retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(r.seen, service)
		}
	}
}

// local returns what this router itself knows of a stream.
func (r *Registry) local(h streamHash) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.streams[h]; s != nil {
		return s.Origin, true
	}
	return Origin{}, false
}

// Run keeps the record in the log up to date until the context ends.
func (r *Registry) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	loops.Go(func() { r.runWrites(ctx) })
	loops.Go(func() { r.runAnnounceTimeouts(ctx) })
}

// runAnnounceTimeouts announces versions that have waited for the log long enough, also during calls that it does not answer.
func (r *Registry) runAnnounceTimeouts(ctx context.Context) {
	ticker := time.NewTicker(announceTimeout / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.noteAnnounced(false)
		}
	}
}

func (r *Registry) runWrites(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.writeInterval()
		if err := r.step(ctx); err != nil {
			pause = writeRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			// Wake-ups that come together share a write.
			pause = minWriteInterval
		case <-time.After(pause):
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}
