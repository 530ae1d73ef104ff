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
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// modelSteps lets a run use up a budget several times over.
const modelSteps = "150"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.steps", modelSteps); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// How a VM reaches the log.
const (
	logServes = iota
	logDown
	logLoses
	logLate
	logModes
)

// lateAppend is an append that the log may carry out at any later time.
type lateAppend func()

// modelLog is one VM's way to the log.
type modelLog struct {
	*keyedlog.Memory
	mode int
	late *[]lateAppend
}

var errModelDown = errors.Mark(errors.New("down"), keyedlog.ErrUnavailable)

func (l *modelLog) Append(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, at uint64) (uint64, error) {
	switch l.mode {
	case logDown:
		return 0, errModelDown
	case logLate:
		*l.late = append(*l.late, func() {
			_, _ = l.Memory.Append(ctx, s, records, at) // a conflict is one outcome
		})
		return 0, errors.Mark(errors.New("late"), keyedlog.ErrOutcomeUnknown)
	}
	end, err := l.Memory.Append(ctx, s, records, at)
	if err == nil && l.mode == logLoses {
		return 0, errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	}
	return end, err
}

func (l *modelLog) AppendAs(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, p keyedlog.Producer) (uint64, error) {
	switch l.mode {
	case logDown:
		return 0, errModelDown
	case logLate:
		*l.late = append(*l.late, func() {
			_, _ = l.Memory.AppendAs(ctx, s, records, p) // to be fenced is one outcome
		})
		return 0, errors.Mark(errors.New("late"), keyedlog.ErrOutcomeUnknown)
	}
	end, err := l.Memory.AppendAs(ctx, s, records, p)
	if err == nil && l.mode == logLoses {
		return 0, errors.Mark(errors.New("lost"), keyedlog.ErrOutcomeUnknown)
	}
	return end, err
}

func (l *modelLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if l.mode == logDown {
		return keyedlog.Page{}, errModelDown
	}
	return l.Memory.Read(ctx, s, from, wait)
}

func (l *modelLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	if l.mode == logDown {
		return keyedlog.Page{}, errModelDown
	}
	return l.Memory.Newest(ctx, s)
}

// modelBeat is a beat of a process.
type modelBeat struct {
	at    time.Time
	shown map[string]int64
}

// modelLife plays the beats of one VM.
type modelLife struct {
	model   *model
	process string
	// last is the beat that may have reached the log, and landed the one that has;
	// unsure is true while they may differ.
	last, landed modelBeat
	unsure       bool
	// ends holds the last gap of each process and what was shown before it.
	ends   map[string]modelEnd
	prove  bool
	proven chan struct{}
}

type modelEnd struct {
	gap   time.Duration
	shown map[string]int64
}

func (l *modelLife) Gap() time.Duration { return l.model.now.Sub(l.last.at) }

func (l *modelLife) LastGap(process string) (time.Duration, map[string]int64, bool) {
	end, ended := l.ends[process]
	return end.gap, end.shown, ended && l.prove && end.gap < DefaultPolicy().FullShareAfter
}

func (l *modelLife) Proven() <-chan struct{} { return l.proven }

// Outcomes of a beat.
const (
	beatLands = iota
	beatLost
	beatLate
	beatRefused
	beatOutcomes
)

// beat plays a beat of a process. One without an answer is sent again unchanged.
func (vm *modelVM) beat(outcome int) {
	l := vm.life
	before, undo := l.last, func() {}
	if !l.unsure {
		l.last.at = l.model.now
		l.last.shown, undo = vm.m.HeartbeatUsage()
	}
	switch outcome {
	case beatLands, beatLost:
		l.landed, l.unsure = l.last, outcome == beatLost
	case beatLate:
		l.unsure = true
	case beatRefused:
		if !l.unsure {
			undo()
			l.last = before
		}
	}
}

// modelVM is a VM with at most one process.
type modelVM struct {
	name  string
	log   *modelLog
	life  *modelLife
	m     *Manager
	open  []budget.Reservation
	count int
}

