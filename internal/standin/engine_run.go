package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// run is one request at an engine. It outlives the connection that started it.
type run struct {
	id           string
	req          chat.Request
	bodyHash     [32]byte
	tokens       []string
	promptTokens int64
	// priority is the engine's; lower runs first.
	priority int

	mu sync.Mutex
	// attempt reads the run now; heldBy did so last before the run was complete.
	attempt   string
	heldBy    string
	produced  int
	cancelled bool
	changed   chan struct{}
}

func newRun(id string, req chat.Request, bodyHash [32]byte) *run {
	return &run{
		id: id, req: req, bodyHash: bodyHash, tokens: ResponseTokens(req),
		promptTokens: InputTokens(req), changed: make(chan struct{}),
	}
}

// attach makes the attempt the reader of the run. It reports false for a run
// that was cancelled.
func (r *run) attach(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return false
	}
	r.attempt = attempt
	if r.heldBy == "" || r.produced < len(r.tokens) {
		r.heldBy = attempt
	}
	return true
}

// advance adds n tokens and reports whether the run goes on.
func (r *run) advance(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return false
	}
	r.produced += n
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// cancel stops the run if the attempt is its reader.
func (r *run) cancel(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt {
		return false
	}
	if r.produced < len(r.tokens) && !r.cancelled {
		r.cancelled = true
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return true
}

// progress returns what was produced and a channel that is closed on a change.
func (r *run) progress() (produced int, cancelled bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.produced, r.cancelled, r.changed
}

func (r *run) usageSoFar() chat.StreamUsage {
	produced, cancelled, _ := r.progress()
	r.mu.Lock()
	heldBy := r.heldBy
	r.mu.Unlock()
	u := chat.StreamUsage{RequestID: r.id, State: chat.RunRunning, Usage: chat.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: int64(produced),
		TotalTokens: r.promptTokens + int64(produced), HeldBy: heldBy,
	}}
	switch {
	case cancelled:
		u.State = chat.RunCancelled
	case produced == len(r.tokens):
		u.State = chat.RunComplete
	}
	return u
}

func (r *run) writeUsage(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.usageSoFar())
}

// wait returns when more than n tokens were produced, or all of them. It ends
// the connection when the run is cancelled or its reader left.
func (r *run) wait(w http.ResponseWriter, httpReq *http.Request, n int) int {
	for {
		produced, cancelled, changed := r.progress()
		if cancelled {
			abortConnection(w)
		}
		if produced > n || produced == len(r.tokens) {
			return produced
		}
		select {
		case <-changed:
		case <-httpReq.Context().Done():
			abortConnection(w)
		}
	}
}

func (r *run) whole(w http.ResponseWriter, httpReq *http.Request) {
	for n := 0; n < len(r.tokens); {
		n = r.wait(w, httpReq, n)
	}
	usage := r.usageSoFar().Usage
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chat.Response{
		ID: r.id, Object: "chat.completion", Model: r.req.Model, Usage: &usage,
		Choices: []chat.Choice{{
			Message:      &chat.Message{Role: "assistant", Content: strings.Join(r.tokens, "")},
			FinishReason: "stop",
		}},
	})
}

// event returns event number n: a token each, then the usage.
func (r *run) event(n int) chat.Response {
	chunk := chat.Response{ID: r.id, Object: "chat.completion.chunk", Model: r.req.Model}
	if n < len(r.tokens) {
		chunk.Choices = []chat.Choice{{Delta: &chat.Message{Content: r.tokens[n]}}}
		return chunk
	}
	usage := r.usageSoFar().Usage
	chunk.Usage = &usage
	chunk.Choices = []chat.Choice{{FinishReason: "stop"}}
	return chunk
}

func (e *Engine) stream(w http.ResponseWriter, httpReq *http.Request, r *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := offset; n <= len(r.tokens); n++ {
		r.wait(w, httpReq, n)
		if e.breaksAt(n) {
			_ = controller.Flush()
			abortConnection(w)
		}
		writeEvent(w, n, r.event(n))
		if controller.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: "+chat.DoneMark+"\n\n")
}

func (e *Engine) breaksAt(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Break == 0 || n != e.faults.BreakAt {
		return false
	}
	e.faults.Break--
	return true
}

func writeEvent(w io.Writer, n int, chunk chat.Response) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
}
