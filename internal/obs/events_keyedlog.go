package obs

import "github.com/sirupsen/logrus"

// Events of the keyed log and of prepaid shares, numbers 1800 to 1899.
var (
	EventStreamUnreachable = register(1800, logrus.WarnLevel, "log stream cannot be read",
		"The log is down, slow or refuses this process. Newer records are requested from peers meanwhile.")
	EventStreamRecovered = register(1801, logrus.InfoLevel, "log stream can be read again",
		"The field \"away_ms\" is the time for which the log did not respond. No action.")
	EventRecordMalformed = register(1802, logrus.WarnLevel, "keyed log record skipped",
		"A record cannot be decoded. Find its writer by stream, key and offset.")
	EventStreamCallFailed = register(1803, logrus.WarnLevel, "read of a log stream failed",
		"The field \"ms\" is the duration of the call, \"since_ms\" the time since the log's last response, \"failures\" the "+
			"failed reads since then. At most one line per second and stream.")
	EventPeerFetchFailed = register(1804, logrus.WarnLevel, "records could not be fetched from a peer",
		"The log does not respond to this router, and the peer did not send what it knows. The field \"failures\" counts "+
			"the failed fetches since the last line. At most one line per second.")
	EventPeerFetched = register(1805, logrus.InfoLevel, "newer records fetched from a peer",
		"The field \"age_ms\" is how long ago the log last responded to the peer. No action.")
	EventRemovalsDeferred = register(1806, logrus.InfoLevel, "removals from a log stream are deferred",
		"The log did not respond to this router for \"since_ms\". Records that were removed because their writers could "+
			"not renew them come back within the grace period. No action.")
	EventLogRestored = register(1807, logrus.WarnLevel, "log was restored from an older copy",
		"What was written since the copy is lost, and offsets are given out again. The fields are the eras of the log, which "+
			"count its restorations. No action.")
	EventRestoredStreamRead = register(1808, logrus.InfoLevel, "restored log stream was listed",
		"The stream ended at \"offset\" when it was last read, and ends at \"end\" in the copy. Removals of records that the "+
			"copy lacks are deferred by \"grace_ms\". No action.")
	EventShareChanged = register(1810, logrus.InfoLevel, "share of a prepaid budget changed",
		"The log accepted this VM's share of the budget. No action.")
	EventShareDelayed = register(1812, logrus.WarnLevel, "shares cannot be written",
		"The log does not respond. Requests are served from the shares that this VM already holds.")
	EventPredecessorShareReleased = register(1815, logrus.InfoLevel, "unspent share of an earlier process released",
		"The time since its last heartbeat proves that the process cannot have spent it. No action.")
	EventSharesReasserted = register(1816, logrus.WarnLevel, "shares are appended to a restored log again",
		"Until all VMs have done so, shares are not raised. If a VM was lost at the same time, what it may have spent is "+
			"estimated (1813, \"outdated\"): compare bills and budgets.")
	EventShareRecalled = register(1817, logrus.InfoLevel, "later share of an earlier process learned from another VM",
		"The restored log has an older record. No action.")
	EventShareAboveLimit = register(1819, logrus.ErrorLevel, "more of a share is used than a successor would count as spent",
		"If this process ended now, its successor would take \"counted\" of the share as spent, \"used\" are. \"counted\" follows from "+
			"the limits in the log (\"open\", \"ramp\", \"granted\"), what the last confirmed heartbeat \"reported\" and the time "+
			"since then. The budget may be overspent: report the lines of this budget and of heartbeats.")
	EventBudgetUnreachable = register(1825, logrus.WarnLevel, "requests refused for a budget that may cover them",
		"The budget has \"left\" tokens, of which this router may use \"available\". Of the rest, \"others_idle\" is unused in the "+
			"shares of other routers, \"others_in_flight\" reserved there, \"stranded\" lost with processes that ended, and "+
			"\"ungranted\" in no share. \"refused\" counts the requests since the last such line. See docs/operations/budgets.md.")
	EventShareBorrowed = register(1814, logrus.InfoLevel, "prepaid tokens borrowed from another VM",
		"This VM's share did not cover a request, so another VM lent it the missing tokens. No action.")
	EventShareCountedSpent = register(1813, logrus.WarnLevel, "share of an earlier process of this VM counts as spent",
		"The process ended without returning its share. The field \"stranded\" is the part that may be unused.")
)

