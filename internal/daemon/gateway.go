package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/coordination/overload"
	"github.com/dotterelthread/dotterelthread/internal/coordination/prepaid"
	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// GatewayConfig holds the settings of a router that forwards requests by host
// and path and keeps what must last in a keyed log.
type GatewayConfig struct {
	VM, Zone, Region string
	// Listen is for callers, ReadyListen for the balancer's question whether the
	// router is ready, MetricsListen for metrics.
	Listen, ReadyListen, MetricsListen string
	// PeerListen is empty for a router that does not talk to others. Seeds are
	// addresses of peers to ask before the log has named any.
	PeerListen string
	Seeds      []string
	PeerKey    string
	// MaxSockets bounds the open sockets of the process.
	MaxSockets int
	// LinkBandwidth is that of the VM's link, in bytes per second; 0 means that it
	// is not known.
	LinkBandwidth float64
	// GracePeriod is the time from the order to stop until the process is killed.
	GracePeriod time.Duration
	// RetryRatio and RetryExtra bound the retries of the fleet in any RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ConfigApply is the time within which a new configuration must be in force.
	ConfigApply time.Duration
}

// Defaults of GatewayConfig.
const (
	DefaultGracePeriod = 8 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetryWindow = 10 * time.Second
	DefaultConfigApply = 2 * time.Second
)

// GatewayDeps are what a deployment supplies.
type GatewayDeps struct {
	Log keyedlog.Log
	// Partitions bounds the partitions of a stream.
	Partitions int
	Headers    httpapi.HeaderCodec
	// AnswerID returns the id of the request that an upstream's answer belongs to.
	AnswerID func(http.Header) string
	// ConfigStream holds the configuration under ConfigKey.
	ConfigStream keyedlog.Stream
	ConfigKey    string
	DecodeConfig func(data []byte) (*catalogue.Snapshot, error)
	// UpstreamStream holds one record per upstream.
	UpstreamStream keyedlog.Stream
	DecodeUpstream func(key string, data []byte) (catalogue.Upstream, error)
	// ReadyPath is the path of the question whether the router is ready.
	ReadyPath string
}

// Gateway is a router process that forwards requests.
type Gateway struct {
	cfg    GatewayConfig
	deps   GatewayDeps
	logger logrus.FieldLogger
	holder record.HolderID

	config    *replica.Replica
	upstreams *replica.Replica
	beats     *heartbeat.Monitor
	peers     *gatewayPeers
	// build guards the derivation of the snapshot.
	build    sync.Mutex
	decoded  decodedRecords
	snapshot atomic.Pointer[catalogue.Snapshot]

	budget    *prepaid.Manager
	routing   *routing.Router
	admission *admission.Controller
	pool      *relay.Pool
	api       *httpapi.API
	retries   retryBudgets
	guard     *overload.Shedder
	started   time.Time
	ready     atomic.Bool
	draining  atomic.Bool
	closing   atomic.Bool
}

const (
	// budgetStreams is the number of streams over which budgets are spread. More
	// streams mean fewer conflicts and more calls.
	budgetStreams = 24
	// configWait is how long a read waits at the log for a new configuration. It
	// is short enough to notice soon that the log is away.
	configWait = 1200 * time.Millisecond
	// upstreamInterval is the time between two reads of the upstreams' records,
	// which are renewed all the time.
	upstreamInterval = 250 * time.Millisecond
	// upstreamGrace is how long removals are held back after the log's return.
	upstreamGrace = 2200 * time.Millisecond
	// beatInterval is the time between two beats of a router in a small fleet.
	beatInterval = 500 * time.Millisecond
	// reportInterval is the time between two looks at what is worth a report.
	reportInterval = 700 * time.Millisecond
	// gatewaySlowStart is short because engines are at full speed at once; only
	// their caches are empty.
	gatewaySlowStart = 3 * time.Second
	// blockSeconds is the time in which an engine computes a prompt block of
	// routing.BlockTokens.
	blockSeconds = 0.005
)

