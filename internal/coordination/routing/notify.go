package routing

import (
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// LogChanges returns a function for Config.Notify that logs and counts changes.
func LogChanges(logger logrus.FieldLogger) func(Change) {
	return func(c Change) {
		fields := logrus.Fields{"upstream": c.Upstream}
		switch c.Kind {
		case ChangeEjected:
			obs.UpstreamEjectionsTotal.Add(1)
			obs.EventUpstreamEjected.Log(logger, fields)
		case ChangeDraining:
			obs.EventUpstreamDraining.Log(logger, fields)
		case ChangeCrashed:
			obs.UpstreamCrashesTotal.Add(1)
			obs.EventUpstreamCrashed.Log(logger, fields)
		case ChangeQuarantined:
			fields["fingerprint"] = c.Fingerprint.String()
			obs.EventRequestQuarantined.Log(logger, fields)
		case ChangeRequestLimit:
			obs.RequestLimitChangesTotal.Add(1)
			fields["per_second"], fields["before"], fields["reported"] = c.PerSecond, c.Previous, c.Reported
			obs.EventRequestLimitChanged.Log(logger, fields)
		case ChangePaused:
			obs.UpstreamPausesTotal.Add(1)
			fields["pause_ms"] = c.Pause.Milliseconds()
			obs.EventUpstreamPaused.Log(logger, fields)
		case ChangeBrittle:
			fields["per_second"], fields["reported"] = c.PerSecond, c.Reported
			obs.EventUpstreamBrittle.Log(logger, fields)
		case ChangeNotBrittle:
			fields["reported"] = c.Reported
			obs.EventUpstreamNotBrittle.Log(logger, fields)
		case ChangeRejectionBudgetUsed:
			obs.RejectionBudgetsUsedTotal.Add(1)
			fields["per_second"], fields["pause_ms"] = c.PerSecond, c.Pause.Milliseconds()
			obs.EventRejectionBudgetUsed.Log(logger, fields)
		case ChangeCold:
			obs.UpstreamColdStartsTotal.Add(1)
			fields["per_second"], fields["remaining_ms"] = c.PerSecond, c.Pause.Milliseconds()
			obs.EventUpstreamCold.Log(logger, fields)
		case ChangeWarm:
			obs.EventUpstreamWarm.Log(logger, fields)
		case ChangeRejectionLimitMalformed:
			fields["text"] = c.Text
			obs.EventRejectionLimitMalformed.Log(logger, fields)
		}
	}
}
