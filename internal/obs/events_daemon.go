package obs

import "github.com/sirupsen/logrus"

// Events of the daemon, numbers 1000 to 1099.
var (
	EventStarted = register(1000, logrus.InfoLevel, "router started",
		"The router listens and follows the log. No action.")
	EventStopping = register(1001, logrus.InfoLevel, "router is draining",
		"A planned stop began: readiness is false, open requests finish. No action.")
	EventStopped = register(1002, logrus.InfoLevel, "router stopped",
		"All requests finished and shares were returned. No action.")
	EventStartFailed = register(1003, logrus.ErrorLevel, "router failed to start",
		"An address is in use or the log cannot be read; the field says which.")
	EventSettingInvalid = register(1004, logrus.ErrorLevel, "setting has a finding",
		"The router does not start. Correct the flag or environment variable in the field \"place\".")
)

// Events of the callers' HTTP API, numbers 1100 to 1199.
var (
	EventRequestPanic = register(1100, logrus.ErrorLevel, "request handler panicked",
		"A defect in the router. The request got an error; report the stack.")
)

// Events of configuration, numbers 1200 to 1299.
var (
	EventConfigApplied = register(1200, logrus.InfoLevel, "configuration version in force",
		"The router serves with this version. No action.")
	EventConfigMalformed = register(1201, logrus.WarnLevel, "configuration record skipped",
		"A record on the config stream does not decode; every node skips it alike. Find its writer by the offset.")
	EventConfigUnreachable = register(1202, logrus.WarnLevel, "configuration stream cannot be read",
		"The log is down or cut off. The router serves on until its configuration lease ends.")
)

// Events of budgets and the ledger, numbers 1300 to 1399.
var (
	EventLedgerUnreachable = register(1300, logrus.WarnLevel, "ledger stream cannot be read",
		"The log is down or cut off. Spending goes on from shares.")
	EventSnapshotDelayed = register(1302, logrus.WarnLevel, "snapshot cannot be written",
		"The log refuses appends or reads. The next look tries again; snapshots must be complete before the retention has passed.")
	EventBillsDelayed = register(1301, logrus.WarnLevel, "bills cannot be written",
		"The log refuses appends. Bills stay in memory up to --bill-buffer; then requests are refused.")
)

// Events of settings that are read again.
var (
	EventReloaded = register(1005, logrus.InfoLevel, "settings read again",
		"Settings that can change while the process runs are in force. Requests in progress are not touched.")
	EventReloadFailed = register(1006, logrus.ErrorLevel, "settings cannot be read again",
		"The process goes on with the settings that it has. Correct the file.")
	EventReady = register(1007, logrus.InfoLevel, "router is ready",
		"The configuration and the upstreams are known. No action.")
	EventUpstreamListChanged = register(1008, logrus.InfoLevel, "upstream list changed",
		"Upstreams registered, began to leave or are gone. The field offset is the place in the log.")
)
