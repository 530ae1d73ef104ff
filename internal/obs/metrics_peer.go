package obs

// Counters of the peers' protocol. Bytes are counted on the connection, TLS
// excluded, by the side that opened it: a client's connection carries this
// node's calls, a server's connection carries the calls of others.
var (
	PeerClientSentBytes      = Counter("peer_client_sent_bytes_total")
	PeerClientReceivedBytes  = Counter("peer_client_received_bytes_total")
	PeerServerSentBytes      = Counter("peer_server_sent_bytes_total")
	PeerServerReceivedBytes  = Counter("peer_server_received_bytes_total")
	PeerCallsTotal           = Counter("peer_calls_total")
	PeerCallFailuresTotal    = Counter("peer_call_failures_total")
	PeerCallsServedTotal     = Counter("peer_served_total")
	PeerDialsTotal           = Counter("peer_dials_total")
	PeerUnauthenticatedTotal = Counter("peer_strangers_total")
	PeerVersionRefusedTotal  = Counter("peer_version_refused_total")
	PeerMalformedTotal       = Counter("peer_malformed_total")
	PeerOversizedTotal       = Counter("peer_oversized_total")
	PeerOverConnLimitTotal   = Counter("peer_over_connection_limit_total")
	PeerHandlerPanicsTotal   = Counter("peer_handler_panics_total")
)
