// Package upstream is the HTTP client for model engines and plain services. The daemon and package httpapi
// use it. Its errors state whether a failed request may have run at the upstream.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// Errors of a failed attempt. After ErrNotSent and ErrRefused the upstream has not run the request; after any
// other error it may have.
var (
	// ErrNotSent reports that nothing was sent to the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the upstream rejected the request without running it.
	ErrRefused = errors.New("upstream refused the request")
	// ErrMismatch reports a response to another request or attempt.
	ErrMismatch = errors.New("response belongs to another request or attempt")
	// ErrIncomplete reports a truncated, oversized or undecodable response.
	ErrIncomplete = errors.New("response is incomplete")
	// ErrUnmarked reports a response whose end is not marked, so that nothing shows whether it is whole. It is an
	// ErrIncomplete too.
	ErrUnmarked = errors.New("end of the response is not marked")
	// ErrNotHeld reports that the engine has no run of the request, that another attempt holds the run, or that the
	// engine must not continue the stream because of its software version. It does not prove that the request never
	// ran there.
	ErrNotHeld = errors.New("engine does not hold the request")
)

// RefusedError is the upstream's response to a request that it did not run.
type RefusedError struct {
	Status  int
	Message string
	// Draining is true if the upstream accepts no new work at this address, because it is draining or another
	// upstream process serves the address.
	Draining bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream responded %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

func newRefusedError(resp *http.Response) *RefusedError {
	return &RefusedError{
		Status: resp.StatusCode, Message: errorText(resp), Draining: resp.Header.Get(chat.HeaderDraining) != "",
	}
}

// RetryableElsewhere reports whether another upstream may accept the same request.
func (e *RefusedError) RetryableElsewhere() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

const (
	dialTimeout       = 2 * time.Second
	maxResponseBytes  = 32 << 20
	maxEventBytes     = 1 << 20
	maxErrorTextBytes = 256
	idleConnTimeout   = 90 * time.Second
	// maxIdleConnsPerUpstream is large enough that a burst of callers does not open and close a connection
	// for each request.
	maxIdleConnsPerUpstream = 512
)

// Client sends requests to upstreams over HTTP. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	buffers *membuf.Limiter
}

