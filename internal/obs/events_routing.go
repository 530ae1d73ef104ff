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
	EventCrashObserved = register(1504, logrus.WarnLevel, "upstream crashed while it ran a request",
		"The connection ended and the upstream refuses new ones. The field \"begun\" says whether the answer had begun, "+
			"\"parts\" and \"content\" what the request may have in common with others that crash upstreams.")
	EventPartQuarantined = register(1505, logrus.ErrorLevel, "part of requests quarantined",
		"Upstreams crashed again and again while they ran requests with this part, and none has answered one since. All "+
			"routers refuse such requests. After \"for_ms\" one is let through, to see whether it still crashes. Tell its owner.")
	EventPartReleased = register(1506, logrus.InfoLevel, "quarantine of a part ended",
		"An upstream has answered a request with this part, or none came for a long time. No action.")
	EventReportLost = register(1508, logrus.InfoLevel, "report to other routers did not reach some of them",
		"The field \"method\" says which: of a crash, of a request limit, of a brittle upstream or of speeds. They get it with a later report. No action.")
	EventRequestLimitChanged = register(1509, logrus.InfoLevel, "upstream changed its request limit",
		"It accepts at most \"per_second\" requests a second from all routers together; 0 means that it names no limit any more. "+
			"If most upstreams of a service name limits, it lacks capacity.")
	EventUpstreamPaused = register(1510, logrus.InfoLevel, "upstream asks for a pause",
		"It turned a request away and wants no more from this router for \"pause_ms\". Other upstreams get the requests. If all "+
			"upstreams of a service do so, callers are refused until the first pause ends: the service lacks capacity.")
	EventPauseMalformed = register(1511, logrus.WarnLevel, "upstream asks for a pause that is no sound number",
		"The field \"text\" has what it sent. The pause is ignored. Repair the upstream.")
	EventUpstreamBrittle = register(1512, logrus.WarnLevel, "upstream is brittle",
		"It falls over if all routers together make it turn away more than \"per_second\" requests in a second for want of room. "+
			"Until it ends, the routers share its slots and refuse what has no room. If this repeats, the service lacks capacity.")
	EventUpstreamNotBrittle = register(1513, logrus.InfoLevel, "upstream is no longer brittle",
		"It names no rejection limit any more. No action.")
	EventRejectionBudgetUsed = register(1514, logrus.WarnLevel, "rejection budget for a brittle upstream is used up",
		"For \"pause_ms\" this router sends it only requests for which it is known to have room. If this repeats, the service "+
			"lacks capacity, or the upstream runs fewer requests than it states.")
	EventRejectionLimitMalformed = register(1515, logrus.WarnLevel, "upstream names a rejection limit that is no sound number",
		"The field \"text\" has what it sent. The limit is ignored. Repair the upstream. Logged once for each upstream.")
	EventLossWithoutCrash = register(1516, logrus.InfoLevel, "upstream lost a request without a crash",
		"It refuses new connections, but the loss does not count as a crash (1504). The field \"cause\" says why: \"path lost\" "+
			"means that the router reaches no other upstream of the service, or that other routers reach this one; if this repeats, "+
			"check the network of the VM. \"stop\" means that the upstream was known to leave.")
	EventZoneEvacuated = register(1530, logrus.WarnLevel, "zone evacuated",
		"The operator has evacuated the zone. Its upstreams get nothing more from this router; running requests end there.")
	EventZoneEvacuationEnded = register(1531, logrus.WarnLevel, "evacuation of a zone taken back",
		"The operator's record is gone. The zone's upstreams get requests again, slowly if they may be cold (1532).")
	EventUpstreamCold = register(1532, logrus.InfoLevel, "upstream may be cold",
		"All routers together send it at most \"per_second\" requests a second. Its record says that it stays cold for "+
			"\"remaining_ms\", or it may have turned cold since: its zone's evacuation was taken back, or a connection was refused or reset.")
	EventUpstreamWarm = register(1533, logrus.InfoLevel, "upstream is not cold any more",
		"Its cold start has ended, or a newer record says that it is not cold. No action.")
	EventPartTrial = register(1507, logrus.InfoLevel, "request with a quarantined part is let through",
		"If its upstream crashes, the quarantine is renewed and lasts longer (1505). No action.")
)

var (
	// RateLimitedTotal counts requests refused by a limit of their entry or team.
	RateLimitedTotal = newMetric("rate_limited_total")
	// OverloadedTotal counts requests refused because the queue was full or the expected wait too long.
	OverloadedTotal = newMetric("overloaded_total")
	// RetriesDeniedTotal counts retries that the retry budget did not allow.
	RetriesDeniedTotal     = newMetric("retries_denied_total")
	UpstreamEjectionsTotal = newMetric("upstream_ejections_total")
	UpstreamCrashesTotal   = newMetric("upstream_crashes_total")
	// RequestLimitChangesTotal counts changes of the request limits that upstreams name, and RequestsToLimitedTotal
	// the attempts sent to upstreams that name one.
	RequestLimitChangesTotal = newMetric("request_limit_changes_total")
	RequestsToLimitedTotal   = newMetric("requests_to_limited_upstreams_total")
	// UpstreamPausesTotal counts the pauses that upstreams have asked for, and PausesMalformedTotal those that were
	// ignored because they are no sound number.
	UpstreamPausesTotal  = newMetric("upstream_pauses_total")
	PausesMalformedTotal = newMetric("upstream_pauses_malformed_total")
	// BrittleRejectionsTotal counts this router's requests that brittle upstreams rejected, RejectionBudgetsUsedTotal how
	// often its budget of such rejections was used up, and RejectionLimitsMalformedTotal the limits that were ignored
	// because they are no sound number.
	BrittleRejectionsTotal        = newMetric("brittle_rejections_total")
	RejectionBudgetsUsedTotal     = newMetric("rejection_budgets_used_total")
	RejectionLimitsMalformedTotal = newMetric("rejection_limits_malformed_total")
	// UpstreamColdStartsTotal counts the times that an upstream counted as cold, and RequestsToColdTotal the attempts sent to
	// upstreams that did.
	UpstreamColdStartsTotal = newMetric("upstream_cold_starts_total")
	RequestsToColdTotal     = newMetric("requests_to_cold_upstreams_total")
	// ZonesEvacuated is the number of evacuated zones.
	ZonesEvacuated           = newMetric("zones_evacuated")
	RequestsQuarantinedTotal = newMetric("requests_quarantined_total")
	// PartsQuarantinedTotal counts quarantines of a part of requests, CrashesObservedTotal the requests of this
	// router that were running when their upstream crashed, and LossesWithoutCrashTotal those whose upstream refused new
	// connections for another reason.
	PartsQuarantinedTotal   = newMetric("parts_quarantined_total")
	CrashesObservedTotal    = newMetric("crashes_observed_total")
	LossesWithoutCrashTotal = newMetric("losses_without_crash_total")
)
