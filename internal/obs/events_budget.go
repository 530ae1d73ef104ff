package obs

import "github.com/sirupsen/logrus"

// Events of budget decisions, numbers 1310 to 1349.
var (
	EventShareReclaimed = register(1310, logrus.InfoLevel, "share of a dead router closed",
		"The death was proven; what was not spent is free again. No action.")
	EventBackupDeclarationFailed = register(1311, logrus.WarnLevel, "backup peer cannot be declared",
		"The members stream cannot be read. If the old backup fails too, requests are refused until the log answers.")
)
