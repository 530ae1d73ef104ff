package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
)

// lendAll moves what one VM may use without a gap to another one, which spends it. It returns the amount.
func (m *model) lendAll(is *is.I, from, to *modelVM, id string) int64 {
	is.Helper()
	amount := from.partition().available(from.account())
	lent := from.m.Lend(modelEntry, id, amount)
	is.Equal(lent, amount)
	to.partition().addLoans(to.account(), nil, []Loan{{ID: id, Lender: from.name, Amount: lent}}, nil)
	is.True(m.reserve(to, lent))
	to.m.Settle(to.reservations[len(to.reservations)-1], settlementOf(lent))
	to.reservations = to.reservations[:len(to.reservations)-1]
	m.spent += lent
	return lent
}

// Guards against a budget that is used up and whose refusals tell callers to come back: the lenders and borrowers of loans
// have ended, and their successors count what was lent as not spent, or twice. Pattern: all routers are killed after
// loans.
func TestLoansCountOnceAfterTheirProcessesEnd(t *testing.T) {
	for name, ends := range map[string]func(m *model, is *is.I, lender, borrower *modelVM){
		"borrower": func(m *model, is *is.I, _, borrower *modelVM) { m.start(borrower) },
		"lender":   func(m *model, is *is.I, lender, _ *modelVM) { m.start(lender) },
		"both": func(m *model, is *is.I, lender, borrower *modelVM) {
			m.start(lender)
			m.start(borrower)
		},
		"both, twice": func(m *model, is *is.I, lender, borrower *modelVM) {
			for range 2 {
				m.start(lender)
				m.start(borrower)
				lender.sync(is)
				borrower.sync(is)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(is *is.I, m *model) {
				lender, borrower, observer := m.vms[0], m.vms[1], m.vms[2]
				is.True(m.reserve(lender, 1000))
				lender.m.Release(lender.reservations[0])
				lender.reservations = nil
				lent := m.lendAll(is, lender, borrower, "l")
				m.now = m.now.Add(DefaultPolicy().MaxReportDelay + time.Second)
				for _, vm := range m.vms {
					vm.sendHeartbeat(heartbeatAppended)
					vm.sync(is)
				}
				ends(m, is, lender, borrower)
				m.now = m.now.Add(idleMaxRecordAge + time.Second) // so that each VM reads the records of the others
				for _, vm := range m.vms {
					vm.sync(is)
				}
				for _, vm := range []*modelVM{observer, lender, borrower} {
					got := vm.account().remaining(m.prepaid, m.now, DefaultPolicy().RecordFreshness)
					if got != m.prepaid-lent {
						t.Errorf("%s counts %d as left; %d of %d are spent", vm.name, got, lent, m.prepaid)
					}
				}
			})
		})
	}
}

// Guards against tokens that nobody can use because the response to a request for a loan, or a repayment, was lost.
// Pattern: a router that is slow after a freeze asks for loans.
func TestLostLoanComesBack(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		lender := m.vms[0]
		is.True(m.reserve(lender, 1000))
		before := lender.partition().available(lender.account())
		lent := lender.m.Lend(modelEntry, "l", 100)
		is.Equal(lender.m.Lend(modelEntry, "l", 100), lent) // the request is repeated
		is.Equal(lender.partition().available(lender.account()), before-lent)
		for range 3 {
			lender.m.AcceptRepayment(modelEntry, "l", RepaidAll)
			is.Equal(lender.partition().available(lender.account()), before)
		}
		lender.m.AcceptRepayment(modelEntry, "late", RepaidAll)
		is.Equal(lender.m.Lend(modelEntry, "late", 100), int64(0))
		is.Equal(lender.partition().available(lender.account()), before)
	})
}

// refusal returns the error with which a VM refuses a request at once or after a sync.
func (m *model) refusal(vm *modelVM, amount int64) error {
	w, err := vm.partition().reserve(modelEntry, amount, m.prepaid)
	if w == nil {
		return err
	}
	m.now = m.now.Add(time.Millisecond)
	_ = vm.partition().sync(context.Background(), false) // the outcome is sent to the waiter
	select {
	case err = <-w.done:
	default:
		vm.partition().cancelWait(modelEntry, w)
	}
	return err
}

// Guards against callers that are told to come back for tokens that are lost for good, and against 402 while those tokens
// may still be released or a newer configuration may have raised the budget. Pattern: all routers are killed, then the
// budget is used up.
func TestRefusalAfterTokensAreStranded(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a, b := m.vms[0], m.vms[1]
		is.True(m.reserve(a, 1000))
		a.heartbeats.provesGaps = false
		m.start(a) // the whole share is stranded
		a.sync(is)
		stranded := a.account().stranded
		is.True(stranded > 2000)
		useAll := func() {
			m.reserveAll(b)
			for _, r := range b.reservations {
				m.spent += r.Amount
				b.m.Settle(r, settlementOf(r.Amount))
			}
			b.reservations = nil
		}
		useAll()
		var unavailable *budget.UnavailableError
		is.True(errors.As(m.refusal(b, 2000), &unavailable)) // may still be released
		m.now = m.now.Add(releaseTimeout + idleMaxRecordAge)
		for range 2 {
			for _, vm := range m.vms {
				vm.sendHeartbeat(heartbeatAppended)
				vm.sync(is)
			}
			m.now = m.now.Add(idleMaxRecordAge + time.Second)
			useAll()
		}
		is.True(errors.Is(m.refusal(b, 2000), budget.ErrExhausted))

		b.log.mode = logDown
		m.now = m.now.Add(5 * time.Second)
		b.partition().noteOutage(b.partition().sync(context.Background(), false))
		is.True(errors.Is(m.refusal(b, 2000), budget.ErrExhausted)) // what is spent stays spent
		b.m.cfg.ConfigStale = func() bool { return true }
		is.True(!errors.Is(m.refusal(b, 2000), budget.ErrExhausted))
	})
}
