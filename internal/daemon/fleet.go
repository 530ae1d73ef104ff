package daemon

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

// fleet connects this process to the other routers. It implements budget.Peers.
type fleet struct {
	self    peerapi.Identity
	members *membership.Membership
	pool    *peer.Pool
	server  *peer.Server
}

func newFleet(
	cfg settings.Daemon, incarnation string, config *configsync.Follower, status func() peerapi.ConfigStatus,
	logger logrus.FieldLogger,
) (*fleet, error) {
	self := peerapi.Identity{
		VM: cfg.VM, Incarnation: incarnation, Zone: cfg.Zone, Region: cfg.Region, Address: cfg.PeerListen,
	}
	peerConfig := peer.Config{Self: self, Key: []byte(cfg.PeerKey), Logger: logger}
	if cfg.PeerTLSCert != "" {
		tls, err := peer.LoadTLS(cfg.PeerTLSCert, cfg.PeerTLSKey, cfg.PeerTLSCA)
		if err != nil {
			return nil, err
		}
		peerConfig.TLS = tls
	}
	pool, err := peer.NewPool(peerConfig)
	if err != nil {
		return nil, err
	}
	server, err := peer.NewServer(peerConfig)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(cfg.PeerListen)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	memberConfig := membership.DefaultConfig(self)
	memberConfig.PeerPort = port
	members := membership.New(memberConfig, logclient.New(cfg.VMListURL), pool, status, logger)
	server.Handle(peerapi.MethodHeartbeat, members.HandleHeartbeat)
	server.Handle(peerapi.MethodConfigFetch, config.HandleFetch)
	return &fleet{self: self, members: members, pool: pool, server: server}, nil
}

func holderOf(m membership.Member) record.HolderID {
	return record.HolderID(m.VM + "/" + m.Incarnation)
}

// registerHandler registers a handler of a method whose parameters are of type P.
func registerHandler[P any](s *peer.Server, method string, h func(ctx context.Context, from peerapi.Identity, p P) (any, error)) {
	s.Handle(method, func(ctx context.Context, from peerapi.Identity, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, errors.Wrap(err, "parameters")
		}
		ctx, span := obs.StartSpan(ctx, "peer."+method, "")
		result, err := h(ctx, from, p)
		obs.EndSpan(span, err)
		return result, err
	})
}

const (
	// maxConcurrentQueries limits the concurrent queries to upstreams or peers.
	maxConcurrentQueries = 16
	// queryTimeout limits one query.
	queryTimeout = 2 * time.Second
)

// registerHandlers registers the handlers of the other routers' calls.
func (f *fleet) registerHandlers(d *Daemon) {
	f.registerBudgetHandlers(d.budget)
	f.registerRequestHandler(d.api)
	f.registerCrashHistoryHandler(d.crashHistory)
	registerQuarantineHandler(f.server, d.crashes)
	registerLimitHandler(f.server, d.routing)
}

// start starts the loops that communicate with the other routers. Peers are served until peerCtx ends; the
// other loops end with ctx.
func (f *fleet) start(peerCtx, ctx context.Context, loops *conc.WaitGroup, d *Daemon) error {
	listener, err := net.Listen("tcp", f.self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if err := netopt.LimitReceiveBuffer(listener); err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	loops.Go(func() { _ = f.server.Serve(peerCtx, listener) })
	loops.Go(func() { f.members.Run(peerCtx) })
	loops.Go(func() { d.config.RunFetch(ctx, f.pool, d.reports) })
	loops.Go(func() { f.broadcastCrashHistory(ctx, d.crashHistory) })
	loops.Go(func() { exchangeWithFleet(ctx, f, crashReports(d.crashes)) })
	loops.Go(func() { exchangeWithFleet(ctx, f, limitReports(d.routing)) })
	loops.Go(func() { f.reclaim(ctx, d.budget, d.cfg.UnknownBillDelay, d.queryUsage) })
	return nil
}

// memberIndex returns this process's index among the live members in order of VM ID, and their number.
// Suspected members count as live.
func (f *fleet) memberIndex() (index, routers int) {
	for _, m := range f.members.View().Members() {
		if m.State > membership.StateSuspect && m.VM != f.self.VM {
			continue
		}
		if m.VM < f.self.VM {
			index++
		}
		routers++
	}
	return index, max(1, routers)
}
