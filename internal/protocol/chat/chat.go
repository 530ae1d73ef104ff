// Package chat defines the JSON and server-sent events that model clients
// speak: POST /v1/chat/completions.
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
	// HeaderAttempt numbers the attempts of a request from 1. An upstream
	// returns it, so that a late answer of an earlier attempt is recognised.
	HeaderAttempt = "X-Attempt"
	// HeaderPriority is the engine's priority; lower runs first.
	HeaderPriority = "X-Priority"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion. Fields that the router does not
// use are passed on unchanged in the raw body.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// N is the number of answers; 0 stands for one.
	N int64 `json:"n,omitempty"`

	// inputBytes is the length of everything in the body that may become input.
	inputBytes int64
}

// Usage is what a completion used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one answer of a Response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Response is a whole completion, or one chunk of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// perMessageTokens covers the role and separators of one message.
const perMessageTokens = 8

// maxTokensLimit keeps sums of bounds far from overflow.
const maxTokensLimit = 1 << 40

// maxAnswers bounds the answers to one request.
const maxAnswers = 128

// Parse decodes a request body and checks what charging depends on.
//
// Names are compared exactly, and whatever the router does not know counts as
// input. Otherwise a body with "max_tokens" and "Max_Tokens", or with a field
// that only the engine knows, would be reserved for less than it uses.
func Parse(body []byte) (Request, error) {
	var r Request
	var fields map[string]json.RawMessage
	// A byte that is no UTF-8 may become three at the engine.
	if !utf8.Valid(body) {
		return Request{}, errors.New("request body is not UTF-8")
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, errors.Wrap(err, "request body")
	}
	if err := r.decode(fields); err != nil {
		return Request{}, err
	}
	return r, r.check()
}

// decode takes the known fields and counts the length of the others.
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

func (r *Request) check() error {
	switch {
	case r.Model == "":
		return errors.New("model is missing")
	case len(r.Messages) == 0:
		return errors.New("messages is empty")
	case r.MaxTokens <= 0:
		return errors.New("max_tokens must be at least 1")
	case r.MaxTokens > maxTokensLimit:
		return errors.Newf("max_tokens is over %d", int64(maxTokensLimit))
	case r.N < 0 || r.N > maxAnswers:
		return errors.Newf("n must be from 1 to %d", maxAnswers)
	}
	return nil
}

// InputBound returns an upper bound on the input tokens of a parsed request. A
// byte pair encoder never makes more tokens than bytes, so the bound holds for
// every model without its vocabulary.
func (r Request) InputBound() int64 {
	return r.inputBytes + int64(len(r.Messages))*perMessageTokens
}

// Bound returns the most that a parsed request can cost, in tokens.
func (r Request) Bound() int64 {
	return r.InputBound() + r.MaxTokens*max(1, r.N)
}

// prefixBlockBytes is the length of the steps in which PrefixHashes covers a
// long prompt.
const prefixBlockBytes = 1024

// maxPrefixHashes bounds the hashes of one prompt.
const maxPrefixHashes = 64

// PrefixHashes returns hashes of the beginnings of the prompt, shortest first:
// one after each block of text and one after each message. Two prompts that
// begin alike have the same first hashes.
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
