package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	// ExportTo is the address of an engine that gets a copy of each new stream
	// before its first token, or empty.
	ExportTo string
	// Crash is called with the body of each run that begins; nil does nothing.
	Crash func(body []byte)
	// Incarnation is reported with the load.
	Incarnation string
	// Runs counts the requests that began to run.
	Runs atomic.Int64
	// Tokens counts input and output tokens of all runs.
	Tokens atomic.Int64

	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool

	// CacheLag is the time until a cache event is published; every CacheGap-th
	// event never is, 0 publishes all.
	CacheLag time.Duration
	CacheGap uint64

	// Slots is the number of requests that run at a time; 0 does not bound it.
	// Waiting requests start in the order of their priority.
	Slots int
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration

	// WeightsURL is the weight store that models are loaded from; empty loads
	// without one.
	WeightsURL string

	control engineControl
	slots   slots
	lagged  laggedLoad
	cache   prefixCache

	mu     sync.Mutex
	runs   map[string]*run
	order  []string
	faults EngineFaults
}

// EngineFaults are the faults of an Engine. Each counts down to 0.
type EngineFaults struct {
	// Refuse answers that many completions with 503 without running them.
	Refuse int `json:"refuse"`
	// ResetBefore closes the connection of that many completions before the run.
	ResetBefore int `json:"reset_before"`
	// ResetAfter closes the connection of that many completions after the run
	// began and before the first byte.
	ResetAfter int `json:"reset_after"`
	// Break closes that many streams after BreakAt events.
	Break   int `json:"break"`
	BreakAt int `json:"break_at"`
	// Draining is reported with the load; the engine still runs what it gets.
	Draining bool `json:"leaving"`
}

// maxRuns bounds the runs that the engine remembers.
const maxRuns = 4096

// Handler serves the engine.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.complete)
	r.GET("/v1/load", e.load)
	r.GET("/v1/cache/events", e.cacheEvents)
	r.GET("/v1/engine", e.engineState)
	r.POST("/v1/engine/orders", e.takeOrder)
	r.GET("/v1/streams/:id", e.resume)
	r.DELETE("/v1/streams/:id", e.cancel)
	r.GET("/v1/streams/:id/usage", e.usage)
	r.POST("/v1/streams/:id/import", e.importStream)
	r.PUT("/faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f EngineFaults
		if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	return r
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// take counts a fault down and reports whether it strikes.
func (e *Engine) take(fault func(*EngineFaults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := fault(&e.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// ResponseTokens returns the tokens that the engine generates for a request.
func ResponseTokens(req chat.Request) []string {
	last := req.Messages[len(req.Messages)-1].Content
	words := strings.Fields(last)
	tokens := make([]string, 0, min(req.MaxTokens, int64(4*len(words)+4)))
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
	if e.take(func(f *EngineFaults) *int { return &f.Refuse }) {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if e.take(func(f *EngineFaults) *int { return &f.ResetBefore }) {
		abortConnection(w)
	}
	r, ok := e.start(httpReq, req, body)
	if !ok {
		http.Error(w, "the request id is in use with another body", http.StatusConflict)
		return
	}
	if e.take(func(f *EngineFaults) *int { return &f.ResetAfter }) {
		abortConnection(w)
	}
	echo(w, httpReq, r)
	if req.Stream {
		e.stream(w, httpReq, r, 0)
		return
	}
	r.whole(w, httpReq)
}

func echo(w http.ResponseWriter, httpReq *http.Request, r *run) {
	w.Header().Set(chat.HeaderRequestID, r.id)
	w.Header().Set(chat.HeaderAttempt, httpReq.Header.Get(chat.HeaderAttempt))
}

// start begins a run, or attaches the attempt to the run of the same request.
func (e *Engine) start(httpReq *http.Request, req chat.Request, body []byte) (*run, bool) {
	r := newRun(httpReq.Header.Get(chat.HeaderRequestID), req, sha256.Sum256(body))
	known := e.add(r)
	if known != nil && known.bodyHash != r.bodyHash {
		return nil, false
	}
	if known != nil && known.attach(httpReq.Header.Get(chat.HeaderAttempt)) {
		return known, true
	}
	if known != nil {
		e.replace(r)
	}
	r.attach(httpReq.Header.Get(chat.HeaderAttempt))
	r.priority, _ = strconv.Atoi(httpReq.Header.Get(chat.HeaderPriority))
	e.Runs.Add(1)
	e.cache.store(req.PrefixHashes(), defaultCacheBlocks)
	if e.Crash != nil {
		e.Crash(body)
	}
	e.export(httpReq, r, body)
	e.generate(r)
	return r, true
}

// add keeps the run, unless the engine holds one with its id.
func (e *Engine) add(r *run) (known *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known = e.runs[r.id]; known != nil {
		return known
	}
	if e.runs == nil {
		e.runs = make(map[string]*run)
	}
	e.runs[r.id] = r
	e.order = append(e.order, r.id)
	if len(e.order) > maxRuns {
		delete(e.runs, e.order[0])
		e.order = e.order[1:]
	}
	return nil
}

func (e *Engine) replace(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.id] = r
}

func (e *Engine) find(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// generate produces the tokens, in the background when they take time.
func (e *Engine) generate(r *run) {
	e.Tokens.Add(r.promptTokens)
	if e.FirstToken == 0 && e.TokenInterval == 0 && e.Slots == 0 {
		e.Tokens.Add(int64(len(r.tokens)))
		r.advance(len(r.tokens))
		return
	}
	start := e.slots.enter(e.Slots, r.priority)
	go func() {
		<-start
		defer e.slots.leave()
		time.Sleep(e.FirstToken)
		for range r.tokens {
			if !r.advance(1) {
				return
			}
			e.Tokens.Add(1)
			time.Sleep(e.TokenInterval)
		}
	}()
}

// export sends a new stream to the other engine. A failed export only means
// that the stream cannot be resumed there.
func (e *Engine) export(httpReq *http.Request, r *run, body []byte) {
	if e.ExportTo == "" {
		return
	}
	url := fmt.Sprintf("%s/v1/streams/%s/import", e.ExportTo, r.id)
	req, err := http.NewRequestWithContext(httpReq.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// importStream takes over a stream that another engine runs. The answer is a
// function of the request, so this engine generates the same events.
func (e *Engine) importStream(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return
	}
	req, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r := newRun(p.ByName("id"), req, sha256.Sum256(body))
	if e.add(r) == nil {
		r.advance(len(r.tokens))
	}
}

func (e *Engine) resume(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	offset, err := strconv.Atoi(httpReq.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number from 0", http.StatusBadRequest)
		return
	}
	r := e.find(p.ByName("id"))
	if r == nil || !r.attach(httpReq.Header.Get(chat.HeaderAttempt)) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	echo(w, httpReq, r)
	e.stream(w, httpReq, r, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	r := e.find(p.ByName("id"))
	switch {
	case r == nil:
		http.Error(w, "no such request", http.StatusNotFound)
	case !r.cancel(httpReq.Header.Get(chat.HeaderAttempt)):
		http.Error(w, "another attempt reads the stream", http.StatusConflict)
	default:
		r.writeUsage(w)
	}
}

func (e *Engine) usage(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	r := e.find(p.ByName("id"))
	if r == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	r.writeUsage(w)
}
