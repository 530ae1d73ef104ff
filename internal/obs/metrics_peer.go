package obs

// Counters of the protocol between routers. Bytes are counted on the connection, without the overhead of TLS.
// Client connections carry the calls of this router, server connections the calls of others.
var (
	PeerClientSentBytes     = newMetric("peer_client_sent_bytes_total")
	PeerClientReceivedBytes = newMetric("peer_client_received_bytes_total")
	PeerServerSentBytes     = newMetric("peer_server_sent_bytes_total")
	PeerServerReceivedBytes = newMetric("peer_server_received_bytes_total")
	// Calls that this router made, and those of them that failed without a response from the peer.
	PeerCallsTotal        = newMetric("peer_calls_total")
	PeerCallFailuresTotal = newMetric("peer_call_failures_total")
	// PeerCallsServedTotal counts calls of other routers.
	PeerCallsServedTotal = newMetric("peer_served_total")
	PeerDialsTotal       = newMetric("peer_dials_total")
	// Connections that were closed: after a handshake that failed for another reason than the following ones, for
	// lack of a common protocol version, after a malformed or an oversized message, or above the connection limit.
	PeerUnauthenticatedTotal = newMetric("peer_strangers_total")
	PeerVersionRefusedTotal  = newMetric("peer_version_refused_total")
	PeerMalformedTotal       = newMetric("peer_malformed_total")
	PeerOversizedTotal       = newMetric("peer_oversized_total")
	PeerOverConnLimitTotal   = newMetric("peer_over_connection_limit_total")
	// PeerHandlerPanicsTotal counts served calls whose handler panicked.
	PeerHandlerPanicsTotal = newMetric("peer_handler_panics_total")
)
