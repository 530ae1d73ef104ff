package prepaid

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// rapidSteps is enough for a run to use up a budget several times.
const rapidSteps = "150"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.steps", rapidSteps); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Modes of a VM's connection to the log.
const (
	logUp = iota
	logDown
	logLosesResponses
	logDelaysAppends
	logModes
)

// lateAppend executes an append that was requested earlier. It may be called at any later time.
type lateAppend func()

// modelLog is one VM's connection to the log.
type modelLog struct {
	*keyedlog.Memory
	mode        int
	lateAppends *[]lateAppend
}

var errLogDown = errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)

func (l *modelLog) Append(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, at uint64) (uint64, error) {
	switch l.mode {
	case logDown:
		return 0, errLogDown
	case logDelaysAppends:
		*l.lateAppends = append(*l.lateAppends, func() {
			_, _ = l.Memory.Append(ctx, s, records, at) // a conflict is one outcome
		})
		return 0, errors.Mark(errors.New("late"), keyedlog.ErrOutcomeUnknown)
	}
	end, err := l.Memory.Append(ctx, s, records, at)
	if err == nil && l.mode == logLosesResponses {
		return 0, errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	}
	return end, err
}

func (l *modelLog) AppendAs(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, p keyedlog.Producer) (uint64, error) {
	switch l.mode {
	case logDown:
		return 0, errLogDown
	case logDelaysAppends:
		*l.lateAppends = append(*l.lateAppends, func() {
			_, _ = l.Memory.AppendAs(ctx, s, records, p) // being fenced is one outcome
		})
		return 0, errors.Mark(errors.New("late"), keyedlog.ErrOutcomeUnknown)
	}
	end, err := l.Memory.AppendAs(ctx, s, records, p)
	if err == nil && l.mode == logLosesResponses {
		return 0, errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	}
	return end, err
}

func (l *modelLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if l.mode == logDown {
		return keyedlog.Page{}, errLogDown
	}
	return l.Memory.Read(ctx, s, from, wait)
}

func (l *modelLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	if l.mode == logDown {
		return keyedlog.Page{}, errLogDown
	}
	return l.Memory.Newest(ctx, s)
}

// modelHeartbeat is a heartbeat of a process.
type modelHeartbeat struct {
	at    time.Time
	usage map[string]int64
}

// modelHeartbeats models the heartbeats of one VM.
type modelHeartbeats struct {
	model   *model
	process string
	// confirmed is the last heartbeat that the log has confirmed, and appended the last that has reached it. pending is one
	// that was sent and not confirmed.
	confirmed, appended modelHeartbeat
	pending             *pendingModelHeartbeat
	// lastGaps holds the last gap of each process, and the usage that it reported before.
	lastGaps   map[string]modelGap
	provesGaps bool
	proven     chan struct{}
}

type modelGap struct {
	duration time.Duration
	usage    map[string]int64
}

// pendingModelHeartbeat is a heartbeat that may take effect, or may have, once an attempt to send it had no response.
type pendingModelHeartbeat struct {
	modelHeartbeat
	mayTakeEffect bool
	resolve       func(tookEffect bool)
}

func (h *modelHeartbeats) Gaps() (g heartbeat.Gaps) {
	if !h.confirmed.at.IsZero() {
		g.SinceConfirmed, g.Confirmed = h.model.now.Sub(h.confirmed.at), true
	}
	if h.pending != nil {
		g.SincePending, g.Pending = h.model.now.Sub(h.pending.at), true
	}
	return g
}

func (h *modelHeartbeats) PredecessorGap(process string) (time.Duration, map[string]int64, bool) {
	gap, ended := h.lastGaps[process]
	return gap.duration, gap.usage, ended && h.provesGaps && gap.duration < DefaultPolicy().FullShareAfter
}

func (h *modelHeartbeats) WhenPredecessorGapProven() <-chan struct{} { return h.proven }

// Outcomes of a heartbeat.
const (
	heartbeatAppended = iota
	heartbeatResponseLost
	heartbeatDelayed
	heartbeatRefused
	heartbeatOutcomes
)

// sendHeartbeat models a heartbeat of a process. One without a response is sent again unchanged.
func (vm *modelVM) sendHeartbeat(outcome int) {
	h := vm.heartbeats
	if h.pending == nil {
		h.pending = &pendingModelHeartbeat{modelHeartbeat: modelHeartbeat{at: h.model.now}}
		h.pending.usage, h.pending.resolve = vm.m.HeartbeatUsage()
	}
	switch outcome {
	case heartbeatAppended:
		h.appended, h.confirmed = h.pending.modelHeartbeat, h.pending.modelHeartbeat
		h.pending.resolve(true)
		h.pending = nil
	case heartbeatResponseLost:
		h.appended, h.pending.mayTakeEffect = h.pending.modelHeartbeat, true
	case heartbeatDelayed:
		h.pending.mayTakeEffect = true
	case heartbeatRefused:
		if !h.pending.mayTakeEffect {
			h.pending.resolve(false)
			h.pending = nil
		}
	}
}