// Events of the rate limit of the keyed log.
var (
	EventLogCallsDelayed = register(1840, logrus.InfoLevel, "calls to the log wait for its rate limit",
		"This router has used its part of platform.writes_per_s or platform.reads_per_s; \"kind\" says which. The field "+
			"\"calls\" counts the calls since the last line, \"part\" is the router's part and \"per_second\" what it may use. At "+
			"most one line per second and kind. See docs/operations/log.md.")
	EventLogCallsRefused = register(1841, logrus.WarnLevel, "log refuses calls because of its rate limit",
		"All routers together call more often than the log accepts. This router makes fewer calls now, \"per_second\" at "+
			"most. If it lasts, the limits in the settings exceed those of the log. See docs/operations/log.md.")
)

// Counters of calls to the keyed log that its rate limit affects: calls that waited, those of them that were given up,
// and calls that the log refused.
var (
	LogCallsDelayedTotal = newMetric("log_calls_delayed_total")
	LogCallsGivenUpTotal = newMetric("log_calls_given_up_total")
	LogCallsRefusedTotal = newMetric("log_calls_refused_total")
)

// ShareConflictsTotal counts appends that failed because another VM had appended first.
var ShareConflictsTotal = newMetric("share_conflicts_total")

// KeyedLogCallsTotal counts calls to the keyed log.
var KeyedLogCallsTotal = newMetric("keyed_log_calls_total")

// BorrowRequestsTotal counts requests for which this VM asked other VMs to lend tokens.
var BorrowRequestsTotal = newMetric("share_asks_total")

// LoansLostTotal counts failed returns of the unused part of a loan.
var LoansLostTotal = newMetric("loans_lost_total")

// Events of heartbeats, of the numbers 1800 to 1899.
var (
	EventPredecessorFound = register(1820, logrus.InfoLevel, "heartbeat of an earlier process of this VM found",
		"The fields say how long before the start of this process it was sent, and whether that is proven.")
	EventPredecessorGapProven = register(1821, logrus.InfoLevel, "last heartbeat gap of an earlier process proven",
		"Other routers confirm how long the earlier process ran after its last heartbeat, at most. The share that it cannot have spent is released.")
	EventHeartbeatUnconfirmed = register(1822, logrus.InfoLevel, "heartbeat had no response",
		"It may still take effect and is sent again. Until then, shares are used only as far as both this heartbeat, of \"pending_ms\" "+
			"ago, and the last confirmed one, of \"confirmed_ms\" ago, allow. No action.")
)

// EventStreamOriginsUnwritten reports that the origins of streams cannot be written.
var EventStreamOriginsUnwritten = register(1830, logrus.WarnLevel, "origins of streams cannot be written",
	"The log does not respond. While a service has upstreams of several software versions, other routers cannot learn which of "+
		"them began the streams of this one, and refuse to go on with them (code stream_version_unknown).")

// Counters of the origins of streams, see package streamorigin.
var (
	// StreamTakeUpsTotal counts the streams that callers took up again, and StreamOriginsUnknownTotal those of which
	// the software version that began them could not be learned.
	StreamTakeUpsTotal        = newMetric("stream_take_ups_total")
	StreamOriginsUnknownTotal = newMetric("stream_origins_unknown_total")
	// StreamOriginsDroppedTotal counts the streams that were not remembered because there were too many.
	StreamOriginsDroppedTotal      = newMetric("stream_origins_dropped_total")
	StreamOriginWritesTotal        = newMetric("stream_origin_writes_total")
	StreamOriginWriteFailuresTotal = newMetric("stream_origin_write_failures_total")
	StreamOriginListingsTotal      = newMetric("stream_origin_listings_total")
)

// HeartbeatsFailedTotal counts heartbeats that the log did not confirm.
var HeartbeatsFailedTotal = newMetric("beats_failed_total")

// SharesAboveLimitTotal counts findings of a share of which more was used than a successor would count as spent.
var SharesAboveLimitTotal = newMetric("shares_above_limit_total")

// BudgetUnreachableTotal counts requests that were refused although the budget may cover them.
var BudgetUnreachableTotal = newMetric("budget_unreachable_total")