type model struct {
	t       *rapid.T
	now     time.Time
	prepaid int64
	memory  *keyedlog.Memory
	late    []lateAppend
	vms     []*modelVM
	// spent is what requests really used, those of dead processes at their bounds.
	spent int64
}

const modelEntry = "team"

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), prepaid: 30_000, memory: keyedlog.NewMemory()}
	for i := range 3 {
		vm := &modelVM{name: fmt.Sprintf("vm-%d", i), log: &modelLog{Memory: m.memory, late: &m.late},
			life: &modelLife{model: m, prove: true, ends: make(map[string]modelEnd), proven: make(chan struct{})}}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	return m
}

func (m *model) start(vm *modelVM) {
	vm.count++
	if vm.m != nil {
		vm.life.ends[vm.life.process] = modelEnd{m.now.Sub(vm.life.landed.at), vm.life.landed.shown}
	}
	m.now = m.now.Add(time.Microsecond)
	vm.life.process = fmt.Sprintf("%s/%d", vm.name, vm.count)
	vm.life.last, vm.life.unsure = modelBeat{at: m.now}, false
	vm.life.landed = vm.life.last
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm.m = New(Config{
		Log: vm.log, Streams: []keyedlog.Stream{{Name: "budgets"}}, VM: vm.name, Process: record.HolderID(vm.life.process),
		Prepaid: func(string) (int64, bool) { return m.prepaid, true }, Routers: func() int { return len(m.vms) },
		Policy: DefaultPolicy(), Heartbeats: vm.life, Interval: time.Second, Now: func() time.Time { return m.now }, Logger: logger,
	})
}

func (m *model) pick(name string) *modelVM {
	return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(m.t, name)]
}

// reserve takes budget without waiting.
func (m *model) reserve(vm *modelVM, amount int64) bool {
	p := vm.m.partitions[0]
	w, err := p.reserve(modelEntry, amount, m.prepaid)
	if w != nil {
		// A cycle answers only the waiters that came before it.
		m.now = m.now.Add(time.Millisecond)
		return vm.take(w, amount)
	}
	if err == nil {
		vm.open = append(vm.open, budget.Reservation{Entry: record.EntryKey{Name: modelEntry}, Amount: amount})
	}
	return err == nil
}

// take makes one cycle for a waiter.
func (vm *modelVM) take(w *waiter, amount int64) bool {
	_ = vm.m.partitions[0].cycle(context.Background(), false) // faults are part of the model
	select {
	case err := <-w.done:
		if err == nil {
			vm.open = append(vm.open, budget.Reservation{Entry: record.EntryKey{Name: modelEntry}, Amount: amount})
		}
		return err == nil
	default:
		return vm.m.partitions[0].cancelWait(modelEntry, w) && false
	}
}

// useUp takes all that a VM can have.
func (m *model) useUp(vm *modelVM) {
	m.useAvailable(vm)
	for amount := m.prepaid; amount > 0; amount /= 2 {
		m.reserve(vm, amount)
	}
}

// useAvailable takes what a VM may take without asking.
func (m *model) useAvailable(vm *modelVM) {
	p := vm.m.partitions[0]
	p.mu.Lock()
	amount := p.available(p.account(modelEntry))
	p.mu.Unlock()
	if amount > 0 {
		m.reserve(vm, amount)
	}
}

// crash ends a VM's process without a word; its requests may have used their bounds.
func (m *model) crash(vm *modelVM) {
	for _, r := range vm.open {
		m.spent += r.Amount
	}
	vm.open = nil
	m.start(vm)
}

func (m *model) check() {
	total := m.spent
	for _, vm := range m.vms {
		for _, r := range vm.open {
			total += r.Amount
		}
	}
	if total > m.prepaid {
		m.t.Fatalf("requests may use %d of %d tokens", total, m.prepaid)
	}
}

