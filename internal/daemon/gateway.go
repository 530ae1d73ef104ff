package daemon

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/callrate"
	"github.com/dotterelthread/dotterelthread/internal/coordination/capacityshare"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/coordination/overload"
	"github.com/dotterelthread/dotterelthread/internal/coordination/prepaid"
	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/coordination/streamorigin"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// GatewayConfig holds the settings of a Gateway.
type GatewayConfig struct {
	VM, Zone, Region string
	// ZoneRegions are the regions of zones. If it is empty, all zones are in Region.
	ZoneRegions map[string]string
	// Listen is the address for callers, ReadyListen for the load balancer's readiness checks, and
	// MetricsListen for metrics.
	Listen, ReadyListen, MetricsListen string
	// PeerListen is the address for other routers; empty means that the router does not communicate with any.
	// Seeds are the addresses of peers to use until enough are known from their heartbeats in the log.
	PeerListen string
	// HopListen are addresses for requests that other routers pass on. The first free one is used; without any, no requests
	// are passed on.
	HopListen []string
	Seeds     []string
	PeerKey   string
	// MaxSockets limits the open sockets of the process.
	MaxSockets int
	// Memory is how the memory of the VM is divided. One upstream's responses may use half of Memory.Responses. The zero value
	// means that of a VM with defaultMemory.
	Memory membuf.Parts
	// LinkBandwidth is the bandwidth of the VM's network link, in bytes per second; 0 means unknown.
	LinkBandwidth float64
	// GracePeriod is the time from the shutdown signal until the process is killed.
	GracePeriod time.Duration
	// In any RetryWindow the whole fleet may send RetryRatio retries per request, plus RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdOvershoot and ColdSlack bound the requests to a cold upstream, see routing.Config.
	ColdOvershoot, ColdSlack float64
	// ConfigApplyTimeout is the time within which a new configuration must become active.
	ConfigApplyTimeout time.Duration
	// LogWritesPerSecond and LogReadsPerSecond are the calls per second that the log accepts from all routers together; 0
	// means no limit.
	LogWritesPerSecond, LogReadsPerSecond float64
}

// defaultMemory is the memory limit of a VM whose limit is not known, in bytes.
const defaultMemory = 256 << 20

// Defaults of GatewayConfig.
const (
	DefaultGracePeriod        = 8 * time.Second
	DefaultRetryRatio         = 0.1
	DefaultRetryWindow        = 10 * time.Second
	DefaultConfigApplyTimeout = 2 * time.Second
)

// GatewayDeps are the parts of a Gateway that depend on the platform.
type GatewayDeps struct {
	Log keyedlog.Log
	// Partitions is the number of partitions that the streams of one name can have.
	Partitions int
	Headers    httpapi.HeaderCodec
	// ResponseID returns the ID of the request that an upstream's response belongs to.
	ResponseID func(http.Header) string
	// ConfigStream holds the configuration under ConfigKey.
	ConfigStream keyedlog.Stream
	ConfigKey    string
	DecodeConfig func(data []byte) (*catalogue.Snapshot, error)
	// EvacuatedZone returns the zone that a record with this key in ConfigStream evacuates while it exists; ok is false if
	// it evacuates none. It may be nil.
	EvacuatedZone func(key string) (zone string, ok bool)
	// UpstreamStream holds one record per upstream.
	UpstreamStream keyedlog.Stream
	// DecodeUpstream also returns the revision of the record, which rises with each one that the upstream writes.
	DecodeUpstream func(key string, data []byte) (u catalogue.Upstream, revision uint64, err error)
	// ReadyPath is the path of the readiness check.
	ReadyPath string
}