// upstreamPace reads the upstreams' records less often in a large fleet.
func (g *Gateway) upstreamPace() time.Duration {
	return min(maxUpstreamInterval, max(upstreamInterval, time.Duration(g.beats.Routers())*upstreamReads))
}

const (
	// maxUpstreamInterval leaves time to stop using an upstream that leaves.
	maxUpstreamInterval = 600 * time.Millisecond
	// upstreamReads bounds the reads of the whole fleet to a hundred a second.
	upstreamReads = 10 * time.Millisecond
)

// beatStream holds one record per router.
var beatStream = keyedlog.Stream{Name: "routers"}

// NewGateway returns a router that has not started.
func NewGateway(cfg GatewayConfig, deps GatewayDeps, logger logrus.FieldLogger) (*Gateway, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "process id")
	}
	g := &Gateway{
		cfg: cfg, deps: deps, logger: logger, holder: record.HolderID(cfg.VM + "/" + id.String()),
		pool: relay.NewPool(deps.AnswerID), guard: overload.New(overload.Config{}), started: time.Now(),
	}
	g.snapshot.Store(catalogue.NewSnapshot(0, catalogue.Catalogue{}, nil))
	g.config = replica.New(replica.Config{
		Log: deps.Log, Stream: deps.ConfigStream, Wait: configWait, Now: time.Now, OnChange: g.rebuild, Logger: logger,
	})
	g.upstreams = replica.New(replica.Config{
		Log: deps.Log, Stream: deps.UpstreamStream, Interval: upstreamInterval, IntervalFunc: g.upstreamPace, RemovalGrace: upstreamGrace, Now: time.Now,
		OnChange: g.rebuild, Logger: logger,
	})
	policy := prepaid.DefaultPolicy()
	g.beats = heartbeat.New(heartbeat.Config{
		Log: deps.Log, Stream: beatStream, VM: cfg.VM, Interval: beatInterval, MaxProvableGap: policy.FullShareAfter, Timestamp: readStamp,
		Self:           heartbeat.Record{Process: string(g.holder), Address: cfg.PeerListen, Zone: cfg.Zone},
		HeartbeatUsage: func() (map[string]int64, func()) { return g.budget.HeartbeatUsage() },
		QueryAge:       func(ctx context.Context, offset uint64) []heartbeat.AgeBounds { return g.peers.witnesses(ctx, offset) },
		Now:            time.Now, Logger: logger,
	})
	if g.peers, err = newGatewayPeers(g, id.String()); err != nil {
		return nil, err
	}
	g.retries = retryBudgets{cfg: routing.WindowConfig{
		Ratio: cfg.RetryRatio, Extra: cfg.RetryExtra, Length: cfg.RetryWindow, Routers: g.beats.Routers, Now: time.Now,
	}, byService: make(map[string]*routing.WindowBudget)}
	g.budget = prepaid.New(prepaid.Config{
		Log: deps.Log, Streams: g.budgetStreams(), VM: cfg.VM, Process: g.holder, Prepaid: g.prepaid,
		Entries: g.entries, Routers: g.beats.Routers, Policy: policy, Interval: reportInterval,
		Heartbeats: g.beats, Peers: g.peers, Now: time.Now, Logger: logger,
	})
	g.peers.serveBudget(g.budget)
	weights := routing.DefaultWeights()
	weights.Block, weights.ServiceZone = blockSeconds, gatewayServiceZone
	g.routing = routing.New(routing.Config{
		Now: time.Now, Zone: cfg.Zone, Region: cfg.Region, Routers: g.beats.Routers, Weights: weights,
		SlowStart: gatewaySlowStart, Notify: routing.LogChanges(logger),
	})
	g.admission = admission.New(admission.Config{Now: time.Now, Capacity: g.capacity, MaxWait: gatewayMaxWait})
	g.api = g.newAPI()
	return g, nil
}

