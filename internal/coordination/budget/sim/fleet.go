package sim

import (
	"fmt"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Config describes a fleet.
type Config struct {
	Policy     budget.Policy
	Partitions int
	BillBuffer int
	// Regions holds the number of processes of each region. The log is in the
	// first region.
	Regions []int
	// Copies switches the reservation copies at backup peers on.
	Copies bool
}

// Fault says what happens to one call of the log or a peer.
type Fault int

// The faults of a call.
const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultRefused has no effect and fails.
	FaultRefused
	// FaultLost takes effect and fails.
	FaultLost
	// FaultDelayed fails now and takes effect at a later moment (log appends only).
	FaultDelayed
)

// Request is one request of a schedule.
type Request struct {
	ID       string
	Entry    record.EntryKey
	Amount   int64
	Used     int64
	Duration time.Duration
	Queued   bool
}

// Proc is one process incarnation.
type Proc struct {
	Node   *budget.Node
	region int
	vm     string
	// Paused processes keep their state and do nothing; dead ones are gone.
	Paused, Dead bool
	Draining     bool
	// proven is set once the platform's list no longer has the VM.
	proven    bool
	provenAt  time.Time
	calls     []*call
	lastBills time.Time
}

// Holder returns the holder ID of the process.
func (p *Proc) Holder() record.HolderID { return p.Node.Self() }

func (p *Proc) active() bool { return !p.Paused && !p.Dead }

// run is a request at an upstream. Upstreams outlive the routers.
type run struct {
	req   Request
	proc  *Proc
	res   budget.Reservation
	end   time.Time
	ended bool
}

