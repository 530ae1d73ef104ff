package prepaid

import (
	"context"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/obs"
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
	// Life tells what the beats of this VM's processes prove.
	Life Life
	// Peers asks other VMs for loans. It may be nil.
	Peers Peers
	// Interval is the time between two reports of what was spent.
	Interval time.Duration
	Now      func() time.Time
	Logger   logrus.FieldLogger
}

// Life tells what the beats of this VM's processes prove.
type Life interface {
	// Silent reports whether none of this process's beats has reached the log for
	// a time that is longer than a restart.
	Silent() bool
	// NeverSilent reports whether it is proven that an earlier process never was,
	// or that the log showed all that it spent then (Manager.Beyond).
	NeverSilent(process string) bool
	// Proven is closed when NeverSilent becomes true for the last process.
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
	contact  time.Time
	failing  bool
	// used is when a request last drew on a budget of the stream.
	used time.Time
	// unsure is set while an append without an answer may still be carried out.
	unsure *unsureAppend
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

// errors of a reservation that may succeed later.
var (
	errLogAway = errors.New("the share is used up and the log does not answer")
	errHeld    = errors.New("the rest of the budget is held by other routers")
)

const (
	// reserveWait bounds the wait for a larger share. A log that is slow by a
	// factor of 20 answers within it.
	reserveWait = 400 * time.Millisecond
	// retryHeld is told when other routers hold what is missing; they hand back
	// within one interval.
	retryHeld = time.Second
	// retryLogAway is told while the log does not answer: another router may hold
	// a larger share.
	retryLogAway = 250 * time.Millisecond
	// logAwayAfter is the time without an answer after which other VMs are asked
	// at once.
	logAwayAfter = 1500 * time.Millisecond
	// refillPause is the least time between two looks for a larger share while
	// nothing waits.
	refillPause = 200 * time.Millisecond
	// deniedFor is how long no other VM is asked again for as much as none had.
	deniedFor = 400 * time.Millisecond
	// provenFor is how long a read of the log proves that a budget is used up.
	// Running requests that end meanwhile may give back a part.
	provenFor = 300 * time.Millisecond
)

// Reserve takes the upper bound of a request. It fails with budget.ErrExhausted
// when the budget does not cover it, and with a budget.UnavailableError when
// that is not known. It may wait up to reserveWait for a larger share.
func (m *Manager) Reserve(ctx context.Context, req budget.ReserveRequest) (budget.Reservation, error) {
	res := budget.Reservation{RequestID: req.RequestID, Entry: req.Entry, Holder: m.cfg.Process}
	prepaid, limited := m.cfg.Prepaid(req.Entry.Name)
	if !limited || req.Amount <= 0 {
		return res, nil
	}
	res.Amount = req.Amount
	p := m.partitionOf(req.Entry.Name)
	w, err := p.reserve(req.Entry.Name, req.Amount, prepaid)
	if w == nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	impatient := time.NewTimer(logPatience)
	defer impatient.Stop()
	for {
		select {
		case err = <-w.done:
			return res, err
		case <-impatient.C:
			p.askFor(req.Entry.Name, w)
		case <-ctx.Done():
			if p.cancelWait(req.Entry.Name, w) {
				return res, &budget.UnavailableError{RetryAfter: retryLogAway, Cause: errLogAway}
			}
			return res, <-w.done
		}
	}
}

// logPatience is how long a request waits for the log before other VMs are asked.
const logPatience = 40 * time.Millisecond

// reserve takes the amount from the share, or returns a waiter for a larger one.
func (p *partition) reserve(entry string, amount, prepaid int64) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	a := p.account(entry)
	a.note(amount)
	offline := p.cfg.Life.Silent()
	if len(a.waiters) == 0 && a.available(offline) >= amount && !a.overdrawn(prepaid) {
		a.reserved += amount
		p.used = now
		if a.available(offline) < a.window(now, p.cfg.Policy, 0)/4 && now.Sub(p.contact) > refillPause {
			p.wake()
		}
		return nil, nil
	}
	if p.loaded && now.Sub(p.contact) < provenFor && a.remaining(prepaid, now, p.cfg.Policy.Fresh) < amount {
		return nil, budget.ErrExhausted
	}
	if amount >= a.deniedAmount && now.Sub(a.deniedAt) < deniedFor && len(a.waiters) == 0 {
		return nil, &budget.UnavailableError{RetryAfter: retryHeld, Cause: errHeld}
	}
	w := &waiter{amount: amount, since: now, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	p.used = now
	if now.Sub(p.contact) > logAwayAfter {
		p.ask(a, w)
	}
	p.wake()
	return w, nil
}

// note takes the bound of a request into the mean.
func (a *account) note(amount int64) {
	if a.mean == 0 {
		a.mean = float64(amount)
	}
	a.mean += (float64(amount) - a.mean) * meanWeight
}

// meanWeight is the weight of one request in the mean.
const meanWeight = 0.05

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

// cancelWait removes a waiter. It reports false for one that was answered.
func (p *partition) cancelWait(entry string, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	for i, o := range a.waiters {
		if o == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends a reservation with what the request used.
func (m *Manager) Settle(res budget.Reservation, st budget.Settlement) budget.Balance {
	if res.Amount == 0 {
		return budget.Balance{}
	}
	obs.ChargedTokensTotal.Add(st.Charged)
	return m.end(res, min(st.Charged, res.Amount))
}

// Release ends the reservation of a request that did not run.
func (m *Manager) Release(res budget.Reservation) {
	if res.Amount != 0 {
		m.end(res, 0)
	}
}

func (m *Manager) end(res budget.Reservation, charged int64) budget.Balance {
	prepaid, _ := m.cfg.Prepaid(res.Entry.Name)
	p := m.partitionOf(res.Entry.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(res.Entry.Name)
	now := p.cfg.Now()
	a.reserved -= res.Amount
	a.spent += charged
	a.rate.add(charged, now)
	p.serve(a, prepaid, time.Time{}, now)
	return budget.Balance{Remaining: a.remaining(prepaid, now, p.cfg.Policy.Fresh)}
}

// serve answers the waiters that the share covers, and those that it does not
// cover if they came before a read of the log that has ended.
func (p *partition) serve(a *account, prepaid int64, readBegan, now time.Time) {
	usable, offline := !a.overdrawn(prepaid), p.cfg.Life.Silent()
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case usable && a.available(offline) >= w.amount:
			a.reserved += w.amount
			w.done <- nil
		case !w.since.Before(readBegan):
			kept = append(kept, w)
		case a.remaining(prepaid, now, p.cfg.Policy.Fresh) < w.amount:
			w.done <- budget.ErrExhausted
		case p.ask(a, w) || w.pending:
			kept = append(kept, w)
		default:
			a.deniedAt, a.deniedAmount = now, w.amount
			w.done <- &budget.UnavailableError{RetryAfter: retryHeld, Cause: errHeld}
		}
	}
	a.waiters = kept
}

// askFor asks for a waiter that the log has kept waiting.
func (p *partition) askFor(entry string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ask(p.account(entry), w)
}

// ask borrows for a waiter, once. It reports whether it has begun to.
func (p *partition) ask(a *account, w *waiter) bool {
	if w.asked || p.cfg.Peers == nil {
		return false
	}
	w.asked, w.pending = true, true
	obs.ShareAsksTotal.Add(1)
	lenders := a.lenders()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		p.borrowed(a, w, p.cfg.Peers.Borrow(ctx, lenders, a.entry, w.amount))
	}()
	return true
}

// borrowTimeout bounds the search for a lender.
const borrowTimeout = 250 * time.Millisecond

// borrowed takes over loans and answers the waiters.
func (p *partition) borrowed(a *account, w *waiter, loans []Loan) {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pending = false
	now := p.cfg.Now()
	for _, l := range loans {
		a.borrowed += l.Amount
		a.loans = append(a.loans, l)
		obs.EventShareBorrowed.Log(p.cfg.Logger, logrus.Fields{
			"entry": a.entry, "lender": l.Lender, "amount": l.Amount, "needed": w.amount,
			"log_age_ms": now.Sub(p.contact).Milliseconds(),
		})
	}
	if p.loaded && now.Sub(p.contact) < logAwayAfter {
		p.serve(a, prepaid, time.Time{}, now)
		p.wake()
		return
	}
	// The log will not answer the waiter in time.
	p.serve(a, prepaid, now.Add(time.Nanosecond), now)
}

// Lend gives a part of this VM's share to a request of another VM. It returns
// less than the amount if there is not enough.
func (m *Manager) Lend(entry string, amount int64) int64 {
	prepaid, limited := m.cfg.Prepaid(entry)
	if !limited || amount <= 0 {
		return 0
	}
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if a.overdrawn(prepaid) || len(a.waiters) > 0 {
		return 0
	}
	return a.lend(amount, p.cfg.Life.Silent())
}

// Repaid takes back a part of a loan. It must be called at most once for a part.
func (m *Manager) Repaid(entry string, amount int64) {
	p := m.partitionOf(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(entry)
	if amount > 0 && amount <= a.lent {
		a.lent -= amount
		a.spent -= amount
	}
}

// Beyond reports whether this process has spent more than the open part that the
// log shows of any budget.
func (m *Manager) Beyond() bool {
	for _, p := range m.partitions {
		if p.beyond() {
			return true
		}
	}
	return false
}

func (p *partition) beyond() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if a.beyond() {
			return true
		}
	}
	return false
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

// keySeparator stands between the entry and the VM in a record's key.
const keySeparator = "\x00"

// fold takes over records of the stream.
func (p *partition) fold(page keyedlog.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for _, rec := range page.Records {
		p.foldHolding(rec, now)
	}
	p.next = max(p.next, page.Next)
	if p.unsure != nil && p.next > p.unsure.at {
		p.settleUnsure()
	}
	p.contact, p.loaded = now, true
}

func (p *partition) decode(rec keyedlog.Record, out any) bool {
	if rec.Value != nil && cbor.Unmarshal(rec.Value, out) == nil {
		return true
	}
	obs.EventRecordMalformed.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "key": rec.Key, "offset": rec.Offset,
	})
	return false
}

