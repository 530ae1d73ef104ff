package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// spendAll uses an amount of a VM's part at once.
func (m *model) spendAll(is *is.I, vm *modelVM, amount int64) {
	is.Helper()
	is.True(m.reserve(vm, amount))
	vm.m.Settle(vm.open[0], budgetOf(amount))
	vm.open = vm.open[1:]
	m.spent += amount
}

// Guards against reports that fail because other VMs write all the time: a store
// that is slow leaves no time between a read and an append.
func TestReportsDoNotConflict(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spendAll(is, a, 1000)
		m.memory.Fault = func(call string, s keyedlog.Stream, done bool) error {
			if call == "append" && !done {
				m.memory.Publish(s, keyedlog.Record{Key: modelEntry + keySeparator + "vm-9", Value: []byte{0xa0}})
			}
			return nil
		}
		m.now = m.now.Add(4 * time.Second)
		a.cycle(is)
		is.Equal(a.account().logged.Spent, int64(1000))
		m.memory.Fault = nil
	})
}

// Guards against a report of a dead process that the log carries out after its
// successor has read: it would undo what the successor has written.
func TestLateReportOfAnEarlierProcessIsShutOut(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spendAll(is, a, 1000)
		m.now = m.now.Add(4 * time.Second)
		a.log.mode = logLate
		is.True(a.partition().cycle(context.Background(), false) != nil)
		is.Equal(len(m.late), 1)
		a.log.mode = logServes
		m.start(a)
		is.True(m.reserve(a, 2000))
		before := a.account().logged
		m.late[0]()
		page, err := m.memory.Newest(context.Background(), modelStream)
		is.NoErr(err)
		b := m.vms[1]
		b.cycle(is)
		is.Equal(b.account().others[a.name].holding, before)
		is.Equal(len(page.Records), 1)
	})
}

// Guards against a report whose answer was lost and that is written a second time,
// or never.
func TestReportWithoutAnswerIsSentAgain(t *testing.T) {
	for name, mode := range map[string]int{"answer lost": logLoses, "carried out late": logLate} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(is *is.I, m *model) {
				a := m.vms[0]
				m.spendAll(is, a, 1000)
				m.now = m.now.Add(4 * time.Second)
				a.log.mode = mode
				err := a.partition().cycle(context.Background(), false)
				is.True(errors.Is(err, keyedlog.ErrOutcomeUnknown))
				a.log.mode = logServes
				a.cycle(is)
				is.Equal(a.account().logged.Spent, int64(1000))
				before, err := m.memory.Read(context.Background(), modelStream, 0, 0)
				is.NoErr(err)
				for _, carryOut := range m.late {
					carryOut()
				}
				after, err := m.memory.Read(context.Background(), modelStream, 0, 0)
				is.NoErr(err)
				is.Equal(after.End, before.End)
			})
		})
	}
}

// Guards against a process that is shut out for good after the time of day of its VM
// was set back, or that goes on with what it believed before.
func TestClaimAfterTheClockWasSetBack(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spendAll(is, a, 1000)
		m.now = m.now.Add(-5 * time.Hour)
		m.start(a)
		is.True(m.reserve(a, 2000))
		m.check()
	})
}
