package obs

import "github.com/sirupsen/logrus"

// Events of a log with keys, numbers 1800 to 1899.
var (
	EventStreamUnreachable = register(1800, logrus.WarnLevel, "stream of the log cannot be read",
		"The log is down, slow or turns this process away. Peers are asked for newer records meanwhile.")
	EventStreamRecovered = register(1801, logrus.InfoLevel, "stream of the log is read again",
		"The field away_ms says for how long the log did not answer. No action.")
	EventRecordMalformed = register(1802, logrus.WarnLevel, "record of a keyed stream is skipped",
		"A record does not decode. Find its writer by stream, key and offset.")
	EventShareGranted = register(1810, logrus.InfoLevel, "share of a prepaid budget changed",
		"The log accepted this VM's share of the budget. No action.")
	EventShareDelayed = register(1812, logrus.WarnLevel, "shares cannot be written",
		"The log does not answer. Requests are served from the shares at hand.")
	EventPredecessorShareReleased = register(1815, logrus.InfoLevel, "unspent part of an earlier process released",
		"Clocks prove that the earlier process of this VM cannot have spent it. No action.")
	EventShareBorrowed = register(1814, logrus.InfoLevel, "part of a prepaid budget borrowed",
		"Another VM lent what a request lacked. No action.")
	EventShareCountedSpent = register(1813, logrus.WarnLevel, "share of an earlier process of this VM counted as spent",
		"The earlier process ended without handing back its share. The field stranded is the part that may not have been used.")
)

// ShareConflictsTotal counts appends that another VM's append overtook.
var ShareConflictsTotal = Counter("share_conflicts_total")

// KeyedLogCallsTotal counts calls to the log with keys.
var KeyedLogCallsTotal = Counter("keyed_log_calls_total")

// BorrowRequestsTotal counts requests for which other VMs were asked to hand back.
var BorrowRequestsTotal = Counter("share_asks_total")

// LoansLostTotal counts unused parts of loans that could not be returned.
var LoansLostTotal = Counter("loans_lost_total")

// Events of beats.
var (
	EventPredecessorFound = register(1820, logrus.InfoLevel, "beat of an earlier process of this VM found",
		"The fields say how long before the start of this process the beat was sent, and whether that is proven.")
	EventPredecessorGapProven = register(1821, logrus.InfoLevel, "last gap of the earlier process of this VM is proven",
		"Other routers confirm it. What the process cannot have spent in the gap is given free.")
)

// HeartbeatsFailedTotal counts beats that the log did not confirm.
var HeartbeatsFailedTotal = Counter("beats_failed_total")
