package daemon

import (
	"maps"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// retiredRetention is how long a retired upstream is remembered. It exceeds the age of the copies that the log is
// restored from.
const retiredRetention = 10 * time.Minute

// retiredUpstreams holds the upstream processes that were seen to drain or to leave, by name. When the log is restored
// from an older copy, it may list them as healthy again.
type retiredUpstreams map[string]retiredUpstream

type retiredUpstream struct {
	// era is that of the log when the upstream was seen to retire, and revision that of its last record.
	era, revision uint64
	// gone is true if the record was removed, and false if the upstream is draining.
	gone bool
	at   time.Time
}

// apply changes a record of an earlier state that a restored log lists: a retired upstream stays retired. A record with a
// higher revision was written since, so that it counts.
func (r retiredUpstreams) apply(d *decodedUpstream) {
	known, ok := r[d.upstream.Name]
	if !ok || !d.valid || keyedlog.Era(d.offset) <= known.era || d.revision > known.revision {
		return
	}
	if known.gone {
		d.valid = false
	}
	d.upstream.Draining = true
}

// note remembers the upstreams that are draining in the next records, which are of the given era of the log, or missing
// from them.
func (r *retiredUpstreams) note(previous, next map[string]decodedUpstream, era uint64, now time.Time) {
	if *r == nil {
		*r = make(retiredUpstreams)
	}
	listed := make(map[string]bool, len(next))
	for _, d := range next {
		if !d.valid {
			continue
		}
		listed[d.upstream.Name] = true
		known, ok := (*r)[d.upstream.Name]
		switch {
		case d.upstream.Draining && (!ok || known.revision < d.revision):
			(*r)[d.upstream.Name] = retiredUpstream{keyedlog.Era(d.offset), d.revision, false, now}
		case !d.upstream.Draining:
			delete(*r, d.upstream.Name)
		}
	}
	for _, d := range previous {
		if d.valid && !listed[d.upstream.Name] {
			(*r)[d.upstream.Name] = retiredUpstream{era, d.revision, true, now}
		}
	}
	maps.DeleteFunc(*r, func(_ string, u retiredUpstream) bool { return now.Sub(u.at) > retiredRetention })
}
