package daemon

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/coordination/streamorigin"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// decodedRecords caches decoded records with their offsets, so that only changed records are decoded.
type decodedRecords struct {
	configOffset uint64
	config       *catalogue.Snapshot
	// malformedConfig is one more than the offset of the last malformed configuration, and 0 without one.
	malformedConfig uint64
	upstreams       map[string]decodedUpstream
	retired         retiredUpstreams
	// evacuated holds the zones that records in the stream of the configuration evacuate. It is replaced as a whole.
	evacuated map[string]struct{}
}

type decodedUpstream struct {
	offset   uint64
	upstream catalogue.Upstream
	// revision is that of the record, see GatewayDeps.DecodeUpstream.
	revision uint64
	valid    bool
}

// rebuild derives a new snapshot from the replicas, if they have changed, and replaces the active one as a
// whole.
func (g *Gateway) rebuild() {
	g.rebuildMu.Lock()
	defer g.rebuildMu.Unlock()
	changed := g.decodeConfig()
	changed = g.decodeEvacuations() || changed
	changed = g.decodeUpstreams() || changed
	changed = g.versionsAnnounced.Swap(false) || changed
	if g.decoded.config == nil || !changed {
		return
	}
	upstreams := make([]catalogue.Upstream, 0, len(g.decoded.upstreams))
	for _, d := range g.decoded.upstreams {
		if d.valid {
			upstreams = append(upstreams, g.withServiceSettings(d.upstream))
		}
	}
	upstreams, complete := g.withoutUnannounced(upstreams)
	snapshot := g.decoded.config.WithUpstreams(upstreams).WithEvacuated(g.decoded.evacuated)
	g.snapshot.Store(snapshot)
	g.routing.Update(snapshot)
	if len(upstreams) > 0 && complete && !g.ready.Swap(true) {
		obs.EventReady.Log(g.logger, logrus.Fields{"config_version": snapshot.Version, "upstreams": len(upstreams)})
	}
}

// withoutUnannounced returns the upstreams without those of versions that must not begin streams yet. complete is false if a
// service has no other upstreams.
func (g *Gateway) withoutUnannounced(upstreams []catalogue.Upstream) (usable []catalogue.Upstream, complete bool) {
	g.origins.SetListed(listedVersions(upstreams))
	resumable := g.decoded.config.ResumableServices()
	listed, served := make(map[string]struct{}), make(map[string]struct{})
	for _, u := range upstreams {
		listed[u.Service] = struct{}{}
		if !resumable[u.Service] || g.origins.MayBegin(originOf(u)) {
			served[u.Service] = struct{}{}
			usable = append(usable, u)
		}
	}
	return usable, len(served) == len(listed)
}

// upstreamsBetween returns the time for which all upstreams in the log are in the snapshot, or were.
func (g *Gateway) upstreamsBetween() (since, asOf time.Time) {
	since, asOf = g.upstreams.CompleteBetween()
	// A peer may have sent the records of the last read just before it, and its rebuild may be in progress.
	g.rebuild()
	return since, asOf
}

// listedVersions returns the services of the upstreams with the versions of their software.
func listedVersions(upstreams []catalogue.Upstream) map[streamorigin.Origin]struct{} {
	listed := make(map[streamorigin.Origin]struct{})
	for _, u := range upstreams {
		listed[originOf(u)] = struct{}{}
	}
	return listed
}

// originOf returns the origin of the streams that an upstream begins.
func originOf(u catalogue.Upstream) streamorigin.Origin {
	return streamorigin.Origin{Service: u.Service, Version: u.SoftwareVersion}
}

// withServiceSettings returns the upstream with the settings of its service in the configuration.
func (g *Gateway) withServiceSettings(u catalogue.Upstream) catalogue.Upstream {
	u.Region = g.regionOf(u.Zone)
	service := g.decoded.config.Service(u.Service)
	if service == nil {
		u.Kind = catalogue.KindService
		return u
	}
	u.MaxConnections, u.ColdStart, u.ColdPerSecond = service.MaxConnections, service.ColdStart, service.ColdPerSecond
	u.Kind = catalogue.KindService
	if service.Engine {
		u.Kind, u.Models = catalogue.KindEngine, []string{u.Service}
	}
	return u
}

