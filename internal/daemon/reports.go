package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/obs"
)

// maxConcurrentReports limits the peers that a report is sent to at the same time. Unresponsive ones must not delay it
// for the others.
const maxConcurrentReports = 64

// reportSource provides the reports that a router sends to the others with a peer method.
type reportSource[R interface{ Empty() bool }] struct {
	method string
	// interval is the time between two calls of take, whose report goes to all routers.
	interval time.Duration
	// resendInterval is the time between two calls of export, whose report goes to some routers, which may have
	// missed an earlier one.
	resendInterval time.Duration
	take, export   func() R
}

// run sends reports until the context ends.
func (s reportSource[R]) run(ctx context.Context, broadcast, sendToSome func(R)) {
	resendAt := time.Now().Add(s.resendInterval)
	every(ctx, s.interval, func() {
		if report := s.take(); !report.Empty() {
			broadcast(report)
		}
		if time.Now().Before(resendAt) {
			return
		}
		resendAt = time.Now().Add(s.resendInterval)
		if report := s.export(); !report.Empty() {
			sendToSome(report)
		}
	})
}

// exchangeWithPeers sends the reports of a source to the other gateways until the context ends.
func exchangeWithPeers[R interface{ Empty() bool }](ctx context.Context, p *gatewayPeers, s reportSource[R]) {
	if p.pool == nil {
		return
	}
	s.run(ctx,
		func(r R) {
			p.sendReport(ctx, s.method, r, slices.Collect(maps.Values(p.gateway.heartbeats.Addresses())))
		},
		func(r R) { p.sendReport(ctx, s.method, r, p.randomPeers(peersPerFetch)) })
}

// sendReport sends a report to peers. Those that do not get it are sent a later one.
func (p *gatewayPeers) sendReport(ctx context.Context, method string, report any, addresses []string) {
	workers := pool.NewWithResults[error]().WithMaxGoroutines(maxConcurrentReports)
	for _, address := range addresses {
		workers.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerStallTimeout)
			defer cancel()
			return p.pool.Call(callCtx, address, method, report, nil)
		})
	}
	failed := slices.DeleteFunc(workers.Wait(), func(err error) bool { return err == nil })
	if len(failed) > 0 {
		obs.EventReportLost.Log(p.gateway.logger, logrus.Fields{
			"method": method, "peers": len(addresses), "failed": len(failed), "error": failed[0].Error(),
		})
	}
}

// exchangeWithFleet sends the reports of a source to the other members until the context ends.
func exchangeWithFleet[R interface{ Empty() bool }](ctx context.Context, f *fleet, s reportSource[R]) {
	s.run(ctx,
		func(r R) { f.broadcast(ctx, s.method, r) },
		func(r R) {
			members := f.otherMembers()
			rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
			f.callAll(ctx, members[:min(peersPerFetch, len(members))], s.method, r)
		})
}
