package obs

import "github.com/sirupsen/logrus"

// Further events of configuration, numbers 1210 to 1219.
var (
	EventConfigFromPeer = register(1210, logrus.InfoLevel, "configuration records taken from a peer",
		"This node cannot hear the log and learned newer records from a peer. No action; look into the log's reachability.")
	EventConfigPeerMismatch = register(1211, logrus.ErrorLevel, "a peer's configuration record is not in the log",
		"The node rebuilds its configuration from the log and refuses meanwhile. A defect in a router; report the offset and all versions.")
)

// Counters of configuration.
var (
	ConfigPeerRecordsTotal  = Counter("config_peer_records_total")
	ConfigPeerMismatchTotal = Counter("config_peer_mismatch_total")
)
