// Package daemon assembles the other packages into a router process. Daemon serves chat completions and plain
// services for the command dotterelthread; Gateway forwards requests by host and path for package platform.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/claim"
	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Daemon is a router process that serves chat completions and plain services.
type Daemon struct {
	cfg    settings.Daemon
	logger logrus.FieldLogger
	log    logstream.Log
	config *configsync.Follower
	api    *httpapi.API
	budget *budget.Manager
	claims *claim.Claimer
	// fleet is nil for a router without peers.
	fleet        *fleet
	engines      *upstream.Client
	configLease  leaseCache
	snapshots    *snapshotWriters
	routing      *routing.Router
	crashHistory *routing.CrashHistory
	crashes      *quarantine.Registry
	admission    *admission.Controller
	server       *http.Server
	admin        *http.Server
	// callers are the connections of server, and operators those of admin.
	callers, operators httpapi.KeptConns

	incoming *membuf.Incoming
	// acceptQueue and maxLargeWindows are as in membuf.Parts.
	acceptQueue     int
	maxLargeWindows int64
	holder          record.HolderID
	// started is when New was called.
	started        time.Time
	ready          atomic.Bool
	draining       atomic.Bool
	drainRequested chan struct{}
}

// New returns a router that stores its durable state in the given log.
func New(cfg settings.Daemon, log logstream.Log, logger logrus.FieldLogger) (*Daemon, error) {
	cfg, parts, err := limitMemory(cfg)
	if err != nil {
		return nil, err
	}
	// UUIDs of version 7 ascend with the start time, so that of two processes of a VM the newer one is known.
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate process ID")
	}
	d := &Daemon{
		cfg: cfg, logger: logger, log: log, config: configsync.NewFollower(log, logger),
		holder: record.HolderID(cfg.VM + "/" + id.String()), engines: upstream.New(membuf.NewLimiter(cfg.ResponseMemory)),
		incoming: membuf.NewIncoming(cfg.RequestMemory, time.Now), acceptQueue: parts.AcceptQueue, maxLargeWindows: parts.LargeWindows,
		crashHistory: routing.NewCrashHistory(time.Now), started: time.Now(), drainRequested: make(chan struct{}),
	}
	d.crashes = quarantine.New(quarantine.Config{
		Now: time.Now, VM: cfg.VM, Members: d.memberVMs, Notify: logQuarantine(logger),
	})
	budgetConfig := newBudgetConfig(cfg, d.holder)
	if cfg.PeerListen != "" {
		if d.fleet, err = newFleet(cfg, id.String(), d.config, d.configStatus, logger); err != nil {
			return nil, err
		}
		budgetConfig.Peers = d.fleet
	}
	d.budget = budget.NewManager(budgetConfig, log, logger)
	d.claims = claim.New(newClaimConfig(cfg), log, logger)
	d.routing = routing.New(routing.Config{
		Now: time.Now, Zone: cfg.Zone, Region: cfg.Region, Routers: d.routers, Position: d.position,
		CrashHistory: d.crashHistory, Notify: routing.LogChanges(logger),
	})
	d.admission = d.newAdmission()
	d.snapshots = d.newSnapshotWriters(log)
	d.api = d.newAPI()
	if d.fleet != nil {
		d.fleet.registerHandlers(d)
		d.api.PeerRequests = d.fleet
	}
	d.server, d.admin = d.newServers()
	return d, nil
}

func (d *Daemon) newServers() (public, admin *http.Server) {
	public = &http.Server{
		Handler: d.api.Handler(), ReadHeaderTimeout: d.cfg.ReadTimeout,
		IdleTimeout: d.cfg.IdleTimeout, MaxHeaderBytes: d.cfg.MaxHeaderBytes, ConnContext: httpapi.WithCallerConn,
	}
	d.callers.Incoming, d.callers.MaxLargeWindows = d.incoming, d.maxLargeWindows
	d.callers.Attach(public)
	admin = &http.Server{
		Handler: httpapi.AdminHandler(d), ReadHeaderTimeout: d.cfg.ReadTimeout, IdleTimeout: d.cfg.IdleTimeout, MaxHeaderBytes: d.cfg.MaxHeaderBytes,
		WriteTimeout: d.cfg.WriteTimeout,
	}
	d.operators.Incoming = d.incoming
	d.operators.Attach(admin)
	return public, admin
}