// Gateway is a router process that forwards requests by host and path and stores its durable state in a keyed
// log.
type Gateway struct {
	cfg    GatewayConfig
	deps   GatewayDeps
	logger logrus.FieldLogger
	holder record.HolderID

	config     *replica.Replica
	upstreams  *replica.Replica
	heartbeats *heartbeat.Monitor
	logCalls   *callrate.Limiter
	peers      *gatewayPeers
	buffers    *membuf.Limiter
	incoming   *membuf.Incoming
	// rebuildMu is held while the snapshot is rebuilt. It guards decoded.
	rebuildMu sync.Mutex
	decoded   decodedRecords
	snapshot  atomic.Pointer[catalogue.Snapshot]

	budget  *prepaid.Manager
	holders budgetHolders
	crashes *quarantine.Registry
	origins *streamorigin.Registry
	// versionsAnnounced is true if the snapshot lacks upstreams that may be used since their version was announced.
	versionsAnnounced atomic.Bool
	routing           *routing.Router
	admission         *admission.Controller
	pool              *relay.Pool
	// hopPool holds the connections to other routers for requests that are passed on.
	hopPool *relay.Pool
	reach   *reach.Monitor
	// demand is this router's demand for the capacity of the upstreams, divider its part of it, and capacities the last values
	// of capacity.
	demand     capacityshare.Meter
	divider    *capacityshare.Divider
	capacities capacityCache
	api        *httpapi.API
	retries    retryBudgets
	shedder    *overload.Shedder
	link       *overload.Link
	inbound    *overload.Inbound
	started    time.Time
	ready      atomic.Bool
	// draining is set at the start of the shutdown, and closing when new requests are refused.
	draining atomic.Bool
	closing  atomic.Bool
	// callers are the connections of callers.
	callers httpapi.KeptConns
	// hopCallers are the connections of other routers that pass requests on.
	hopCallers httpapi.KeptConns
}

const (
	// budgetStreamCount is the number of streams over which the budgets are distributed. More streams mean
	// fewer conflicting appends but more calls to the log.
	budgetStreamCount = 24
	// configLongPoll is how long a read waits at the log for a new configuration. It is short so that an
	// outage of the log is noticed soon.
	configLongPoll = 1200 * time.Millisecond
	// minUpstreamReadInterval is the time between two reads of the upstreams' records in a small fleet. Reads do
	// not wait at the log, because the records are renewed continuously.
	minUpstreamReadInterval = 250 * time.Millisecond
	// upstreamRemovalGrace is how long removals of upstreams are deferred after an outage of the log.
	upstreamRemovalGrace = 2200 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a router in a small fleet.
	heartbeatInterval = 500 * time.Millisecond
	// spendReportInterval is the mean time between two checks for spending to report to the log.
	spendReportInterval = 700 * time.Millisecond
	// gatewaySlowStart is short because a new engine has its full speed from the start. Only its cache is
	// empty.
	gatewaySlowStart = 3 * time.Second
	// promptBlockSeconds is the time that an engine needs to process routing.BlockTokens tokens of a prompt.
	promptBlockSeconds = 0.005
)

// upstreamReadInterval returns the time between two reads of the upstreams' records. It is longer in a large
// fleet.
func (g *Gateway) upstreamReadInterval() time.Duration {
	return min(maxUpstreamReadInterval, max(minUpstreamReadInterval, time.Duration(g.heartbeats.Routers())*upstreamReadIntervalPerRouter))
}

const (
	// maxUpstreamReadInterval is short enough to stop using a draining upstream in time.
	maxUpstreamReadInterval = 600 * time.Millisecond
	// upstreamReadIntervalPerRouter limits the reads of the whole fleet to 100 per second, up to 60 routers. In
	// a larger fleet maxUpstreamReadInterval takes precedence.
	upstreamReadIntervalPerRouter = 10 * time.Millisecond
)

// heartbeatStream holds one record, the latest heartbeat, per router.
var heartbeatStream = keyedlog.Stream{Name: "routers"}

// streamOriginStream holds one record per router, see package streamorigin.
var streamOriginStream = keyedlog.Stream{Name: "stream-origins"}