// modelVM is a VM with one process at a time.
type modelVM struct {
	name         string
	log          *modelLog
	heartbeats   *modelHeartbeats
	m            *Manager
	reservations []budget.Reservation
	starts       int
}

type model struct {
	t           *rapid.T
	now         time.Time
	prepaid     int64
	memory      *keyedlog.Memory
	lateAppends []lateAppend
	vms         []*modelVM
	// loans counts the requests for loans. repayments holds messages that may arrive again, and late.
	loans      int
	repayments []modelRepayment
	// configure, if set, changes the configuration of each new process.
	configure func(*Config)
	// sharesAboveLimit is obs.SharesAboveLimitTotal at the start.
	sharesAboveLimit int64
	// spent is what requests have used, reported or not. The requests of terminated processes count
	// at their upper bounds.
	spent int64
}

// modelRepayment is a message to the process that a VM runs when it arrives.
type modelRepayment struct {
	to   *modelVM
	loan Loan
}

const modelEntry = "team"

func newModel(t *rapid.T) *model { return newConfiguredModel(t, nil) }

func newConfiguredModel(t *rapid.T, configure func(*Config)) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), prepaid: 30_000, memory: keyedlog.NewMemory(), configure: configure,
		sharesAboveLimit: obs.SharesAboveLimitTotal.Value()}
	for i := range 3 {
		vm := &modelVM{name: fmt.Sprintf("vm-%d", i), log: &modelLog{Memory: m.memory, lateAppends: &m.lateAppends},
			heartbeats: &modelHeartbeats{model: m, provesGaps: true, lastGaps: make(map[string]modelGap), proven: make(chan struct{})}}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	return m
}

// start starts a new process on a VM. If one runs there, it ends without Close.
func (m *model) start(vm *modelVM) {
	vm.starts++
	if vm.m != nil {
		vm.heartbeats.lastGaps[vm.heartbeats.process] = modelGap{m.now.Sub(vm.heartbeats.appended.at), vm.heartbeats.appended.usage}
	}
	// Producer epochs are times in microseconds, and two processes must not have the same one.
	m.now = m.now.Add(time.Microsecond)
	vm.heartbeats.process = fmt.Sprintf("%s/%06d", vm.name, vm.starts)
	vm.heartbeats.confirmed, vm.heartbeats.pending = modelHeartbeat{at: m.now}, nil
	vm.heartbeats.appended = vm.heartbeats.confirmed
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm.m = New(Config{
		Log: vm.log, Streams: []keyedlog.Stream{{Name: "budgets"}}, VM: vm.name, Process: record.HolderID(vm.heartbeats.process),
		Prepaid: func(string) (int64, bool) { return m.prepaid, true }, Routers: func() int { return len(m.vms) },
		Policy: DefaultPolicy(), Heartbeats: vm.heartbeats, Interval: time.Second, Now: func() time.Time { return m.now }, Logger: logger,
	})
	if m.configure != nil {
		m.configure(&vm.m.cfg)
	}
}

func (m *model) pick(name string) *modelVM {
	return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(m.t, name)]
}

// reserve reserves with at most one sync and adds the reservation to vm.reservations.
func (m *model) reserve(vm *modelVM, amount int64) bool {
	p := vm.m.partitions[0]
	w, err := p.reserve(modelEntry, amount, m.prepaid)
	if w != nil {
		// A sync only refuses waiters that began to wait before it.
		m.now = m.now.Add(time.Millisecond)
		return vm.syncFor(w, amount)
	}
	if err == nil {
		vm.reservations = append(vm.reservations, budget.Reservation{Entry: record.EntryKey{Name: modelEntry}, Amount: amount})
	}
	return err == nil
}

// syncFor syncs once for a waiter.
func (vm *modelVM) syncFor(w *waiter, amount int64) bool {
	_ = vm.m.partitions[0].sync(context.Background(), false) // faults are part of the model
	select {
	case err := <-w.done:
		if err == nil {
			vm.reservations = append(vm.reservations, budget.Reservation{Entry: record.EntryKey{Name: modelEntry}, Amount: amount})
		}
		return err == nil
	default:
		return vm.m.partitions[0].cancelWait(modelEntry, w) && false
	}
}

// reserveAll reserves all that a VM can get.
func (m *model) reserveAll(vm *modelVM) {
	m.reserveAvailable(vm)
	for amount := m.prepaid; amount > 0; amount /= 2 {
		m.reserve(vm, amount)
	}
}

