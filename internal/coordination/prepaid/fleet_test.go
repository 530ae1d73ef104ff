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

// modelPeers transfers loans between the VMs of a model.
type modelPeers struct{ m *model }

func (p *modelPeers) Borrow(_ context.Context, preferred []string, entry string, amount int64) (loans []Loan, drained []string) {
	for _, vm := range p.m.vms {
		if amount > 0 && slices.Contains(preferred, vm.name) {
			p.m.loans++
			id := fmt.Sprint("loan ", p.m.loans)
			if lent := vm.m.Lend(entry, id, amount); lent > 0 {
				loans = append(loans, Loan{ID: id, Lender: vm.name, Amount: lent})
				amount -= lent
			}
		}
	}
	return loans, nil
}

func (p *modelPeers) Recall(context.Context) []map[string][]byte { return nil }

// Repay implements Peers. The repayment arrives with deliverRepayments.
func (p *modelPeers) Repay(_ string, loan Loan) {
	for _, vm := range p.m.vms {
		if vm.name == loan.Lender {
			p.m.repayments = append(p.m.repayments, modelRepayment{vm, loan})
		}
	}
}

// deliverRepayments delivers all repayments that are under way.
func (m *model) deliverRepayments() {
	for _, r := range m.repayments {
		r.to.m.AcceptRepayment(modelEntry, r.loan.ID, r.loan.Repaid)
	}
	m.repayments = nil
}

// reserveAndWait reserves, and syncs until the waiter is answered, without the borrow timer and the
// time limit of Manager.Reserve. Unlike reserve, it does not add to vm.reservations.
func (m *model) reserveAndWait(vm *modelVM, amount int64) bool {
	p := vm.partition()
	w, err := p.reserve(modelEntry, amount, m.prepaid)
	if w == nil {
		return err == nil
	}
	for {
		p.mu.Lock()
		borrowing := w.borrowing
		p.mu.Unlock()
		select {
		case err := <-w.done:
			return err == nil
		default:
		}
		if !borrowing {
			m.now = m.now.Add(time.Millisecond)
			_ = p.sync(context.Background(), false) // the outcome is sent to the waiter
		}
	}
}

// runBackground sends a heartbeat of each VM. It also syncs the VMs that were woken, and once in
// seven steps all of them, which appends the reports that are due.
func (m *model) runBackground(step int) {
	m.deliverRepayments()
	for _, vm := range m.vms {
		vm.sendHeartbeat(heartbeatAppended)
		woken := false
		select {
		case <-vm.partition().trigger:
			woken = true
		default:
		}
		if woken || step%7 == 0 {
			_ = vm.partition().sync(context.Background(), false) // the memory log does not fail
		}
	}
}

// newFleetModel returns a model of many VMs that lend to each other.
func newFleetModel(t *rapid.T, vms int, prepaid int64) *model {
	m := newModel(t)
	m.prepaid = prepaid
	for i := len(m.vms); i < vms; i++ {
		vm := &modelVM{name: fmt.Sprintf("vm-%d", i), log: &modelLog{Memory: m.memory, lateAppends: &m.lateAppends},
			heartbeats: &modelHeartbeats{model: m, provesGaps: true, lastGaps: make(map[string]modelGap), proven: make(chan struct{})}}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	for _, vm := range m.vms {
		vm.m.cfg.Peers = &modelPeers{m: m}
		vm.sendHeartbeat(heartbeatAppended)
	}
	return m
}

// Guards against a budget that is fragmented into shares of which none covers a request: many
// routers, one small budget, and requests spread over all routers.
func TestSmallBudgetInALargeFleet(t *testing.T) {
	done := false
	rapid.Check(t, func(rt *rapid.T) {
		if done {
			return
		}
		done = true
		is := is.New(t)
		const amount, requests = 1000, 300
		m := newFleetModel(rt, 60, amount*requests)
		random := rand.New(rand.NewPCG(1, 2))
		served := 0
		for i := range requests {
			vm := m.vms[random.IntN(len(m.vms))]
			if m.reserveAndWait(vm, amount) {
				served++
				vm.m.endReservation(reservationOf(amount), amount*3/4)
			}
			m.now = m.now.Add(100 * time.Millisecond)
			m.runBackground(i)
		}
		t.Logf("%d of %d served", served, requests)
		// 0.97 of a budget is owed to its callers, so at least that fraction of the requests must be served.
		is.True(served >= requests*97/100)
	})
}