// gatewayServiceZone is the cost of another availability zone for a plain
// service: a fraction of a millisecond against tens for the work.
const gatewayServiceZone = 0.2

// gatewayMaxWait bounds the wait for admission. Callers wait a few hundred
// milliseconds for a first event, and a request that is refused at once may
// still be served elsewhere.
var gatewayMaxWait = map[catalogue.Class]time.Duration{
	catalogue.ClassInteractive: 400 * time.Millisecond,
	catalogue.ClassService:     400 * time.Millisecond,
	catalogue.ClassQueued:      2 * time.Second,
}

func (g *Gateway) budgetStreams() []keyedlog.Stream {
	streams := make([]keyedlog.Stream, 0, budgetStreams)
	parts := min(budgetStreams, g.deps.Partitions)
	for i := range budgetStreams {
		streams = append(streams, keyedlog.Stream{Name: "budgets-" + strconv.Itoa(i/parts), Partition: i % parts})
	}
	return streams
}

// Current returns the configuration in force. It implements
// httpapi.Configuration.
func (g *Gateway) Current() *catalogue.Snapshot { return g.snapshot.Load() }

func (g *Gateway) prepaid(entry string) (int64, bool) {
	e := g.Current().Entry(entry)
	if e == nil || len(e.Prepaid) == 0 {
		return 0, false
	}
	return e.PrepaidTokens(), true
}

// maxHeldEntries bounds the budgets of which shares are held before their first
// request.
const maxHeldEntries = 100

func (g *Gateway) entries() []string {
	var names []string
	for e := range g.Current().Entries {
		if len(e.Prepaid) > 0 {
			names = append(names, e.Name)
		}
	}
	if len(names) > maxHeldEntries {
		return nil
	}
	return names
}

// capacitySpread lets a router use more than an equal part of the capacity:
// balancers do not spread callers evenly, and upstreams queue what comes together.
const capacitySpread = 4

func (g *Gateway) capacity(pool string) int {
	all := g.routing.Capacity(httpapi.ParsePoolName(pool))
	return min(all, max(minCapacity, all*capacitySpread/g.beats.Routers()))
}

// minCapacity lets a router that gets the traffic of a few large callers use most
// of a small service; its upstreams refuse what is too much.
const minCapacity = 24

// retryBudgets holds one budget per service.
type retryBudgets struct {
	cfg       routing.WindowConfig
	mu        sync.Mutex
	byService map[string]*routing.WindowBudget
}

func (r *retryBudgets) of(service string) httpapi.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.byService[service]
	if b == nil {
		b = routing.NewWindowBudget(r.cfg)
		r.byService[service] = b
	}
	return b
}

// Bounds of forwarded requests.
const (
	gatewayBodyTimeout    = 5 * time.Second
	gatewayWriteTimeout   = 10 * time.Second
	gatewayRequestTimeout = 30 * time.Second
	// gatewayRetention is how long a finished request can be asked for.
	gatewayRetention    = 5 * time.Second
	gatewayMaxFinished  = 1000
	gatewayMaxBodyBytes = 4 << 20
	// staleAfter is the age of the configuration from which a newer one may be
	// in force, as a part of the time within which it must be.
	staleAfter = 0.9
)

func (g *Gateway) newAPI() *httpapi.API {
	return &httpapi.API{
		Config: g, Budget: g.budget, Admission: admitter{g.admission}, Routing: chooser{g.routing},
		Forwarding: httpapi.Forwarding{
			Forwarder: g.pool, Headers: g.deps.Headers, Retry: g.retries.of, Routers: g.beats.Routers,
			ConfigStale: g.stale, Closing: g.closing.Load, ShouldShed: g.guard.Refuse, Busy: g.guard.Busy,
		},
		Requests: request.NewTable(request.Config{
			Retention: gatewayRetention, MaxFinished: gatewayMaxFinished, Now: time.Now,
		}),
		Holder: g.holder, Logger: g.logger, Now: time.Now,
		Limits: httpapi.Limits{
			MaxBodyBytes: gatewayMaxBodyBytes, BodyTimeout: gatewayBodyTimeout, WriteTimeout: gatewayWriteTimeout,
			RequestTimeout: gatewayRequestTimeout, MaxOpenRequests: int64(max(1, g.cfg.MaxSockets/3)),
		},
	}
}

