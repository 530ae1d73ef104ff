package streamorigin

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

const (
	// baseFetchInterval is the time between two starts of listings in a small fleet, and fetchIntervalPerRouter bounds
	// those of a large one: after all routers have ended, all of them list at once.
	baseFetchInterval      = 60 * time.Millisecond
	fetchIntervalPerRouter = 3 * time.Millisecond
	fetchTimeout           = 1500 * time.Millisecond
	// peerTimeout limits the question to the other routers.
	peerTimeout = 300 * time.Millisecond
	// minResolveWait is how long a request waits for routers to write a stream, or to show that they have not begun it. In
	// a large fleet it is the time of resolveWrites writes.
	minResolveWait = time.Second
	resolveWrites  = 3
	// maxListRetries limits how often a request lists again after a failure, and listRetryDelay is the time before.
	maxListRetries = 3
	listRetryDelay = 250 * time.Millisecond
)

// listing is what all VMs wrote.
type listing struct {
	records map[string]record
}

// fetchState is the listing in progress and the last one. Registry.mu guards it.
type fetchState struct {
	current *fetch
	last    *fetch
}

type fetch struct {
	startedAt time.Time
	done      chan struct{}
	listing   listing
	err       error
}

// Source is what told the origin of a stream.
type Source string

// The sources of an origin.
const (
	// SourceMemory is this router's own memory.
	SourceMemory Source = "memory"
	// SourceLog is the record of another router, or of an earlier process of this VM.
	SourceLog Source = "log"
	// SourcePeer is the memory of another router, which is asked if the log does not respond.
	SourcePeer Source = "peer"
	// SourceOnlyVersion is that the service had no other version.
	SourceOnlyVersion Source = "only version"
)

// Resolve returns where a stream began that a caller takes up again, and what tells it. attemptID is the ID of the attempt that
// brought the first event, or empty if the caller does not say. service is the one that the request goes to, unless the stream
// began at another one of its targets. A stream whose route has moved may have an origin in a service that is no target; if a
// target has run the rest of it since, that is its origin. Resolve returns ErrUnknown if several versions may have begun the
// stream.
func (r *Registry) Resolve(ctx context.Context, attemptID, service string, isTarget func(service string) bool) (Origin, Source, error) {
	obs.StreamTakeUpsTotal.Add(1)
	h := hashOf(attemptID)
	named := attemptID != ""
	local, known := r.local(h)
	if named && known && isTarget(local.Service) {
		return local, SourceMemory, nil
	}
	arrived := r.cfg.Now()
	deadline := arrived.Add(max(minResolveWait, resolveWrites*r.writeInterval()))
	first := make(map[string]record)
	for retries := 0; ; {
		l, err := r.listSince(ctx, r.cfg.Now())
		if named {
			if o, source, ok := r.findElsewhere(ctx, h, l, err, isTarget); ok {
				return o, source, nil
			}
			if known {
				return local, SourceMemory, nil
			}
		}
		if err != nil {
			versions, current := r.versionsWithoutLog(service, arrived)
			if !current && r.logResponds() && retries < maxListRetries && sleep(ctx, listRetryDelay) == nil {
				retries++
				continue
			}
			return r.onlyVersion(versions, service, err)
		}
		versions := r.candidates(service, l, first)
		if len(versions) <= 1 || !named || !r.cfg.Now().Before(deadline) {
			return r.onlyVersion(versions, service, nil)
		}
	}
}

// findElsewhere finds the origin of a stream in the listing or, if that has failed, at the other routers.
func (r *Registry) findElsewhere(
	ctx context.Context, h streamHash, l listing, listErr error, isTarget func(service string) bool,
) (Origin, Source, bool) {
	if listErr != nil {
		o, ok := r.askPeers(ctx, h, isTarget)
		return o, SourcePeer, ok
	}
	o, ok := l.find(h, isTarget)
	return o, SourceLog, ok
}

// Known returns what this router itself knows of the stream with a given hash. Other routers ask for it.
func (r *Registry) Known(hash uint64) (Origin, bool) { return r.local(streamHash(hash)) }

