package httpapi

import (
	"encoding/json"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// logResult logs the outcome of a request and records its latency.
func (op *forwardOp) logResult(x *exchange) {
	now := x.api.Now()
	fields := logrus.Fields{
		"request_id": x.id, "status": op.status, "ms": now.Sub(x.startedAt).Milliseconds(),
		"sends": op.mayHaveRunCount, "refusals": op.refusals, "unsent": op.unsent, "upstream": op.upstream,
	}
	if x.snapshot != nil {
		fields["config_version"] = x.snapshot.Version
	}
	if op.configAge > 0 {
		fields["config_age_ms"] = op.configAge.Milliseconds()
	}
	if op.route != nil {
		fields["route"] = op.route.Name
	}
	if x.entry != nil && x.entry.Name != "" {
		fields["entry"] = x.entry.Name
	}
	if op.code != "" {
		fields["code"] = op.code
	}
	if op.cause != nil {
		fields["cause"] = op.cause.Error()
	}
	if !op.firstByteAt.IsZero() {
		fields["first_ms"] = op.firstByteAt.Sub(x.startedAt).Milliseconds()
		obs.FirstByteLatency.Record(op.firstByteAt.Sub(x.startedAt))
	}
	if x.maxCost > 0 {
		fields["bound"], fields["events"], fields["charged"] = x.maxCost, op.events, op.charged
	}
	if after := op.caller.LastEventID; after != "" {
		fields["resumed_after"] = after
	}
	if op.abortConnection {
		fields["cut"] = true
	}
	if op.passedOn {
		fields["passed_on"] = true
	}
	if x.hop != nil {
		fields["from_router"] = true
	}
	if op.origin.takenUp {
		fields["resumes"], fields["origin"] = op.caller.Resumes, op.origin.source
	}
	if op.origin.version != nil {
		fields["software_version"] = *op.origin.version
	}
	if op.outOfOrder > 0 {
		fields["out_of_order"] = op.outOfOrder
	}
	if op.unprovenEnd {
		fields["unproven_end"] = true
	} else if op.unmarkedEnd {
		fields["unmarked_end"] = true
	}
	obs.RequestLatency.Record(now.Sub(x.startedAt))
	if op.status >= 200 && op.status < 300 && !op.abortConnection {
		obs.EventRequestServed.Log(x.api.Logger, fields)
		noteWritten(x.httpReq.Context(), x.id)
	} else {
		obs.EventRequestFailed.Log(x.api.Logger, fields)
	}
}

// logFailedAttempt logs why an attempt failed.
func (op *forwardOp) logFailedAttempt(x *exchange, err error) {
	obs.EventAttemptFailed.Log(x.api.Logger, logrus.Fields{
		"request_id": x.id, "upstream": op.upstream, "address": x.attempt.Upstream().Address,
		"sends": op.mayHaveRunCount, "events": op.events, "ms": x.api.Now().Sub(x.startedAt).Milliseconds(), "error": err.Error(),
	})
}

func errorJSON(e *APIError) []byte {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return nil
	}
	return append(data, '\n')
}
