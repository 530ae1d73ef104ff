// Package upstream sends requests to model engines and plain services.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Errors that say what is known about a failed attempt.
var (
	// ErrNotSent reports that nothing reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the upstream answered without running the request.
	ErrRefused = errors.New("upstream refused the request")
	// ErrMismatch reports an answer to another request or attempt.
	ErrMismatch = errors.New("answer belongs to another request or attempt")
	// ErrIncomplete reports an answer that ended early.
	ErrIncomplete = errors.New("answer ended early")
)

const (
	dialTimeout      = 2 * time.Second
	maxAnswerBytes   = 32 << 20
	maxEventBytes    = 1 << 20
	idlePerUpstream  = 64
	idleConnLifetime = 90 * time.Second
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
	return &Client{http: &http.Client{Transport: transport}}
}

// Call names one attempt at an engine.
type Call struct {
	Address   string
	RequestID string
	Attempt   int
	Priority  int
	Body      []byte
}

// Complete sends a chat completion and waits for the whole answer.
func (c *Client) Complete(ctx context.Context, call Call) (chat.Response, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return chat.Response{}, err
	}
	defer resp.Body.Close()
	var out chat.Response
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out); err != nil {
		return chat.Response{}, errors.Mark(err, ErrIncomplete)
	}
	if out.ID != call.RequestID {
		return chat.Response{}, ErrMismatch
	}
	return out, nil
}

// Stream sends a streamed chat completion and calls emit for each chunk in
// order. It returns nil only after the engine's end of stream.
func (c *Client) Stream(ctx context.Context, call Call, emit func(data []byte, chunk chat.Response) error) error {
	resp, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		var chunk chat.Response
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Mark(err, ErrIncomplete)
		}
		if chunk.ID != call.RequestID {
			return ErrMismatch
		}
		if err := emit(data, chunk); err != nil {
			return err
		}
	}
	return errors.Mark(errors.Wrap(scanner.Err(), "read stream"), ErrIncomplete)
}

func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	url := strings.TrimRight(call.Address, "/") + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	// The transport must not repeat an attempt on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(chat.HeaderRequestID, call.RequestID)
	req.Header.Set(chat.HeaderAttempt, strconv.Itoa(call.Attempt))
	req.Header.Set(chat.HeaderPriority, strconv.Itoa(call.Priority))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classifySendError(err)
	}
	if err := checkAnswer(resp, call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// classifySendError marks a failed dial as not sent. After the dial, the
// upstream may have run the request.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return err
}

func checkAnswer(resp *http.Response, call Call) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return errors.Mark(errors.Newf("upstream answered %s: %s", resp.Status, bytes.TrimSpace(body)), ErrRefused)
	default:
		return errors.Newf("upstream answered %s", resp.Status)
	}
	if resp.Header.Get(chat.HeaderRequestID) != call.RequestID ||
		resp.Header.Get(chat.HeaderAttempt) != strconv.Itoa(call.Attempt) {
		return ErrMismatch
	}
	return nil
}
