// Package daemon wires the modules into one router process.
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
	"golang.org/x/net/netutil"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/claim"
	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// Daemon is one router process.
type Daemon struct {
	cfg    settings.Daemon
	logger logrus.FieldLogger
	log    logstream.Log
	config *configsync.Follower
	api    *httpapi.API
	budget *budget.Manager
	claims *claim.Claimer
	// fleet is nil for a router that runs alone.
	fleet     *fleet
	engines   *upstream.Client
	leases    leaseCache
	snapshots *snapshotWriters
	routing   *routing.Router
	evidence  *routing.CrashHistory
	admission *admission.Controller
	server    *http.Server
	admin     *http.Server
	holder    record.HolderID
	// started is the time at which the process was set up.
	started  time.Time
	ready    atomic.Bool
	draining atomic.Bool
	drain    chan struct{}
}

// New returns a router that keeps what must last in the given log.
func New(cfg settings.Daemon, log logstream.Log, logger logrus.FieldLogger) (*Daemon, error) {
	// Version 7 rises with the start time, which tells the newer of two
	// processes of a VM.
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "process id")
	}
	d := &Daemon{
		cfg: cfg, logger: logger, log: log, config: configsync.NewFollower(log, logger),
		holder: record.HolderID(cfg.VM + "/" + id.String()), engines: upstream.New(),
		evidence: routing.NewCrashHistory(time.Now), started: time.Now(), drain: make(chan struct{}),
	}
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
		Now: time.Now, Zone: cfg.Zone, Region: cfg.Region, Routers: d.routers,
		CrashHistory: d.evidence, Notify: routing.LogChanges(logger),
	})
	d.admission = d.newAdmission()
	d.snapshots = d.newSnapshotWriters(log)
	d.api = d.newAPI()
	if d.fleet != nil {
		d.fleet.serve(d)
		d.api.PeerRequests = d.fleet
	}
	d.server, d.admin = d.newServers()
	return d, nil
}

func (d *Daemon) newServers() (public, admin *http.Server) {
	public = &http.Server{
		Handler: d.api.Handler(), ReadHeaderTimeout: d.cfg.ReadTimeout,
		IdleTimeout: d.cfg.IdleTimeout, MaxHeaderBytes: d.cfg.MaxHeaderBytes,
	}
	admin = &http.Server{Handler: httpapi.AdminHandler(d), ReadHeaderTimeout: d.cfg.ReadTimeout}
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

// newAPI wires the callers' API.
func (d *Daemon) newAPI() *httpapi.API {
	cfg := d.cfg
	return &httpapi.API{
		Config: d.config, Budget: d.budget, Engines: d.engines, Services: d.engines,
		Admission: admitter{d.admission}, Routing: chooser{d.routing},
		Retry: &routing.RetryBudget{}, Claimer: d.claims,
		Requests: request.NewTable(request.Config{
			Retention: cfg.RequestRetention, MaxFinished: cfg.MaxFinishedRequests,
			MaxAnswerBytes: cfg.AnswerMemory, Now: time.Now,
		}),
		UnknownOutcomes: &httpapi.OutcomeResolver{
			Budget: d.budget, Engines: d.engines, Holder: d.holder, Delay: cfg.UnknownBillDelay, Logger: d.logger, Now: time.Now,
		},
		CheckConfigLease: d.lease, Holder: d.holder, Logger: d.logger, Now: time.Now,
		Limits: httpapi.Limits{
			MaxBodyBytes: cfg.MaxBodyBytes, BodyTimeout: cfg.ReadTimeout, WriteTimeout: cfg.WriteTimeout,
			RequestTimeout: cfg.RequestTimeout, AttemptTimeout: cfg.AttemptTimeout, ResumeTimeout: cfg.ResumeTimeout,
			RepeatWait: cfg.RepeatWait, UnknownBillDelay: cfg.UnknownBillDelay, MaxOpenRequests: cfg.MaxRequests,
			MaxAnswerBytes: cfg.MaxAnswerBytes,
		},
	}
}

// Run serves on the listeners until the context ends, then finishes open
// requests and returns shares to the log.
func (d *Daemon) Run(ctx context.Context, public, admin net.Listener) error {
	if err := d.config.CatchUp(ctx); err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if err := d.budget.CatchUp(ctx); err != nil {
		return errors.Wrap(err, "read ledger")
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	// Peers settle what they were lent until the shares are closed, so they are
	// served for longer than the callers.
	peering, stopPeering := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPeering()
	var loops conc.WaitGroup
	loops.Go(func() { d.config.Run(background) })
	d.routing.Update(d.config.Current())
	loops.Go(func() { d.budget.Run(background) })
	loops.Go(func() { d.claims.Run(background) })
	loops.Go(func() { d.snapshots.run(background, d.cfg.LogRetention) })
	loops.Go(func() { d.advance(background) })
	loops.Go(func() { d.newOrders().Run(background) })
	loops.Go(func() { d.readLoads(background) })
	loops.Go(func() { d.reconcile(background, d.log) })
	if d.fleet != nil {
		if err := d.fleet.start(peering, background, &loops, d); err != nil {
			return err
		}
	}
	var resolver conc.WaitGroup
	resolver.Go(func() { d.api.UnknownOutcomes.Run(background) })
	loops.Go(func() { _ = d.server.Serve(netutil.LimitListener(public, d.cfg.MaxConnections)) })
	loops.Go(func() { _ = d.admin.Serve(admin) })
	d.ready.Store(true)
	obs.EventStarted.Log(d.logger, logrus.Fields{"address": public.Addr().String(), "admin": admin.Addr().String()})
	select {
	case <-ctx.Done():
	case <-d.drain:
	}
	err := d.stop(func() {
		stopBackground()
		resolver.Wait()
	})
	stopPeering()
	loops.Wait()
	return err
}

// handBackTimeout bounds the time to write the last bills and hand back shares.
const handBackTimeout = 30 * time.Second

// stop ends the process without cutting a request: new work is refused by the
// balancer once readiness is false, open requests finish, shares go back.
func (d *Daemon) stop(stopBackground func()) error {
	obs.EventStopping.Log(d.logger, nil)
	d.draining.Store(true)
	d.ready.Store(false)
	if d.fleet != nil {
		// The others move this router's homes while it finishes.
		d.fleet.members.Leave()
	}
	time.Sleep(d.cfg.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	d.server.SetKeepAlivesEnabled(false)
	err := d.server.Shutdown(ctx)
	if err != nil {
		// The time is over. Cutting the connections lets the open requests stop
		// their runs and bill what they used.
		_ = d.server.Close()
	}
	ctx, cancelClose := context.WithTimeout(context.Background(), handBackTimeout)
	defer cancelClose()
	d.api.WaitIdle(ctx)
	stopBackground()
	d.api.UnknownOutcomes.Close(ctx)
	err = errors.CombineErrors(err, d.budget.Close(ctx))
	_ = d.admin.Close()
	obs.EventStopped.Log(d.logger, nil)
	return err
}