// NewGateway returns a router that has not started.
func NewGateway(cfg GatewayConfig, deps GatewayDeps, logger logrus.FieldLogger) (*Gateway, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate process ID")
	}
	cfg.Memory = cmp.Or(cfg.Memory, membuf.Divide(defaultMemory))
	g := &Gateway{
		cfg: cfg, deps: deps, logger: logger, holder: record.HolderID(cfg.VM + "/" + id.String()),
		buffers: membuf.NewLimiter(cfg.Memory.Responses), shedder: overload.New(overload.Config{}), started: time.Now(),
		divider: capacityshare.New(cfg.VM), link: overload.NewLink(overload.LinkConfig{Bandwidth: cfg.LinkBandwidth}),
		inbound: overload.NewInbound(cfg.LinkBandwidth, time.Now),
	}
	g.incoming = membuf.NewIncoming(cfg.Memory.Requests, time.Now)
	g.callers.Incoming, g.hopCallers.Incoming = g.incoming, g.incoming
	g.callers.MaxLargeWindows = cfg.Memory.LargeWindows
	g.pool, g.hopPool = relay.NewPool(deps.ResponseID, g.buffers), relay.NewPool(deps.ResponseID, g.buffers)
	g.reach = g.newReachMonitor()
	g.snapshot.Store(catalogue.NewSnapshot(0, catalogue.Catalogue{}, nil))
	g.logCalls = callrate.New(callrate.Config{
		WritesPerSecond: cfg.LogWritesPerSecond, ReadsPerSecond: cfg.LogReadsPerSecond,
		FleetSize: func() (int, bool) { return g.heartbeats.FleetSize() }, Now: time.Now, Logger: logger,
	})
	controlLog := g.logCalls.Wrap(deps.Log, callrate.Control, callrate.Control)
	g.config = replica.New(replica.Config{
		Log: controlLog, Stream: deps.ConfigStream, Wait: configLongPoll, RestoreGrace: evacuationRestoreGrace, Now: time.Now,
		OnChange: g.rebuild, Logger: logger,
	})
	g.upstreams = replica.New(replica.Config{
		Log: controlLog, Stream: deps.UpstreamStream, Interval: minUpstreamReadInterval, IntervalFunc: g.upstreamReadInterval, RemovalGrace: upstreamRemovalGrace, Now: time.Now,
		OnChange: g.rebuild, Logger: logger,
	})
	policy := prepaid.DefaultPolicy()
	g.heartbeats = heartbeat.New(heartbeat.Config{
		Log: controlLog, Stream: heartbeatStream, VM: cfg.VM, Interval: heartbeatInterval, MaxProvableGap: policy.FullShareAfter, Timestamp: readClocks,
		Self:           heartbeat.Record{Process: string(g.holder), Address: cfg.PeerListen, Zone: cfg.Zone},
		HeartbeatUsage: func() (map[string]int64, func(bool)) { return g.budget.HeartbeatUsage() },
		Notice:         func() []byte { return encodeVerdicts(logger, g.crashes) },
		OnNotice:       func(notice []byte) { mergeVerdicts(logger, g.crashes, notice) },
		Unreachable:    g.reach.UnreachableServices,
		Demand:         func() []byte { return capacityshare.Encode(g.demand.Demand()) },
		QueryAge:       func(ctx context.Context, offset uint64) []heartbeat.AgeBounds { return g.peers.queryAges(ctx, offset) },
		Now:            time.Now, Logger: logger,
	})
	if g.peers, err = newGatewayPeers(g, id.String()); err != nil {
		return nil, err
	}
	g.crashes = quarantine.New(quarantine.Config{
		Now: time.Now, VM: cfg.VM, Members: func() []string { return slices.Collect(maps.Keys(g.heartbeats.Addresses())) },
		Notify: logQuarantine(logger),
	})
	// A caller waits for most reads of the origins.
	g.origins = streamorigin.New(streamorigin.Config{
		Log: g.logCalls.Wrap(deps.Log, callrate.StreamOrigin, callrate.Caller), Stream: streamOriginStream, VM: cfg.VM, Routers: g.heartbeats.Routers, Listed: g.upstreamsBetween,
		QueryPeers:  func(ctx context.Context, hash uint64) []streamorigin.Origin { return g.peers.queryOrigins(ctx, hash) },
		OnAnnounced: g.useAnnouncedVersions, Now: time.Now, Logger: logger,
	})
	g.retries = retryBudgets{cfg: routing.WindowConfig{
		Ratio: cfg.RetryRatio, Extra: cfg.RetryExtra, Length: cfg.RetryWindow, Routers: g.heartbeats.Routers, Now: time.Now,
	}, byService: make(map[string]*routing.WindowRetryBudget)}
	g.budget = prepaid.New(prepaid.Config{
		Log: g.logCalls.Wrap(deps.Log, callrate.ShareRaise, callrate.ShareRaise), LogRateLimited: g.logCalls.Delaying, Streams: g.budgetStreams(), VM: cfg.VM, Process: g.holder, Prepaid: g.prepaidTokens,
		ConfigStale: g.configStale, Entries: g.preallocatedEntries, Routers: g.heartbeats.Routers, Holders: g.holders.of(g), Policy: policy, Interval: spendReportInterval,
		Heartbeats: g.heartbeats, Peers: g.peers, Now: time.Now, Logger: logger,
	})
	weights := routing.DefaultWeights()
	weights.Block, weights.ServiceZone = promptBlockSeconds, gatewayServiceZoneWeight
	g.routing = routing.New(routing.Config{
		Now: time.Now, Zone: cfg.Zone, Region: cfg.Region, Routers: g.heartbeats.Routers, Position: g.position, Weights: weights,
		SlowStart: gatewaySlowStart, Measure: routing.MeasureReported, ColdOvershoot: cfg.ColdOvershoot, ColdSlack: cfg.ColdSlack,
		Notify: routing.LogChanges(logger),
	})
	publishSpeeds(g.routing)
	g.peers.registerHandlers(g.budget, g.crashes, g.routing)
	g.peers.registerOriginHandler(g.origins)
	g.admission = admission.New(admission.Config{Now: time.Now, Capacity: g.capacity, MaxWait: gatewayMaxWait, BurstFactor: 1})
	g.api = g.newAPI()
	return g, nil
}

