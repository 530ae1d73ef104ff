package obs

import "github.com/sirupsen/logrus"

// Events of forwarded requests, numbers 1610 to 1649.
var (
	EventRequestServed = register(1610, logrus.InfoLevel, "request answered",
		"The upstream's answer was delivered. first_ms is the time to its first byte.")
	EventRequestFailed = register(1611, logrus.WarnLevel, "request not answered with a success",
		"The fields code and cause say why; docs/OPERATIONS.md leads from them to the cause.")
	EventAttemptFailed = register(1612, logrus.InfoLevel, "attempt failed",
		"One upstream did not answer well. The request may have been sent to another one.")
	EventLoadSheddingChanged = register(1614, logrus.WarnLevel, "router begins or ends to refuse for its own load",
		"Timers fire late: the processor does not keep up. Callers are sent to other routers. Add routers if it lasts.")
	EventLinesDropped = register(1613, logrus.WarnLevel, "log lines left out",
		"More lines came up than the bound on the volume allows; the counters are complete.")
)
