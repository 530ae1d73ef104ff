package prepaid

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Config configures a Manager.
type Config struct {
	Log keyedlog.Log
	// Streams hold the records. The hash of an entry's name selects the stream of its budget.
	Streams []keyedlog.Stream
	// VM is the name of this VM. At most one process of a VM runs at a time.
	VM string
	// Process identifies this process.
	Process record.HolderID
	// Prepaid returns the prepaid tokens of an entry, and false if the entry has no budget.
	Prepaid func(entry string) (int64, bool)
	// ConfigStale reports whether a newer configuration may have changed the prepaid tokens. It may be nil.
	ConfigStale func() bool
	// Entries returns the entries for which a share is obtained before their first request. It may
	// be nil.
	Entries func() []string
	// Routers returns the number of live routers.
	Routers func() int
	// Holders returns the VMs that hold shares of an entry's budget, see HoldersOf; the others borrow from them. No VMs
	// mean that all hold one. known is false while the routers are not known. The function may be nil: then all hold one,
	// and calls to the log are not saved.
	Holders func(entry string) (vms []string, known bool)
	Policy  Policy
	// Heartbeats measures the heartbeat gaps of this VM's processes.
	Heartbeats Heartbeats
	// LogRateLimited reports whether calls to the log wait for its rate limit or were refused because of it. It may be
	// nil.
	LogRateLimited func() bool
	// Peers borrows from other VMs. It may be nil.
	Peers Peers
	// Interval is the mean time between two checks for spending to report.
	Interval time.Duration
	Now      func() time.Time
	Logger   logrus.FieldLogger
}

// Heartbeats measures the heartbeat gaps of this VM's processes.
type Heartbeats interface {
	// Gaps returns the times since the heartbeats of this process that its successor may find to be the last one.
	Gaps() heartbeat.Gaps
	// PredecessorGap returns an upper bound of the time from the predecessor's last heartbeat to its end, and what
	// Manager.HeartbeatUsage returned for that heartbeat. proven is false if no bound
	// is proven or the process is not the predecessor.
	PredecessorGap(process string) (gap time.Duration, usage map[string]int64, proven bool)
	// WhenPredecessorGapProven returns a channel that is closed once PredecessorGap is proven.
	WhenPredecessorGapProven() <-chan struct{}
}

// Peers transfers loans between VMs.
type Peers interface {
	// Borrow asks VMs to lend tokens, the preferred ones first, until the amount is covered. It returns what they have
	// lent, and the VMs that could not lend what they were asked for.
	Borrow(ctx context.Context, preferred []string, entry string, amount int64) (loans []Loan, drained []string)
	// Repay returns unused tokens of a loan to the lender, given the loan with the total that was repaid. It must not wait
	// or call the Manager. A repayment that does not reach the lender counts as spent.
	Repay(entry string, loan Loan)
	// Recall asks the other VMs for the latest records of this VM's shares that they know, see Manager.SharesOf.
	Recall(ctx context.Context) []map[string][]byte
}

// Manager reserves and settles the tokens of requests. It is safe for concurrent use.
//
// A partition's mutex is never held during a call to the log.
type Manager struct {
	cfg        Config
	partitions []*partition
	// recallOnce starts the recall of earlier records.
	recallOnce sync.Once
}

