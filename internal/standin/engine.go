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

// Engine is a stand-in for a model engine. Its response is a function of the request, so a test can compare
// byte for byte what a caller got.
type Engine struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// FirstToken is the time until the first token.
	FirstToken time.Duration
	// ExportTo is the base URL of an engine that gets a copy of each new run before the first token; empty
	// disables this.
	ExportTo string
	// OnRunStart, if not nil, is called with the request body of each run that starts.
	OnRunStart func(body []byte)
	// Incarnation identifies the engine process in load reports and cache events.
	Incarnation string
	// SoftwareVersion is stated in responses. Unless it is empty, each generated token names it.
	SoftwareVersion string
	// Runs counts the runs that were started.
	Runs atomic.Int64
	// Tokens counts the input and output tokens of all runs that were started, without imported copies.
	Tokens atomic.Int64

	// ChecksFencing makes the engine refuse orders with a stale fencing token.
	ChecksFencing bool

	// CacheLag is the delay before a cache event is published. Events whose number is a multiple of CacheGap
	// are never published; 0 publishes all.
	CacheLag time.Duration
	CacheGap uint64

	// Slots is the number of requests that run concurrently; 0 means unlimited. Waiting requests start in the
	// order of their priority, lower values first.
	Slots int
	// RequestLimit is the number of requests per second that the engine names as its limit; 0 means that it names
	// none. It does not enforce the limit.
	RequestLimit float64
	// LoadLag is the time for which a load report is reused, and so the greatest age of the reported load.
	LoadLag time.Duration

	// WeightsURL is the base URL of the weight store that models are loaded from. If it is empty, loading
	// needs no weight store.
	WeightsURL string

	control     engineControl
	slots       slotQueue
	loadReports cachedLoadReport
	cache       prefixCache

	mu       sync.Mutex
	runs     map[string]*run
	runOrder []string
	faults   EngineFaults
}

// EngineFaults are faults that an Engine injects. Each number except BreakAt counts down to 0 as the fault
// occurs.
type EngineFaults struct {
	// Refuse is the number of completions that get a 503 response without a run.
	Refuse int `json:"refuse"`
	// ResetBefore is the number of completions whose connection is closed before the run starts.
	ResetBefore int `json:"reset_before"`
	// ResetAfter is the number of completions whose connection is closed after the run has started and before
	// the first byte of the response.
	ResetAfter int `json:"reset_after"`
	// Break is the number of streams whose connection is closed before event number BreakAt, counted from 0.
	// A stream that is resumed after that event does not break.
	Break   int `json:"break"`
	BreakAt int `json:"break_at"`
	// Draining is reported with the load and in all responses. The engine still runs the requests that it gets.
	Draining bool `json:"leaving"`
	// RefuseRetryAfter is the Retry-After of the completions that Refuse counts; empty means none.
	RefuseRetryAfter string `json:"refuse_retry_after"`
}

// maxRuns is the largest number of runs that an engine keeps; it forgets the oldest first.
const maxRuns = 4096

// Handler returns the engine's HTTP handler. PUT /faults sets the faults.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.handleCompletion)
	r.GET("/v1/load", e.handleLoad)
	r.GET("/v1/cache/events", e.handleCacheEvents)
	r.GET("/v1/engine", e.handleEngineState)
	r.POST("/v1/engine/orders", e.handleOrder)
	r.GET("/v1/streams/:id", e.handleResume)
	r.DELETE("/v1/streams/:id", e.handleCancel)
	r.GET("/v1/streams/:id/usage", e.handleUsage)
	r.POST("/v1/streams/:id/import", e.handleImport)
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