// gatewayServiceZoneWeight is the routing weight of another availability zone for a plain service. It is low
// because the network adds a fraction of a millisecond to requests that take tens of milliseconds.
const gatewayServiceZoneWeight = 0.2

// gatewayMaxWait limits the wait for admission. Callers wait only a few hundred milliseconds for a first
// event, and a request that is refused early may still be served by another router.
var gatewayMaxWait = map[catalogue.Class]time.Duration{
	catalogue.ClassInteractive: 400 * time.Millisecond,
	catalogue.ClassService:     400 * time.Millisecond,
	catalogue.ClassQueued:      2 * time.Second,
}

// budgetStreams returns the budgetStreamCount streams of the budgets. They have several names if one name has
// fewer partitions.
func (g *Gateway) budgetStreams() []keyedlog.Stream {
	streams := make([]keyedlog.Stream, 0, budgetStreamCount)
	partitions := min(budgetStreamCount, g.deps.Partitions)
	for i := range budgetStreamCount {
		streams = append(streams, keyedlog.Stream{Name: "budgets-" + strconv.Itoa(i/partitions), Partition: i % partitions})
	}
	return streams
}

// useAnnouncedVersions rebuilds the snapshot with the upstreams whose version may begin streams now.
func (g *Gateway) useAnnouncedVersions() {
	g.versionsAnnounced.Store(true)
	g.rebuild()
}

// Current returns the active configuration. It implements httpapi.Configuration.
func (g *Gateway) Current() *catalogue.Snapshot { return g.snapshot.Load() }