func newClaimConfig(cfg settings.Daemon) claim.Config {
	return claim.Config{
		Partitions: cfg.ClaimPartitions, Interval: cfg.ClaimInterval, Queue: claim.DefaultQueue,
		MaxWait: claim.DefaultMaxWait, Retention: cfg.ClaimRetention,
	}
}

func newBudgetConfig(cfg settings.Daemon, holder record.HolderID) budget.Config {
	policy := budget.DefaultPolicy()
	policy.Horizon = cfg.BudgetHorizon
	policy.ReservePercent = cfg.BudgetReservePercent
	policy.WaitInteractive = cfg.WaitInteractive
	policy.WaitQueued = cfg.WaitQueued
	return budget.Config{
		Holder: holder, Partitions: cfg.LedgerPartitions, BillBuffer: cfg.BillBuffer,
		FlushInterval: cfg.FlushInterval, GrantSize: cfg.GrantSize, Policy: policy,
		AppendThroughHome: cfg.AppendThroughHome,
	}
}

func (d *Daemon) newAPI() *httpapi.API {
	cfg := d.cfg
	return &httpapi.API{
		Config: d.config, Budget: d.budget, Engines: d.engines, Services: d.engines,
		Admission: admissionAdapter{d.admission}, Routing: routingAdapter{d.routing},
		Retry: &routing.RetryBudget{}, Claimer: d.claims, Quarantine: d.crashes,
		Requests: request.NewTable(request.Config{
			Retention: cfg.RequestRetention, MaxFinished: cfg.MaxFinishedRequests,
			MaxAnswerBytes: cfg.AnswerMemory, Now: time.Now,
		}),
		UnknownOutcomes: &httpapi.OutcomeResolver{
			Budget: d.budget, Engines: d.engines, Holder: d.holder, Delay: cfg.UnknownBillDelay, Logger: d.logger, Now: time.Now,
		},
		Incoming: d.incoming, CheckConfigLease: d.checkConfigLease, Holder: d.holder, Logger: d.logger, Now: time.Now,
		Limits: httpapi.Limits{
			MaxBodyBytes: cfg.MaxBodyBytes, BodyTimeout: cfg.ReadTimeout, WriteTimeout: cfg.WriteTimeout,
			RequestTimeout: cfg.RequestTimeout, AttemptTimeout: cfg.AttemptTimeout, ResumeTimeout: cfg.ResumeTimeout,
			RepeatWait: cfg.RepeatWait, UnknownBillDelay: cfg.UnknownBillDelay, MaxOpenRequests: cfg.MaxRequests,
			MaxAnswerBytes: cfg.MaxAnswerBytes,
		},
	}
}

