package upstream

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// ServiceCall is one attempt at a request to a plain service.
type ServiceCall struct {
	Call
	Method string
	// Path is escaped and starts with a slash; Query does not include the question mark.
	Path   string
	Query  string
	Header http.Header
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte

	buffer *membuf.Buffer
}

// Release stops counting the memory of the body.
func (r ServiceResponse) Release() { r.buffer.Release() }

// hopByHopHeaders are meaningful for a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call sends a request to a plain service and reads the complete response. Every status except 429 is a
// response for the caller. 429 means that the service rejected the call without running it. A service may
// return 503 after it has done some of the work, so 503 does not prove that the call did not run. A response whose
// body has neither length nor chunks is an ErrUnmarked, because nothing shows that it is whole.
func (c *Client) Call(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	target := strings.TrimRight(call.Address, "/") + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	req, err := newRequest(ctx, call.Method, target, call.Call, call.Body)
	if err != nil {
		return ServiceResponse{}, err
	}
	copyHeader(req.Header, call.Header)
	resp, err := c.do(req)
	if err != nil {
		return ServiceResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		err := checkRefusal(resp, call.Call)
		call.reportNotice(resp.Response, err)
		return ServiceResponse{}, err
	}
	err = checkResponseIDs(resp, call.Call)
	call.reportNotice(resp.Response, err)
	if err != nil {
		return ServiceResponse{}, err
	}
	if !endIsMarked(resp.Response) && call.Method != http.MethodHead {
		err := errors.Newf("%s %s: the response has neither length nor chunks", call.Method, call.Path)
		return ServiceResponse{}, errors.Mark(errors.Mark(err, ErrUnmarked), ErrIncomplete)
	}
	body, err := c.readBody(resp.Response)
	if err != nil {
		return ServiceResponse{}, errors.Wrapf(err, "%s %s", call.Method, call.Path)
	}
	header := make(http.Header)
	copyHeader(header, resp.Header)
	return ServiceResponse{Status: resp.StatusCode, Header: header, Body: body.Bytes(), buffer: body}, nil
}

// copyHeader copies the end-to-end fields of src that dst does not have.
func copyHeader(dst, src http.Header) {
	connection := src.Values("Connection")
	for name, values := range src {
		if slices.Contains(hopByHopHeaders, name) || listedIn(connection, name) || dst.Get(name) != "" {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}

// listedIn reports whether a Connection header names the field.
func listedIn(connection []string, name string) bool {
	for _, value := range connection {
		for field := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}
