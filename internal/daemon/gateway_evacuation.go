package daemon

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// evacuationRestoreGrace is how long an evacuation is kept that a log restored from an older copy does not have. The
// operator writes again what was lost within seconds; requests to a zone that is about to lose power cost more than a
// zone that stays unused for this time.
const evacuationRestoreGrace = 10 * time.Second

// decodeEvacuations derives the evacuated zones from the keys of the operator's records. What a record says beside its key
// does not matter.
func (g *Gateway) decodeEvacuations() (changed bool) {
	if g.deps.EvacuatedZone == nil {
		return false
	}
	zones := make(map[string]struct{})
	for key := range g.config.Records() {
		if zone, ok := g.deps.EvacuatedZone(key); ok {
			zones[zone] = struct{}{}
		}
	}
	if maps.Equal(zones, g.decoded.evacuated) {
		return false
	}
	for zone := range zones {
		if _, known := g.decoded.evacuated[zone]; !known {
			obs.EventZoneEvacuated.Log(g.logger, logrus.Fields{"zone": zone, "age_ms": g.config.Staleness(g.started).Milliseconds()})
		}
	}
	for zone := range g.decoded.evacuated {
		if _, still := zones[zone]; !still {
			obs.EventZoneEvacuationEnded.Log(g.logger, logrus.Fields{"zone": zone})
		}
	}
	obs.ZonesEvacuated.Set(int64(len(zones)))
	g.decoded.evacuated = zones
	return true
}
