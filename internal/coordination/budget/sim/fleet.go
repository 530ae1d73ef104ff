package sim

import (
	"fmt"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Config holds the settings of a Fleet.
type Config struct {
	Policy     budget.Policy
	Partitions int
	BillBuffer int
	// Regions holds the number of processes in each region. The log is in the
	// first region.
	Regions []int
	// Replication enables the replicas of reservations at backup peers.
	Replication bool
}

// Fault says what happens to one call to the log or to a peer.
type Fault int

// The faults of a call.
const (
	// FaultNone means that the call succeeds.
	FaultNone Fault = iota
	// FaultRefused means that the call fails and has no effect.
	FaultRefused
	// FaultLost means that the call takes effect, but the caller sees a failure.
	FaultLost
	// FaultDelayed means that an append to the log fails now and takes effect
	// later. Calls to peers treat it as FaultNone or FaultLost, and reads of the
	// log fail.
	FaultDelayed
)

// Request is one request of a caller. Amount is its upper bound and Used what it
// really uses, in tokens.
type Request struct {
	ID       string
	Entry    record.EntryKey
	Amount   int64
	Used     int64
	Duration time.Duration
	Queued   bool
}

// Process is a router process.
type Process struct {
	Node   *budget.Node
	region int
	vm     string
	// A paused process does nothing and keeps its state; a terminated one never
	// runs again.
	Paused, Terminated bool
	Draining           bool
	// delisted is set once the platform's list no longer has the VM.
	delisted   bool
	delistedAt time.Time
	attempts   []*reserveAttempt
	lastBills  time.Time
}

// Holder returns the holder ID of the process.
func (p *Process) Holder() record.HolderID { return p.Node.Self() }

func (p *Process) active() bool { return !p.Paused && !p.Terminated }

// run is a request that was dispatched to an upstream. It ends even if its process
// was terminated.
type run struct {
	req     Request
	process *Process
	res     budget.Reservation
	end     time.Time
	ended   bool
}

// Fleet is a set of router processes with the platform and the upstreams.
type Fleet struct {
	cfg       Config
	Now       time.Time
	log       *memLog
	Processes []*Process
	runs      []*run
	// LogDown makes every call to the log fail. Partitioned means that the regions
	// cannot reach each other, so that only the first one reaches the log.
	LogDown, Partitioned bool
	// Fault chooses the fault of each call; nil means none.
	Fault   func() Fault
	delayed []func()
	// TokensUsed is what the requests dispatched to upstreams use, by entry.
	TokensUsed map[record.EntryKey]int64
	// usedByRequest is what each dispatched request uses, in tokens.
	usedByRequest map[string]int64
	runByRequest  map[string]*run
	// finished holds the requests whose runs have ended.
	finished    map[string]bool
	incarnation int
	lastTick    time.Time
	onDecided   func(p *Process, req Request, err error)
	// onReserve, if not nil, is called after each reservation, even if it is
	// released at once.
	onReserve func()
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewFleet starts a fleet. It calls onDecided once for each request: with a nil error
// when the request is dispatched, and with an error when it is refused or when its
// process is killed first.
func NewFleet(cfg Config, onDecided func(p *Process, req Request, err error)) *Fleet {
	f := &Fleet{
		cfg: cfg, Now: startTime, lastTick: startTime, log: newMemLog(cfg.Partitions), TokensUsed: make(map[record.EntryKey]int64),
		usedByRequest: make(map[string]int64), runByRequest: make(map[string]*run), finished: make(map[string]bool), onDecided: onDecided,
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

func (f *Fleet) start(vm string, region int) *Process {
	f.incarnation++
	holder := record.HolderID(fmt.Sprintf("%s/%d", vm, f.incarnation))
	p := &Process{
		Node: budget.NewNode(f.cfg.Policy, holder, f.cfg.Partitions, f.cfg.BillBuffer), region: region, vm: vm,
	}
	f.Processes = append(f.Processes, p)
	return p
}

// Adjust changes the prepaid amount of an entry, as an operator does.
func (f *Fleet) Adjust(key record.EntryKey, id string, delta int64) {
	f.appendOperatorItem(key, record.Item{Adjust: &record.Adjust{Entry: key, ID: id, Delta: delta}})
}

// RemoveEntry removes an entry from the configuration, as an operator does.
func (f *Fleet) RemoveEntry(key record.EntryKey) {
	f.appendOperatorItem(key, record.Item{Remove: &record.Remove{Entry: key}})
}

func (f *Fleet) appendOperatorItem(key record.EntryKey, item record.Item) {
	p := record.Partition(key.Name, f.cfg.Partitions)
	f.log.append(record.LedgerStream(p), []record.Item{item})
}

// Unreserved returns the tokens of an entry that are neither spent nor reserved,
// computed from the state of every process, reachable or not.
func (f *Fleet) Unreserved(key record.EntryKey) int64 {
	a := f.log.account(key)
	if a == nil {
		return 0
	}
	left := a.Prepaid
	for _, p := range f.Processes {
		if s := a.Shares[p.Holder()]; s != nil && s.Closed {
			left -= s.Spent
			continue
		}
		c := p.Node.Shares().Get(key).Counters()
		left -= c.Spent + c.Reserved
	}
	return left
}

func (f *Fleet) notifyReserve() {
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

func (f *Fleet) logReachable(p *Process) bool { return !f.LogDown && (!f.Partitioned || p.region == 0) }

func (f *Fleet) process(h record.HolderID) *Process {
	for _, p := range f.Processes {
		if p.Holder() == h {
			return p
		}
	}
	return nil
}

func (f *Fleet) reachable(from, to *Process) bool {
	return to != nil && to.active() && (!f.Partitioned || from.region == to.region)
}

// home returns a function that assigns each partition to its home, a live process
// in the region of p. It stands in for rendezvous hashing.
func (f *Fleet) home(p *Process) budget.HomeFunc {
	var live []*Process
	for _, q := range f.Processes {
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

// backupFor returns the next live process after p in the same region, wrapping
// around. With a backup in the other region, a region that is partitioned from the
// log could not confirm replicas and so not dispatch requests.
func (f *Fleet) backupFor(p *Process) record.HolderID {
	at := 0
	for i, q := range f.Processes {
		if q == p {
			at = i
		}
	}
	for i := 1; i < len(f.Processes); i++ {
		if q := f.Processes[(at+i)%len(f.Processes)]; f.reachable(p, q) && !q.Draining && q.region == p.region {
			return q.Holder()
		}
	}
	return ""
}

// RunBackground does the work of one process that does not belong to a single
// request: backup declarations, replicas of reservations, settlement of loans,
// bills, ledger appends and reads, and reclaiming the shares of delisted processes.
func (f *Fleet) RunBackground(p *Process) {
	if !p.active() {
		return
	}
	if f.cfg.Replication {
		f.replicateReservations(p)
	}
	f.sendSettlements(p)
	billsDue := p.Draining || f.Now.Sub(p.lastBills) >= f.cfg.Policy.AppendInterval
	if billsDue {
		p.lastBills = f.Now
	}
	for partition := range f.cfg.Partitions {
		if billsDue {
			f.appendBills(p, partition)
		}
		f.appendLedgerItems(p, partition)
		f.readLedger(p, partition)
	}
	for _, q := range f.Processes {
		if q.delisted {
			proof := budget.TerminationProof{Kind: budget.ProofDelisted, Holder: q.Holder(), Since: q.delistedAt}
			p.Node.Reclaim(f.Now, proof, f.lookUpCharge)
		}
	}
}

// lookUpCharge is the budget.ChargeLookup of the fleet: an upstream reports the
// tokens used once the request has finished.
func (f *Fleet) lookUpCharge(id string) (int64, bool) {
	if f.finished[id] {
		return f.usedByRequest[id], true
	}
	return 0, false
}

// appendAs appends the items for a process, with a fault if one is due. It reports
// whether the process sees the append succeed.
func (f *Fleet) appendAs(p *Process, stream string, items []record.Item) (uint64, bool) {
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

// ApplyDelayed lets the oldest delayed append take effect.
func (f *Fleet) ApplyDelayed() {
	if len(f.delayed) > 0 {
		apply := f.delayed[0]
		f.delayed = f.delayed[1:]
		apply()
	}
}

var errCall = fmt.Errorf("call failed")

func (f *Fleet) appendLedgerItems(p *Process, partition int) {
	items := p.Node.NextAppend(f.Now, partition)
	if len(items) == 0 {
		return
	}
	offset, ok := f.appendAs(p, record.LedgerStream(partition), items)
	var err error
	if !ok {
		err = errCall
	}
	p.Node.AppendDone(f.Now, partition, offset, err)
}

func (f *Fleet) readLedger(p *Process, partition int) {
	for {
		if !f.logReachable(p) || f.fault() != FaultNone {
			p.Node.LogFailed(f.Now, partition)
			return
		}
		page := f.log.read(record.LedgerStream(partition), p.Node.NextLedgerOffset(partition), 64)
		if p.Node.ApplyLedgerPage(f.Now, partition, page) {
			return
		}
	}
}

func (f *Fleet) appendBills(p *Process, partition int) {
	bills := p.Node.NextBills(partition)
	if len(bills) == 0 {
		return
	}
	items := make([]record.Item, len(bills))
	for i := range bills {
		items[i].Bill = &bills[i]
	}
	_, ok := f.appendAs(p, record.BillStream(partition), items)
	p.Node.BillsDone(partition, ok)
}

func (f *Fleet) sendSettlements(p *Process) {
	for _, d := range append([]budget.RemoteSettlement(nil), p.Node.RemoteSettlements()...) {
		lender := f.process(d.Lender)
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

func (f *Fleet) replicateReservations(p *Process) {
	p.Node.ChooseBackup(f.backupFor(p))
	if d := p.Node.NextBackupDeclaration(); d != nil {
		f.appendAs(p, record.MembersStream, []record.Item{{Backup: d}})
	}
	if f.logReachable(p) {
		p.Node.ApplyMembersPage(f.Now, f.log.read(record.MembersStream, p.Node.NextMembersOffset(), 1<<20))
	}
	f.sendJournal(p)
}

// sendJournal sends the next journal batch to the backup.
func (f *Fleet) sendJournal(p *Process) {
	batch, to := p.Node.NextJournalBatch()
	if batch == nil {
		return
	}
	backup := f.process(to)
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

// Advance moves the clock forward, ends the runs whose time is over, and runs every
// process once. Processes estimate demand once a second.
func (f *Fleet) Advance(d time.Duration) {
	f.Now = f.Now.Add(d)
	f.finishRuns()
	if elapsed := f.Now.Sub(f.lastTick); elapsed >= time.Second {
		f.lastTick = f.Now
		for _, p := range f.Processes {
			if p.active() && !p.Draining {
				p.Node.Tick(elapsed, f.home(p))
			}
		}
	}
	for _, p := range f.Processes {
		f.RunBackground(p)
	}
	for _, p := range f.Processes {
		f.StepAttempts(p)
	}
}

// Delist removes the VM of a terminated process from the platform's list, which is
// a proof of termination for the other processes.
func (f *Fleet) Delist(p *Process) {
	if p.Terminated && !p.delisted {
		p.delisted, p.delistedAt = true, f.Now
	}
}

// Kill terminates a process at once. Its attempts in progress fail; its runs
// continue at the upstreams, see finishRuns.
func (f *Fleet) Kill(p *Process) {
	p.Terminated = true
	attempts := p.attempts
	p.attempts = nil
	for _, a := range attempts {
		a.fail(f)
	}
}

// Replace starts a process on a new VM in the region of p. It does not stop p.
func (f *Fleet) Replace(p *Process) *Process {
	f.incarnation++
	return f.start(fmt.Sprintf("new%d", f.incarnation), p.region)
}

// Drain begins a graceful stop. The caller then calls Drained until it reports
// true.
func (f *Fleet) Drain(p *Process) { p.Draining = true }

// Drained closes the shares of a draining process once its requests have ended. It
// reports whether the drain is complete.
func (f *Fleet) Drained(p *Process) bool {
	if len(p.attempts) > 0 || len(p.Node.RemoteSettlements()) > 0 {
		return false
	}
	for _, r := range f.runs {
		if r.process == p && !r.ended {
			return false
		}
	}
	return p.Node.CloseShares() && p.Node.BillSlotsInUse() == 0
}
