// Package upstream sends requests to model engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Errors that say what is known about a failed attempt. Any other error means
// that the upstream may have run the request.
var (
	// ErrNotSent reports that nothing reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the upstream answered without running the request.
	ErrRefused = errors.New("upstream refused the request")
	// ErrMismatch reports an answer to another request or attempt.
	ErrMismatch = errors.New("answer belongs to another request or attempt")
	// ErrIncomplete reports an answer that ended early.
	ErrIncomplete = errors.New("answer ended early")
	// ErrNotHeld reports that the engine does not hold the request. It does not
	// prove that the request never ran there.
	ErrNotHeld = errors.New("engine does not hold the request")
)

// RefusedError carries the upstream's answer to a request that it did not run.
type RefusedError struct {
	Status  int
	Message string
	// Draining is true when the upstream takes no new work at all.
	Draining bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream answered %d: %s", e.Status, e.Message)
}

// Unwrap makes the error an ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

func newRefusedError(resp *http.Response) *RefusedError {
	return &RefusedError{
		Status: resp.StatusCode, Message: message(resp), Draining: resp.Header.Get(chat.HeaderLeaving) != "",
	}
}

// Temporary reports whether another upstream may accept the same request.
func (e *RefusedError) Temporary() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

const (
	dialTimeout    = 2 * time.Second
	maxAnswerBytes = 32 << 20
	maxEventBytes  = 1 << 20
	// maxGrowBytes bounds the memory taken before the answer has come: the
	// length in the header may be wrong, and belongs to no body after HEAD.
	maxGrowBytes     = 64 << 10
	maxMessageBytes  = 256
	idleConnLifetime = 90 * time.Second
	// idlePerUpstream is the number of idle connections kept, so that a burst of
	// callers does not open and close a connection for each request.
	idlePerUpstream = 512
)

// Client sends requests to upstreams over HTTP.
type Client struct {
	http *http.Client
}

// New returns a client. Requests end with their context.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout: idleConnLifetime, DisableCompression: true,
	}
	return &Client{http: &http.Client{
		Transport: transport,
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call names one attempt at an engine.
type Call struct {
	Address   string
	RequestID string
	// Attempt differs between all attempts of a request in the whole fleet.
	Attempt  string
	Priority int
	Body     []byte
}

// Completion is a whole completion. Body is passed on to the caller unchanged.
type Completion struct {
	Body  []byte
	Usage *chat.Usage
}

// identity holds the fields of an engine's answer that the router reads.
type identity struct {
	ID    string      `json:"id"`
	Usage *chat.Usage `json:"usage"`
}

// Complete sends a chat completion and waits for the whole answer.
func (c *Client) Complete(ctx context.Context, call Call) (Completion, error) {
	resp, err := c.post(ctx, call)
	if err != nil {
		return Completion{}, err
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp)
	if err != nil {
		return Completion{}, err
	}
	var id identity
	if err := json.Unmarshal(body, &id); err != nil {
		return Completion{}, errors.Mark(err, ErrIncomplete)
	}
	if id.ID != call.RequestID {
		return Completion{}, ErrMismatch
	}
	return Completion{Body: body, Usage: id.Usage}, nil
}

// readAnswer reads a whole body. An answer that is cut off or too long is
// incomplete.
func readAnswer(resp *http.Response) ([]byte, error) {
	var buffer bytes.Buffer
	if resp.ContentLength > 0 {
		// ReadFrom wants bytes.MinRead free bytes to find the end without growing.
		buffer.Grow(int(min(resp.ContentLength, maxGrowBytes)) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read answer"), ErrIncomplete)
	}
	if n > maxAnswerBytes {
		return nil, errors.Mark(errors.Newf("answer is over %d bytes", maxAnswerBytes), ErrIncomplete)
	}
	return buffer.Bytes(), nil
}

func (c *Client) post(ctx context.Context, call Call) (*http.Response, error) {
	url := strings.TrimRight(call.Address, "/") + "/v1/chat/completions"
	req, err := newRequest(ctx, http.MethodPost, url, call, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.send(req, call)
}

// newRequest returns a request that the transport sends at most once: with a
// body that it cannot rewind it never repeats a request that was written.
func newRequest(ctx context.Context, method, url string, call Call, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(chat.HeaderRequestID, call.RequestID)
	req.Header.Set(chat.HeaderAttempt, call.Attempt)
	if call.Priority != 0 {
		req.Header.Set(chat.HeaderPriority, strconv.Itoa(call.Priority))
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(chat.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	obs.InjectTrace(ctx, req.Header)
	return req, nil
}

// send sends the request and checks that the answer belongs to it.
func (c *Client) send(req *http.Request, call Call) (*http.Response, error) {
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(resp, call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// do sends the request. Without a connection nothing was sent; with one, the
// upstream may have run the request.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && !connected {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return resp, err
}

func checkAnswer(resp *http.Response, call Call) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return checkIdentity(resp, call)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return newRefusedError(resp)
	default:
		return errors.Newf("upstream answered %s", resp.Status)
	}
}

func message(resp *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return string(bytes.TrimSpace(body))
}

func checkIdentity(resp *http.Response, call Call) error {
	if resp.Header.Get(chat.HeaderRequestID) != call.RequestID ||
		resp.Header.Get(chat.HeaderAttempt) != call.Attempt {
		return ErrMismatch
	}
	return nil
}