// reserveAvailable reserves what a VM can reserve without waiting.
func (m *model) reserveAvailable(vm *modelVM) {
	p := vm.m.partitions[0]
	p.mu.Lock()
	amount := p.available(p.account(modelEntry))
	p.mu.Unlock()
	if amount > 0 {
		m.reserve(vm, amount)
	}
}

// work reserves and settles requests at a VM for some seconds, so that its share, demand and base limit fit each other.
func (m *model) work(vm *modelVM, amount int64) {
	const requests, interval = 30, 100 * time.Millisecond
	for range requests {
		if m.reserve(vm, amount) {
			r := vm.reservations[len(vm.reservations)-1]
			vm.reservations = vm.reservations[:len(vm.reservations)-1]
			m.spent += amount
			vm.m.Settle(r, settlementOf(amount))
		}
		m.now = m.now.Add(interval)
		vm.sendHeartbeat(heartbeatAppended)
	}
}

// turnAway lets the log turn a VM away in one way after the other, while the VM uses all that it may.
func (m *model) turnAway(vm *modelVM) {
	for range rapid.IntRange(1, 4).Draw(m.t, "ways") {
		vm.log.mode = rapid.IntRange(0, logModes-1).Draw(m.t, "mode")
		outcome := rapid.IntRange(0, heartbeatOutcomes-1).Draw(m.t, "outcome")
		interval := time.Duration(rapid.IntRange(200, 1200).Draw(m.t, "ms")) * time.Millisecond
		for range rapid.IntRange(1, 8).Draw(m.t, "heartbeats") {
			m.now = m.now.Add(interval)
			m.reserveAvailable(vm)
			vm.sendHeartbeat(outcome)
			m.reserveAvailable(vm)
		}
	}
	vm.log.mode = logUp
}

// crash ends a VM's process without closing it; its requests may have used their upper bounds.
func (m *model) crash(vm *modelVM) {
	for _, r := range vm.reservations {
		m.spent += r.Amount
	}
	vm.reservations = nil
	m.start(vm)
}

// check fails the test if the spent and the reserved tokens exceed the budget, or a VM has found that it uses more of its share
// than a successor would count.
func (m *model) check() {
	if above := obs.SharesAboveLimitTotal.Value(); above > m.sharesAboveLimit {
		m.t.Fatalf("more of a share is used than a successor would count")
	}
	total := m.spent
	for _, vm := range m.vms {
		for _, r := range vm.reservations {
			total += r.Amount
		}
	}
	if total > m.prepaid {
		m.t.Fatalf("requests may use %d of %d tokens", total, m.prepaid)
	}
}

// Guards against overspending under crashes, lost and late appends, outages of the log, loans and
// repayments in any order.
func TestNeverOverspends(t *testing.T) { checkNeverOverspends(t, nil) }

