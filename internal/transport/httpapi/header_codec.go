package httpapi

import (
	"net/http"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// HeaderCodec reads and writes the headers of forwarded requests and their responses, whose names depend on the
// deployment. Callers and upstreams use the same names.
type HeaderCodec interface {
	// ParseCaller parses the headers of a caller's request.
	ParseCaller(h http.Header) (CallerInfo, error)
	// SetOutgoing sets the router's own headers on a request to an upstream, and removes those that only the
	// router may set.
	SetOutgoing(h http.Header, o OutgoingInfo)
	// SetRemaining sets the time left until the deadline of a request that is passed on to another router.
	SetRemaining(h http.Header, remaining time.Duration)
	// ParseResponse parses the headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRefusal sets the headers of an error response that comes from the router itself.
	SetRefusal(h http.Header, id string, retryAfter time.Duration)
}

// CallerInfo holds the values from the headers of a caller's request.
type CallerInfo struct {
	ID     string
	Secret string
	// Timeout is how long the caller waits; 0 if the request does not state it.
	Timeout time.Duration
	// Prompt is nil for requests that use no tokens.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the caller has of a stream that it resumes, empty for a new stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that it takes up again. It is
	// empty for a new stream, and if the caller does not say.
	Resumes string
}

// Prompt describes the prompt and the token limits of a request.
type Prompt struct {
	PromptTokens    int64
	MaxOutputTokens int64
	Parts           []routing.PromptPart
}

// OutgoingInfo holds the values of the router's own headers of a request to an upstream.
type OutgoingInfo struct {
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Instance is the upstream process that the request is for.
	Instance string
	Team     string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the ID of the last event that was sent to the caller, when the router resumes a stream.
	// If it is empty, the caller's header is passed on.
	LastEventID string
}

// ResponseInfo holds the values from the headers of an upstream's response.
type ResponseInfo struct {
	// NotRun is true only when the upstream states that it did not run the request.
	NotRun bool
	// WrongInstance is true when another upstream process serves the address.
	WrongInstance bool
	// Genuine is false for a response that no upstream of the deployment would send.
	Genuine bool
	// Load is nil when the response does not report it.
	Load *UpstreamLoad
	// Notice is what the upstream says about itself. Its Ran is the opposite of NotRun.
	Notice upstream.Notice
}

// UpstreamLoad is the load that an upstream reports: running and waiting requests, and its capacity in slots.
type UpstreamLoad struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes at present, in percent of the usual time; 0 means not stated.
	WorkPercent int
}
