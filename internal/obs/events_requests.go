package obs

import "github.com/sirupsen/logrus"

// Events of requests and claims, numbers 1600 to 1699.
var (
	EventUnknownOutcomeBilled = register(1600, logrus.WarnLevel, "request with a lost answer was billed",
		"The upstream's answer was lost. The outcome \"found\" is the use that the engine told; "+
			"\"unknown\" is the upper bound. Many of them point to a failing upstream.")
	EventStreamResumeFailed = register(1601, logrus.WarnLevel, "stream could not be resumed",
		"No engine held the broken stream before --resume-timeout. The caller got an error event.")
)