func (g *Gateway) prepaidTokens(entry string) (int64, bool) {
	e := g.Current().Entry(entry)
	if e == nil || len(e.Prepaid) == 0 {
		return 0, false
	}
	return e.PrepaidTokens(), true
}

// maxPreallocatedEntries is the number of budgets above which no shares are obtained before the first
// request of an entry.
const maxPreallocatedEntries = 100

// preallocatedEntries returns the entries for which the router obtains a share before their first request.
func (g *Gateway) preallocatedEntries() []string {
	var names []string
	for e := range g.Current().Entries {
		if len(e.Prepaid) > 0 {
			names = append(names, e.Name)
		}
	}
	if len(names) > maxPreallocatedEntries {
		return nil
	}
	return names
}

// retryBudgets holds one retry budget per service.
type retryBudgets struct {
	cfg       routing.WindowConfig
	mu        sync.Mutex
	byService map[string]*routing.WindowRetryBudget
}

func (r *retryBudgets) forService(service string) httpapi.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.byService[service]
	if b == nil {
		b = routing.NewWindowRetryBudget(r.cfg)
		r.byService[service] = b
	}
	return b
}

// Limits of forwarded requests.
const (
	gatewayBodyTimeout    = 5 * time.Second
	gatewayWriteTimeout   = 10 * time.Second
	gatewayRequestTimeout = 30 * time.Second
	// gatewayRetention is how long a finished request is kept in the request table.
	gatewayRetention    = 5 * time.Second
	gatewayMaxFinished  = 1000
	gatewayMaxBodyBytes = 4 << 20
	// staleRatio is the fraction of GatewayConfig.ConfigApplyTimeout after which a configuration that neither
	// the log nor a peer has confirmed counts as stale, because a newer one may be active elsewhere.
	staleRatio = 0.9
)