// Run serves on the listeners until the context ends or Drain is called. Then it finishes open requests and
// returns the unspent tokens of its shares to the budgets.
func (d *Daemon) Run(ctx context.Context, public, admin net.Listener) error {
	if err := d.config.CatchUp(ctx); err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if err := d.budget.CatchUp(ctx); err != nil {
		return errors.Wrap(err, "read ledger")
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	// Peers settle loans (see package budget) until the shares are closed, so they are served for longer than
	// the callers.
	peerCtx, stopPeers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPeers()
	var loops conc.WaitGroup
	loops.Go(func() { d.config.Run(background) })
	d.routing.Update(d.config.Current())
	loops.Go(func() { d.budget.Run(background) })
	loops.Go(func() { d.claims.Run(background) })
	loops.Go(func() { d.snapshots.run(background, d.cfg.LogRetention) })
	loops.Go(func() { d.runUpdates(background) })
	loops.Go(func() { d.newOrders().Run(background) })
	loops.Go(func() { d.readLoads(background) })
	loops.Go(func() { d.reconcile(background, d.log) })
	if d.fleet != nil {
		if err := d.fleet.start(peerCtx, background, &loops, d); err != nil {
			return err
		}
	}
	var resolver conc.WaitGroup
	resolver.Go(func() { d.api.UnknownOutcomes.Run(background) })
	limited := netopt.LimitConnections(netopt.WithWriteLimits(public), d.cfg.MaxConnections)
	limitedAdmin := netopt.LimitConnections(netopt.WithWriteLimits(admin), maxInternalConnections)
	for _, err := range []error{
		netopt.LimitReceiveBuffer(public), netopt.LimitReceiveBuffer(admin),
		limited.SetAcceptQueue(d.acceptQueue), limitedAdmin.SetAcceptQueue(maxInternalConnections),
	} {
		if err != nil {
			return err
		}
	}
	loops.Go(func() { _ = d.server.Serve(d.callers.Listener(limited)) })
	loops.Go(func() { keepRoom(background, limited, &d.callers, d.logger) })
	loops.Go(func() { _ = d.admin.Serve(d.operators.Listener(limitedAdmin)) })
	loops.Go(func() { keepRoom(background, limitedAdmin, &d.operators, d.logger) })
	d.ready.Store(true)
	obs.EventStarted.Log(d.logger, logrus.Fields{"address": public.Addr().String(), "admin": admin.Addr().String()})
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	}
	err := d.shutdown(limited, func() {
		stopBackground()
		resolver.Wait()
	})
	stopPeers()
	loops.Wait()
	return err
}

// shutdownFlushTimeout limits the rest of the shutdown after the HTTP server has stopped: waiting for the
// last requests, billing those with an unknown outcome, writing the last bills and returning the unspent
// tokens of the shares.
const shutdownFlushTimeout = 30 * time.Second

// lastResponsesTimeout limits the time for the responses to requests that the shutdown has ended.
const lastResponsesTimeout = 2 * time.Second

// shutdown ends the process. The load balancer sends no new requests once the router reports that it is not
// ready. Open requests may finish within the drain timeout; after it, their connections are closed. Then the
// last bills are written and the unspent tokens of the shares are returned. The result is an error if the
// drain timeout expired or the shares could not be closed.
func (d *Daemon) shutdown(public *netopt.LimitedListener, stopBackground func()) error {
	obs.EventStopping.Log(d.logger, nil)
	d.draining.Store(true)
	d.ready.Store(false)
	if d.fleet != nil {
		// Other routers become the homes (see membership.View.Home) of this router's partitions while it
		// finishes.
		d.fleet.members.Leave()
	}
	time.Sleep(d.cfg.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	d.callers.AnnounceClose()
	_ = public.Close()
	err := d.waitConnectionsClosed(ctx, public)
	if err != nil {
		// The drain timeout has expired. The open requests stop their runs, bill what they used and tell their callers.
		d.api.EndRequests()
		ctx, cancelLast := context.WithTimeout(context.Background(), lastResponsesTimeout)
		defer cancelLast()
		_ = d.waitConnectionsClosed(ctx, public) // an error means that connections are left, which Close closes
	}
	_ = d.server.Close()
	ctx, cancelClose := context.WithTimeout(context.Background(), shutdownFlushTimeout)
	defer cancelClose()
	d.api.WaitIdle(ctx)
	stopBackground()
	d.api.UnknownOutcomes.Close(ctx)
	err = errors.CombineErrors(err, d.budget.Close(ctx))
	_ = d.admin.Close()
	obs.EventStopped.Log(d.logger, nil)
	return err
}

// closeIncompleteAfter is how long the head of a request may be incomplete while the router stops, as in http.Server.Shutdown.
const closeIncompleteAfter = 5 * time.Second

// waitConnectionsClosed waits until all callers' connections are closed, each after a response or once it is idle.
func (d *Daemon) waitConnectionsClosed(ctx context.Context, public *netopt.LimitedListener) error {
	for public.Open() > 0 {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "callers' connections are open")
		}
		d.callers.CloseIdle(closeIdleAfter)
		d.callers.CloseIncomplete(closeIncompleteAfter)
		time.Sleep(closePollInterval)
	}
	return nil
}