func (g *Gateway) stale() bool {
	limit := time.Duration(staleAfter * float64(g.cfg.ConfigApply))
	return g.config.Staleness(g.started) > limit && g.peers.configAge() > limit
}

// Reload takes over settings that may change while the process runs.
func (g *Gateway) Reload(cfg GatewayConfig) {
	g.peers.setSeeds(cfg.Seeds)
	obs.EventReloaded.Log(g.logger, logrus.Fields{"seeds": len(cfg.Seeds)})
}

// Run serves until the context ends or SIGTERM has been handled by the caller's
// context, then finishes open requests and hands back shares.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	var loops conc.WaitGroup
	for _, s := range servers {
		loops.Go(func() { _ = s.server.Serve(s.listener) })
	}
	loops.Go(func() { g.config.Run(background) })
	loops.Go(func() { g.upstreams.Run(background) })
	loops.Go(func() { g.beats.Run(background) })
	loops.Go(func() { g.peers.run(background) })
	budgets, stopBudgets := context.WithCancel(background)
	defer stopBudgets()
	var budgetLoops conc.WaitGroup
	budgetLoops.Go(func() { g.budget.Run(budgets) })
	loops.Go(func() { every(background, advanceInterval, g.admission.Advance) })
	loops.Go(func() { g.watchLag(background) })
	loops.Go(func() { every(background, time.Second, g.pool.CloseExpired) })
	obs.EventStarted.Log(g.logger, logrus.Fields{
		"address": g.cfg.Listen, "vm": g.cfg.VM, "zone": g.cfg.Zone, "process": string(g.holder),
	})
	<-ctx.Done()
	g.finish(servers)
	stopBudgets()
	budgetLoops.Wait()
	handBack, cancel := context.WithTimeout(context.Background(), gatewayHandBack)
	defer cancel()
	err = g.budget.Close(handBack)
	g.beats.Leave(handBack)
	stop()
	for _, s := range servers {
		_ = s.server.Close()
	}
	g.pool.Close()
	loops.Wait()
	obs.EventStopped.Log(g.logger, logrus.Fields{"open": g.api.InProgress()})
	return err
}

// watchLag measures how late timers fire and how full the link is.
func (g *Gateway) watchLag(ctx context.Context) {
	last, lastIn, lastOut := time.Now(), netopt.Traffic.In.Load(), netopt.Traffic.Out.Load()
	for ctx.Err() == nil {
		time.Sleep(overload.SampleInterval)
		now, in, out := time.Now(), netopt.Traffic.In.Load(), netopt.Traffic.Out.Load()
		took, link := now.Sub(last), 0.0
		if g.cfg.LinkBandwidth > 0 {
			link = float64(max(in-lastIn, out-lastOut)) / took.Seconds() / g.cfg.LinkBandwidth
		}
		if refused, changed := g.guard.Sample(took, link); changed {
			obs.EventLoadSheddingChanged.Log(g.logger, logrus.Fields{
				"refused": refused, "lag_ms": (took - overload.SampleInterval).Milliseconds(), "link": link, "open": g.api.InProgress(),
			})
		}
		last, lastIn, lastOut = now, in, out
	}
}

// gatewayHandBack bounds the time to hand back shares at a stop.
const gatewayHandBack = 700 * time.Millisecond

// gatewayServer is one HTTP server of the process.
type gatewayServer struct {
	server   *http.Server
	listener net.Listener
}
