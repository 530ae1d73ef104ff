package prepaid

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetRun is what requests got of a budget in a simulated fleet.
type fleetRun struct{ requests, served, tokens int64 }

// simulateFleet sends requests for one budget to many VMs: half of them come through two VMs, as those of a large caller do, and
// together they ask for half as much again as the budget. From 8 to 15 s no VM reaches the log; with kill, all processes end at
// 14 s.
func simulateFleet(rt *rapid.T, vms int, kill bool) (got fleetRun, m *model) {
	const (
		step     = 100 * time.Millisecond
		duration = 30 * time.Second
		perStep  = 6
		amount   = 4000
	)
	steps := int(duration / step)
	m = newFleetModel(rt, vms, int64(steps*perStep*amount*2/3))
	random := rand.New(rand.NewPCG(1, uint64(vms)))
	for i := range steps {
		at := time.Duration(i) * step
		cut := at >= 8*time.Second && at < 15*time.Second
		for _, vm := range m.vms {
			vm.log.mode = logUp
			if cut {
				vm.log.mode = logDown
			}
		}
		if kill && at == 14*time.Second {
			for _, vm := range m.vms {
				m.crash(vm)
				vm.m.cfg.Peers = &modelPeers{m: m}
			}
		}
		for range perStep {
			vm := m.vms[random.IntN(vms)]
			if random.IntN(2) == 0 {
				vm = m.vms[random.IntN(2)]
			}
			got.requests++
			if m.reserveNow(vm, amount) {
				got.served++
				got.tokens += amount
				m.spent += amount
				vm.m.endReservation(reservationOf(amount), amount)
			}
		}
		m.now = m.now.Add(step)
		m.runFaultyBackground(i, cut)
	}
	return got, m
}

// reserveNow is reserveAndWait for a log that may not respond: it gives up after a few syncs.
func (m *model) reserveNow(vm *modelVM, amount int64) bool {
	p := vm.partition()
	w, err := p.reserve(modelEntry, amount, m.prepaid)
	if w == nil {
		return err == nil
	}
	for range 4 {
		vm.waitForLoans()
		m.now = m.now.Add(time.Millisecond)
		if err := p.sync(context.Background(), false); err != nil {
			p.noteOutage(err)
			p.borrowForWaiter(modelEntry, w)
		}
		vm.waitForLoans()
		select {
		case err := <-w.done:
			return err == nil
		default:
		}
	}
	return !p.cancelWait(modelEntry, w) && <-w.done == nil
}

// waitForLoans waits until the VM searches no lenders. The clock of the model must not be changed before.
func (vm *modelVM) waitForLoans() {
	p := vm.partition()
	for borrowing := true; borrowing; time.Sleep(10 * time.Microsecond) {
		p.mu.Lock()
		borrowing = p.account(modelEntry).borrowing
		p.mu.Unlock()
	}
}

// runFaultyBackground is runBackground for a log that may not respond.
func (m *model) runFaultyBackground(step int, cut bool) {
	m.deliverRepayments()
	for _, vm := range m.vms {
		outcome := heartbeatAppended
		if cut {
			outcome = heartbeatRefused
		}
		vm.sendHeartbeat(outcome)
		if step%7 == 0 {
			if err := vm.partition().sync(context.Background(), false); err != nil {
				vm.partition().noteOutage(err)
			}
			vm.waitForLoans()
		}
	}
}

// Guards against a fleet that overspends while all VMs are cut from the log and killed meanwhile, and against tokens that its
// requests cannot reach. An exact counter would serve two of three requests.
func TestFleetReachesItsBudget(t *testing.T) {
	sizes := []int{6, 60}
	if !testing.Short() {
		sizes = append(sizes, 195, 380)
	}
	for _, kill := range []bool{false, true} {
		for _, vms := range sizes {
			done := false
			rapid.Check(t, func(rt *rapid.T) {
				if done {
					return
				}
				done = true
				got, m := simulateFleet(rt, vms, kill)
				if m.spent > m.prepaid {
					t.Errorf("%d VMs, kill %v: requests used %d of %d tokens", vms, kill, m.spent, m.prepaid)
				}
				if !kill && got.tokens*100 < m.prepaid*97 {
					// 0.97 of a budget is owed to its callers.
					t.Errorf("%d VMs: requests could use only %d of %d tokens", vms, got.tokens, m.prepaid)
				}
				t.Logf("%d VMs, kill %v: %.3f of the budget used, %d of %d requests served", vms, kill,
					float64(got.tokens)/float64(m.prepaid), got.served, got.requests)
			})
		}
	}
}
