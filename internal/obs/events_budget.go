package obs

import "github.com/sirupsen/logrus"

// Events of budget decisions, numbers 1310 to 1349.
var (
	EventShareReclaimed = register(1310, logrus.InfoLevel, "share of a terminated router closed",
		"The router is proven to have terminated; the unspent rest of its share is free again. No action.")
	EventBackupDeclarationFailed = register(1311, logrus.WarnLevel, "backup peer cannot be declared",
		"The members stream, which names the peer that keeps the replica of the router's reservations, cannot be read. If the old backup also fails, requests are refused until a new one is declared.")
)
