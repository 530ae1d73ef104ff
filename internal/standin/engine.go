package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Engine is a stand-in model engine. Its answer is a function of the request,
// so a test can compare what a caller got byte for byte.
type Engine struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// FirstToken is the time until the first token.
	FirstToken time.Duration
	// Runs counts the requests that began to run.
	Runs atomic.Int64
	// Tokens counts input and output tokens of all runs.
	Tokens atomic.Int64
}

// Handler serves the engine.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.complete)
	return r
}

// AnswerTokens returns the tokens that the engine generates for a request.
func AnswerTokens(req chat.Request) []string {
	last := req.Messages[len(req.Messages)-1].Content
	words := strings.Fields(last)
	tokens := make([]string, 0, req.MaxTokens)
	for i := int64(0); i < req.MaxTokens && i < int64(4*len(words)+4); i++ {
		word := "ok"
		if len(words) > 0 {
			word = words[i%int64(len(words))]
		}
		tokens = append(tokens, fmt.Sprintf("%s-%d ", word, i))
	}
	return tokens
}

// InputTokens returns the engine's count of a request's input.
func InputTokens(req chat.Request) int64 {
	var n int64
	for _, m := range req.Messages {
		n += int64(len(strings.Fields(m.Content))) + 1
	}
	return n
}

func (e *Engine) complete(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return
	}
	req, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := httpReq.Header.Get(chat.HeaderRequestID)
	w.Header().Set(chat.HeaderRequestID, id)
	w.Header().Set(chat.HeaderAttempt, httpReq.Header.Get(chat.HeaderAttempt))
	e.Runs.Add(1)
	tokens := AnswerTokens(req)
	usage := &chat.Usage{PromptTokens: InputTokens(req), CompletionTokens: int64(len(tokens))}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	e.Tokens.Add(usage.TotalTokens)
	time.Sleep(e.FirstToken)
	if req.Stream {
		e.stream(w, req, id, tokens, usage)
		return
	}
	time.Sleep(e.TokenInterval * time.Duration(len(tokens)))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chat.Response{
		ID: id, Object: "chat.completion", Model: req.Model, Usage: usage,
		Choices: []chat.Choice{{
			Message:      &chat.Message{Role: "assistant", Content: strings.Join(tokens, "")},
			FinishReason: "stop",
		}},
	})
}

func (e *Engine) stream(w http.ResponseWriter, req chat.Request, id string, tokens []string, usage *chat.Usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for _, token := range tokens {
		writeChunk(w, chat.Response{
			ID: id, Object: "chat.completion.chunk", Model: req.Model,
			Choices: []chat.Choice{{Delta: &chat.Message{Content: token}}},
		})
		if flusher != nil {
			flusher.Flush()
		}
		time.Sleep(e.TokenInterval)
	}
	writeChunk(w, chat.Response{
		ID: id, Object: "chat.completion.chunk", Model: req.Model, Usage: usage,
		Choices: []chat.Choice{{FinishReason: "stop"}},
	})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, chunk chat.Response) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