func checkNeverOverspends(t *testing.T, configure func(*Config)) {
	rapid.Check(t, func(t *rapid.T) {
		m := newConfiguredModel(t, configure)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"reserve": func(t *rapid.T) {
				m.t = t
				m.reserve(m.pick("vm"), rapid.Int64Range(500, 9_000).Draw(t, "amount"))
			},
			"use up": func(t *rapid.T) {
				m.t = t
				m.reserveAll(m.pick("vm"))
			},
			"gap": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				vm.sendHeartbeat(rapid.IntRange(0, heartbeatOutcomes-1).Draw(t, "before"))
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
				m.reserveAvailable(vm)
				vm.sendHeartbeat(rapid.IntRange(0, heartbeatOutcomes-1).Draw(t, "after"))
				if rapid.Bool().Draw(t, "crash") {
					m.crash(vm)
				}
			},
			"turn away": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				m.turnAway(vm)
				if rapid.Bool().Draw(t, "crash") {
					m.crash(vm)
				}
			},
			"work": func(t *rapid.T) {
				m.t = t
				m.work(m.pick("vm"), rapid.Int64Range(50, 400).Draw(t, "amount"))
			},
			"settle": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				if len(vm.reservations) == 0 {
					return
				}
				r := vm.reservations[0]
				vm.reservations = vm.reservations[1:]
				charged := r.Amount
				if rapid.IntRange(0, 3).Draw(t, "part") == 0 {
					charged = rapid.Int64Range(0, r.Amount).Draw(t, "charged")
				}
				m.spent += charged
				vm.m.Settle(r, budget.Settlement{Charged: charged})
			},
			"cycle": func(t *rapid.T) {
				m.t = t
				_ = m.pick("vm").m.partitions[0].sync(context.Background(), false) // faults are part of the model
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"mode": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				vm.log.mode = logUp
				if rapid.Bool().Draw(t, "faulty") {
					vm.log.mode = rapid.IntRange(0, logModes-1).Draw(t, "mode")
				}
			},
			"beat": func(t *rapid.T) {
				m.t = t
				m.pick("vm").sendHeartbeat(rapid.IntRange(0, heartbeatOutcomes-1).Draw(t, "outcome"))
			},
			"prove": func(t *rapid.T) {
				m.t = t
				m.pick("vm").heartbeats.provesGaps = rapid.Bool().Draw(t, "prove")
			},
			"late": func(t *rapid.T) {
				if len(m.lateAppends) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.lateAppends)-1).Draw(t, "append")
				appendNow := m.lateAppends[i]
				m.lateAppends = append(m.lateAppends[:i], m.lateAppends[i+1:]...)
				appendNow()
			},
			"trim": func(*rapid.T) {
				page, _ := m.memory.Read(context.Background(), keyedlog.Stream{Name: "budgets"}, 0, 0)
				m.memory.Trim(keyedlog.Stream{Name: "budgets"}, page.End)
			},
			"crash": func(t *rapid.T) {
				m.t = t
				m.crash(m.pick("vm"))
			},
			"stop": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				if len(vm.reservations) > 0 {
					return
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				_ = vm.m.Close(ctx) // faults are part of the model
				m.start(vm)
			},
			"lend": func(t *rapid.T) {
				m.t = t
				from, to := m.pick("from"), m.pick("to")
				if from == to {
					return
				}
				amount := rapid.Int64Range(1, 6_000).Draw(t, "amount")
				m.loans++
				loan := Loan{ID: fmt.Sprint("loan ", m.loans), Lender: from.name}
				voided := Loan{ID: loan.ID, Lender: from.name, Repaid: RepaidAll}
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0: // the response is lost
					from.m.Lend(modelEntry, loan.ID, amount)
					m.repayments = append(m.repayments, modelRepayment{from, voided})
				case 1: // the request arrives after the repayment
					from.m.AcceptRepayment(modelEntry, loan.ID, RepaidAll)
					from.m.Lend(modelEntry, loan.ID, amount)
					m.repayments = append(m.repayments, modelRepayment{from, voided})
				default:
					loan.Amount = from.m.Lend(modelEntry, loan.ID, amount)
					p := to.m.partitions[0]
					p.addLoans(p.account(modelEntry), nil, []Loan{loan}, nil)
				}
			},
			"repay": func(t *rapid.T) {
				m.t = t
				p := m.pick("to").m.partitions[0]
				p.mu.Lock()
				repayment, ok := p.account(modelEntry).repay()
				p.mu.Unlock()
				for _, vm := range m.vms {
					if ok && vm.name == repayment.Lender {
						m.repayments = append(m.repayments, modelRepayment{vm, repayment})
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.repayments) == 0 {
					return
				}
				r := m.repayments[rapid.IntRange(0, len(m.repayments)-1).Draw(t, "repayment")]
				r.to.m.AcceptRepayment(modelEntry, r.loan.ID, r.loan.Repaid)
			},
			"topup": func(t *rapid.T) { m.prepaid += rapid.Int64Range(0, 500).Draw(t, "tokens") },
		})
		for _, vm := range m.vms {
			vm.log.mode = logUp
			m.reserveAll(vm)
			_ = vm.m.partitions[0].sync(context.Background(), true) // late appends may conflict
		}
		for _, vm := range m.vms {
			m.reserveAll(vm)
		}
		m.check()
	})
}

// Guards against unspent tokens that no VM can reserve: after all faults have ended, and without a
// crash, one VM can reserve all that is left.
func TestNothingIsStrandedWithoutCrash(t *testing.T) { checkNothingIsStranded(t, nil) }

func checkNothingIsStranded(t *testing.T, configure func(*Config)) {
	rapid.Check(t, func(t *rapid.T) {
		m := newConfiguredModel(t, configure)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			m.t = t
			vm := m.pick("vm")
			vm.log.mode = rapid.IntRange(0, logModes-1).Draw(t, "mode")
			m.reserve(vm, rapid.Int64Range(1, 20_000).Draw(t, "amount"))
			m.now = m.now.Add(time.Second)
		}
		for _, vm := range m.vms {
			vm.log.mode = logUp
			for _, r := range vm.reservations {
				vm.m.Release(r)
			}
			vm.reservations = nil
		}
		// The others return their shares; then one VM reserves everything.
		for _, vm := range m.vms[1:] {
			if err := vm.m.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		m.now = m.now.Add(time.Minute)
		if !m.reserve(m.vms[0], m.prepaid) {
			t.Fatalf("reservation of all %d prepaid tokens failed", m.prepaid)
		}
	})
}
