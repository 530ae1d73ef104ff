package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// modelPeers carries loans between the VMs of a model.
type modelPeers struct {
	m    *model
	away map[string]bool
}

func (p *modelPeers) Borrow(ctx context.Context, preferred []string, entry string, amount int64) (loans []Loan) {
	for _, vm := range preferred {
		loans = append(loans, p.BorrowFrom(ctx, vm, entry, amount)...)
	}
	return loans
}

func (p *modelPeers) BorrowFrom(_ context.Context, vm, entry string, amount int64) []Loan {
	for _, lender := range p.m.vms {
		if lender.name == vm && !p.away[vm] {
			if lent := lender.m.Lend(entry, amount); lent > 0 {
				return []Loan{{vm, lent}}
			}
		}
	}
	return nil
}

func (p *modelPeers) Repay(lender, entry string, amount int64) {
	for _, vm := range p.m.vms {
		if vm.name == lender {
			vm.m.Repaid(entry, amount)
		}
	}
}

// appends counts the appends to a log.
func (m *model) countAppends() *int {
	n := new(int)
	m.memory.Fault = func(call string, _ keyedlog.Stream, done bool) error {
		if call == "append" && !done {
			*n++
		}
		return nil
	}
	return n
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

// fleet returns a model of many VMs, the first of which is the home.
func fleet(t *rapid.T, vms int, prepaid int64) (*model, *modelPeers) {
	m := newModel(t)
	m.prepaid = prepaid
	for i := len(m.vms); i < vms; i++ {
		vm := &modelVM{name: fmt.Sprintf("vm-%d", i), log: &modelLog{Memory: m.memory, late: &m.late},
			life: &modelLife{model: m, prove: true, ends: make(map[string]modelEnd), proven: make(chan struct{})}}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	peers := &modelPeers{m: m, away: make(map[string]bool)}
	for _, vm := range m.vms {
		vm.m.cfg.Peers, vm.m.cfg.Home = peers, func(string) string { return "vm-0" }
		vm.beat(beatLands)
	}
	return m, peers
}

// Load: many routers, one small budget, requests spread thinly over all of them.
// Guards against a budget that is kept in pieces of which none covers a request, and
// against an append per request.
func TestSmallBudgetInALargeFleet(t *testing.T) {
	for name, homeAway := range map[string]bool{"home lends": false, "home is cut off": true} {
		t.Run(name, func(t *testing.T) {
			done := false
			rapid.Check(t, func(rt *rapid.T) {
				if done {
					return
				}
				done = true
				is := is.New(t)
				const amount, requests = 1000, 300
				m, peers := fleet(rt, 60, amount*requests)
				peers.away["vm-0"] = homeAway
				appends := m.countAppends()
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
				t.Logf("%d of %d served with %d appends", served, requests, *appends)
				// 0.97 of a budget is owed to its callers.
				is.True(served >= requests*97/100)
				if !homeAway {
					is.True(*appends-len(m.vms) < requests/2) // each VM claims its epoch once
				}
			})
		})
	}
}
