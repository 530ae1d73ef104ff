// Package logclient is the HTTP client for the platform's log service and VM list. Routers and dotterelctl
// use it; the stand-in log service uses its response types.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse is the response to a read.
type ReadResponse struct {
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
	Records []WireRecord `json:"records"`
}

// WireRecord is one record of a ReadResponse; Data is base64 in JSON.
type WireRecord struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// NewReadResponse converts a page to its wire format.
func NewReadResponse(p logstream.Page) ReadResponse {
	resp := ReadResponse{First: p.First, Next: p.Next, Records: make([]WireRecord, len(p.Records))}
	for i, r := range p.Records {
		resp.Records[i] = WireRecord(r)
	}
	return resp
}

func (r ReadResponse) toPage() logstream.Page {
	p := logstream.Page{First: r.First, Next: r.Next, Records: make([]logstream.Record, len(r.Records))}
	for i, rec := range r.Records {
		p.Records[i] = logstream.Record(rec)
	}
	return p
}

const (
	maxResponseBytes = 64 << 20
	// callTimeout bounds one append or listing.
	callTimeout = 5 * time.Second
	// readStallTimeout is how long a read may receive nothing, in addition to the wait that it requests.
	readStallTimeout = 2 * time.Second
	// maxReadTime bounds a whole read. A page of large records takes long over a small link, and a read that is
	// aborted starts again from the beginning.
	maxReadTime = 30 * time.Second
)

// HeaderEra is set on the responses of the log service: how often it was restored from an older copy. A service without
// the header is never restored.
const HeaderEra = "X-Log-Era"

// Client implements logstream.Log over HTTP. Once it has seen that the log was restored, all calls fail.
type Client struct {
	baseURL string
	http    *http.Client

	mu sync.Mutex
	// era is that of the first response, valid if known. restored is true once a response had a later one.
	era             uint64
	known, restored bool
}

// errRestored is the error of all calls after the log was restored.
var errRestored = errors.Mark(logstream.ErrRestored, logstream.ErrUnavailable)

// checkEra fails if the response, which may be nil before a call, shows that the log was restored.
func (c *Client) checkEra(resp *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restored {
		return errRestored
	}
	if resp == nil {
		return nil
	}
	era, err := strconv.ParseUint(resp.Header.Get(HeaderEra), 10, 64)
	if err != nil {
		return nil // an error response of an intermediary, or a service without eras
	}
	if !c.known {
		c.era, c.known = era, true
	}
	if era > c.era {
		c.restored = true
		return errRestored
	}
	return nil
}

// New returns a client for the service at baseURL, such as http://127.0.0.1:7000.
func New(baseURL string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: transport}}
}

// Append implements logstream.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := c.checkEra(nil); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "build append")
	}
	// An append must not be sent twice. Without GetBody the HTTP transport does not retry one that it has
	// sent.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append"), classifySendError(err))
	}
	defer resp.Body.Close()
	if err := c.checkEra(resp); err != nil {
		// The record may be in the restored log.
		return 0, errors.Mark(logstream.ErrRestored, logstream.ErrOutcomeUnknown)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return 0, errors.Mark(statusError(resp), logstream.ErrUnavailable)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		// Any other 5xx may come from an intermediary that lost the service's response.
		return 0, errors.Mark(statusError(resp), logstream.ErrOutcomeUnknown)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp)
	}
	var out AppendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append answer"), logstream.ErrOutcomeUnknown)
	}
	if out.Offset == 0 {
		return 0, errors.Mark(errors.New("append answer has no offset"), logstream.ErrOutcomeUnknown)
	}
	return out.Offset, nil
}

// classifySendError distinguishes an append that was not sent from one whose outcome is unknown.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return logstream.ErrUnavailable
	}
	return logstream.ErrOutcomeUnknown
}

// Read implements logstream.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := c.checkEra(nil); err != nil {
		return logstream.Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxReadTime+wait)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.recordsURL(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return logstream.Page{}, errors.Wrap(err, "build read request")
	}
	resp, err := netopt.DoWithProgress(c.http, req, wait+readStallTimeout, readStallTimeout)
	if err != nil {
		if errors.Is(err, netopt.ErrStalled) {
			// The idle connections may be dead too.
			c.http.CloseIdleConnections()
		}
		return logstream.Page{}, errors.Mark(errors.Wrap(err, "read"), logstream.ErrUnavailable)
	}
	defer resp.Body.Close()
	if err := c.checkEra(resp); err != nil {
		return logstream.Page{}, err
	}
	if resp.StatusCode == http.StatusGone {
		return logstream.Page{}, errors.Mark(statusError(resp), logstream.ErrTrimmed)
	}
	if resp.StatusCode != http.StatusOK {
		return logstream.Page{}, errors.Mark(statusError(resp), logstream.ErrUnavailable)
	}
	var out ReadResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return logstream.Page{}, errors.Mark(errors.Wrap(err, "decode read response"), logstream.ErrUnavailable)
	}
	return out.toPage(), nil
}

func (c *Client) recordsURL(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
	return errors.Newf("log answered %s: %s", resp.Status, strings.TrimSpace(string(body)))
}
