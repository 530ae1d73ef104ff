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

// ErrFenced reports an order that the engine refused for its old fencing number.
var ErrFenced = errors.New("engine refused an old fencing number")

// Control reads engines and gives them orders.
type Control interface {
	State(ctx context.Context, engine *catalogue.Upstream) (EngineState, error)
	Apply(ctx context.Context, engine *catalogue.Upstream, o Order) error
}

// Config is what a Manager needs besides the log and the engines.
type Config struct {
	Holder record.HolderID
	// PullsPerSecond is the rate of the weight store for the whole fleet.
	PullsPerSecond float64
	// Catalogue returns the configuration in force.
	Catalogue func() *catalogue.Snapshot
	// Candidate reports whether this process should take a lapsed lease. It is
	// a hint that keeps the fleet from competing for the lease.
	Candidate func() bool
	// HolderGone reports whether a holder is gone from the member table.
	HolderGone func(record.HolderID) bool
	Now        func() time.Time
	Logger     logrus.FieldLogger
}

const (
	stepInterval = time.Second
	readBatch    = 256
	// parallelReads bounds the engines that are read at once.
	parallelReads = 32
)

// Manager takes part in the election and, while it holds the lease, reconciles
// the engines. It is not safe for concurrent use.
type Manager struct {
	cfg      Config
	log      logstream.Log
	control  Control
	election *Election
	pacer    *Pacer
	next     uint64
}

// NewManager returns a manager that has read nothing of the orders stream.
func NewManager(cfg Config, log logstream.Log, control Control) *Manager {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Manager{cfg: cfg, log: log, control: control, election: NewElection(cfg.Holder, cfg.Now()), next: 1}
}

// Run steps until the context ends.
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

// Step reads the stream, renews or takes the lease, and gives the orders that
// are due.
func (m *Manager) Step(ctx context.Context) {
	before := m.election.Holding(m.cfg.Now())
	if err := m.elect(ctx); err != nil {
		m.election.StepDown()
	}
	m.noteChange(before, m.election.Holding(m.cfg.Now()))
	if m.election.Holding(m.cfg.Now()) {
		m.reconcile(ctx)
	}
}

func (m *Manager) noteChange(before, after bool) {
	fields := logrus.Fields{"epoch": m.election.Lease().Epoch}
	switch {
	case after && !before:
		m.pacer = NewPacer(m.cfg.PullsPerSecond, m.cfg.Now())
		obs.EventOrderLeaseTaken.Log(m.cfg.Logger, fields)
	case before && !after:
		obs.EventOrderLeaseLost.Log(m.cfg.Logger, fields)
	}
}

// elect returns the first error of a read or an append. A lease is never taken
// on a stream that was not read to its end.
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
		page, err := m.log.Read(ctx, record.OrdersStream, m.next, readBatch, 0)
		if errors.Is(err, logstream.ErrTrimmed) {
			return m.skipTrimmed(ctx)
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			m.next = r.Offset + 1
			items, _, err := record.Decode(r.Data)
			for _, item := range items {
				if err == nil && item.OrderLease != nil {
					m.election.Observe(m.cfg.Now(), *item.OrderLease)
				}
			}
		}
		if m.next >= page.Next {
			return nil
		}
	}
}

// skipTrimmed goes on at the first retained record. The first lease read after a
// gap is taken as it stands: only accepted leases have rising epochs, so the
// epoch is learned from the newest record instead of being counted.
func (m *Manager) skipTrimmed(ctx context.Context) error {
	page, err := m.log.Read(ctx, record.OrdersStream, 1<<62, 1, 0)
	if err != nil {
		return err
	}
	m.next = page.First
	m.election.Resume(m.cfg.Now())
	return m.read(ctx)
}

func (m *Manager) reconcile(ctx context.Context) {
	snapshot := m.cfg.Catalogue()
	desired := snapshot.EngineOrders()
	actual := m.readEngines(ctx, snapshot, desired)
	for _, o := range Reconcile(desired, actual) {
		engine := snapshot.Upstream(o.Upstream)
		fence, ok := m.election.MayOrder(m.cfg.Now(), engine.ChecksFencing)
		if !ok || o.Pulls() && !m.pacer.Take(m.cfg.Now()) {
			continue
		}
		o.Fence = fence
		m.give(ctx, engine, o)
	}
}

func (m *Manager) readEngines(ctx context.Context, s *catalogue.Snapshot, desired []catalogue.EngineOrder) map[string]EngineState {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	var mu sync.Mutex
	actual := make(map[string]EngineState, len(desired))
	reads := pool.New().WithMaxGoroutines(parallelReads)
	for _, d := range desired {
		engine := s.Upstream(d.Upstream)
		if engine == nil {
			continue
		}
		reads.Go(func() {
			state, err := m.control.State(ctx, engine)
			if err != nil {
				obs.EventEngineStateUnknown.Log(m.cfg.Logger, logrus.Fields{"upstream": engine.Name, "error": err.Error()})
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

// give sends one order. Its outcome is not trusted: the next step reads the
// engine back and repairs what differs.
func (m *Manager) give(ctx context.Context, engine *catalogue.Upstream, o Order) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	obs.OrdersSentTotal.Add(1)
	if o.Pulls() {
		obs.OrderPullsTotal.Add(1)
	}
	err := m.control.Apply(ctx, engine, o)
	if err == nil {
		return
	}
	obs.OrdersFailedTotal.Add(1)
	if errors.Is(err, ErrFenced) {
		obs.OrdersFencedTotal.Add(1)
		m.election.StepDown()
	}
	obs.EventOrderFailed.Log(m.cfg.Logger, logrus.Fields{"upstream": o.Upstream, "kind": string(o.Kind), "error": err.Error()})
}
