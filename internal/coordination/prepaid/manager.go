package prepaid

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Config holds the settings of a Manager.
type Config struct {
	Log keyedlog.Log
	// Streams hold the records; a budget's name decides which of them.
	Streams []keyedlog.Stream
	// VM is the name of this VM. At most one process of a VM runs at a time.
	VM string
	// Process names this process.
	Process record.HolderID
	// Prepaid returns what is prepaid for an entry, in tokens; false means that
	// the entry has no budget.
	Prepaid func(entry string) (int64, bool)
	// Entries returns the entries of which a share is held before their first
	// request. It may be nil.
	Entries func() []string
	// Routers returns the number of live routers.
	Routers func() int
	Policy  Policy
	// Heartbeats tells what the beats of this VM's processes prove.
	Heartbeats Life
	// Peers asks other VMs for loans. It may be nil.
	Peers Peers
	// Interval is the time between two reports of what was spent.
	Interval time.Duration
	Now      func() time.Time
	Logger   logrus.FieldLogger
}

// Life tells what the beats of this VM's processes prove.
type Life interface {
	// Gap is the time since the last beat of this process that may have reached the
	// log.
	Gap() time.Duration
	// LastGap returns an upper bound of what Gap was when an earlier process ended,
	// and what Manager.Show returned before that gap, if a bound is proven.
	LastGap(process string) (gap time.Duration, shown map[string]int64, proven bool)
	// Proven is closed when LastGap becomes known for the last process.
	Proven() <-chan struct{}
}

// Peers carries loans between the VMs.
type Peers interface {
	// Borrow asks VMs for an amount, those named first, until it is covered, and
	// returns what they have lent.
	Borrow(ctx context.Context, preferred []string, entry string, amount int64) []Loan
	// Repay tells a VM that a part of its loan was not used. An answer is not
	// awaited: what is lost on the way counts as spent.
	Repay(lender, entry string, amount int64)
}

// Manager reserves and settles budgets. It is safe for concurrent use.
//
// Lock order: a partition's mutex is never held during a call to the log.
type Manager struct {
	cfg        Config
	partitions []*partition
}

// partition is one stream and the budgets in it.
type partition struct {
	manager *Manager
	cfg     *Config
	stream  keyedlog.Stream
	kick    chan struct{}

	// cycling is held during a cycle, before mu.
	cycling sync.Mutex

	mu       sync.Mutex
	accounts map[string]*account
	next     uint64
	loaded   bool
	// contact is when the log answered last, or the start of the process.
	contact time.Time
	failing bool
	// used is when a request last drew on a budget of the stream.
	used time.Time
	// unsure is set while an append without an answer may still be carried out.
	unsure *unsureAppend
	// producer orders the reports of this VM's processes; claimed is true once its
	// epoch shuts out those of earlier processes. Epochs are times of day in
	// microseconds, so that no two processes have the same one.
	producer keyedlog.Producer
	claimed  bool
	// pending is a report without an answer. It is sent again before anything else
	// is written.
	pending []planned
	// resent is true once the pending report may have been carried out.
	resent bool
	// fenced is true after a report was shut out, until the stream was read again.
	fenced bool
}

// unsureAppend is an append whose outcome is unknown. It can only be carried out
// while the stream ends at the offset at.
type unsureAppend struct{ at uint64 }

type waiter struct {
	amount int64
	since  time.Time
	// asked is true once other VMs were asked for a loan, and pending until they
	// have answered.
	asked, pending bool
	done           chan error
}

// New returns a manager. It serves after Run has read the log.
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg}
	for _, s := range cfg.Streams {
		m.partitions = append(m.partitions, &partition{
			manager: m, cfg: &m.cfg, stream: s, kick: make(chan struct{}, 1), accounts: make(map[string]*account),
			contact: cfg.Now(), producer: keyedlog.Producer{ID: cfg.VM, Epoch: uint64(cfg.Now().UnixMicro())},
		})
	}
	return m
}

func (m *Manager) partitionOf(entry string) *partition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry))
	return m.partitions[int(h.Sum32()%uint32(len(m.partitions)))]
}

// Run reads the log and writes this VM's records until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var loops conc.WaitGroup
	for _, p := range m.partitions {
		loops.Go(func() { p.run(ctx) })
		loops.Go(func() { p.awaitProof(ctx) })
	}
	loops.Wait()
}

func (p *partition) account(entry string) *account {
	a := p.accounts[entry]
	if a == nil {
		a = newAccount(entry)
		p.accounts[entry] = a
	}
	return a
}

func (p *partition) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// HeartbeatUsage returns what this process has used of each budget of which it used more than
// the open part that the log shows, for its next beat. undo is called if the beat was
// not carried out.
func (m *Manager) HeartbeatUsage() (shown map[string]int64, undo func()) {
	shown = make(map[string]int64)
	for _, p := range m.partitions {
		p.show(shown)
	}
	return shown, func() {
		for _, p := range m.partitions {
			p.hide()
		}
	}
}

func (p *partition) show(shown map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, a := range p.accounts {
		a.shown = 0
		if a.beyond() {
			a.shown = a.logUsed()
			shown[entry] = a.shown
			p.wake()
		}
	}
}

func (p *partition) hide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		a.shown = 0
	}
}

// Balance returns what is left of an entry's budget as far as this VM knows.
func (m *Manager) Balance(key record.EntryKey) budget.Balance {
	prepaid, limited := m.cfg.Prepaid(key.Name)
	if !limited {
		return budget.Balance{}
	}
	p := m.partitionOf(key.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return budget.Balance{Remaining: p.account(key.Name).remaining(prepaid, p.cfg.Now(), p.cfg.Policy.Fresh)}
}
