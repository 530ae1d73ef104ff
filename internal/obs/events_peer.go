package obs

import "github.com/sirupsen/logrus"

// Events of membership and the peers' protocol, numbers 1400 to 1499.
var (
	EventPeerRefused = register(1400, logrus.WarnLevel, "peer connection refused",
		"A stranger, or a process with another key or protocol version, connected to the peers' port. The fields say which.")
	EventPeerClosed = register(1401, logrus.WarnLevel, "peer connection closed after a bad message",
		"A peer sent a malformed or oversized message. Compare the versions of both processes.")
	EventPeerPanic = register(1402, logrus.ErrorLevel, "peer call handler panicked",
		"A defect in the router. The call got an error; report the stack.")
	EventMemberChanged = register(1403, logrus.InfoLevel, "member changed state",
		"A member was added, suspected, removed or is leaving. No action.")
	EventVMListUnreachable = register(1404, logrus.WarnLevel, "VM list cannot be read",
		"The platform's list is down. Membership goes on from heartbeats; no proof of death comes from the list meanwhile.")
	EventVMListWithoutSelf = register(1405, logrus.WarnLevel, "VM list does not name this VM",
		"The list was ignored. Check --vm and the platform's list.")
)
