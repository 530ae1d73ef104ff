package daemon

import (
	"context"
	"expvar"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

const (
	// methodSpeeds is the peer method that sends routing.SpeedReports.
	methodSpeeds = "routing.speeds"
	// speedReportInterval is the time between two reports of lasting speeds to some routers. Speeds change slowly, and a
	// router with a link of 10 Mbit/s has to receive a few kB in each interval.
	speedReportInterval = 2 * time.Second
)

// registerSpeedHandler registers the handler that applies the speeds that other routers have measured.
func registerSpeedHandler(server *peer.Server, router *routing.Router) {
	registerHandler(server, methodSpeeds, func(_ context.Context, _ peerapi.Identity, r routing.SpeedReports) (any, error) {
		router.MergeSpeeds(r)
		return struct{}{}, nil
	})
}

// speedReports are the speeds that a router has measured. Nothing of it is urgent.
func speedReports(router *routing.Router) reportSource[routing.SpeedReports] {
	return reportSource[routing.SpeedReports]{
		method: methodSpeeds, interval: speedReportInterval, resendInterval: speedReportInterval,
		take: func() routing.SpeedReports { return nil }, export: router.ExportSpeeds,
	}
}

// publishSpeeds publishes the speeds of the upstreams as a metric.
func publishSpeeds(router *routing.Router) {
	obs.Metrics.Set("upstream_speeds", expvar.Func(func() any { return router.Speeds() }))
}
