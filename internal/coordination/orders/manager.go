package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// ErrStaleFencingToken reports an order that the engine refused because its fencing token is stale.
var ErrStaleFencingToken = errors.New("engine refused a stale fencing token")

// Control reads the state of engines and sends orders to them.
type Control interface {
	State(ctx context.Context, engine *catalogue.Upstream) (EngineState, error)
	Apply(ctx context.Context, engine *catalogue.Upstream, o Order) error
}

// Config holds the settings of a Manager.
type Config struct {
	Holder record.HolderID
	// PullsPerSecond limits the pulls of the whole fleet from the weight store, the server from which engines
	// load the weights of models and adapters. It must be above 0.
	PullsPerSecond float64
	// Catalogue returns the active configuration.
	Catalogue func() *catalogue.Snapshot
	// Candidate reports whether this process should take an expired lease. It is a hint that keeps routers
	// from competing for the lease.
	Candidate func() bool
	// HolderGone reports whether a holder has left the member table of package membership.
	HolderGone func(record.HolderID) bool
	// Now returns the present time; nil means time.Now.
	Now    func() time.Time
	Logger logrus.FieldLogger
}

const (
	stepInterval = time.Second
	readBatch    = 256
	// maxParallelReads limits the engines whose state is read at the same time.
	maxParallelReads = 32
)

// Manager takes part in the election and reconciles the engines while it holds the lease. It is not safe for
// concurrent use.
type Manager struct {
	cfg        Config
	log        logstream.Log
	control    Control
	election   *Election
	pacer      *Pacer
	nextOffset uint64
}

// NewManager returns a Manager that has not read the orders stream yet.
func NewManager(cfg Config, log logstream.Log, control Control) *Manager {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Manager{cfg: cfg, log: log, control: control, election: NewElection(cfg.Holder, cfg.Now()), nextOffset: 1}
}

// Run calls Step every stepInterval until the context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.Step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Step reads the stream, takes or renews the lease, and sends the orders that are due.
func (m *Manager) Step(ctx context.Context) {
	before := m.election.Holding(m.cfg.Now())
	if err := m.elect(ctx); err != nil {
		m.election.StepDown()
	}
	m.handleLeaseChange(before, m.election.Holding(m.cfg.Now()))
	if m.election.Holding(m.cfg.Now()) {
		m.reconcile(ctx)
	}
}

func (m *Manager) handleLeaseChange(before, after bool) {
	fields := logrus.Fields{"epoch": m.election.Lease().Epoch}
	switch {
	case after && !before:
		m.pacer = NewPacer(m.cfg.PullsPerSecond, m.cfg.Now())
		obs.EventOrderLeaseAcquired.Log(m.cfg.Logger, fields)
	case before && !after:
		obs.EventOrderLeaseLost.Log(m.cfg.Logger, fields)
	}
}

// elect reads the stream and appends a lease record if one is due. It returns at the first error, so a lease
// is never taken on a stream that has not been read to its end.
func (m *Manager) elect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewAfter)
	defer cancel()
	if err := m.read(ctx); err != nil {
		return err
	}
	lease, due := m.election.Next(m.cfg.Now(), m.cfg.Candidate(), m.cfg.HolderGone(m.election.Lease().Holder))
	if !due {
		return nil
	}
	data, err := record.Encode([]record.Item{{OrderLease: &lease}})
	if err != nil {
		return err
	}
	if _, err := m.log.Append(ctx, record.OrdersStream, data); err != nil {
		return err
	}
	return m.read(ctx)
}

func (m *Manager) read(ctx context.Context) error {
	for {
		page, err := m.log.Read(ctx, record.OrdersStream, m.nextOffset, readBatch, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			return m.skipTrimmed(ctx)
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			m.nextOffset = r.Offset + 1
			items, _, err := record.Decode(r.Data)
			for _, item := range items {
				if err == nil && item.OrderLease != nil {
					m.election.Observe(m.cfg.Now(), *item.OrderLease)
				}
			}
		}
		if m.nextOffset >= page.Next {
			return nil
		}
	}
}

// skipTrimmed continues at the oldest retained record. A read far beyond the end of the stream returns the
// offset of that record as Page.First. The epochs of the trimmed records are unknown, so the next lease
// record is accepted with any epoch above the last known one; see ObserveGap.
func (m *Manager) skipTrimmed(ctx context.Context) error {
	page, err := m.log.Read(ctx, record.OrdersStream, 1<<62, 1, 0)
	if err != nil {
		return err
	}
	m.nextOffset = page.First
	m.election.ObserveGap(m.cfg.Now())
	return m.read(ctx)
}

// reconcile reads the states of the engines and sends the orders that the lease and the pull rate allow now.
// The next step finds the others due again.
func (m *Manager) reconcile(ctx context.Context) {
	snapshot := m.cfg.Catalogue()
	desired := snapshot.EngineOrders()
	actual := m.readEngines(ctx, snapshot, desired)
	for _, o := range RequiredOrders(desired, actual) {
		engine := snapshot.Upstream(o.Upstream)
		fence, ok := m.election.MayOrder(m.cfg.Now(), engine.ChecksFencing)
		if !ok || o.Pulls() && !m.pacer.Take(m.cfg.Now()) {
			continue
		}
		o.Fence = fence
		m.send(ctx, engine, o)
	}
}

// readEngines returns the states of the engines that have a desired state, by upstream name. It leaves out
// engines that fail to respond within OrderTimeout.
func (m *Manager) readEngines(ctx context.Context, s *catalogue.Snapshot, desired []catalogue.EngineOrder) map[string]EngineState {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	var mu sync.Mutex
	actual := make(map[string]EngineState, len(desired))
	reads := pool.New().WithMaxGoroutines(maxParallelReads)
	for _, d := range desired {
		engine := s.Upstream(d.Upstream)
		if engine == nil {
			continue
		}
		reads.Go(func() {
			state, err := m.control.State(ctx, engine)
			if err != nil {
				obs.EventEngineStateUnreadable.Log(m.cfg.Logger, logrus.Fields{"upstream": engine.Name, "error": err.Error()})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			actual[engine.Name] = state
		})
	}
	reads.Wait()
	return actual
}

// send sends one order. It does not rely on the outcome: the next step reads the engine's state again and
// corrects what differs. If the engine refused a stale fencing token, this process steps down.
func (m *Manager) send(ctx context.Context, engine *catalogue.Upstream, o Order) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	obs.OrdersSentTotal.Add(1)
	if o.Pulls() {
		obs.WeightPullsTotal.Add(1)
	}
	err := m.control.Apply(ctx, engine, o)
	if err == nil {
		return
	}
	obs.OrdersFailedTotal.Add(1)
	if errors.Is(err, ErrStaleFencingToken) {
		obs.OrdersFencedTotal.Add(1)
		m.election.StepDown()
	}
	obs.EventOrderFailed.Log(m.cfg.Logger, logrus.Fields{"upstream": o.Upstream, "kind": string(o.Kind), "error": err.Error()})
}
