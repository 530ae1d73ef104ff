package daemon

import (
	"context"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

// methodBrittleUpstreams is the peer method that sends routing.BrittleReports.
const methodBrittleUpstreams = "routing.brittle"

// registerBrittleHandler registers the handler that applies what other routers know of brittle upstreams.
func registerBrittleHandler(server *peer.Server, router *routing.Router) {
	registerHandler(server, methodBrittleUpstreams, func(_ context.Context, _ peerapi.Identity, r routing.BrittleReports) (any, error) {
		router.MergeBrittle(r)
		return struct{}{}, nil
	})
}

// brittleReports are what a router knows of brittle upstreams.
func brittleReports(router *routing.Router) reportSource[routing.BrittleReports] {
	return reportSource[routing.BrittleReports]{
		method: methodBrittleUpstreams, interval: limitReportInterval, resendInterval: limitResendInterval,
		take: router.TakeBrittleReports, export: router.ExportBrittle,
	}
}
