package obs

import "github.com/sirupsen/logrus"

// Events of routing and admission, numbers 1500 to 1599.
var (
	EventUpstreamEjected = register(1500, logrus.WarnLevel, "upstream ejected after failures",
		"The upstream gets no requests for some seconds. If this repeats, check the upstream.")
	EventUpstreamDraining = register(1501, logrus.InfoLevel, "upstream is draining",
		"The upstream reported that it takes no new requests. No action.")
	EventUpstreamCrashed = register(1502, logrus.WarnLevel, "upstream crashed while it ran requests",
		"Requests in flight are suspects until they run without a crash. See docs/operations/overload.md.")
	EventRequestQuarantined = register(1503, logrus.ErrorLevel, "request quarantined",
		"Two upstreams crashed with this request as the only suspect. All routers refuse it for an hour. Tell its owner.")
)

var (
	// RateLimitedTotal counts requests refused by a limit of their entry or team.
	RateLimitedTotal = newMetric("rate_limited_total")
	// OverloadedTotal counts requests refused because the queue was full or the expected wait too long.
	OverloadedTotal = newMetric("overloaded_total")
	// RetriesDeniedTotal counts retries that the retry budget did not allow.
	RetriesDeniedTotal       = newMetric("retries_denied_total")
	UpstreamEjectionsTotal   = newMetric("upstream_ejections_total")
	UpstreamCrashesTotal     = newMetric("upstream_crashes_total")
	RequestsQuarantinedTotal = newMetric("requests_quarantined_total")
)
