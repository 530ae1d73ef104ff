package obs

import "github.com/sirupsen/logrus"

// Events of configuration records that come from peers, numbers 1210 to 1219.
var (
	EventConfigFromPeer = register(1210, logrus.InfoLevel, "configuration records received from a peer",
		"This router cannot read the log and applied newer records from a peer. Check why the log cannot be reached.")
	EventConfigPeerMismatch = register(1211, logrus.ErrorLevel, "a peer's configuration record is not in the log",
		"The router refuses requests until it has rebuilt its configuration. Report this defect with the offset and all versions.")
)

var (
	// ConfigPeerRecordsTotal counts configuration records that came from peers and were applied.
	ConfigPeerRecordsTotal = newMetric("config_peer_records_total")
	// ConfigPeerMismatchTotal counts such records that turned out not to be in the log.
	ConfigPeerMismatchTotal = newMetric("config_peer_mismatch_total")
)
