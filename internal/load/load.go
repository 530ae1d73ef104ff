// Package load sends bounded load to a router and checks each answer.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Plan says what to send. Requests and Timeout both bound the run.
type Plan struct {
	// URLs are the routers; requests go to them in turn.
	URLs       []string
	Credential string
	Model      string
	Callers    int
	Requests   int
	MaxTokens  int64
	Stream     bool
	// Timeout ends the run.
	Timeout time.Duration
}

// Result is the outcome of one request.
type Result struct {
	// Code is ok, or the error code of the answer.
	Code string
	// FirstByte is the time to the first part of the answer.
	FirstByte time.Duration
	Total     time.Duration
	// Billed is in tokens.
	Billed int64
}

// CodeOK is the code of a whole answer.
const CodeOK = "ok"

// Codes for failures that the router did not name.
const (
	CodeTransport  = "transport_error"
	CodeIncomplete = "incomplete_answer"
)

// Run sends the planned requests and returns one result for each.
func Run(ctx context.Context, plan Plan) []Result {
	ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: plan.Callers}}
	defer client.CloseIdleConnections()
	results := make([]Result, plan.Requests)
	var next atomic.Int64
	workers := pool.New().WithMaxGoroutines(max(1, plan.Callers))
	for range plan.Callers {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(plan.Requests) && ctx.Err() == nil; i = next.Add(1) - 1 {
				results[i] = plan.one(ctx, client, int(i))
			}
		})
	}
	workers.Wait()
	sent := min(int(next.Load()), plan.Requests)
	return results[:sent]
}

func (p Plan) one(ctx context.Context, client *http.Client, i int) Result {
	body, err := json.Marshal(chat.Request{
		Model: p.Model, MaxTokens: p.MaxTokens, Stream: p.Stream,
		Messages: []chat.Message{{Role: "user", Content: fmt.Sprintf("load request %d", i)}},
	})
	if err != nil {
		return Result{Code: CodeTransport}
	}
	url := strings.TrimRight(p.URLs[i%len(p.URLs)], "/") + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Result{Code: CodeTransport}
	}
	req.Header.Set("Authorization", "Bearer "+p.Credential)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Result{Code: CodeTransport, Total: time.Since(start)}
	}
	defer resp.Body.Close()
	r := read(resp, start, p.Stream)
	r.Total = time.Since(start)
	return r
}

func read(resp *http.Response, start time.Time, stream bool) Result {
	if resp.StatusCode != http.StatusOK {
		return Result{Code: errorCode(resp.Body), FirstByte: time.Since(start)}
	}
	if stream {
		return readStream(resp.Body, start)
	}
	r := Result{Code: CodeOK, FirstByte: time.Since(start)}
	var whole chat.Response
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil || whole.Usage == nil {
		r.Code = CodeIncomplete
		return r
	}
	r.Billed = whole.Usage.TotalTokens
	return r
}

// readStream reads to the end mark. A stream without it is incomplete.
func readStream(body io.Reader, start time.Time) Result {
	r := Result{Code: CodeIncomplete}
	for s := bufio.NewScanner(body); s.Scan(); {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if r.FirstByte == 0 {
			r.FirstByte = time.Since(start)
		}
		if data == "[DONE]" {
			r.Code = CodeOK
			return r
		}
		var chunk chat.Response
		if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Usage != nil {
			r.Billed = chunk.Usage.TotalTokens
		}
	}
	return r
}

func errorCode(body io.Reader) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&e); err != nil || e.Error.Code == "" {
		return CodeTransport
	}
	return e.Error.Code
}

// Validate reports what is wrong with the plan.
func (p Plan) Validate() error {
	switch {
	case len(p.URLs) == 0:
		return errors.New("no router URL")
	case p.Callers < 1 || p.Requests < 1 || p.MaxTokens < 1:
		return errors.New("callers, requests and max tokens must be at least 1")
	case p.Timeout <= 0:
		return errors.New("timeout must be positive")
	}
	return nil
}
