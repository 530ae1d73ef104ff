// Package load sends a bounded load to routers: a fixed number of requests within a time limit. It records
// for each request whether its response was complete, the latency and the billed tokens. cmd/dotterelload
// uses it.
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

// Plan describes a run, which ends after Requests requests or at Timeout.
type Plan struct {
	// URLs are the base URLs of the routers, which get the requests in turn.
	URLs       []string
	Credential string
	Model      string
	Callers    int
	Requests   int
	MaxTokens  int64
	Stream     bool
	// Timeout is the time limit of the run.
	Timeout time.Duration
}

// Result is the outcome of one request.
type Result struct {
	// Code is CodeOK, the error code of the response, one of the codes below, or empty if the request was not
	// sent.
	Code string
	// FirstByte is the time until the headers of the response, or until the first event of a stream. For an
	// error response it includes reading the body. It is 0 if no response or no event came.
	FirstByte time.Duration
	Total     time.Duration
	// Billed is the number of tokens that the response reports as used.
	Billed int64
}

// CodeOK is the code of a complete response.
const CodeOK = "ok"

// Codes of failures without an error code from the router. CodeTransport means that no response came, or an
// error response without an error code. CodeIncomplete means that a response ended early or, if it is not a
// stream, has no usage.
const (
	CodeTransport  = "transport_error"
	CodeIncomplete = "incomplete_answer"
)

// Run sends the requests of the plan and returns their results. If the time limit or ctx ends the run, requests
// in progress fail and the others are not sent. There are then fewer results, and up to Callers of them are
// empty because their requests were not sent.
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
				results[i] = plan.sendRequest(ctx, client, int(i))
			}
		})
	}
	workers.Wait()
	sent := min(int(next.Load()), plan.Requests)
	return results[:sent]
}

func (p Plan) sendRequest(ctx context.Context, client *http.Client, i int) Result {
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
	r := readResponse(resp, start, p.Stream)
	r.Total = time.Since(start)
	return r
}

func readResponse(resp *http.Response, start time.Time, stream bool) Result {
	if resp.StatusCode != http.StatusOK {
		return Result{Code: errorCode(resp.Body), FirstByte: time.Since(start)}
	}
	if stream {
		return readStream(resp.Body, start)
	}
	r := Result{Code: CodeOK, FirstByte: time.Since(start)}
	var completion chat.Response
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil || completion.Usage == nil {
		r.Code = CodeIncomplete
		return r
	}
	r.Billed = completion.Usage.TotalTokens
	return r
}

// readStream reads until the end marker. A stream without the marker is incomplete.
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

// errorCode returns the error code in the body of a response, or CodeTransport if there is none.
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

// Validate returns an error if the plan is invalid.
func (p Plan) Validate() error {
	switch {
	case len(p.URLs) == 0:
		return errors.New("at least one router URL is required")
	case p.Callers < 1 || p.Requests < 1 || p.MaxTokens < 1:
		return errors.New("callers, requests and max tokens must be at least 1")
	case p.Timeout <= 0:
		return errors.New("timeout must be positive")
	}
	return nil
}
