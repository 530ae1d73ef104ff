package httpapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// request builds the request for the chosen upstream.
func (j *forwardJob) request(x *exchange) relay.Request {
	header := forwardHeaders(x.httpReq.Header)
	out := OutgoingInfo{Instance: x.attempt.Upstream().Instance, Team: x.entry.Team, Priority: enginePriority(j.priority)}
	if deadline, ok := x.ctx.Deadline(); ok {
		out.Remaining = time.Until(deadline)
	}
	if j.committed {
		out.LastEventID = j.lastEvent
	}
	x.api.Forwarding.Headers.SetOutgoing(header, out)
	uri := x.httpReq.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = x.httpReq.URL.RequestURI()
	}
	return relay.Request{
		Method: x.httpReq.Method, URI: uri, Host: x.httpReq.Host, Header: header, Body: x.body, ID: j.caller.ID,
	}
}

// maxPriority is the least urgent rank that engines know.
const maxPriority = 9

func enginePriority(rank int) int { return min(maxPriority, max(0, rank)) }

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// forwardHeaders copies the headers that go on, with those of the connection
// left out.
func forwardHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// connections returns this router's part of an upstream's connections.
func (j *forwardJob) relayTarget(x *exchange) relay.Target {
	u := x.attempt.Upstream()
	t := relay.Target{Address: u.Address}
	if u.MaxConnections > 0 {
		t.MaxConnections = max(minConnections, u.MaxConnections/max(1, x.api.Forwarding.Routers()))
	}
	return t
}

// minConnections is the least number of connections of a router to an upstream.
const minConnections = 2
