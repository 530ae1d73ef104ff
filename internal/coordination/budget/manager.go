package budget

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Config holds the settings of a Manager.
type Config struct {
	Holder     record.HolderID
	Partitions int
	// BillBuffer is the number of bills kept in memory while the log is unreachable.
	BillBuffer int
	// FlushInterval is the time between two appends of settle items and bills.
	FlushInterval time.Duration
	// GrantSize is the smallest grant requested, in tokens.
	GrantSize int64
	// Policy holds the other settings; the zero value means DefaultPolicy.
	Policy Policy
	// Peers connects to the other routers; nil means that there are none.
	Peers Peers
	// AppendThroughHome sends appends to the home, which batches them.
	AppendThroughHome bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	maxReadRecords = 256
	// callTimeout bounds one call to the log, or to a home that appends for this process. The log may respond
	// slowly; a call that timed out is repeated.
	callTimeout  = 10 * time.Second
	tickInterval = time.Second
)

// Manager drives a Node with the log and the peers. It is safe for concurrent use.
type Manager struct {
	cfg    Config
	log    logstream.Log
	logger logrus.FieldLogger
	peers  Peers

	// mu guards node and the fields below. It is locked before the locks of the share table and never held
	// during I/O.
	mu              sync.Mutex
	node            *Node
	logSyncs        []*logSync
	replicated      *signal
	terminated      map[record.HolderID]terminatedHolder
	peerSyncRunning bool

	background conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

type terminatedHolder struct {
	proof  TerminationProof
	lookup ChargeLookup
}

// NewManager returns a manager that has not yet read the log.
func NewManager(cfg Config, log logstream.Log, logger logrus.FieldLogger) *Manager {
	if cfg.Policy == (Policy{}) {
		cfg.Policy = DefaultPolicy()
	}
	if cfg.GrantSize > 0 {
		cfg.Policy.MinGrant = cfg.GrantSize
	}
	if cfg.FlushInterval > 0 {
		cfg.Policy.AppendInterval = cfg.FlushInterval
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Manager{
		cfg: cfg, log: log, logger: logger, peers: cfg.Peers,
		node:       NewNode(cfg.Policy, cfg.Holder, cfg.Partitions, cfg.BillBuffer),
		replicated: newSignal(), terminated: make(map[record.HolderID]terminatedHolder),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for range cfg.Partitions {
		m.logSyncs = append(m.logSyncs, &logSync{changed: newSignal()})
	}
	return m
}

// signal wakes all waiters at once. Its owner serializes the calls.
type signal struct{ ch chan struct{} }

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

func (s *signal) wait() <-chan struct{} { return s.ch }

func (s *signal) broadcast() {
	close(s.ch)
	s.ch = make(chan struct{})
}

// Reserve reserves the amount of a request in this process's share, or in another holder's, before the
// request is sent. It waits no longer than the limit of the request's class. The error is ErrExhausted,
// ErrBillingUnavailable or an UnavailableError; in each of these cases the request must not be sent.
func (m *Manager) Reserve(ctx context.Context, req ReserveRequest) (Reservation, error) {
	if !m.node.AcquireBillSlot() {
		return Reservation{}, ErrBillingUnavailable
	}
	res := m.node.Reservation(req)
	position, ok := m.node.Reserve(res)
	if !ok {
		return m.reserveSlow(ctx, req)
	}
	if m.node.Replicated(position) {
		return res, nil
	}
	return m.awaitReplication(ctx, res, position, m.cfg.Now().Add(m.cfg.Policy.waitLimit(req.Class)))
}

// reserveSlow reserves for a request that the own share does not cover.
func (m *Manager) reserveSlow(ctx context.Context, req ReserveRequest) (Reservation, error) {
	m.mu.Lock()
	a := m.node.Begin(m.cfg.Now(), req, false)
	m.mu.Unlock()
	return m.runAttempt(ctx, a)
}

// runAttempt carries out the steps of an attempt until it ends.
func (m *Manager) runAttempt(ctx context.Context, a *Attempt) (Reservation, error) {
	p := m.node.Partition(a.Request.Entry)
	for {
		m.mu.Lock()
		changed := m.logSyncs[p].changed.wait()
		step := m.node.Next(m.cfg.Now(), a, m.home(p))
		m.mu.Unlock()
		switch step.Kind {
		case StepReserved:
			return m.awaitReplication(ctx, m.node.Reservation(a.Request), a.JournalPosition(), a.Deadline())
		case StepRefuse:
			m.node.ReleaseBillSlot()
			return Reservation{}, step.Err
		case StepAskHome, StepBorrow:
			if res, ok := m.reserveAtPeer(ctx, a, step); ok {
				return res, nil
			}
		case StepReturn:
			m.requestReturns(ctx, a, step.Holders)
		case StepLog:
			m.triggerLogSync(p)
			m.waitUntil(ctx, changed, a.Deadline())
		case StepWait:
			m.waitUntil(ctx, changed, step.Until)
		}
		if err := ctx.Err(); err != nil {
			m.node.ReleaseBillSlot()
			return Reservation{}, &UnavailableError{RetryAfter: m.cfg.Policy.RetryAfter, Cause: err}
		}
	}
}

// waitUntil waits for the change, the given time or the end of the context, whichever is first.
func (m *Manager) waitUntil(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(max(0, until.Sub(m.cfg.Now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// awaitReplication waits until the backup has confirmed the reservation. An unconfirmed reservation is
// released: its request must not be dispatched.
func (m *Manager) awaitReplication(ctx context.Context, res Reservation, position JournalPosition, deadline time.Time) (Reservation, error) {
	for !m.node.Replicated(position) {
		if ctx.Err() != nil || !m.cfg.Now().Before(deadline) {
			m.node.Release(res)
			return Reservation{}, &UnavailableError{RetryAfter: m.cfg.Policy.RetryAfter, Cause: errNotReplicated}
		}
		m.mu.Lock()
		replicated := m.replicated.wait()
		m.mu.Unlock()
		m.triggerPeerSync()
		if !m.node.Replicated(position) {
			m.waitUntil(ctx, replicated, deadline)
		}
	}
	return res, nil
}

var errNotReplicated = errors.New("backup did not confirm the reservation")

// Settle ends a reservation, bills it, and returns the balance.
func (m *Manager) Settle(res Reservation, st Settlement) Balance {
	charged := max(0, min(st.Charged, res.Amount))
	obs.BillsTotal.Add(1)
	obs.ChargedTokensTotal.Add(charged)
	bill := record.Bill{
		RequestID: res.RequestID, Entry: res.Entry, Holder: res.Holder, Target: st.Target,
		InputTokens: st.InputTokens, OutputTokens: st.OutputTokens, Charged: charged,
		UnixMilli: m.cfg.Now().UnixMilli(), Outcome: st.Outcome,
	}
	if res.Holder == m.cfg.Holder {
		m.node.SettleOwn(res, bill)
	} else {
		remoteBill := bill // Allocated only here, not on the path of an own share.
		m.settleAtLender(res, &remoteBill)
	}
	return m.Balance(res.Entry)
}

// settleAtLender queues the end of a reservation for its lender. A nil bill releases it.
func (m *Manager) settleAtLender(res Reservation, bill *record.Bill) {
	m.mu.Lock()
	m.node.QueueRemoteSettlement(res.Holder, SettleParams{RequestID: res.RequestID, Bill: bill})
	m.mu.Unlock()
	m.triggerPeerSync()
}

// Release ends the reservation of a request that was never sent. Nothing is billed.
func (m *Manager) Release(res Reservation) {
	if res.Holder == m.cfg.Holder {
		m.node.Release(res)
		return
	}
	m.settleAtLender(res, nil)
}

// Balance returns the unused part of an entry's budget, as far as this process knows.
func (m *Manager) Balance(key record.EntryKey) Balance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Balance(key)
}

// ReportTerminated records a process that is proven to have terminated. Its shares are reclaimed in the
// background if this process has the replica of its reservations.
func (m *Manager) ReportTerminated(proof TerminationProof, lookup ChargeLookup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terminated[proof.Holder] = terminatedHolder{proof: proof, lookup: lookup}
}

func (m *Manager) home(p int) record.HolderID {
	if m.peers == nil {
		return m.cfg.Holder
	}
	return m.peers.Home(p)
}

// Run keeps the shares filled and writes bills and settle items until the context ends.
func (m *Manager) Run(ctx context.Context) {
	flush := time.NewTicker(max(m.cfg.Policy.AppendInterval, time.Millisecond))
	defer flush.Stop()
	last := m.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-flush.C:
		}
		if now := m.cfg.Now(); now.Sub(last) >= tickInterval {
			m.tick(now.Sub(last))
			last = now
		}
		for p := range m.logSyncs {
			m.triggerLogSync(p)
		}
		m.triggerPeerSync()
	}
}

func (m *Manager) tick(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.Tick(elapsed, m.home)
	for holder, h := range m.terminated {
		if m.node.Reclaim(m.cfg.Now(), h.proof, h.lookup) == ReclaimDone {
			obs.EventShareReclaimed.Log(m.logger, logrus.Fields{"holder": string(holder)})
			delete(m.terminated, holder)
		}
	}
}