// RefusesConnections reports whether the host of an upstream refuses connections, because no process listens. The
// address is a URL.
func RefusesConnections(ctx context.Context, address string) bool {
	u, err := url.Parse(address)
	if err != nil {
		return false
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// maxHeadBytes bounds the header of a response, which an upstream in trouble may send without end.
const maxHeadBytes = 64 << 10

// New returns a client whose responses in progress are held in buffers of the limiter, which may be nil. It sets no
// timeout on requests; their context bounds them.
func New(buffers *membuf.Limiter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{buffers: buffers, http: &http.Client{
		Transport: transport,
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call is one attempt at a request to an upstream.
type Call struct {
	Address   string
	RequestID string
	// Attempt is the ID of the attempt, unique among all attempts in the fleet.
	Attempt string
	// Priority is the priority passed to the engine; lower runs first.
	Priority int
	Body     []byte
	// SoftwareVersion is the version of the engine that began the stream; see Event. Only Resume uses it.
	SoftwareVersion string
	// OnNotice, if not nil, is called with what a response says about the upstream itself.
	OnNotice func(Notice)
}

// WithoutBody returns the call without its body, to keep it after the attempt.
func (c Call) WithoutBody() Call {
	c.Body = nil
	return c
}

// Notice is what an upstream says about itself in a response.
type Notice struct {
	// RequestLimit is the number of requests per second that it accepts from all routers together; 0 means that it
	// names no limit.
	RequestLimit float64
	// Ran is false if the upstream refused the request.
	Ran bool
	// RejectionLimit is the number of requests that it can turn away in a second for want of room; with more, from all
	// routers together, its process ends. It is nil if the upstream names none. RejectionLimitErr is set if what it
	// names is no sound number.
	RejectionLimit    *float64
	RejectionLimitErr error
	// Rejected is true if the upstream turned the request away for want of room.
	Rejected bool
	// Leaving is true if the upstream's process leaves.
	Leaving bool
	// Pause is how long the upstream wants no requests from this router. PauseErr is set if what it asks for is no
	// sound number.
	Pause    time.Duration
	PauseErr error
}

// reportNotice calls OnNotice for a response, given the result of its check.
func (c Call) reportNotice(resp *http.Response, err error) {
	if c.OnNotice == nil || errors.Is(err, ErrMismatch) {
		return
	}
	n := Notice{
		RequestLimit: ParseRequestLimit(resp.Header.Get(chat.HeaderRequestLimit)), Ran: err == nil,
		Leaving: resp.Header.Get(chat.HeaderDraining) != "",
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		n.Pause, n.PauseErr = ParsePause(resp.Header.Get(headerRetryAfter))
	}
	c.OnNotice(n)
}

const headerRetryAfter = "Retry-After"

// ParsePause parses the pause that an upstream asks for, in seconds. An empty text asks for none. It fails if the text
// is not a number, negative, or above routing.MaxPause.
func ParsePause(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds >= 0) || seconds > routing.MaxPause.Seconds() {
		return 0, errors.Newf("%.60q is not a number of seconds from 0 to %g", text, routing.MaxPause.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// ParseRequestLimit parses the request limit in a header, in requests per second. It returns 0, as without the header,
// if the text is not a positive number.
func ParseRequestLimit(text string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(limit > 0) || math.IsInf(limit, 1) {
		return 0
	}
	return limit
}

// ParseRejectionLimit parses the number of rejections in a second that a brittle upstream bears. It returns nil for an empty
// text, and fails if the text is not a number, negative, or above routing.MaxRejectionLimit.
func ParseRejectionLimit(text string) (*float64, error) {
	if text = strings.TrimSpace(text); text == "" {
		return nil, nil
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || limit > routing.MaxRejectionLimit {
		return nil, errors.Newf("%.60q is not a number of rejections from 0 to %g", text, routing.MaxRejectionLimit)
	}
	return &limit, nil
}

// Completion is a complete, non-streamed chat completion. Body is forwarded to the caller unchanged.
type Completion struct {
	Body  []byte
	Usage *chat.Usage

	buffer *membuf.Buffer
}

// Release stops counting the memory of the body.
func (c Completion) Release() { c.buffer.Release() }

// responseFields are the fields of an engine's response that the router reads.
type responseFields struct {
	ID    string      `json:"id"`
	Usage *chat.Usage `json:"usage"`
}

// Complete sends a chat completion request and reads the complete response.
func (c *Client) Complete(ctx context.Context, call Call) (Completion, error) {
	resp, err := c.postChat(ctx, call)
	if err != nil {
		return Completion{}, err
	}
	defer resp.Body.Close()
	body, err := c.readBody(resp)
	if err != nil {
		return Completion{}, err
	}
	var fields responseFields
	if err := json.Unmarshal(body.Bytes(), &fields); err != nil {
		body.Release()
		return Completion{}, errors.Mark(err, ErrIncomplete)
	}
	if fields.ID != call.RequestID {
		body.Release()
		return Completion{}, ErrMismatch
	}
	return Completion{Body: body.Bytes(), Usage: fields.Usage, buffer: body}, nil
}

// readBody reads a complete body. A truncated or oversized body is an ErrIncomplete. If the end of the body is not marked,
// the caller checks that the content is whole, as that of a JSON object is. The caller releases the buffer.
func (c *Client) readBody(resp *http.Response) (*membuf.Buffer, error) {
	buffer := c.newBuffer(resp, maxResponseBytes)
	if err := buffer.ReadAll(resp.Body); err != nil {
		buffer.Release()
		return nil, errors.Mark(errors.Wrap(err, "read response body"), ErrIncomplete)
	}
	return buffer, nil
}

// endIsMarked reports whether the end of a response body is marked by its length or its last chunk. Without a mark, the
// end cannot be told from the end of the upstream's process.
func endIsMarked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// newBuffer returns a buffer for the body of a response.
func (c *Client) newBuffer(resp *http.Response, max int) *membuf.Buffer {
	return c.buffers.NewBuffer(resp.Request.URL.Host, max)
}

// postChat sends a chat completion request and checks the response with sendChecked.
func (c *Client) postChat(ctx context.Context, call Call) (*http.Response, error) {
	url := strings.TrimRight(call.Address, "/") + "/v1/chat/completions"
	req, err := newRequest(ctx, http.MethodPost, url, call, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.sendChecked(req, call)
}

// newRequest returns a request that the HTTP transport sends at most once: the transport does not retry a
// request that was written and whose body it cannot rewind.
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

// sendChecked sends the request and checks the status and that the response belongs to the request.
func (c *Client) sendChecked(req *http.Request, call Call) (*http.Response, error) {
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	err = checkResponse(resp, call)
	call.reportNotice(resp.Response, err)
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp.Response, nil
}

// response is a response with the connection on which it came.
type response struct {
	*http.Response
	conn net.Conn
	// reused reports whether the connection had served another request.
	reused bool
}

// mismatch closes the connection and returns ErrMismatch. The response that is still due would else answer the next request
// on the connection: the transport has kept it already if this response has no body.
func (r response) mismatch() error {
	_ = r.conn.Close()
	return ErrMismatch
}

// do sends the request. A failure before a connection was obtained means that nothing was sent; after that,
// the upstream may have run the request.
func (c *Client) do(req *http.Request) (response, error) {
	var got httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { got = info }, Got1xxResponse: checkInterim,
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && got.Conn == nil {
		return response{}, errors.Mark(err, ErrNotSent)
	}
	if err == nil && (!IsValidStatus(resp.StatusCode) || resp.StatusCode < http.StatusOK) {
		_ = got.Conn.Close()
		_ = resp.Body.Close()
		return response{}, errors.Mark(errors.Newf("invalid status %.20q", resp.Status), ErrIncomplete)
	}
	return response{resp, got.Conn, got.Reused}, err
}

// IsValidStatus reports whether an upstream may respond with a status, also in an interim response. 101 begins another protocol,
// which no request asks for.
func IsValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// maxStatus is the highest status of three digits.
const maxStatus = 999

// checkInterim ends the request after an interim response that states a body. HTTP allows it none, so that bytes of it would be
// read as the response.
func checkInterim(status int, header textproto.MIMEHeader) error {
	if length := header.Get("Content-Length"); length != "" && length != "0" {
		return errors.Mark(errors.Newf("interim response with status %d has a body", status), ErrIncomplete)
	}
	return nil
}

// checkResponse accepts status 200. The listed error statuses are those with which an upstream refuses a request
// before it runs.
func checkResponse(resp response, call Call) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return checkResponseIDs(resp, call)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return checkRefusal(resp, call)
	default:
		return errors.Newf("upstream responded %s", resp.Status)
	}
}

// checkRefusal returns the RefusedError of a refusal, or ErrMismatch if the refusal may belong to an earlier request on the
// connection: an upstream that writes one twice would else make the router report a request that ran as not run. A
// refusal without IDs belongs to the request if the connection has served no other.
func checkRefusal(resp response, call Call) error {
	stated := resp.Header.Get(chat.HeaderRequestID) != "" || resp.Header.Get(chat.HeaderAttempt) != ""
	if stated || resp.reused {
		if err := checkResponseIDs(resp, call); err != nil {
			return err
		}
	}
	return newRefusedError(resp.Response)
}

// errorText returns the start of an error response's body.
func errorText(resp *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	return string(bytes.TrimSpace(body))
}

// checkResponseIDs checks that the response carries the IDs of the request and the attempt.
func checkResponseIDs(resp response, call Call) error {
	if resp.Header.Get(chat.HeaderRequestID) != call.RequestID ||
		resp.Header.Get(chat.HeaderAttempt) != call.Attempt {
		return resp.mismatch()
	}
	return nil
}

// statesOtherIDs reports whether the response carries the ID of another request or attempt.
func statesOtherIDs(resp response, call Call) bool {
	id, attempt := resp.Header.Get(chat.HeaderRequestID), resp.Header.Get(chat.HeaderAttempt)
	return id != "" && id != call.RequestID || attempt != "" && attempt != call.Attempt
}
