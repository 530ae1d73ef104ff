package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

const (
	// methodQuarantine is the peer method that sends a quarantine.Report.
	methodQuarantine = "quarantine.report"
	// quarantineInterval limits the time until the other routers know of a crash.
	quarantineInterval = 100 * time.Millisecond
	// quarantineResendInterval is the time after which a router sends all that it knows to some others, which may
	// have missed a report.
	quarantineResendInterval = 5 * time.Second
)

// logQuarantine logs a change of the registry.
func logQuarantine(logger logrus.FieldLogger) func(quarantine.Change) {
	return func(c quarantine.Change) {
		fields := logrus.Fields{"part": c.Subject.String(), "failed_trials": c.Level, "reported": c.Reported}
		switch c.Kind {
		case quarantine.ChangeQuarantined:
			obs.PartsQuarantinedTotal.Add(1)
			fields["crashes"], fields["for_ms"] = c.Crashes, c.For.Milliseconds()
			obs.EventPartQuarantined.Log(logger, fields)
		case quarantine.ChangeTrial:
			obs.EventPartTrial.Log(logger, fields)
		default:
			fields["forgotten"] = c.Kind == quarantine.ChangeForgotten
			obs.EventPartReleased.Log(logger, fields)
		}
	}
}

// registerQuarantineHandler registers the handler that merges the reports of the other routers.
func registerQuarantineHandler(server *peer.Server, registry *quarantine.Registry) {
	registerHandler(server, methodQuarantine, func(_ context.Context, _ peerapi.Identity, r quarantine.Report) (any, error) {
		registry.Merge(r)
		return struct{}{}, nil
	})
}

// crashReports are the reports of a registry.
func crashReports(registry *quarantine.Registry) reportSource[quarantine.Report] {
	return reportSource[quarantine.Report]{
		method: methodQuarantine, interval: quarantineInterval, resendInterval: quarantineResendInterval,
		take: registry.TakeReport, export: registry.Export,
	}
}

// memberVMs returns the names of the live routers' VMs.
func (d *Daemon) memberVMs() []string {
	if d.fleet == nil {
		return nil
	}
	names := []string{d.cfg.VM}
	for _, m := range d.fleet.otherMembers() {
		names = append(names, m.VM)
	}
	return names
}

// encodeVerdicts returns the verdicts for heartbeats, or nil if there are none.
func encodeVerdicts(logger logrus.FieldLogger, registry *quarantine.Registry) []byte {
	verdicts := registry.Verdicts()
	if len(verdicts) == 0 {
		return nil
	}
	data, err := cbor.Marshal(verdicts)
	if err != nil {
		obs.EventRecordMalformed.Log(logger, logrus.Fields{"stream": heartbeatStream.Name, "error": err.Error()})
		return nil
	}
	return data
}

// mergeVerdicts applies the verdicts of another router's heartbeat.
func mergeVerdicts(logger logrus.FieldLogger, registry *quarantine.Registry, notice []byte) {
	var verdicts []quarantine.Verdict
	if err := cbor.Unmarshal(notice, &verdicts); err != nil {
		obs.EventRecordMalformed.Log(logger, logrus.Fields{"stream": heartbeatStream.Name, "error": err.Error()})
		return
	}
	registry.MergeVerdicts(verdicts)
}
