package obs

import "github.com/sirupsen/logrus"

// Events of the router process, numbers 1000 to 1099.
var (
	EventStarted = register(1000, logrus.InfoLevel, "router started",
		"The router accepts connections and reads the log. No action.")
	EventStopping = register(1001, logrus.InfoLevel, "router is draining",
		"A graceful shutdown began: readiness is false, open requests finish. No action.")
	EventStopped = register(1002, logrus.InfoLevel, "router stopped",
		"All requests have finished and the shares were returned. Connections that were cut instead are counted: \"connections_closed\" had no complete request or no complete response; \"connections_queued\" were accepted by the kernel only. No action.")
	EventStartOrStopFailed = register(1003, logrus.ErrorLevel, "router failed to start or to shut down cleanly",
		"An address is in use, the log cannot be read or the shutdown failed; see the field \"error\". If only the peer address is in use, the router runs without peers.")
	EventSettingInvalid = register(1004, logrus.ErrorLevel, "invalid setting",
		"The router does not start. Correct the flag or environment variable in the field \"place\".")
)

// Events of the callers' HTTP API, numbers 1100 to 1199.
var (
	EventRequestPanic = register(1100, logrus.ErrorLevel, "request handler panicked",
		"This is a defect in the router. The request got an error; report the stack.")
)

// Events of configuration, numbers 1200 to 1299.
var (
	EventConfigApplied = register(1200, logrus.InfoLevel, "configuration version active",
		"The router serves requests with this version. No action.")
	EventConfigMalformed = register(1201, logrus.WarnLevel, "configuration record skipped",
		"A record of the config stream cannot be decoded; every router skips it. Find its writer by the offset.")
	EventConfigUnreachable = register(1202, logrus.WarnLevel, "configuration stream cannot be read",
		"The log is down or unreachable. The router serves requests until its configuration lease expires.")
)

// Events of budgets and the ledger, numbers 1300 to 1399.
var (
	EventLedgerUnreachable = register(1300, logrus.WarnLevel, "ledger stream cannot be read",
		"The log is down or unreachable. Requests are still served from the shares that routers hold.")
	EventSnapshotDelayed = register(1302, logrus.WarnLevel, "snapshot cannot be written",
		"The log refuses appends or reads. The write is retried; it must succeed before the log's retention has passed.")
	EventBillsDelayed = register(1301, logrus.WarnLevel, "bills cannot be written",
		"The log refuses appends. Up to --bill-buffer bills stay in memory; beyond that, requests are refused.")
)

// Events of reloaded settings, readiness and the upstream list, of the numbers 1000 to 1099.
var (
	EventReloaded = register(1005, logrus.InfoLevel, "settings reloaded",
		"Changed settings that can be reloaded are active. Requests in progress are not affected.")
	EventReloadFailed = register(1006, logrus.ErrorLevel, "settings cannot be reloaded",
		"The process keeps its current settings. Correct the file.")
	EventReady = register(1007, logrus.InfoLevel, "router is ready",
		"The router has loaded the configuration and the upstream list. No action.")
	EventUpstreamListChanged = register(1008, logrus.InfoLevel, "upstream list changed",
		"An upstream was registered, began to drain or was removed. The field \"offset\" is its record in the log.")
)