func (g *Gateway) newAPI() *httpapi.API {
	return &httpapi.API{
		Config: g, Budget: g.budget, Admission: admissionAdapter{g.admission}, Routing: routingAdapter{g.routing},
		Quarantine: g.crashes, Origins: g.origins, Incoming: g.incoming,
		Forwarding: httpapi.Forwarding{
			Forwarder: g.pool, Headers: g.deps.Headers, Buffers: g.buffers, Retry: g.retries.forService, Routers: g.heartbeats.Routers,
			ConfigStale: g.configStale, ConfigAge: g.configAge, Closing: g.closing.Load, ShouldShed: g.shedder.ShouldRefuse,
			LinkFull: g.link.ShouldRefuse, Busy: g.busy,
			Reach: g.reach, EndedApart: g.endedApart, ReachedByOthers: g.peers.reachUpstream, NoteLeaving: g.noteLeaving, Hops: g.newHops(),
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

func (g *Gateway) configStale() bool {
	return g.configAge() > time.Duration(staleRatio*float64(g.cfg.ConfigApplyTimeout))
}

// configAge returns how long ago the log or a peer confirmed that the configuration was the newest one.
func (g *Gateway) configAge() time.Duration {
	return min(g.config.Staleness(g.started), g.peers.peerConfigStaleness())
}

// Reload applies the only settings that may change while the process runs: Seeds.
func (g *Gateway) Reload(cfg GatewayConfig) {
	g.peers.setSeeds(cfg.Seeds)
	obs.EventReloaded.Log(g.logger, logrus.Fields{"seeds": len(cfg.Seeds)})
}

// Run serves until the context ends. Then it finishes open requests and returns the unspent tokens of its
// shares to the budgets.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	if s, ok := g.listenForHops(); ok {
		servers = append(servers, s)
	}
	var loops conc.WaitGroup
	for _, s := range servers {
		loops.Go(s.serve)
		loops.Go(func() { keepRoom(background, s.limited, s.conns, g.logger) })
	}
	loops.Go(func() { g.config.Run(background) })
	loops.Go(func() { g.upstreams.Run(background) })
	loops.Go(func() { g.heartbeats.Run(background) })
	loops.Go(func() { g.peers.run(background) })
	loops.Go(func() { g.origins.Run(background) })
	loops.Go(func() { exchangeWithPeers(background, g.peers, crashReports(g.crashes)) })
	loops.Go(func() { exchangeWithPeers(background, g.peers, limitReports(g.routing)) })
	loops.Go(func() { exchangeWithPeers(background, g.peers, brittleReports(g.routing)) })
	loops.Go(func() { exchangeWithPeers(background, g.peers, speedReports(g.routing)) })
	budgets, stopBudgets := context.WithCancel(background)
	defer stopBudgets()
	var budgetLoops conc.WaitGroup
	budgetLoops.Go(func() { g.budget.Run(budgets) })
	loops.Go(func() { every(background, updateInterval, g.admission.Advance) })
	loops.Go(func() { g.sampleLoad(background) })
	loops.Go(func() { g.shareCapacity(background) })
	loops.Go(func() { every(background, time.Second, g.pool.CloseExpired) })
	loops.Go(func() { every(background, time.Second, g.hopPool.CloseExpired) })
	loops.Go(func() { g.reach.Run(background) })
	obs.EventStarted.Log(g.logger, logrus.Fields{
		"address": g.cfg.Listen, "vm": g.cfg.VM, "zone": g.cfg.Zone, "process": string(g.holder),
	})
	<-ctx.Done()
	g.heartbeats.SetHopAddress("")
	lastResponses := g.drain()
	stopBudgets()
	budgetLoops.Wait()
	beforeResponses, cancelReturn := context.WithDeadline(context.Background(), lastResponses)
	defer cancelReturn()
	returnCtx, cancel := context.WithTimeout(callrate.WithPriority(beforeResponses, callrate.Always(callrate.Ending)), shareReturnTimeout)
	defer cancel()
	err = g.budget.Close(returnCtx)
	g.heartbeats.Leave(returnCtx)
	err = errors.CombineErrors(err, g.origins.Flush(returnCtx))
	stop()
	left := g.closeServers(servers)
	g.pool.Close()
	g.hopPool.Close()
	loops.Wait()
	obs.EventStopped.Log(g.logger, logrus.Fields{
		"open": g.api.InProgress(), "connections_closed": left.closed, "connections_queued": left.queued,
	})
	return err
}

// sampleLoad measures the lag of timers and the use of the network link for load shedding, until the context
// ends.
func (g *Gateway) sampleLoad(ctx context.Context) {
	last, lastIn, lastOut := time.Now(), netopt.Traffic.In.Load(), netopt.Traffic.Out.Load()
	for ctx.Err() == nil {
		time.Sleep(overload.SampleInterval)
		now, in, out := time.Now(), netopt.Traffic.In.Load(), netopt.Traffic.Out.Load()
		elapsed, linkUse := now.Sub(last), 0.0
		if g.cfg.LinkBandwidth > 0 {
			linkUse = float64(out-lastOut) / elapsed.Seconds() / g.cfg.LinkBandwidth
		}
		if refusedRatio, changed := g.shedder.Sample(elapsed, linkUse); changed {
			obs.EventLoadSheddingChanged.Log(g.logger, logrus.Fields{
				"refused": refusedRatio, "lag_ms": (elapsed - overload.SampleInterval).Milliseconds(), "link": linkUse, "open": g.api.InProgress(),
			})
		}
		if full, changed := g.link.Sample(elapsed, in-lastIn, out-lastOut); changed {
			obs.EventLinkFullChanged.Log(g.logger, logrus.Fields{"full": full, "link": linkUse, "open": g.api.InProgress()})
		}
		g.inbound.Sample(elapsed, in-lastIn)
		last, lastIn, lastOut = now, in, out
	}
}

// shareReturnTimeout limits the time to return the unspent tokens of the shares at shutdown.
const shareReturnTimeout = 700 * time.Millisecond
