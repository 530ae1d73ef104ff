package httpapi

import (
	"encoding/json"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// log writes the line that explains the answer of a request.
func (j *forwardJob) log(x *exchange) {
	now := x.api.Now()
	fields := logrus.Fields{
		"request_id": x.id, "status": j.status, "ms": now.Sub(x.began).Milliseconds(),
		"sends": j.sends, "refusals": j.refusals, "unsent": j.unsent, "upstream": j.upstream,
	}
	if x.snapshot != nil {
		fields["config_version"] = x.snapshot.Version
	}
	if j.route != nil {
		fields["route"] = j.route.Name
	}
	if x.entry != nil && x.entry.Name != "" {
		fields["entry"] = x.entry.Name
	}
	if j.code != "" {
		fields["code"] = j.code
	}
	if j.cause != nil {
		fields["cause"] = j.cause.Error()
	}
	if !j.firstAt.IsZero() {
		fields["first_ms"] = j.firstAt.Sub(x.began).Milliseconds()
		obs.FirstEventLatency.Record(j.firstAt.Sub(x.began))
	}
	if x.bound > 0 {
		fields["bound"], fields["events"] = x.bound, j.events
	}
	if j.cut {
		fields["cut"] = true
	}
	obs.RequestLatency.Record(now.Sub(x.began))
	if j.status >= 200 && j.status < 300 && !j.cut {
		obs.EventRequestServed.Log(x.api.Logger, fields)
	} else {
		obs.EventRequestFailed.Log(x.api.Logger, fields)
	}
}

// logAttempt writes why an attempt failed.
func (j *forwardJob) logAttempt(x *exchange, err error) {
	obs.EventAttemptFailed.Log(x.api.Logger, logrus.Fields{
		"request_id": x.id, "upstream": j.upstream, "address": x.attempt.Upstream().Address,
		"sends": j.sends, "events": j.events, "ms": x.api.Now().Sub(x.began).Milliseconds(), "error": err.Error(),
	})
}

func errorJSON(e *APIError) []byte {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return nil
	}
	return append(data, '\n')
}