// Fleet is a set of processes with their platform.
type Fleet struct {
	cfg   Config
	Now   time.Time
	log   *memLog
	Procs []*Proc
	runs  []*run
	// LogDown refuses every call of the log. Cut separates the regions.
	LogDown, Cut bool
	// Fault chooses the fault of each call; nil means none.
	Fault   func() Fault
	delayed []func()
	// Ran is what the upstreams have run or are running, by entry, in tokens.
	Ran map[record.EntryKey]int64
	// usedBy is what each request uses, for the upstreams' reports.
	usedBy      map[string]int64
	where       map[string]*run
	finished    map[string]bool
	incarnation int
	lastTick    time.Time
	onDone      func(p *Proc, req Request, err error)
	// onReserve, if set, is called after each reservation, however short-lived.
	onReserve func()
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewFleet starts a fleet. The function hears the end of each request's
// reservation: nil when it was dispatched.
func NewFleet(cfg Config, onDone func(p *Proc, req Request, err error)) *Fleet {
	f := &Fleet{
		cfg: cfg, Now: epoch, lastTick: epoch, log: newMemLog(cfg.Partitions), Ran: make(map[record.EntryKey]int64),
		usedBy: make(map[string]int64), where: make(map[string]*run), finished: make(map[string]bool), onDone: onDone,
	}
	vm := 0
	for region, count := range cfg.Regions {
		for range count {
			f.start(fmt.Sprintf("vm%d", vm), region)
			vm++
		}
	}
	return f
}

func (f *Fleet) start(vm string, region int) *Proc {
	f.incarnation++
	holder := record.HolderID(fmt.Sprintf("%s/%d", vm, f.incarnation))
	p := &Proc{
		Node: budget.NewNode(f.cfg.Policy, holder, f.cfg.Partitions, f.cfg.BillBuffer), region: region, vm: vm,
	}
	f.Procs = append(f.Procs, p)
	return p
}

// Adjust changes the prepaid amount of an entry by an operator's record.
func (f *Fleet) Adjust(key record.EntryKey, id string, delta int64) {
	f.appendLedger(key, record.Item{Adjust: &record.Adjust{Entry: key, ID: id, Delta: delta}})
}

// Remove removes an entry.
func (f *Fleet) Remove(key record.EntryKey) {
	f.appendLedger(key, record.Item{Remove: &record.Remove{Entry: key}})
}

func (f *Fleet) appendLedger(key record.EntryKey, item record.Item) {
	p := record.Partition(key.Name, f.cfg.Partitions)
	f.log.append(record.LedgerStream(p), []record.Item{item})
}

// Unreserved returns what is truly neither spent nor reserved of an entry, from
// the state of every process, reachable or not.
func (f *Fleet) Unreserved(key record.EntryKey) int64 {
	a := f.log.account(key)
	if a == nil {
		return 0
	}
	left := a.Prepaid
	for _, p := range f.Procs {
		if s := a.Shares[p.Holder()]; s != nil && s.Closed {
			left -= s.Spent
			continue
		}
		c := p.Node.Shares().Get(key).Counters()
		left -= c.Spent + c.Reserved
	}
	return left
}

func (f *Fleet) observe() {
	if f.onReserve != nil {
		f.onReserve()
	}
}

func (f *Fleet) fault() Fault {
	if f.Fault == nil {
		return FaultNone
	}
	return f.Fault()
}

func (f *Fleet) logReachable(p *Proc) bool { return !f.LogDown && (!f.Cut || p.region == 0) }

func (f *Fleet) proc(h record.HolderID) *Proc {
	for _, p := range f.Procs {
		if p.Holder() == h {
			return p
		}
	}
	return nil
}

func (f *Fleet) reachable(from, to *Proc) bool {
	return to != nil && to.active() && (!f.Cut || from.region == to.region)
}

// home returns the first live process of the region, by partition. It stands
// for rendezvous hashing.
func (f *Fleet) home(p *Proc) budget.HomeFunc {
	var live []*Proc
	for _, q := range f.Procs {
		if q.active() && !q.Draining && q.region == p.region {
			live = append(live, q)
		}
	}
	return func(partition int) record.HolderID {
		if len(live) == 0 {
			return ""
		}
		return live[partition%len(live)].Holder()
	}
}

// backupFor returns the next live process of the region after p in the ring. A
// backup in another region would block a region that is cut off from the log.
func (f *Fleet) backupFor(p *Proc) record.HolderID {
	at := 0
	for i, q := range f.Procs {
		if q == p {
			at = i
		}
	}
	for i := 1; i < len(f.Procs); i++ {
		if q := f.Procs[(at+i)%len(f.Procs)]; f.reachable(p, q) && !q.Draining && q.region == p.region {
			return q.Holder()
		}
	}
	return ""
}

// Pump moves everything of one process that does not belong to one request:
// declarations, copies, settled debts, bills, appends and reads.
func (f *Fleet) Pump(p *Proc) {
	if !p.active() {
		return
	}
	if f.cfg.Copies {
		f.pumpCopies(p)
	}
	f.pumpDebts(p)
	billsDue := p.Draining || f.Now.Sub(p.lastBills) >= f.cfg.Policy.AppendInterval
	if billsDue {
		p.lastBills = f.Now
	}
	for part := range f.cfg.Partitions {
		if billsDue {
			f.pumpBills(p, part)
		}
		f.pumpAppend(p, part)
		f.pumpRead(p, part)
	}
	for _, q := range f.Procs {
		if q.proven {
			proof := budget.TerminationProof{Kind: budget.ProofDelisted, Holder: q.Holder(), Since: q.provenAt}
			p.Node.Reclaim(f.Now, proof, f.resolve)
		}
	}
}

// resolve is the upstreams' answer about a request in its final state.
func (f *Fleet) resolve(id string) (int64, bool) {
	if f.finished[id] {
		return f.usedBy[id], true
	}
	return 0, false
}

func (f *Fleet) appendAs(p *Proc, stream string, items []record.Item) (uint64, bool) {
	if !f.logReachable(p) {
		return 0, false
	}
	switch f.fault() {
	case FaultRefused:
		return 0, false
	case FaultLost:
		f.log.append(stream, items)
		return 0, false
	case FaultDelayed:
		f.delayed = append(f.delayed, func() { f.log.append(stream, items) })
		return 0, false
	}
	return f.log.append(stream, items), true
}

// LandDelayed lets the oldest delayed append take effect.
func (f *Fleet) LandDelayed() {
	if len(f.delayed) > 0 {
		land := f.delayed[0]
		f.delayed = f.delayed[1:]
		land()
	}
}

var errCall = fmt.Errorf("call failed")

func (f *Fleet) pumpAppend(p *Proc, part int) {
	items := p.Node.NextAppend(f.Now, part)
	if len(items) == 0 {
		return
	}
	offset, ok := f.appendAs(p, record.LedgerStream(part), items)
	var err error
	if !ok {
		err = errCall
	}
	p.Node.AppendDone(f.Now, part, offset, err)
}

func (f *Fleet) pumpRead(p *Proc, part int) {
	for {
		if !f.logReachable(p) || f.fault() != FaultNone {
			p.Node.LogFailed(f.Now, part)
			return
		}
		page := f.log.read(record.LedgerStream(part), p.Node.NextLedgerOffset(part), 64)
		if p.Node.ApplyLedgerPage(f.Now, part, page) {
			return
		}
	}
}

func (f *Fleet) pumpBills(p *Proc, part int) {
	bills := p.Node.NextBills(part)
	if len(bills) == 0 {
		return
	}
	items := make([]record.Item, len(bills))
	for i := range bills {
		items[i].Bill = &bills[i]
	}
	_, ok := f.appendAs(p, record.BillStream(part), items)
	p.Node.BillsDone(part, ok)
}

func (f *Fleet) pumpDebts(p *Proc) {
	for _, d := range append([]budget.RemoteSettlement(nil), p.Node.RemoteSettlements()...) {
		lender := f.proc(d.Lender)
		if !f.reachable(p, lender) {
			continue
		}
		fault := f.fault()
		if fault == FaultRefused {
			continue
		}
		lender.Node.ServeSettle(f.Now, d.Params)
		if fault == FaultNone {
			p.Node.RemoteSettlementDone(d)
		}
	}
}

func (f *Fleet) pumpCopies(p *Proc) {
	p.Node.ChooseBackup(f.backupFor(p))
	if d := p.Node.NextDeclaration(); d != nil {
		f.appendAs(p, record.MembersStream, []record.Item{{Backup: d}})
	}
	if f.logReachable(p) {
		p.Node.ApplyMembersPage(f.Now, f.log.read(record.MembersStream, p.Node.NextMembersOffset(), 1<<20))
	}
	f.sendCopies(p)
}

func (f *Fleet) sendCopies(p *Proc) {
	batch, to := p.Node.NextJournalBatch()
	if batch == nil {
		return
	}
	backup := f.proc(to)
	fault := f.fault()
	if !f.reachable(p, backup) {
		p.Node.ReplaceBackup(f.backupFor(p))
		return
	}
	if fault == FaultRefused {
		return
	}
	if err := backup.Node.ServeJournal(*batch); err != nil {
		p.Node.ReplaceBackup(f.backupFor(p))
		return
	}
	if fault != FaultLost {
		p.Node.JournalBatchDone(batch)
	}
}

// Advance moves the clock, ends the runs that are over, and lets every process
// work. Demand is estimated once a second.
func (f *Fleet) Advance(d time.Duration) {
	f.Now = f.Now.Add(d)
	f.finishRuns()
	if elapsed := f.Now.Sub(f.lastTick); elapsed >= time.Second {
		f.lastTick = f.Now
		for _, p := range f.Procs {
			if p.active() && !p.Draining {
				p.Node.Tick(elapsed, f.home(p))
			}
		}
	}
	for _, p := range f.Procs {
		f.Pump(p)
	}
	for _, p := range f.Procs {
		f.StepCalls(p)
	}
}

// Delist gives the proof of death of a killed process.
func (f *Fleet) Delist(p *Proc) {
	if p.Dead && !p.proven {
		p.proven, p.provenAt = true, f.Now
	}
}

// Kill stops a process for good, without warning.
func (f *Fleet) Kill(p *Proc) {
	p.Dead = true
	calls := p.calls
	p.calls = nil
	for _, c := range calls {
		c.abandon(f)
	}
}

// Replace starts a new VM in the region of p.
func (f *Fleet) Replace(p *Proc) *Proc {
	f.incarnation++
	return f.start(fmt.Sprintf("new%d", f.incarnation), p.region)
}

// Drain begins a graceful stop. Drained reports when it is complete.
func (f *Fleet) Drain(p *Proc) { p.Draining = true }

// Drained closes the shares of a draining process once its requests ended.
func (f *Fleet) Drained(p *Proc) bool {
	if len(p.calls) > 0 || len(p.Node.RemoteSettlements()) > 0 {
		return false
	}
	for _, r := range f.runs {
		if r.proc == p && !r.ended {
			return false
		}
	}
	return p.Node.CloseShares() && p.Node.BillSlotsInUse() == 0
}