// Guards against overspend under crashes, lost and late appends, silence of the
// log, loans and repayments in any order.
func TestNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"reserve": func(t *rapid.T) {
				m.t = t
				m.reserve(m.pick("vm"), rapid.Int64Range(500, 9_000).Draw(t, "amount"))
			},
			"use up": func(t *rapid.T) {
				m.t = t
				m.useUp(m.pick("vm"))
			},
			"gap": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				vm.beat(rapid.IntRange(0, beatOutcomes-1).Draw(t, "before"))
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
				m.useAvailable(vm)
				vm.beat(rapid.IntRange(0, beatOutcomes-1).Draw(t, "after"))
				if rapid.Bool().Draw(t, "crash") {
					m.crash(vm)
				}
			},
			"settle": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				if len(vm.open) == 0 {
					return
				}
				r := vm.open[0]
				vm.open = vm.open[1:]
				charged := r.Amount
				if rapid.IntRange(0, 3).Draw(t, "part") == 0 {
					charged = rapid.Int64Range(0, r.Amount).Draw(t, "charged")
				}
				m.spent += charged
				vm.m.Settle(r, budget.Settlement{Charged: charged})
			},
			"cycle": func(t *rapid.T) {
				m.t = t
				_ = m.pick("vm").m.partitions[0].cycle(context.Background(), false) // faults are part of the model
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"mode": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				vm.log.mode = logServes
				if rapid.Bool().Draw(t, "faulty") {
					vm.log.mode = rapid.IntRange(0, logModes-1).Draw(t, "mode")
				}
			},
			"beat": func(t *rapid.T) {
				m.t = t
				m.pick("vm").beat(rapid.IntRange(0, beatOutcomes-1).Draw(t, "outcome"))
			},
			"prove": func(t *rapid.T) {
				m.t = t
				m.pick("vm").life.prove = rapid.Bool().Draw(t, "prove")
			},
			"late": func(t *rapid.T) {
				if len(m.late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "append")
				carryOut := m.late[i]
				m.late = append(m.late[:i], m.late[i+1:]...)
				carryOut()
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
				if len(vm.open) > 0 {
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
				p := to.m.partitions[0]
				p.borrowed(p.account(modelEntry), &waiter{}, []Loan{{from.name, from.m.Lend(modelEntry, amount)}})
			},
			"repay": func(t *rapid.T) {
				m.t = t
				from, to := m.pick("from"), m.pick("to")
				p := to.m.partitions[0]
				p.mu.Lock()
				back, ok := p.account(modelEntry).repay()
				p.mu.Unlock()
				if ok && back.Lender == from.name && rapid.Bool().Draw(t, "arrives") {
					from.m.AcceptRepayment(modelEntry, back.Amount)
				}
			},
			"topup": func(t *rapid.T) { m.prepaid += rapid.Int64Range(0, 500).Draw(t, "tokens") },
		})
		for _, vm := range m.vms {
			vm.log.mode = logServes
			m.useUp(vm)
			_ = vm.m.partitions[0].cycle(context.Background(), true) // late appends may conflict
		}
		for _, vm := range m.vms {
			m.useUp(vm)
		}
		m.check()
	})
}

// Guards against budget that stays out of reach for good: after all faults end and
// without a lost process, one VM can use all that is left.
func TestNothingIsStrandedWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			m.t = t
			vm := m.pick("vm")
			vm.log.mode = rapid.IntRange(0, logModes-1).Draw(t, "mode")
			m.reserve(vm, rapid.Int64Range(1, 20_000).Draw(t, "amount"))
			m.now = m.now.Add(time.Second)
		}
		for _, vm := range m.vms {
			vm.log.mode = logServes
			for _, r := range vm.open {
				vm.m.Release(r)
			}
			vm.open = nil
		}
		// The others hand back; then one VM asks for everything.
		for _, vm := range m.vms[1:] {
			if err := vm.m.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		m.now = m.now.Add(time.Minute)
		if !m.reserve(m.vms[0], m.prepaid) {
			t.Fatalf("%d tokens are out of reach", m.prepaid)
		}
	})
}
