package chat

import (
	"strconv"
	"strings"
)

// The engine API besides POST /v1/chat/completions. A run is one execution of a request at an engine. Its
// stream is a sequence of events numbered from 0; each event carries its number in the SSE field "id". An
// engine keeps a stream after its connection has broken, so that the router can resume at the first event
// that it has not received. The router reads events without numbers only if no event of the stream has one, and cannot
// resume such a stream. The last event of each choice has a finish reason; without it, the end marker does not end the
// stream. Where engines of several software versions serve one model, each states its version in
// HeaderSoftwareVersion of a stream, and the router resumes the stream only at that version.
//
//	GET    /v1/streams/{request_id}?offset=n   returns the events from number n on
//	DELETE /v1/streams/{request_id}            stops the run and returns RunUsage
//	GET    /v1/streams/{request_id}/usage      returns RunUsage
//
// All of them return 404 for a request of which the engine has no run, which does not prove that it never
// ran. DELETE with an X-Attempt that a later attempt has replaced returns 409 and does not stop the run. A
// POST with the ID and body of a stream that the engine has kept attaches to it and does not run the request
// again.

// HeaderDraining is set on all responses of an upstream whose process leaves, also on those that refuse a request for
// that reason.
const HeaderDraining = "X-Leaving"

// LoadReport is the response of an engine or a plain service to GET /v1/load.
type LoadReport struct {
	// Incarnation changes when the upstream restarts.
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Concurrency is the number of requests that run at once; 0 means the value in the catalogue.
	Concurrency int `json:"concurrency,omitempty"`
	// Started counts the requests that have started to run in this incarnation.
	Started int64 `json:"started"`
	// AgeMS is the age of the measurement, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Draining is true if the upstream is draining and accepts no new work.
	Draining bool `json:"leaving,omitempty"`
}

// CacheEvents is the response to GET /v1/cache/events?after=n: the changes of the prefix cache after event
// number n. Events may be delayed or missing.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent is one change of an engine's prefix cache. The hashes are those returned by
// Request.PrefixHashes.
type CacheEvent struct {
	// Seq numbers the events of an incarnation from 1.
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// AttemptID returns the ID of attempt number n of the given holder (router process). The holder numbers the attempts of
// all its requests together: a caller's repeat has the ID of the refused request, and with the same attempt ID too a copy
// of the refusal would be taken for the response to the repeat.
func AttemptID(n int64, holder string) string { return strconv.FormatInt(n, 10) + "@" + holder }

// HeldByOther reports whether the run is held by an attempt of another router process than the given holder.
// That process bills the run or, if it has terminated, the router that keeps the replica of its reservations.
// The result is false if HeldBy is empty.
func (u Usage) HeldByOther(holder string) bool { return u.HeldBy != "" && !u.HeldByProcess(holder) }

// HeldByProcess reports whether the run is held by an attempt of the given router process.
func (u Usage) HeldByProcess(holder string) bool {
	_, runHolder, _ := strings.Cut(u.HeldBy, "@")
	return runHolder == holder
}

// HeaderDeadline is the time remaining for the request, in milliseconds.
const HeaderDeadline = "X-Deadline-Ms"

// DoneMark is the data of the event that marks the end of a stream.
const DoneMark = "[DONE]"

// RunState is the state of a run at an engine.
type RunState string

// The states of a run. All but RunRunning are final.
const (
	RunRunning  RunState = "running"
	RunComplete RunState = "complete"
	RunCanceled RunState = "cancelled"
)

// RunUsage is the usage of a run so far, or its total usage if its state is final.
type RunUsage struct {
	RequestID string   `json:"request_id"`
	State     RunState `json:"state"`
	Usage     Usage    `json:"usage"`
}

// Final reports whether the usage no longer changes.
func (u RunUsage) Final() bool { return u.State != RunRunning }
