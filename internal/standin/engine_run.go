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

// run is the execution of one request at an engine. It continues after the connection that started it is
// closed.
type run struct {
	id           string
	req          chat.Request
	bodyHash     [32]byte
	tokens       []string
	promptTokens int64
	// priority orders waiting runs; lower values run first.
	priority int

	mu sync.Mutex
	// reader is the attempt that reads the run. heldBy is the last attempt that attached before the run was
	// complete or, if there was none, the first attempt that attached.
	reader   string
	heldBy   string
	produced int
	canceled bool
	changed  chan struct{}
}

func (e *Engine) newRun(id string, req chat.Request, bodyHash [32]byte) *run {
	return &run{
		id: id, req: req, bodyHash: bodyHash, tokens: e.responseTokens(req),
		promptTokens: InputTokens(req), changed: make(chan struct{}),
	}
}

// attach makes the attempt the reader of the run. It returns false if the run was canceled.
func (r *run) attach(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled {
		return false
	}
	r.reader = attempt
	if r.heldBy == "" || r.produced < len(r.tokens) {
		r.heldBy = attempt
	}
	return true
}

// advance adds n produced tokens. It returns false if the run was canceled.
func (r *run) advance(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled {
		return false
	}
	r.produced += n
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// cancel stops the run if the attempt is its reader, and returns false otherwise. A complete run is unchanged.
func (r *run) cancel(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.reader {
		return false
	}
	if r.produced < len(r.tokens) && !r.canceled {
		r.canceled = true
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return true
}

// progress returns the number of produced tokens, whether the run was canceled, and a channel that is closed
// at the next change.
func (r *run) progress() (produced int, canceled bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.produced, r.canceled, r.changed
}

func (r *run) currentUsage() chat.RunUsage {
	produced, canceled, _ := r.progress()
	r.mu.Lock()
	heldBy := r.heldBy
	r.mu.Unlock()
	u := chat.RunUsage{RequestID: r.id, State: chat.RunRunning, Usage: chat.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: int64(produced),
		TotalTokens: r.promptTokens + int64(produced), HeldBy: heldBy,
	}}
	switch {
	case canceled:
		u.State = chat.RunCanceled
	case produced == len(r.tokens):
		u.State = chat.RunComplete
	}
	return u
}

func (r *run) writeUsage(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.currentUsage())
}

// waitForTokens waits until more than n tokens or all tokens were produced, and returns their number. It
// aborts the connection if the run is canceled or the client disconnects.
func (r *run) waitForTokens(w http.ResponseWriter, httpReq *http.Request, n int) int {
	for {
		produced, canceled, changed := r.progress()
		if canceled {
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

func (r *run) writeCompletion(w http.ResponseWriter, httpReq *http.Request) {
	for n := 0; n < len(r.tokens); {
		n = r.waitForTokens(w, httpReq, n)
	}
	usage := r.currentUsage().Usage
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chat.Response{
		ID: r.id, Object: "chat.completion", Model: r.req.Model, Usage: &usage,
		Choices: []chat.Choice{{
			Message:      &chat.Message{Role: "assistant", Content: strings.Join(r.tokens, "")},
			FinishReason: "stop",
		}},
	})
}

// event returns event number n of the stream. Each event has one token, except the last, which has the usage.
func (r *run) event(n int) chat.Response {
	chunk := chat.Response{ID: r.id, Object: "chat.completion.chunk", Model: r.req.Model}
	if n < len(r.tokens) {
		chunk.Choices = []chat.Choice{{Delta: &chat.Message{Content: r.tokens[n]}}}
		return chunk
	}
	usage := r.currentUsage().Usage
	chunk.Usage = &usage
	chunk.Choices = []chat.Choice{{FinishReason: "stop"}}
	return chunk
}

func (e *Engine) writeStream(w http.ResponseWriter, httpReq *http.Request, r *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.SoftwareVersion != "" {
		w.Header().Set(chat.HeaderSoftwareVersion, e.SoftwareVersion)
	}
	controller := http.NewResponseController(w)
	for n := offset; n <= len(r.tokens); n++ {
		r.waitForTokens(w, httpReq, n)
		if e.consumeBreak(n) {
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

// consumeBreak reports whether the stream breaks before event n, and counts the fault down.
func (e *Engine) consumeBreak(n int) bool {
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
