package upstream

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ServiceCall is one attempt at a plain service.
type ServiceCall struct {
	Call
	Method string
	// Path is escaped and begins with a slash; Query has no question mark.
	Path   string
	Query  string
	Header http.Header
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call sends a request to a plain service and waits for the whole answer. Any
// answer but 429 is the answer for the caller. 429 is the refusal of a call that
// did not run; a service may answer 503 after it did part of the work, so 503
// proves nothing.
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
		return ServiceResponse{}, newRefusedError(resp)
	}
	if err := checkIdentity(resp, call.Call); err != nil {
		return ServiceResponse{}, err
	}
	body, err := readAnswer(resp)
	if err != nil {
		return ServiceResponse{}, errors.Wrapf(err, "%s %s", call.Method, call.Path)
	}
	header := make(http.Header)
	copyHeader(header, resp.Header)
	return ServiceResponse{Status: resp.StatusCode, Header: header, Body: body}, nil
}

// copyHeader adds the end-to-end fields of src that dst does not have.
func copyHeader(dst, src http.Header) {
	connection := src.Values("Connection")
	for name, values := range src {
		if slices.Contains(hopHeaders, name) || namedIn(connection, name) || dst.Get(name) != "" {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}

func namedIn(connection []string, name string) bool {
	for _, value := range connection {
		for field := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}
