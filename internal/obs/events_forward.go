package obs

import "github.com/sirupsen/logrus"

// Events of forwarded requests, numbers 1610 to 1649.
var (
	EventRequestServed = register(1610, logrus.InfoLevel, "request succeeded",
		"The upstream's response was delivered. \"passed_on\" says that the router \"upstream\" served it, \"from_router\" that another router passed it on. The field \"first_ms\" is the time to its first byte. "+
			"\"out_of_order\" counts events of a stream that did not follow the one before; \"unmarked_end\" says that a stream "+
			"ended with the upstream's connection and had neither a length nor chunks, \"unproven_end\" that the upstream may "+
			"have ended too. \"resumed_after\" is the last event that a "+
			"caller has of the stream that it takes up again.")
	EventRequestFailed = register(1611, logrus.WarnLevel, "request failed",
		"The fields \"code\" and \"cause\" say why; docs/OPERATIONS.md explains their values. \"resumed_after\" is as in 1610.")
	EventAttemptFailed = register(1612, logrus.InfoLevel, "attempt failed",
		"One upstream failed or sent an error. The request may have been sent to another upstream.")
	EventLoadSheddingChanged = register(1614, logrus.WarnLevel, "load shedding started or stopped",
		"The CPU (timers fire late) or the network link is overloaded. Refused callers use other routers. Add routers if it lasts.")
	EventUnreachable = register(1615, logrus.WarnLevel, "no upstream of a service can be reached",
		"Connection attempts to \"failed\" upstreams failed, and none answered for \"ms\". Requests are passed on to other routers until a "+
			"check reaches upstreams again (1616). If all routers say so, the upstreams are down; else check this VM's network.")
	EventReachable = register(1616, logrus.InfoLevel, "upstreams of a service can be reached again",
		"After \"ms\" requests are sent to upstreams again. No action.")
	EventHopUnauthorized = register(1617, logrus.WarnLevel, "request at the address for routers refused",
		"It carries no proof that a router of the fleet passed it on, or the proof is older than a minute. Check who reaches the address, "+
			"the key of the fleet and the clocks.")
	EventResponseUndelivered = register(1618, logrus.WarnLevel, "response not delivered",
		"The connection of a caller ended before all of a response that 1610 reports had reached it: \"unacknowledged\" bytes were on "+
			"their way, or a write failed with \"error\". The caller may have left; around a stop of the router, look for 1001 and 1002.")
	EventIncomingMemoryUsedUp = register(1619, logrus.WarnLevel, "memory for callers' requests used up",
		"Requests hold \"bytes\". Since the start, \"refused\" were refused for it, and \"stalled\" were ended because their callers sent "+
			"nothing. At most one line per second. See docs/operations/overload.md.")
	EventConnectionsUsedUp = register(1620, logrus.WarnLevel, "connections for callers used up",
		"Nearly all of the \"limit\" connections were open. Since the start, \"stalled\" were closed because their requests made no "+
			"progress, and \"idle\" because they waited for a request. At most one line per second. See docs/operations/overload.md.")
	EventLinkFullChanged = register(1628, logrus.WarnLevel, "network link full or no longer full",
		"What the admitted requests need fills the network link (\"full\"). Others are refused, and their callers use other routers. "+
			"\"link\" is the fraction of the bandwidth in use. Add routers if it lasts, or spread the callers.")
	EventLinesDropped = register(1613, logrus.WarnLevel, "log lines dropped",
		"The log lines exceeded the rate limit, or their reader was too slow. The counters are still complete.")
)

var (
	// RequestsOverMemoryTotal counts requests that were refused, or whose connection was closed, because the memory for callers'
	// requests was used up. RequestsStalledTotal counts those whose bodies made no progress while others needed the memory.
	RequestsOverMemoryTotal = newMetric("requests_over_memory_total")
	RequestsStalledTotal    = newMetric("requests_stalled_total")
)

// ResponsesUndeliveredTotal counts whole responses whose caller's connection ended before it had all of them.
var ResponsesUndeliveredTotal = newMetric("responses_undelivered_total")

var (
	// HopsSentTotal counts requests that were sent to another router, because no upstream could be reached. HopsRefusedTotal
	// counts those of them that did not run there, and HopsLostTotal those whose outcome the other router did not tell.
	HopsSentTotal    = newMetric("hops_sent_total")
	HopsRefusedTotal = newMetric("hops_refused_total")
	HopsLostTotal    = newMetric("hops_lost_total")
	// HopsReceivedTotal counts requests that other routers passed on, and HopsUnauthorizedTotal those without a proof of it.
	HopsReceivedTotal     = newMetric("hops_received_total")
	HopsUnauthorizedTotal = newMetric("hops_unauthorized_total")
)
