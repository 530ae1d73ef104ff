package httpapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/transport/hop"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// relayRequest builds the request for the chosen upstream.
func (op *forwardOp) relayRequest(x *exchange) relay.Request {
	header := endToEndHeaders(x.httpReq.Header)
	out := OutgoingInfo{Instance: x.attempt.Upstream().Instance, Team: x.entry.Team, Priority: x.priority}
	if deadline, ok := x.ctx.Deadline(); ok {
		out.Remaining = time.Until(deadline)
	}
	if op.committed {
		out.LastEventID = op.lastEventID
	}
	x.api.Forwarding.Headers.SetOutgoing(header, out)
	return relay.Request{
		Method: x.httpReq.Method, URI: requestURI(x.httpReq), Host: x.httpReq.Host, Header: header, Body: x.body, ID: op.caller.ID,
	}
}

// requestURI returns the path and query of a request as received.
func requestURI(httpReq *http.Request) string {
	if strings.HasPrefix(httpReq.RequestURI, "/") {
		return httpReq.RequestURI
	}
	return httpReq.URL.RequestURI()
}

// lowestPriority is the least urgent priority that engines accept; 0 is the most urgent.
const lowestPriority = 9

func clampPriority(priority int) int { return min(lowestPriority, max(0, priority)) }

// hopByHopHeaders are not forwarded: they apply to a single connection, or the router handles them itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", hop.HeaderAuth, hop.HeaderResult, hop.HeaderLeaving,
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers, including those that the
// Connection header lists.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// relayTarget returns the chosen upstream with this router's fraction of the upstream's connection limit.
func (op *forwardOp) relayTarget(x *exchange) relay.Target {
	u := x.attempt.Upstream()
	t := relay.Target{Address: u.Address, Service: u.Service}
	if u.MaxConnections > 0 {
		t.MaxConnections = max(minUpstreamConnections, u.MaxConnections/max(1, x.api.Forwarding.Routers()))
	}
	return t
}

// minUpstreamConnections is the number of connections to an upstream that every router may open, even if the
// limit divided by the number of routers is less.
const minUpstreamConnections = 2
