package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

const (
	gatewayMaxHeader     = 64 << 10
	gatewayHeaderTimeout = 10 * time.Second
	// gatewayIdle is above the time for which callers keep connections without use.
	gatewayIdle = 30 * time.Second
	// MetricsPath is the path of the metrics.
	MetricsPath = "/debug/vars"
)

// listen opens the sockets.
func (g *Gateway) listen() ([]gatewayServer, error) {
	front := &http.Server{
		Handler: g.api.ForwardHandler(), ReadHeaderTimeout: gatewayHeaderTimeout, IdleTimeout: gatewayIdle,
		MaxHeaderBytes: gatewayMaxHeader,
	}
	ready := httprouter.New()
	ready.GET(g.deps.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { g.answerReady(w) })
	metrics := httprouter.New()
	metrics.Handler(http.MethodGet, MetricsPath, expvar.Handler())
	var servers []gatewayServer
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{g.cfg.Listen, front},
		{g.cfg.ReadyListen, &http.Server{Handler: ready, ReadHeaderTimeout: gatewayHeaderTimeout}},
		{g.cfg.MetricsListen, &http.Server{Handler: metrics, ReadHeaderTimeout: gatewayHeaderTimeout}},
	} {
		listener, err := listenTCP(s.address)
		if err != nil {
			return nil, err
		}
		if s.server == front {
			listener = netutil.LimitListener(listener, max(1, g.cfg.MaxSockets/2))
		}
		servers = append(servers, gatewayServer{server: s.server, listener: listener})
	}
	return servers, nil
}

func listenTCP(address string) (net.Listener, error) {
	listener, err := netopt.Listen(address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// answerReady tells the balancer whether new connections are welcome.
func (g *Gateway) answerReady(w http.ResponseWriter) {
	if !g.ready.Load() || g.draining.Load() || g.guard.Busy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Parts of a planned stop.
const (
	// stopAccepting is the time after the order to stop until new requests are
	// refused. By then the balancer sends no new connections.
	stopAccepting = 2600 * time.Millisecond
	// stopSettled is the least time that the process stays after that, for
	// callers that use a kept connection once more.
	stopSettled = 300 * time.Millisecond
	// stopMargin is kept free at the end of the grace period for the hand-back.
	stopMargin = 900 * time.Millisecond
)

// finish ends the work of the process without cutting a request.
func (g *Gateway) finish(servers []gatewayServer) {
	began := time.Now()
	obs.EventStopping.Log(g.logger, nil)
	g.draining.Store(true)
	time.Sleep(stopAccepting)
	g.closing.Store(true)
	for _, s := range servers[:1] {
		s.server.SetKeepAlivesEnabled(false)
	}
	time.Sleep(stopSettled)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.cfg.GracePeriod-stopMargin))
	defer cancel()
	g.api.WaitIdle(ctx)
}