func (p *partition) foldHolding(rec keyedlog.Record, now time.Time) {
	entry, vm, _ := strings.Cut(rec.Key, keySeparator)
	var h holding
	if !p.decode(rec, &h) {
		return
	}
	a := p.account(entry)
	switch {
	case vm != p.cfg.VM:
		a.others[vm] = seen{h, now}
	case h.Process == string(p.cfg.Process):
		p.foldOwn(a, h, rec.Offset)
	default:
		a.takeOver(h, p.cfg.Life.NeverSilent(h.Process))
		obs.EventShareTakenOver.Log(p.cfg.Logger, logrus.Fields{
			"entry": entry, "process": h.Process, "offset": rec.Offset, "granted": h.Granted, "spent": h.Spent,
			"stranded": a.base - h.Spent, "never_silent": a.deadOpen,
		})
	}
}

// foldOwn takes over a record of this process.
func (p *partition) foldOwn(a *account, h holding, offset uint64) {
	granted, open := a.granted, a.open
	a.logged, a.granted, a.open = h, h.Granted, h.Open
	if p.unsure != nil && offset < p.unsure.at {
		// A smaller part may still be written.
		a.granted, a.open = min(a.granted, granted), min(a.open, open)
	}
}

// awaitProof gives free what the earlier process of this VM cannot have spent,
// when that is proven.
func (p *partition) awaitProof(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.cfg.Life.Proven():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	released := int64(0)
	for _, a := range p.accounts {
		released += a.release()
	}
	if released > 0 {
		obs.EventShareReleased.Log(p.cfg.Logger, logrus.Fields{"partition": p.stream.Partition, "tokens": released})
		p.wake()
	}
}

// settleUnsure ends the doubt about an append: the stream has moved, so that the
// log's record is final.
func (p *partition) settleUnsure() {
	p.unsure = nil
	for _, a := range p.accounts {
		a.confirm()
	}
}

// confirm makes what the log has usable.
func (a *account) confirm() {
	a.granted, a.open = a.logged.Granted, a.logged.Open
}
