package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// restoreOlder restores the log from a copy. Within 1.5 s each VM reads it again, in any order, while all go on to
// reserve.
func (m *model) restoreOlder(t *rapid.T, copied keyedlog.MemoryCopy) {
	m.memory.Restore(copied)
	m.lateAppends = nil
	order := rapid.Permutation(m.vms).Draw(t, "order")
	for _, vm := range order {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 450).Draw(t, "ms")) * time.Millisecond)
		m.reserveAll(m.pick("before"))
		vm.log.mode = logUp
		for range 3 { // the first report after the restoration may be fenced
			if vm.m.partitions[0].sync(context.Background(), false) == nil {
				break
			}
		}
		m.check()
	}
}

// Guards against overspending after the log was restored from an older copy, which lacks shares that were raised since:
// all VMs live, and any of them may have raised, lowered, lent or spent its share after the copy was made.
func TestNeverOverspendsAfterRestore(t *testing.T) { checkRestorations(t, false) }

// Guards against the same if processes end after the copy was made, and their successors know only the copy.
func TestNeverOverspendsAfterRestoreAndCrash(t *testing.T) { checkRestorations(t, true) }

// checkRestorations plays restorations beside the other events of a model. With lostProcesses, processes may end between a
// copy and the restoration.
func checkRestorations(t *testing.T, lostProcesses bool) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		var copies []keyedlog.MemoryCopy
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"copy": func(*rapid.T) {
				copies = append(copies, m.memory.Copy())
				copies = copies[max(0, len(copies)-4):]
			},
			"restore": func(t *rapid.T) {
				m.t = t
				if len(copies) > 0 {
					m.restoreOlder(t, rapid.SampledFrom(copies).Draw(t, "copy"))
					copies = nil
				}
			},
			"crash": func(t *rapid.T) {
				if m.t = t; !lostProcesses {
					copies = nil
				}
				m.crash(m.pick("vm"))
			},
			"reserve": func(t *rapid.T) {
				m.t = t
				m.reserve(m.pick("vm"), rapid.Int64Range(500, 9_000).Draw(t, "amount"))
			},
			"use up": func(t *rapid.T) {
				m.t = t
				m.reserveAll(m.pick("vm"))
			},
			"settle": func(t *rapid.T) {
				m.t = t
				vm := m.pick("vm")
				if len(vm.reservations) == 0 {
					return
				}
				r := vm.reservations[0]
				vm.reservations = vm.reservations[1:]
				charged := rapid.Int64Range(0, r.Amount).Draw(t, "charged")
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
				m.pick("vm").log.mode = rapid.IntRange(0, logModes-1).Draw(t, "mode")
			},
			"beat": func(t *rapid.T) {
				m.t = t
				m.pick("vm").sendHeartbeat(rapid.IntRange(0, heartbeatOutcomes-1).Draw(t, "outcome"))
			},
			"lend": func(t *rapid.T) {
				m.t = t
				from, to := m.pick("from"), m.pick("to")
				if from != to {
					p := to.m.partitions[0]
					amount := rapid.Int64Range(1, 6_000).Draw(t, "amount")
					m.loans++
					id := fmt.Sprint("loan ", m.loans)
					p.addLoans(p.account(modelEntry), nil, []Loan{{ID: id, Lender: from.name, Amount: from.m.Lend(modelEntry, id, amount)}}, nil)
				}
			},
			"topup": func(t *rapid.T) { m.prepaid += rapid.Int64Range(0, 500).Draw(t, "tokens") },
		})
		for _, vm := range m.vms {
			vm.log.mode = logUp
			m.reserveAll(vm)
		}
		m.now = m.now.Add(time.Minute)
		for _, vm := range m.vms {
			m.reserveAll(vm)
		}
		m.check()
	})
}

// Guards against a process that counts less than its predecessor was granted, because the log was restored from a copy
// that lacks the predecessor's last record, although another VM has read it, and although the process has replaced it
// in the log before it asks.
func TestRecallsLaterShareOfPredecessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		first, second := m.vms[0], m.vms[1]
		amount := rapid.Int64Range(3_000, 25_000).Draw(t, "amount")
		m.reserve(first, 500)
		copied := m.memory.Copy()
		m.now = m.now.Add(time.Second)
		m.reserve(first, amount)
		m.now = m.now.Add(maxRecordAge + idleMaxRecordAge)
		_ = second.m.partitions[0].sync(context.Background(), false) // reads the share of the first VM
		m.memory.Restore(copied)
		m.crash(first)
		for range 3 { // the first report after the restoration may be fenced
			for _, vm := range []*modelVM{first, second} {
				_ = vm.m.partitions[0].sync(context.Background(), false)
			}
		}
		p := first.m.partitions[0]
		for entry, value := range second.m.SharesOf(first.name) {
			p.applyRecalled(entry, value)
		}
		if counted := p.account(modelEntry).priorUsage; counted < 500+amount {
			t.Fatalf("%d tokens counted as spent by the predecessor, which was granted at least %d", counted, 500+amount)
		}
		m.now = m.now.Add(time.Minute)
		for _, vm := range m.vms {
			m.reserveAll(vm)
		}
		m.check()
	})
}