// askPeers asks the other routers for the origin of a stream, and prefers one at a target.
func (r *Registry) askPeers(ctx context.Context, h streamHash, isTarget func(service string) bool) (found Origin, ok bool) {
	if r.cfg.QueryPeers == nil {
		return Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, o := range r.cfg.QueryPeers(ctx, uint64(h)) {
		if isTarget(o.Service) {
			return o, true
		}
		found, ok = o, true
	}
	return found, ok
}

// versionsWithoutLog returns the versions that this router has seen, if these are all that may have begun a stream that was taken
// up at the given time. The list of upstreams must have been read since: the versions of the upstreams that joined before may
// have begun it, at routers that learned of them earlier. It must also have been read all through the retention time, because
// a version may have come and gone.
func (r *Registry) versionsWithoutLog(service string, takenUpAt time.Time) (versions []string, current bool) {
	since, asOf := r.cfg.Listed()
	if takenUpAt.Sub(since) <= retention || asOf.Before(takenUpAt) {
		return nil, false
	}
	return r.seenVersions(service), true
}

// logResponds reports whether the log has responded to this router of late.
func (r *Registry) logResponds() bool {
	_, asOf := r.cfg.Listed()
	return r.cfg.Now().Sub(asOf) <= logAwayAfter
}

// onlyVersion returns the origin of a stream of which nothing is known but the versions that may have begun it.
func (r *Registry) onlyVersion(versions []string, service string, cause error) (Origin, Source, error) {
	if len(versions) == 1 {
		return Origin{Service: service, Version: versions[0]}, SourceOnlyVersion, nil
	}
	obs.StreamOriginsUnknownTotal.Add(1)
	return Origin{}, "", errors.CombineErrors(errors.Wrapf(ErrUnknown, "one of %q", versions), cause)
}

// writers returns the number of VMs with a record that counts.
func (l listing) writers(now time.Time) (n int64) {
	for _, rec := range l.records {
		if !rec.outdated(now) {
			n++
		}
	}
	return n
}

// named adds the versions of a service that records name.
func (l listing) named(service string, now time.Time, versions map[string]struct{}) {
	for _, rec := range l.records {
		if !rec.outdated(now) {
			rec.unlisted(service, false, versions)
		}
	}
}

// find returns an origin of a stream in the records, one at a target if there is any.
func (l listing) find(h streamHash, isTarget func(service string) bool) (found Origin, ok bool) {
	for _, rec := range l.records {
		for _, o := range rec.find(h) {
			if isTarget(o.Service) {
				return o, true
			}
			found, ok = o, true
		}
	}
	return found, ok
}

// candidates returns the versions that may have begun a stream that no record has. A process that is alive has all of its
// streams in its second record of an epoch after the one in first, which candidates fills in: the one between was acknowledged,
// and the second one built, after the request had arrived. Of a process that has ended, or is not known to be alive, all
// versions count.
func (r *Registry) candidates(service string, l listing, first map[string]record) []string {
	versions := make(map[string]struct{})
	r.mu.Lock()
	now := r.cfg.Now()
	inherited := r.writer.inherited
	for o := range r.unrecorded {
		if o.Service == service {
			versions[o.Version] = struct{}{}
		}
	}
	r.mu.Unlock()
	era, restored := r.cfg.Log.CurrentEra(), false
	for vm, rec := range l.records {
		// The streams of this process are known, and what an earlier one of the VM wrote is inherited.
		if rec.outdated(now) || vm == r.cfg.VM && inherited {
			continue
		}
		before, ok := first[vm]
		if !ok || before.Epoch != rec.Epoch {
			before = rec
			first[vm] = rec
		}
		rec.unlisted(service, rec.Sequence >= before.Sequence+2, versions)
		restored = restored || rec.Era != era
	}
	if restored {
		// The lost records may have named any version.
		for _, version := range r.seenVersions(service) {
			versions[version] = struct{}{}
		}
	}
	if len(versions) == 0 {
		// Nobody who may have begun the stream has a record, so that its version is one in service. This router may not have
		// learned of all of them.
		for _, version := range r.seenVersions(service) {
			versions[version] = struct{}{}
		}
		l.named(service, now, versions)
	}
	return slices.Sorted(maps.Keys(versions))
}

// seenVersions returns the versions that this router has seen in the retention time.
func (r *Registry) seenVersions(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.cfg.Now())
	return slices.Sorted(maps.Keys(r.seen[service]))
}

// listSince returns a listing that was started at or after the given time.
func (r *Registry) listSince(ctx context.Context, at time.Time) (listing, error) {
	for {
		f := r.startFetch(ctx, at)
		if f == nil {
			if err := sleep(ctx, r.fetchInterval()/4); err != nil {
				return listing{}, err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return listing{}, errors.Wrap(context.Cause(ctx), "list stream origins")
		case <-f.done:
		}
		if !f.startedAt.Before(at) {
			return f.listing, f.err
		}
	}
}

func (r *Registry) fetchInterval() time.Duration {
	return max(baseFetchInterval, time.Duration(r.routers())*fetchIntervalPerRouter)
}

// startFetch returns the fetch to wait for, or nil if the next one may not start yet. The fetch continues if the request that
// started it ends.
func (r *Registry) startFetch(ctx context.Context, at time.Time) *fetch {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	switch last := r.fetches.last; {
	case r.fetches.current != nil:
		return r.fetches.current
	case last != nil && !last.startedAt.Before(at):
		return last
	case last != nil && now.Sub(last.startedAt) < r.fetchInterval():
		return nil
	}
	f := &fetch{startedAt: now, done: make(chan struct{})}
	r.fetches.current, r.fetches.last = f, f
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		defer cancel()
		f.listing, f.err = r.list(ctx)
		r.mu.Lock()
		r.fetches.current = nil
		r.mu.Unlock()
		close(f.done)
	}()
	return f
}

// list reads the records of all VMs.
func (r *Registry) list(ctx context.Context) (listing, error) {
	obs.StreamOriginListingsTotal.Add(1)
	page, err := r.cfg.Log.Newest(ctx, r.cfg.Stream)
	if err != nil {
		return listing{}, errors.Wrap(err, "list stream origins")
	}
	l := listing{records: make(map[string]record, len(page.Records))}
	for _, p := range page.Records {
		rec, err := decodeRecord(p.Value)
		if err != nil {
			obs.EventRecordMalformed.Log(r.cfg.Logger, logrus.Fields{
				"stream": r.cfg.Stream.Name, "key": p.Key, "offset": p.Offset, "error": err.Error(),
			})
			continue
		}
		l.records[p.Key] = rec
	}
	r.writers.Store(l.writers(r.cfg.Now()))
	return l, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(context.Cause(ctx))
	case <-timer.C:
		return nil
	}
}
