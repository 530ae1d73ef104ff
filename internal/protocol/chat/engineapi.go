package chat

import (
	"strconv"
	"strings"
)

// The engine API beside POST /v1/chat/completions. A stream is a list of events
// numbered from 0; each event carries its number as the SSE field "id". An
// engine keeps a stream after its connection broke, so that the router can read
// on from the first event that it does not have.
//
//	GET    /v1/streams/{request_id}?offset=n   events from number n on
//	DELETE /v1/streams/{request_id}            stops the run, answers StreamUsage
//	GET    /v1/streams/{request_id}/usage      answers StreamUsage
//
// All answer 404 for a request that the engine does not hold, which does not
// prove that it never ran. DELETE with an X-Attempt that was replaced answers
// 409 and stops nothing. A POST with the id and body of a stream that the engine
// holds attaches to it and does not run again.

// HeaderLeaving is set by an upstream that refuses a request because it takes no
// new work.
const HeaderLeaving = "X-Leaving"

// LoadReport is the answer to GET /v1/load of an engine or a plain service.
type LoadReport struct {
	// Incarnation changes when the upstream restarts.
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Concurrency is the number of requests run at once; 0 means as declared.
	Concurrency int `json:"concurrency,omitempty"`
	// Started counts the requests that began to run in this incarnation.
	Started int64 `json:"started"`
	// AgeMS is the time since the measurement, in ms.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Draining is true when the upstream takes no new work.
	Draining bool `json:"leaving,omitempty"`
}

// CacheEvents is the answer to GET /v1/cache/events?after=n: the changes of the
// prefix cache after event number n. Events come late, and some never come.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent is one change of an engine's prefix cache. The hashes are those of
// Request.PrefixHashes.
type CacheEvent struct {
	// Seq counts the events of an incarnation from 1.
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// AttemptID names attempt n of a holder in the whole fleet: a request may be
// tried by another router after this one.
func AttemptID(n int, holder string) string { return strconv.Itoa(n) + "@" + holder }

// HeldByOther reports whether an attempt of another process holds the run. That
// process pays for it: it bills the run, or its backup does.
func (u Usage) HeldByOther(process string) bool { return u.HeldBy != "" && !u.HeldByProcess(process) }

// HeldByProcess reports whether an attempt of the process holds the run.
func (u Usage) HeldByProcess(process string) bool {
	_, holder, _ := strings.Cut(u.HeldBy, "@")
	return holder == process
}

// HeaderDeadline is the time that is left for the request, in milliseconds.
const HeaderDeadline = "X-Deadline-Ms"

// DoneMark is the data of the event after the last one.
const DoneMark = "[DONE]"

// RunState is the state of a run at an engine.
type RunState string

// The states of a run. All but RunRunning are final.
const (
	RunRunning   RunState = "running"
	RunComplete  RunState = "complete"
	RunCancelled RunState = "cancelled"
)

// StreamUsage is what a run used so far, or in all when its state is final.
type StreamUsage struct {
	RequestID string   `json:"request_id"`
	State     RunState `json:"state"`
	Usage     Usage    `json:"usage"`
}

// Final reports whether the usage no longer changes.
func (u StreamUsage) Final() bool { return u.State != RunRunning }
