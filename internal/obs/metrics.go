package obs

import "expvar"

// Metrics is the expvar map that holds every metric of the process, published
// under /debug/vars as "dotterelthread".
var Metrics = expvar.NewMap("dotterelthread")

// Counter returns the counter with the given name, created on first use at
// package initialisation. Names end in _total.
func Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	Metrics.Set(name, v)
	return v
}

// Counters of the whole process.
var (
	AttachedRunsTotal        = Counter("attached_runs_total")
	RequestsTotal            = Counter("requests_total")
	RefusalsTotal            = Counter("refusals_total")
	BudgetUnavailableTotal   = Counter("budget_unavailable_total")
	OverspendTokensTotal     = Counter("overspend_tokens_total")
	BillsTotal               = Counter("bills_total")
	LedgerRecordsSkipped     = Counter("ledger_records_skipped_total")
	LogAppendsTotal          = Counter("log_appends_total")
	MismatchedResponsesTotal = Counter("mismatched_answers_total")
	ChargedTokensTotal       = Counter("charged_tokens_total")
	OutcomeUnknownTotal      = Counter("outcome_unknown_total")
	ConfigRecordsSkipped     = Counter("config_records_skipped_total")
	UpstreamFailuresTotal    = Counter("upstream_failures_total")
	SettleAboveReserveTotal  = Counter("settle_above_reserve_total")
	RetriesTotal             = Counter("retries_total")
	CanceledTotal            = Counter("canceled_total")
	IdempotentRepeatsTotal   = Counter("idempotent_repeats_total")
	StreamsResumedTotal      = Counter("streams_resumed_total")
	UnknownResolvedTotal     = Counter("unknown_resolved_total")
	// FalseRefusalsTotal counts refusals of requests that the unspent and
	// unreserved budget covered, as far as this router knows.
	FalseRefusalsTotal = Counter("false_refusals_total")
	// RequestsOpen is the number of requests in progress.
	RequestsOpen = Counter("requests_open")
)

// UpstreamConnectionsTotal counts connections that were opened to upstreams of
// forwarded requests.
var UpstreamConnectionsTotal = Counter("upstream_connections_total")
