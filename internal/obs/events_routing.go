package obs

import "github.com/sirupsen/logrus"

// Events of routing and admission, numbers 1500 to 1599.
var (
	EventUpstreamEjected = register(1500, logrus.WarnLevel, "upstream ejected after failures",
		"The upstream gets no requests for some seconds. If this repeats, look at the upstream.")
	EventUpstreamDraining = register(1501, logrus.InfoLevel, "upstream is leaving",
		"The upstream said that it takes no new work. No action.")
	EventUpstreamCrashed = register(1502, logrus.WarnLevel, "upstream lost while it ran requests",
		"The requests in flight are suspects until they run cleanly. See docs/operations/overload.md.")
	EventRequestQuarantined = register(1503, logrus.ErrorLevel, "request quarantined",
		"A request has crashed two upstreams as the only suspect; it is refused everywhere for an hour. Tell its owner.")
)

// Counters of routing and admission.
var (
	RateLimitedTotal         = Counter("rate_limited_total")
	OverloadedTotal          = Counter("overloaded_total")
	RetriesDeniedTotal       = Counter("retries_denied_total")
	UpstreamEjectionsTotal   = Counter("upstream_ejections_total")
	UpstreamCrashesTotal     = Counter("upstream_crashes_total")
	RequestsQuarantinedTotal = Counter("requests_quarantined_total")
)