// consumeFault reports whether a fault occurs now, and counts it down.
func (e *Engine) consumeFault(fault func(*EngineFaults) *int) bool {
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

// responseTokens returns the tokens that this engine generates for a request.
func (e *Engine) responseTokens(req chat.Request) []string {
	tokens := ResponseTokens(req)
	if e.SoftwareVersion != "" {
		for i, token := range tokens {
			tokens[i] = strings.TrimSuffix(token, " ") + "/" + e.SoftwareVersion + " "
		}
	}
	return tokens
}

// InputTokens returns the number of input tokens of a request as the engine counts them.
func InputTokens(req chat.Request) int64 {
	var n int64
	for _, m := range req.Messages {
		n += int64(len(strings.Fields(m.Content))) + 1
	}
	return n
}

func (e *Engine) handleCompletion(w http.ResponseWriter, httpReq *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return
	}
	echoHeaders(w, httpReq, httpReq.Header.Get(chat.HeaderRequestID))
	req, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.RequestLimit > 0 {
		w.Header().Set(chat.HeaderRequestLimit, strconv.FormatFloat(e.RequestLimit, 'f', -1, 64))
	}
	faults := e.currentFaults()
	if faults.Draining {
		w.Header().Set(chat.HeaderDraining, "1")
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.Refuse }) {
		if faults.RefuseRetryAfter != "" {
			w.Header().Set("Retry-After", faults.RefuseRetryAfter)
		}
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.ResetBefore }) {
		abortConnection(w)
	}
	r, ok := e.startOrAttach(httpReq, req, body)
	if !ok {
		http.Error(w, "the request id is in use with another body", http.StatusConflict)
		return
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.ResetAfter }) {
		abortConnection(w)
	}
	if req.Stream {
		e.writeStream(w, httpReq, r, 0)
		return
	}
	r.writeCompletion(w, httpReq)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func echoHeaders(w http.ResponseWriter, httpReq *http.Request, requestID string) {
	w.Header().Set(chat.HeaderRequestID, requestID)
	w.Header().Set(chat.HeaderAttempt, httpReq.Header.Get(chat.HeaderAttempt))
}

// startOrAttach starts a run, or attaches the attempt to the existing run of the same request. It returns
// false if the request ID is in use with another body.
func (e *Engine) startOrAttach(httpReq *http.Request, req chat.Request, body []byte) (*run, bool) {
	r := e.newRun(httpReq.Header.Get(chat.HeaderRequestID), req, sha256.Sum256(body))
	existing := e.add(r)
	if existing != nil && existing.bodyHash != r.bodyHash {
		return nil, false
	}
	if existing != nil && existing.attach(httpReq.Header.Get(chat.HeaderAttempt)) {
		return existing, true
	}
	if existing != nil {
		e.replace(r)
	}
	r.attach(httpReq.Header.Get(chat.HeaderAttempt))
	r.priority, _ = strconv.Atoi(httpReq.Header.Get(chat.HeaderPriority))
	e.Runs.Add(1)
	e.cache.store(req.PrefixHashes(), maxCacheBlocks)
	if e.OnRunStart != nil {
		e.OnRunStart(body)
	}
	e.export(httpReq, r, body)
	e.generate(r)
	return r, true
}

// add stores the run, or returns the existing run with the same ID.
func (e *Engine) add(r *run) (existing *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if existing = e.runs[r.id]; existing != nil {
		return existing
	}
	if e.runs == nil {
		e.runs = make(map[string]*run)
	}
	e.runs[r.id] = r
	e.runOrder = append(e.runOrder, r.id)
	if len(e.runOrder) > maxRuns {
		delete(e.runs, e.runOrder[0])
		e.runOrder = e.runOrder[1:]
	}
	return nil
}

// replace stores the run in place of a canceled one with the same ID.
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

// generate produces the tokens of a run, in the background unless the engine has no delays and no limit of
// concurrent requests.
func (e *Engine) generate(r *run) {
	e.Tokens.Add(r.promptTokens)
	if e.FirstToken == 0 && e.TokenInterval == 0 && e.Slots == 0 {
		e.Tokens.Add(int64(len(r.tokens)))
		r.advance(len(r.tokens))
		return
	}
	start := e.slots.acquire(e.Slots, r.priority)
	go func() {
		<-start
		defer e.slots.release()
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

// export sends a new run to the engine at ExportTo. Errors are ignored: the stream can then not be resumed
// there.
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

// handleImport stores a copy of another engine's run, which is complete at once. The response is a function of
// the request, so this engine generates the same events.
func (e *Engine) handleImport(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return
	}
	req, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r := e.newRun(p.ByName("id"), req, sha256.Sum256(body))
	if e.add(r) == nil {
		r.advance(len(r.tokens))
	}
}

// handleResume streams a run from the given event on and makes the attempt its reader.
func (e *Engine) handleResume(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	offset, err := strconv.Atoi(httpReq.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number from 0", http.StatusBadRequest)
		return
	}
	echoHeaders(w, httpReq, p.ByName("id"))
	r := e.find(p.ByName("id"))
	if r == nil || !r.attach(httpReq.Header.Get(chat.HeaderAttempt)) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.writeStream(w, httpReq, r, offset)
}

// handleCancel cancels a run, for the attempt that reads it only, and responds with its usage.
func (e *Engine) handleCancel(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	echoHeaders(w, httpReq, p.ByName("id"))
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

func (e *Engine) handleUsage(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	echoHeaders(w, httpReq, p.ByName("id"))
	r := e.find(p.ByName("id"))
	if r == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	r.writeUsage(w)
}
