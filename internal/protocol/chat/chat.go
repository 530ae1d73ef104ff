// Package chat defines the chat completions API that callers use at the router and the router uses at
// engines: the JSON bodies and server-sent events of POST /v1/chat/completions, and the engine endpoints for
// streams, load and cache events.
package chat

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Headers between routers and upstreams.
const (
	// HeaderRequestID identifies the request on every hop.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt identifies the attempt (see AttemptID) among all attempts of all routers. An upstream echoes
	// the header and HeaderRequestID, also when it refuses the request, so that a late response to an earlier attempt
	// can be detected.
	HeaderAttempt = "X-Attempt"
	// HeaderPriority is the request's priority at the engine; lower values run first.
	HeaderPriority = "X-Priority"
	// HeaderRequestLimit is set on responses of an upstream that limits its load: the number of requests per second
	// that it accepts from all routers together. The limit holds until a response lacks the header.
	HeaderRequestLimit = "X-Request-Limit"
	// HeaderSoftwareVersion is set on the streams of an engine: the version of its software, not of the model. What
	// engines of two versions generate does not fit together.
	HeaderSoftwareVersion = "X-Software-Version"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion request. Fields that the router does not use are forwarded
// unchanged in the raw body.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// N is the number of choices to generate; 0 means one.
	N int64 `json:"n,omitempty"`

	// inputBytes is the total length of all parts of the body that the engine may use as input.
	inputBytes int64
}

// Usage is the token usage of a completion.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// HeldBy is the last attempt that attached to the run before it completed, as given in HeaderAttempt; see
	// the engine API in engineapi.go. Only the router that sent this attempt bills the run; see HeldByOther
	// for the exception.
	HeldBy string `json:"held_by,omitempty"`
}

// Choice is one alternative of a Response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Response is a complete completion, or one chunk of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// perMessageTokens is an upper bound on the tokens for the role and the separators of one message.
const perMessageTokens = 8

// maxTokensLimit keeps sums of token bounds far below overflow.
const maxTokensLimit = 1 << 40

// maxChoices bounds the number of choices of one request.
const maxChoices = 128

// Parse decodes a request body and validates the fields that determine its cost.
//
// Field names are compared exactly, and unknown fields count as input. Otherwise the reservation for a body
// with both "max_tokens" and "Max_Tokens", or with a field that only the engine knows, would be smaller than
// its usage.
func Parse(body []byte) (Request, error) {
	var r Request
	var fields map[string]json.RawMessage
	// An engine may replace an invalid byte with a three-byte character, which would exceed the bound.
	if !utf8.Valid(body) {
		return Request{}, errors.New("request body is not UTF-8")
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, errors.Wrap(err, "request body")
	}
	if err := r.decode(fields); err != nil {
		return Request{}, err
	}
	return r, r.validate()
}

// decode decodes the known fields and adds the length of messages and of all unknown fields to inputBytes.
func (r *Request) decode(fields map[string]json.RawMessage) error {
	var maxCompletion int64
	for name, raw := range fields {
		var err error
		switch name {
		case "model":
			err = json.Unmarshal(raw, &r.Model)
		case "messages":
			r.inputBytes += int64(len(name) + len(raw))
			err = json.Unmarshal(raw, &r.Messages)
		case "max_tokens":
			err = json.Unmarshal(raw, &r.MaxTokens)
		case "max_completion_tokens":
			err = json.Unmarshal(raw, &maxCompletion)
		case "stream":
			err = json.Unmarshal(raw, &r.Stream)
		case "n":
			err = json.Unmarshal(raw, &r.N)
		case "best_of":
			err = errors.New("is not supported")
		default:
			r.inputBytes += int64(len(name) + len(raw))
		}
		if err != nil {
			return errors.Wrapf(err, "field %s", name)
		}
	}
	if maxCompletion > r.MaxTokens {
		return errors.New("max_completion_tokens is over max_tokens")
	}
	return nil
}

func (r *Request) validate() error {
	switch {
	case r.Model == "":
		return errors.New("model is missing")
	case len(r.Messages) == 0:
		return errors.New("messages is empty")
	case r.MaxTokens <= 0:
		return errors.New("max_tokens must be at least 1")
	case r.MaxTokens > maxTokensLimit:
		return errors.Newf("max_tokens is over %d", int64(maxTokensLimit))
	case r.N < 0 || r.N > maxChoices:
		return errors.Newf("n must be from 1 to %d", maxChoices)
	}
	return nil
}

// InputBound returns an upper bound on the input tokens of a parsed request. A byte pair encoding never
// produces more tokens than bytes, so the bound holds for every model without knowing its vocabulary.
func (r Request) InputBound() int64 {
	return r.inputBytes + int64(len(r.Messages))*perMessageTokens
}

// CostBound returns an upper bound on the cost of a parsed request, in tokens.
func (r Request) CostBound() int64 {
	return r.InputBound() + r.MaxTokens*max(1, r.N)
}

// prefixBlockBytes is the size of the blocks into which PrefixHashes divides a message.
const prefixBlockBytes = 1024

// maxPrefixHashes bounds the number of hashes of one prompt.
const maxPrefixHashes = 64

// PrefixHashes returns hashes of the prefixes of the prompt, shortest first: one at the end of each block,
// where the last block of a message may be shorter. Prompts with a common prefix have the same first hashes.
// Routing uses them to estimate which engine has the prefix in its cache.
func (r Request) PrefixHashes() []uint64 {
	h := fnv.New64a()
	var hashes []uint64
	for _, m := range r.Messages {
		_, _ = io.WriteString(h, m.Role)
		for rest := m.Content; len(rest) > 0 && len(hashes) < maxPrefixHashes; {
			n := min(len(rest), prefixBlockBytes)
			_, _ = io.WriteString(h, rest[:n])
			rest = rest[n:]
			hashes = append(hashes, h.Sum64())
		}
	}
	return hashes
}
