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

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
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
	config *configsync.Follower
	api    *httpapi.API
	budget *budget.Manager
	server *http.Server
	admin  *http.Server
	holder record.HolderID
	// started is the time at which the process was set up.
	started  time.Time
	ready    atomic.Bool
	draining atomic.Bool
	drain    chan struct{}
}

// New returns a router that keeps what must last in the given log.
func New(cfg settings.Daemon, log logstream.Log, logger logrus.FieldLogger) *Daemon {
	holder := record.HolderID(cfg.VM + "/" + uuid.NewString())
	d := &Daemon{
		cfg: cfg, logger: logger, config: configsync.NewFollower(log, logger),
		holder: holder, started: time.Now(), drain: make(chan struct{}),
	}
	d.budget = budget.NewManager(budget.Config{
		Holder: holder, Partitions: cfg.LedgerPartitions, BillBuffer: cfg.BillBuffer,
		FlushInterval: cfg.FlushInterval, GrantSize: cfg.GrantSize,
	}, log, logger)
	d.api = newAPI(cfg, holder, d.config, d.budget, log, logger)
	d.server = &http.Server{
		Handler: d.api.Handler(), ReadHeaderTimeout: cfg.ReadTimeout,
		IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
	}
	d.admin = &http.Server{Handler: httpapi.AdminHandler(d), ReadHeaderTimeout: cfg.ReadTimeout}
	return d
}

// newAPI wires the callers' API.
func newAPI(
	cfg settings.Daemon, holder record.HolderID, config httpapi.Configuration, spending httpapi.Budget,
	log logstream.Log, logger logrus.FieldLogger,
) *httpapi.API {
	client := upstream.New()
	return &httpapi.API{
		Config: config, Budget: spending, Engines: client, Services: client,
		Admission: localAdmission{}, Routing: &localRouting{config: config, open: make(map[string]int)},
		Retry: newLocalRetryBudget(), Claims: newLocalClaims(log, cfg.LedgerPartitions),
		Requests: request.NewTable(request.Config{
			Retention: cfg.RequestRetention, MaxFinished: cfg.RequestsKept,
			MaxAnswerBytes: cfg.AnswerMemory, Now: time.Now,
		}),
		Unknown: &httpapi.Resolver{
			Budget: spending, Engines: client, Delay: cfg.UnknownBillDelay, Logger: logger, Now: time.Now,
		},
		Holder: holder, Logger: logger, Now: time.Now,
		Limits: httpapi.Limits{
			MaxBodyBytes: cfg.MaxBodyBytes, BodyTimeout: cfg.ReadTimeout, WriteTimeout: cfg.WriteTimeout,
			RequestTimeout: cfg.RequestTimeout, AttemptTimeout: cfg.AttemptTimeout, ResumeTimeout: cfg.ResumeTimeout,
			RepeatWait: cfg.RepeatWait, UnknownBillDelay: cfg.UnknownBillDelay, MaxOpen: cfg.MaxRequests,
			MaxAnswerBytes: cfg.MaxAnswerBytes,
		},
	}
}

// Status describes the process for /admin/status.
func (d *Daemon) Status() httpapi.Status {
	return httpapi.Status{
		VM: d.cfg.VM, Zone: d.cfg.Zone, Region: d.cfg.Region, Holder: string(d.holder),
		Ready: d.ready.Load(), Draining: d.draining.Load(), ConfigVersion: d.config.Current().Version,
		OpenRequests: d.api.Open(), UnknownRequests: d.api.Unknown.Len(), RequestStates: d.api.Requests.Count(),
		Started: d.started,
	}
}

// Drain begins a planned stop, like SIGTERM.
func (d *Daemon) Drain() {
	if d.draining.CompareAndSwap(false, true) {
		close(d.drain)
	}
}

// Balance returns what is left of an entry's budget.
func (d *Daemon) Balance(entry string) (httpapi.EntryBalance, bool) {
	bound := d.config.Current().Entry(entry)
	if bound == nil {
		return httpapi.EntryBalance{}, false
	}
	return httpapi.EntryBalance{
		Entry: bound.Key.Name, Generation: bound.Key.Generation, Remaining: d.budget.Balance(bound.Key).Remaining,
	}, true
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
	var loops conc.WaitGroup
	loops.Go(func() { d.config.Run(background) })
	loops.Go(func() { d.budget.Run(background) })
	var resolver conc.WaitGroup
	resolver.Go(func() { d.api.Unknown.Run(background) })
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
	d.api.Wait(ctx)
	stopBackground()
	d.api.Unknown.Close(ctx)
	err = errors.CombineErrors(err, d.budget.Close(ctx))
	_ = d.admin.Close()
	obs.EventStopped.Log(d.logger, nil)
	return err
}
