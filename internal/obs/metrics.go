package obs

import "expvar"

// Metrics holds every metric of the process. It is published at /debug/vars as "dotterelthread".
var Metrics = expvar.NewMap("dotterelthread")

// newMetric creates an integer metric and adds it to Metrics. It is called once for each name, at package
// initialization. Names of counters end in _total.
func newMetric(name string) *expvar.Int {
	v := new(expvar.Int)
	Metrics.Set(name, v)
	return v
}

// Counters and gauges of requests, bills and the log.
var (
	// AttachedRunsTotal counts requests whose response came from an engine run that is charged to an attempt of
	// another router (chat.Usage.HeldBy). That router, or its backup, writes the bill.
	AttachedRunsTotal = newMetric("attached_runs_total")
	// RequestsTotal counts the callers' requests; RefusalsTotal counts those that were refused and did not run.
	RequestsTotal = newMetric("requests_total")
	RefusalsTotal = newMetric("refusals_total")
	// BudgetUnavailableTotal counts requests that were refused because the state of their budget could not be
	// determined in time.
	BudgetUnavailableTotal = newMetric("budget_unavailable_total")
	// OverspendTokensTotal is a gauge: the tokens by which the reported spending of all entries exceeds their
	// prepaid amounts. It is 0 unless the ledger has a defect.
	OverspendTokensTotal = newMetric("overspend_tokens_total")
	BillsTotal           = newMetric("bills_total")
	// LedgerRecordsSkipped is published, but nothing increments it.
	LedgerRecordsSkipped = newMetric("ledger_records_skipped_total")
	// LogAppendsTotal counts appends of claims, bills and budget records.
	LogAppendsTotal = newMetric("log_appends_total")
	// ResponsesOverMemoryTotal counts responses that were not read to their end, because the memory for responses in
	// progress was used up.
	ResponsesOverMemoryTotal = newMetric("responses_over_memory_total")
	// MismatchedResponsesTotal counts responses to another request than the one that was sent, or to an attempt
	// that a later attempt has replaced.
	MismatchedResponsesTotal = newMetric("mismatched_answers_total")
	// StreamEventsOutOfOrderTotal counts events of forwarded streams that did not follow the one before, and
	// StreamEndsUnprovenTotal the responses of such streams that had neither a length nor chunks, ended with their
	// connections and are not whole as far as is known. StreamEndsUnmarkedTotal counts those that ended in the same way at
	// upstreams that live.
	StreamEventsOutOfOrderTotal = newMetric("stream_events_out_of_order_total")
	StreamEndsUnprovenTotal     = newMetric("stream_ends_unproven_total")
	StreamEndsUnmarkedTotal     = newMetric("stream_ends_unmarked_total")
	// ResponseEndsUnprovenTotal is StreamEndsUnprovenTotal for responses that are no streams.
	ResponseEndsUnprovenTotal = newMetric("response_ends_unproven_total")
	ChargedTokensTotal        = newMetric("charged_tokens_total")
	// OutcomeUnknownTotal counts requests that may have run, but whose response was lost.
	OutcomeUnknownTotal = newMetric("outcome_unknown_total")
	// ConfigRecordsSkipped counts malformed records of the config stream.
	ConfigRecordsSkipped = newMetric("config_records_skipped_total")
	// UpstreamRecordsSkipped counts malformed records of upstreams, once per version of a record.
	UpstreamRecordsSkipped = newMetric("upstream_records_skipped_total")
	// DemandsMalformedTotal counts readings of a malformed demand in another router's heartbeat.
	DemandsMalformedTotal = newMetric("demands_malformed_total")
	// LinkRefusalsTotal counts requests that were refused because the router's network link is full.
	LinkRefusalsTotal = newMetric("link_refusals_total")
	// IdleConnectionsClosedTotal counts the connections of callers that were closed to make room for new ones.
	IdleConnectionsClosedTotal = newMetric("idle_connections_closed_total")
	// StalledConnectionsClosedTotal counts those whose request was incomplete and made no progress.
	StalledConnectionsClosedTotal = newMetric("stalled_connections_closed_total")
	// AcceptHoldsTotal counts the steps of 10 ms for which no connection was accepted because the link received too much.
	AcceptHoldsTotal = newMetric("accept_holds_total")
	// UpstreamFailuresTotal counts failed attempts, except those that ended with the caller's connection or the
	// deadline.
	UpstreamFailuresTotal = newMetric("upstream_failures_total")
	// SettleAboveReserveTotal counts requests that used more tokens than were reserved. They are billed at the
	// reserved amount.
	SettleAboveReserveTotal = newMetric("settle_above_reserve_total")
	// RetriesTotal counts attempts after the first of a request.
	RetriesTotal = newMetric("retries_total")
	// CanceledTotal counts requests whose caller disconnected, or whose deadline passed, while they ran.
	CanceledTotal = newMetric("canceled_total")
	// IdempotentRepeatsTotal counts requests that repeat an earlier one with the same idempotency key.
	IdempotentRepeatsTotal = newMetric("idempotent_repeats_total")
	// StreamsResumedTotal counts how often an engine continued a broken stream.
	StreamsResumedTotal = newMetric("streams_resumed_total")
	// UnknownResolvedTotal counts requests with an unknown outcome that were later billed or released.
	UnknownResolvedTotal = newMetric("unknown_resolved_total")
	// FalseRefusalsTotal counts refused requests that the unspent and unreserved budget would have covered,
	// as far as this router knows.
	FalseRefusalsTotal = newMetric("false_refusals_total")
	// SpeedSamplesTotal counts the measured times from which the speeds of upstreams are estimated.
	SpeedSamplesTotal = newMetric("speed_samples_total")
	// CachePredictionsHeldTotal and CachePredictionsMissedTotal count the prompts whose time to the first event shows that
	// the upstream held the predicted part in its cache, or did not.
	CachePredictionsHeldTotal   = newMetric("cache_predictions_held_total")
	CachePredictionsMissedTotal = newMetric("cache_predictions_missed_total")
	// RequestsOpen is the number of requests in progress.
	RequestsOpen = newMetric("requests_open")
)

// UpstreamConnectionsTotal counts the connections that were opened to upstreams to forward requests.
var UpstreamConnectionsTotal = newMetric("upstream_connections_total")
