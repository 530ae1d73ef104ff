// Package chat defines the JSON and server-sent events that model clients
// speak: POST /v1/chat/completions.
package chat

import (
	"encoding/json"
	"hash/fnv"
	"io"

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

// Parse decodes a request body and checks what charging depends on.
func Parse(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, errors.Wrap(err, "request body")
	}
	switch {
	case r.Model == "":
		return Request{}, errors.New("model is missing")
	case len(r.Messages) == 0:
		return Request{}, errors.New("messages is empty")
	case r.MaxTokens <= 0:
		return Request{}, errors.New("max_tokens must be at least 1")
	case r.MaxTokens > maxTokensLimit:
		return Request{}, errors.Newf("max_tokens is over %d", int64(maxTokensLimit))
	}
	return r, nil
}

// InputBound returns an upper bound on the input tokens of the request. A byte
// pair encoder never makes more tokens than bytes, so the bound holds for every
// model without its vocabulary.
func (r Request) InputBound() int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(m.Role)+len(m.Content)) + perMessageTokens
	}
	return n
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
