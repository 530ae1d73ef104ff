package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// modelPeers carries loans between the VMs of a model.
type modelPeers struct{ m *model }

func (p *modelPeers) Borrow(_ context.Context, preferred []string, entry string, amount int64) (loans []Loan) {
	for _, vm := range p.m.vms {
		if amount > 0 && slices.Contains(preferred, vm.name) {
			if lent := vm.m.Lend(entry, amount); lent > 0 {
				loans = append(loans, Loan{vm.name, lent})
				amount -= lent
			}
		}
	}
	return loans
}

func (p *modelPeers) Repay(lender, entry string, amount int64) {
	for _, vm := range p.m.vms {
		if vm.name == lender {
			vm.m.AcceptRepayment(entry, amount)
		}
	}
}

// request takes budget as Manager.Reserve does, with cycles in place of its loops.
func (m *model) request(vm *modelVM, amount int64) bool {
	p := vm.partition()
	w, err := p.reserve(modelEntry, amount, m.prepaid)
	if w == nil {
		return err == nil
	}
	for {
		p.mu.Lock()
		pending := w.pending
		p.mu.Unlock()
		select {
		case err := <-w.done:
			return err == nil
		default:
		}
		if !pending {
			m.now = m.now.Add(time.Millisecond)
			_ = p.cycle(context.Background(), false) // the waiter tells the outcome
		}
	}
}

// rest lets the VMs beat, and look when they were woken, or once in seven steps, for
// what is worth a report.
func (m *model) rest(step int) {
	for _, vm := range m.vms {
		vm.beat(beatLands)
		woken := false
		select {
		case <-vm.partition().kick:
			woken = true
		default:
		}
		if woken || step%7 == 0 {
			_ = vm.partition().cycle(context.Background(), false) // the memory log does not fail
		}
	}
}

// fleet returns a model of many VMs that lend to each other.
func fleet(t *rapid.T, vms int, prepaid int64) *model {
	m := newModel(t)
	m.prepaid = prepaid
	for i := len(m.vms); i < vms; i++ {
		vm := &modelVM{name: fmt.Sprintf("vm-%d", i), log: &modelLog{Memory: m.memory, late: &m.late},
			life: &modelLife{model: m, prove: true, ends: make(map[string]modelEnd), proven: make(chan struct{})}}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	for _, vm := range m.vms {
		vm.m.cfg.Peers = &modelPeers{m: m}
		vm.beat(beatLands)
	}
	return m
}

// Load: many routers, one small budget, requests spread thinly over all of them.
// Guards against a budget that is kept in pieces of which none covers a request.
func TestSmallBudgetInALargeFleet(t *testing.T) {
	done := false
	rapid.Check(t, func(rt *rapid.T) {
		if done {
			return
		}
		done = true
		is := is.New(t)
		const amount, requests = 1000, 300
		m := fleet(rt, 60, amount*requests)
		random := rand.New(rand.NewPCG(1, 2))
		served := 0
		for i := range requests {
			vm := m.vms[random.IntN(len(m.vms))]
			if m.request(vm, amount) {
				served++
				vm.m.end(reservationOf(amount), amount*3/4)
			}
			m.now = m.now.Add(100 * time.Millisecond)
			m.rest(i)
		}
		t.Logf("%d of %d served", served, requests)
		// 0.97 of a budget is owed to its callers.
		is.True(served >= requests*97/100)
	})
}