// regionOf returns the region of a zone, and none if the settings do not name it: requests that are restricted to regions do
// not enter it.
func (g *Gateway) regionOf(zone string) string {
	if len(g.cfg.ZoneRegions) == 0 || zone == g.cfg.Zone {
		return g.cfg.Region
	}
	return g.cfg.ZoneRegions[zone]
}

// decodeConfig decodes the configuration in the replica, if it has changed. An older version never replaces a
// newer one.
func (g *Gateway) decodeConfig() (changed bool) {
	rec, ok := g.config.Records()[g.deps.ConfigKey]
	if !ok || (g.decoded.config != nil && rec.Offset == g.decoded.configOffset) || g.decoded.malformedConfig == rec.Offset+1 {
		return false
	}
	config, err := g.deps.DecodeConfig(rec.Value)
	if err != nil {
		g.decoded.malformedConfig = rec.Offset + 1
		obs.ConfigRecordsSkipped.Add(1)
		obs.EventConfigMalformed.Log(g.logger, logrus.Fields{"offset": rec.Offset, "error": err.Error()})
		return false
	}
	if g.decoded.config != nil && config.Version <= g.decoded.config.Version {
		return false
	}
	obs.EventConfigApplied.Log(g.logger, logrus.Fields{
		"version": config.Version, "offset": rec.Offset, "age_ms": g.config.Staleness(g.started).Milliseconds(),
	})
	g.decoded.config, g.decoded.configOffset = config, rec.Offset
	return true
}

// decodeUpstreams decodes the changed records of upstreams.
func (g *Gateway) decodeUpstreams() (changed bool) {
	records := g.upstreams.Records()
	var cold []routing.ColdRecord
	// What the last read did not have was written after it began.
	_, writtenAfter := g.upstreams.CompleteBetween()
	next := make(map[string]decodedUpstream, len(records))
	for key, rec := range records {
		previous, ok := g.decoded.upstreams[key]
		if ok && previous.offset == rec.Offset {
			next[key] = previous
			continue
		}
		u, revision, err := g.deps.DecodeUpstream(key, rec.Value)
		if err != nil {
			obs.UpstreamRecordsSkipped.Add(1)
			obs.EventRecordMalformed.Log(g.logger, logrus.Fields{
				"stream": g.deps.UpstreamStream.Name, "key": key, "offset": rec.Offset, "error": err.Error(),
			})
		}
		decoded := decodedUpstream{offset: rec.Offset, upstream: u, revision: revision, valid: err == nil}
		g.decoded.retired.apply(&decoded)
		next[key] = decoded
		if err == nil {
			cold = append(cold, routing.ColdRecord{
				Upstream: u.Name, Revision: revision, Remaining: u.ColdRemaining, WrittenAfter: writtenAfter, ReadAt: time.Now(),
			})
		}
		if !ok || previous.valid != decoded.valid || !sameUpstream(previous.upstream, decoded.upstream) {
			changed = true
			g.logUpstreamChange(decoded.upstream, decoded.valid, rec.Offset)
		}
	}
	g.routing.ApplyColdRecords(cold)
	g.decoded.retired.note(g.decoded.upstreams, next, keyedlog.Era(g.upstreams.Next()), time.Now())
	for key, previous := range g.decoded.upstreams {
		if _, ok := next[key]; !ok {
			changed = true
			g.logUpstreamChange(previous.upstream, false, previous.offset)
		}
	}
	g.decoded.upstreams = next
	return changed
}

// sameUpstream does not compare ColdRemaining, which changes with most records: it reaches the routing as a ColdRecord.
func sameUpstream(a, b catalogue.Upstream) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Service == b.Service && a.Draining == b.Draining &&
		a.Zone == b.Zone && a.Concurrency == b.Concurrency && a.SoftwareVersion == b.SoftwareVersion
}

func (g *Gateway) logUpstreamChange(u catalogue.Upstream, listed bool, offset uint64) {
	obs.EventUpstreamListChanged.Log(g.logger, logrus.Fields{
		"upstream": u.Name, "service": u.Service, "address": u.Address, "listed": listed, "leaving": u.Draining,
		"offset": offset,
	})
}
