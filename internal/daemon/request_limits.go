package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

const (
	// methodRequestLimits is the peer method that sends routing.LimitReports.
	methodRequestLimits = "routing.limits"
	// limitReportInterval limits the time until the other routers know of a limit.
	limitReportInterval = 100 * time.Millisecond
	limitResendInterval = time.Second
)

// registerLimitHandler registers the handler that applies the request limits that other routers have observed.
func registerLimitHandler(server *peer.Server, router *routing.Router) {
	registerHandler(server, methodRequestLimits, func(_ context.Context, _ peerapi.Identity, r routing.LimitReports) (any, error) {
		router.MergeLimits(r)
		return struct{}{}, nil
	})
}

// limitReports are the observations of a router.
func limitReports(router *routing.Router) reportSource[routing.LimitReports] {
	return reportSource[routing.LimitReports]{
		method: methodRequestLimits, interval: limitReportInterval, resendInterval: limitResendInterval,
		take: router.TakeLimitReports, export: router.ExportLimits,
	}
}

// position is the place of a gateway among the routers that may send requests.
func (g *Gateway) position() routing.Position {
	index, routers, known := g.heartbeats.Position()
	return routing.Position{Index: index, Routers: routers, Known: known}
}

// position is the place of a router among the members. Members that are gone count until they are delisted, because they
// may only be disconnected from this router.
func (d *Daemon) position() routing.Position {
	p := routing.Position{Routers: 1, Known: true}
	if d.fleet == nil {
		return p
	}
	p.Known = d.fleet.members.ListRead()
	for _, m := range d.fleet.members.View().Members() {
		switch {
		case m.VM < d.cfg.VM:
			p.Index++
			p.Routers++
		case m.VM > d.cfg.VM:
			p.Routers++
		}
	}
	return p
}
