package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// spend reserves an amount and spends all of it.
func (m *model) spend(is *is.I, vm *modelVM, amount int64) {
	is.Helper()
	is.True(m.reserve(vm, amount))
	vm.m.Settle(vm.reservations[0], settlementOf(amount))
	vm.reservations = vm.reservations[1:]
	m.spent += amount
}

// Guards against reports that fail because other VMs append all the time. With a slow log, other
// VMs often append between a read and a conditional append.
func TestReportsDoNotConflict(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spend(is, a, 1000)
		m.memory.FaultHook = func(call string, s keyedlog.Stream, done bool) error {
			if call == "append" && !done {
				// The value is an empty CBOR map.
				m.memory.AppendUnconditionally(s, keyedlog.Record{Key: modelEntry + keySeparator + "vm-9", Value: []byte{0xa0}})
			}
			return nil
		}
		m.now = m.now.Add(4 * time.Second) // longer than Policy.MaxReportDelay
		a.sync(is)
		is.Equal(a.account().logged.Spent, int64(1000))
		m.memory.FaultHook = nil
	})
}

// Guards against a report of a terminated process that takes effect after its successor has read
// the log: it would overwrite what the successor has appended.
func TestLateReportOfEarlierProcessIsFenced(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spend(is, a, 1000)
		m.now = m.now.Add(4 * time.Second) // longer than Policy.MaxReportDelay
		a.log.mode = logDelaysAppends
		is.True(a.partition().sync(context.Background(), false) != nil)
		is.Equal(len(m.lateAppends), 1)
		a.log.mode = logUp
		m.start(a)
		is.True(m.reserve(a, 2000))
		before := a.account().logged
		m.lateAppends[0]()
		page, err := m.memory.Newest(context.Background(), modelStream)
		is.NoErr(err)
		b := m.vms[1]
		b.sync(is)
		is.Equal(b.account().others[a.name].shareRecord, before)
		is.Equal(len(page.Records), 1)
	})
}

// Guards against a report whose response was lost and that is appended twice, or never.
func TestReportWithUnknownOutcomeIsSentAgain(t *testing.T) {
	for name, mode := range map[string]int{"response lost": logLosesResponses, "takes effect late": logDelaysAppends} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(is *is.I, m *model) {
				a := m.vms[0]
				m.spend(is, a, 1000)
				m.now = m.now.Add(4 * time.Second) // longer than Policy.MaxReportDelay
				a.log.mode = mode
				err := a.partition().sync(context.Background(), false)
				is.True(errors.Is(err, keyedlog.ErrOutcomeUnknown))
				a.log.mode = logUp
				a.sync(is)
				is.Equal(a.account().logged.Spent, int64(1000))
				before, err := m.memory.Read(context.Background(), modelStream, 0, 0)
				is.NoErr(err)
				for _, appendNow := range m.lateAppends {
					appendNow()
				}
				after, err := m.memory.Read(context.Background(), modelStream, 0, 0)
				is.NoErr(err)
				is.Equal(after.End, before.End)
			})
		})
	}
}

// Guards against a process that stays fenced, or continues with a stale state, after the time of
// day of its VM was set back.
func TestEpochAfterClockWasSetBack(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		a := m.vms[0]
		m.spend(is, a, 1000)
		m.now = m.now.Add(-5 * time.Hour)
		m.start(a)
		is.True(m.reserve(a, 2000))
		m.check()
	})
}
