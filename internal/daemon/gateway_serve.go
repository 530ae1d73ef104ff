package daemon

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

const (
	gatewayMaxHeaderBytes = 64 << 10
	gatewayHeaderTimeout  = 10 * time.Second
	// gatewayIdleTimeout exceeds the time for which callers keep idle connections.
	gatewayIdleTimeout = 30 * time.Second
	// MetricsPath is the path of the metrics.
	MetricsPath = "/debug/vars"
)

// maxInternalConnections is the number of connections for readiness checks, metrics or operators, and of those that the kernel may
// accept ahead.
const maxInternalConnections = 64

// gatewayServer is one HTTP server of the process.
type gatewayServer struct {
	server  *http.Server
	limited *netopt.LimitedListener
	conns   *httpapi.KeptConns
}

// newGatewayServer returns a server with up to limit connections, and up to queue that the kernel may accept ahead.
func newGatewayServer(address string, server *http.Server, conns *httpapi.KeptConns, limit, queue int) (gatewayServer, error) {
	listener, err := netopt.Listen(address)
	if err != nil {
		return gatewayServer{}, errors.Wrapf(err, "listen on %s", address)
	}
	limited := netopt.LimitConnections(listener, limit)
	if err := limited.SetAcceptQueue(queue); err != nil {
		return gatewayServer{}, errors.CombineErrors(err, limited.Close())
	}
	conns.Attach(server)
	return gatewayServer{server: server, limited: limited, conns: conns}, nil
}

func (s gatewayServer) serve() { _ = s.server.Serve(s.conns.Listener(s.limited)) }

// listen opens the listening sockets for callers, readiness checks and metrics, in this order.
func (g *Gateway) listen() (servers []gatewayServer, err error) {
	queue := g.cfg.Memory.AcceptQueue
	if n := g.inbound.AcceptQueue(); n > 0 {
		queue = min(queue, n)
	}
	callers, err := newGatewayServer(g.cfg.Listen, &http.Server{
		Handler: g.api.ForwardHandler(), ReadHeaderTimeout: gatewayHeaderTimeout, IdleTimeout: gatewayIdleTimeout,
		MaxHeaderBytes: gatewayMaxHeaderBytes, ConnContext: httpapi.WithCallerConn,
	}, &g.callers, g.maxCallers(), queue)
	if err != nil {
		return nil, err
	}
	callers.limited.Hold = g.holdAccept
	g.callers.OnUndelivered = g.noteUndelivered
	servers = append(servers, callers)
	ready := httprouter.New()
	ready.GET(g.deps.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { g.serveReady(w) })
	metrics := httprouter.New()
	metrics.Handler(http.MethodGet, MetricsPath, expvar.Handler())
	for _, s := range []struct {
		address string
		handler http.Handler
	}{{g.cfg.ReadyListen, ready}, {g.cfg.MetricsListen, metrics}} {
		server, err := newGatewayServer(s.address, &http.Server{
			Handler: s.handler, ReadHeaderTimeout: gatewayHeaderTimeout, WriteTimeout: gatewayWriteTimeout, IdleTimeout: gatewayIdleTimeout,
			MaxHeaderBytes: gatewayMaxHeaderBytes,
		}, &httpapi.KeptConns{Incoming: g.incoming}, maxInternalConnections, maxInternalConnections)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// maxCallers returns the number of callers' connections that the sockets and the memory allow.
func (g *Gateway) maxCallers() int { return max(1, min(g.cfg.MaxSockets/2, g.cfg.Memory.Connections)) }

// holdAccept reports whether no connection of callers should be accepted at present.
func (g *Gateway) holdAccept() bool {
	full := g.inbound.Full()
	if full {
		obs.AcceptHoldsTotal.Add(1)
	}
	return full
}

func (g *Gateway) noteUndelivered(u httpapi.UndeliveredResponse) {
	obs.ResponsesUndeliveredTotal.Add(1)
	fields := logrus.Fields{"request_id": u.RequestID, "unacknowledged": u.Unacknowledged}
	if u.Err != nil {
		fields["error"] = u.Err.Error()
	}
	obs.EventResponseUndelivered.Log(g.logger, fields)
}

// serveReady responds to the load balancer's readiness check with 200 if this router accepts new connections,
// and with 503 otherwise.
func (g *Gateway) serveReady(w http.ResponseWriter) {
	if !g.ready.Load() || g.draining.Load() || g.busy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Phases of a shutdown.
const (
	// refuseDelay is the time from the shutdown signal until new requests are refused. By then the load balancer
	// opens no new connections.
	refuseDelay = 2600 * time.Millisecond
	// keepAliveGrace is the minimum time that the process continues after refuseDelay, for callers that reuse an
	// open connection once more.
	keepAliveGrace = 300 * time.Millisecond
	// shutdownMargin is left at the end of the grace period for returning the unspent tokens of the shares and for
	// the last responses.
	shutdownMargin = 900 * time.Millisecond
	// exitMargin is left at the very end of the grace period for the process to exit by itself.
	exitMargin = 100 * time.Millisecond
	// closeTimeout limits the time for the last responses: to requests that arrived while the shares were returned, and to
	// those that were still in progress then. They must be written before their connections are closed.
	closeTimeout = 300 * time.Millisecond
	// closePollInterval is the time between two checks for open connections in closeTimeout.
	closePollInterval = 5 * time.Millisecond
	// closeIdleAfter is how long a connection of a stopping process has waited for a request when it is closed. A caller
	// sends its next request at once, or is likely to see the close before it sends one.
	closeIdleAfter = 200 * time.Millisecond
)

// callersLeft are the connections of callers that ended with the process and not with a response.
type callersLeft struct {
	// queued is the number of connections that the kernel had accepted and the router had not when it stopped listening.
	queued int
	// closed is the number of accepted connections that were open at the end of closeTimeout. Their requests were not
	// complete, or their responses were not written.
	closed int
}

// closeServers ends the requests in progress and closes the servers. The first one, for callers, completes its responses before.
func (g *Gateway) closeServers(servers []gatewayServer) callersLeft {
	callers := servers[0].limited
	g.api.EndRequests()
	left := callersLeft{queued: callers.Queued()}
	_ = callers.Close()
	// Counts pauses instead of comparing times: after a time in which the process got no processor, the goroutines of the
	// requests still get theirs.
	for range closeTimeout / closePollInterval {
		if callers.Open() == 0 {
			break
		}
		g.callers.CloseIdle(closeIdleAfter)
		time.Sleep(closePollInterval)
	}
	left.closed = callers.Open()
	for _, s := range servers {
		_ = s.server.Close()
	}
	return left
}

// drain stops accepting requests and waits until the open ones have finished or the grace period is nearly
// over. It returns the time at which the last responses must begin.
func (g *Gateway) drain() (lastResponses time.Time) {
	start := time.Now()
	obs.EventStopping.Log(g.logger, nil)
	g.draining.Store(true)
	time.Sleep(refuseDelay)
	g.closing.Store(true)
	g.callers.AnnounceClose()
	closeIdle, stopClosing := context.WithCancel(context.Background())
	defer stopClosing()
	go every(closeIdle, closePollInterval, func() { g.callers.CloseIdle(closeIdleAfter) })
	time.Sleep(keepAliveGrace)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(g.cfg.GracePeriod-shutdownMargin))
	defer cancel()
	g.api.WaitIdle(ctx)
	return start.Add(g.cfg.GracePeriod - closeTimeout - exitMargin)
}
