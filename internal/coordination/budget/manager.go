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
	// BillBuffer is the number of bills kept in memory while the log is down.
	BillBuffer int
	// FlushInterval is the time between two appends of settles and bills.
	FlushInterval time.Duration
	// GrantSize is the smallest grant asked for, in tokens.
	GrantSize int64
	// Policy holds the other settings; zero means DefaultPolicy.
	Policy Policy
	// Peers connects the other routers; nil means that this process is alone.
	Peers Peers
	// AppendThroughHome sends appends to the home, which batches them.
	AppendThroughHome bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	readBatch = 256
	// callTimeout bounds one call of the log or a peer. The log may answer
	// slowly; a call that is given up is repeated.
	callTimeout = 10 * time.Second
	tickEvery   = time.Second
)

// Manager drives a Node over the log and the peers. It is safe for concurrent use.
type Manager struct {
	cfg    Config
	log    logstream.Log
	logger logrus.FieldLogger
	peers  Peers

	// mu guards node and the fields below. It is taken before the locks of the
	// share table and never held across I/O.
	mu      sync.Mutex
	node    *Node
	cycles  []*cycle
	copied  *signal
	dead    map[record.HolderID]deadHolder
	peering bool

	calls  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type deadHolder struct {
	proof   TerminationProof
	resolve ChargeLookup
}

// NewManager returns a manager that has not read the log yet.
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
		node:   NewNode(cfg.Policy, cfg.Holder, cfg.Partitions, cfg.BillBuffer),
		copied: newSignal(), dead: make(map[record.HolderID]deadHolder),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for range cfg.Partitions {
		m.cycles = append(m.cycles, &cycle{changed: newSignal()})
	}
	return m
}

// signal wakes all waiters at once. Its owner serialises the calls.
type signal struct{ ch chan struct{} }

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

func (s *signal) wait() <-chan struct{} { return s.ch }

func (s *signal) wake() {
	close(s.ch)
	s.ch = make(chan struct{})
}

// Reserve takes the amount of a request from this process's share, or from
// another holder's, before anything is sent. It waits within the bound of the
// request's class. The error is ErrExhausted, ErrBillingUnavailable or an
// UnavailableError; the request did not run in any of these cases.
func (m *Manager) Reserve(ctx context.Context, req ReserveRequest) (Reservation, error) {
	if !m.node.AcquireBillSlot() {
		return Reservation{}, ErrBillingUnavailable
	}
	res := m.node.Reservation(req)
	ticket, ok := m.node.Reserve(res)
	if !ok {
		return m.reserveSlow(ctx, req)
	}
	if m.node.Replicated(ticket) {
		return res, nil
	}
	return m.awaitCopy(ctx, res, ticket, m.cfg.Now().Add(m.cfg.Policy.wait(req.Class)))
}

func (m *Manager) reserveSlow(ctx context.Context, req ReserveRequest) (Reservation, error) {
	m.mu.Lock()
	a := m.node.Begin(m.cfg.Now(), req, false)
	m.mu.Unlock()
	return m.attempt(ctx, a)
}

// attempt carries out the steps of an attempt until it ends.
func (m *Manager) attempt(ctx context.Context, a *Attempt) (Reservation, error) {
	p := m.node.Partition(a.Request.Entry)
	for {
		m.mu.Lock()
		changed := m.cycles[p].changed.wait()
		step := m.node.Next(m.cfg.Now(), a, m.home(p))
		m.mu.Unlock()
		switch step.Kind {
		case StepReserved:
			return m.awaitCopy(ctx, m.node.Reservation(a.Request), a.JournalPosition(), a.Deadline())
		case StepRefuse:
			m.node.ReleaseBillSlot()
			return Reservation{}, step.Err
		case StepAskHome, StepBorrow:
			if res, ok := m.ask(ctx, a, step); ok {
				return res, nil
			}
		case StepReturn:
			m.askReturns(ctx, a, step.Holders)
		case StepLog:
			m.kick(p)
			m.pause(ctx, changed, a.Deadline())
		case StepWait:
			m.pause(ctx, changed, step.Until)
		}
		if err := ctx.Err(); err != nil {
			m.node.ReleaseBillSlot()
			return Reservation{}, &UnavailableError{RetryAfter: m.cfg.Policy.RetryAfter, Cause: err}
		}
	}
}

func (m *Manager) pause(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(max(0, until.Sub(m.cfg.Now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// awaitCopy waits until the backup has the reservation. A reservation without
// a copy is given back: its request must not be dispatched.
func (m *Manager) awaitCopy(ctx context.Context, res Reservation, t JournalPosition, deadline time.Time) (Reservation, error) {
	for !m.node.Replicated(t) {
		if ctx.Err() != nil || !m.cfg.Now().Before(deadline) {
			m.node.Release(res)
			return Reservation{}, &UnavailableError{RetryAfter: m.cfg.Policy.RetryAfter, Cause: errNotCopied}
		}
		m.mu.Lock()
		copied := m.copied.wait()
		m.mu.Unlock()
		m.kickPeers()
		if !m.node.Replicated(t) {
			m.pause(ctx, copied, deadline)
		}
	}
	return res, nil
}

var errNotCopied = errors.New("the reservation could not be copied to the backup")

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
		owed := bill // Moves to the heap only here, off the path of an own share.
		m.owe(res, &owed)
	}
	return m.Balance(res.Entry)
}

// owe tells the lender the end of a reservation. A nil bill releases it.
func (m *Manager) owe(res Reservation, bill *record.Bill) {
	m.mu.Lock()
	m.node.QueueRemoteSettlement(res.Holder, SettleParams{RequestID: res.RequestID, Bill: bill})
	m.mu.Unlock()
	m.kickPeers()
}

// Release ends a reservation of a request that was never sent. Nothing is billed.
func (m *Manager) Release(res Reservation) {
	if res.Holder == m.cfg.Holder {
		m.node.Release(res)
		return
	}
	m.owe(res, nil)
}

// Balance returns what is left of an entry's budget, as far as this process knows.
func (m *Manager) Balance(key record.EntryKey) Balance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Balance(key)
}

// ReportTerminated reports that a process is proven to send nothing any more. Its share is
// reclaimed in the background where this process has the copies.
func (m *Manager) ReportTerminated(proof TerminationProof, resolve ChargeLookup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead[proof.Holder] = deadHolder{proof: proof, resolve: resolve}
}

func (m *Manager) home(p int) record.HolderID {
	if m.peers == nil {
		return m.cfg.Holder
	}
	return m.peers.Home(p)
}

// Run keeps shares filled and writes bills and settles until the context ends.
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
		if now := m.cfg.Now(); now.Sub(last) >= tickEvery {
			m.tick(now.Sub(last))
			last = now
		}
		for p := range m.cycles {
			m.kick(p)
		}
		m.kickPeers()
	}
}

func (m *Manager) tick(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.Tick(elapsed, m.home)
	for holder, d := range m.dead {
		if m.node.Reclaim(m.cfg.Now(), d.proof, d.resolve) == ReclaimDone {
			obs.EventShareReclaimed.Log(m.logger, logrus.Fields{"holder": string(holder)})
			delete(m.dead, holder)
		}
	}
}
