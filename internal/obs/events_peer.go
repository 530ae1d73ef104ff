package obs

import "github.com/sirupsen/logrus"

// Events of membership and of the protocol between routers, numbers 1400 to 1499.
var (
	EventPeerRefused = register(1400, logrus.WarnLevel, "peer connection refused",
		"A process outside the fleet, or with another key or protocol version, connected. The fields say which.")
	EventPeerClosed = register(1401, logrus.WarnLevel, "peer connection closed after an invalid message",
		"A peer sent a malformed or oversized message. Compare the software versions of both processes.")
	EventPeerPanic = register(1402, logrus.ErrorLevel, "peer call handler panicked",
		"This is a defect in the router. The call got an error; report the stack.")
	EventMemberChanged = register(1403, logrus.InfoLevel, "member changed state",
		"A router was added, suspected, removed or is leaving. No action.")
	EventVMListUnreachable = register(1404, logrus.WarnLevel, "VM list cannot be read",
		"The platform's list is down. Membership uses heartbeats only; no process is proven terminated by the list.")
	EventVMListWithoutSelf = register(1405, logrus.WarnLevel, "VM list does not contain this VM",
		"The list is ignored. Check --vm and the platform's list.")
)
