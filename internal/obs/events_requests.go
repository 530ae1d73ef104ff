package obs

import "github.com/sirupsen/logrus"

// Events of requests with an unknown outcome and of broken streams, of the numbers 1600 to 1699.
var (
	EventUnknownOutcomeBilled = register(1600, logrus.WarnLevel, "request with a lost response billed",
		"The upstream's response was lost. The outcome \"found\" bills the usage that the engine reported, "+
			"\"unknown\" the upper bound. Many of these events point to a failing upstream.")
	EventStreamResumeFailed = register(1601, logrus.WarnLevel, "stream could not be resumed",
		"No engine continued the broken stream within --resume-timeout. The caller got an error event.")
)