// partition is one stream and the budgets in it.
type partition struct {
	manager *Manager
	cfg     *Config
	stream  keyedlog.Stream
	trigger chan struct{}

	// syncMu is held during a sync. It is locked before mu.
	syncMu sync.Mutex
	// closing is true during a sync of Close.
	closing atomic.Bool

	mu         sync.Mutex
	accounts   map[string]*account
	nextOffset uint64
	loaded     bool
	// everLoaded is true once the stream was read. enteredAt is when this process first read it in its present era.
	everLoaded bool
	enteredAt  time.Time
	// lastResponse is when a read or a conditional append last succeeded, or the start of the process. A report
	// does not set it.
	lastResponse time.Time
	// failing is true from a failed sync until a read or an append of records has succeeded.
	failing bool
	// lastReservation is when a request last reserved from a budget of the stream, or waited for it.
	lastReservation time.Time
	// rateLimitedAt is when a sync last failed because of the rate limit of the log.
	rateLimitedAt time.Time
	// unresolved is set while an append with unknown outcome may still take effect.
	unresolved *unresolvedAppend
	// producer orders the reports of this VM's processes. epochAcquired is true once its epoch
	// fences those of earlier processes. An epoch starts as the time of day in microseconds, so that no
	// two processes start with the same one. It is raised if the log refuses it or fences a report.
	producer      keyedlog.Producer
	epochAcquired bool
	// everFenced is true once this process has acquired an epoch. Until then it has appended nothing.
	everFenced bool
	// pendingReport is a report without a response. It is sent again before anything else is appended.
	pendingReport []plannedRecord
	// mayBeAppended is true once the pending report may have taken effect.
	mayBeAppended bool
	// fenced is true from the time when a report was fenced until the stream has been read again.
	fenced bool
}

// unresolvedAppend is a conditional append with unknown outcome. It can only take effect while the
// stream ends at the offset at.
type unresolvedAppend struct{ at uint64 }

// waiter is a request that waits for a larger share or a loan.
type waiter struct {
	amount int64
	since  time.Time
	// borrowTried is true once a search for lenders was requested, and borrowing until it has ended.
	borrowTried, borrowing bool
	// borrowAgain is true while a waiter to which nobody has lent enough waits for the next search.
	borrowAgain bool
	done        chan error
}

// New returns a manager. Requests wait until Run has read the log.
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg}
	for _, s := range cfg.Streams {
		m.partitions = append(m.partitions, &partition{
			manager: m, cfg: &m.cfg, stream: s, trigger: make(chan struct{}, 1), accounts: make(map[string]*account),
			lastResponse: cfg.Now(), producer: keyedlog.Producer{ID: cfg.VM, Epoch: uint64(cfg.Now().UnixMicro())},
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
		loops.Go(func() { p.releaseOnProvenGap(ctx) })
	}
	loops.Wait()
}

// account returns the account of an entry; it creates an empty one on first use. The caller holds p.mu.
func (p *partition) account(entry string) *account {
	a := p.accounts[entry]
	if a == nil {
		a = newAccount(entry)
		p.accounts[entry] = a
	}
	return a
}

// wake requests a sync.
func (p *partition) wake() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// HeartbeatUsage returns, for the next heartbeat, the used tokens of each share of which more is
// used than a base limit that a successor may find in the log. resolve must be called once it is known whether the heartbeat took effect.
func (m *Manager) HeartbeatUsage() (usage map[string]int64, resolve func(tookEffect bool)) {
	usage = make(map[string]int64)
	for _, p := range m.partitions {
		p.collectHeartbeatUsage(usage)
	}
	return usage, func(tookEffect bool) {
		for _, p := range m.partitions {
			p.resolveHeartbeatUsage(tookEffect)
		}
	}
}

func (p *partition) collectHeartbeatUsage(usage map[string]int64) {
	gaps := p.cfg.Heartbeats.Gaps()
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, a := range p.accounts {
		p.checkLimit(a, gaps)
		a.pendingUsage = 0
		// limits has the lower base limit while an append may still lower it.
		if a.usedAbove(a.limits.base) {
			a.pendingUsage = a.shareUsed()
			usage[entry] = a.pendingUsage
			p.wake()
		}
	}
}

func (p *partition) resolveHeartbeatUsage(tookEffect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if tookEffect {
			a.confirmedUsage = a.pendingUsage
		}
		a.pendingUsage = 0
	}
}

// Balance estimates what is left of an entry's budget as far as this VM knows.
func (m *Manager) Balance(key record.EntryKey) budget.Balance {
	prepaid, limited := m.cfg.Prepaid(key.Name)
	if !limited {
		return budget.Balance{}
	}
	p := m.partitionOf(key.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return budget.Balance{Remaining: p.account(key.Name).remaining(prepaid, p.cfg.Now(), p.cfg.Policy.RecordFreshness)}
}
