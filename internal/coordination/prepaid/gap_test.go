package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve reserves and settles requests at a VM, each 120 tokens and 100 ms after the one before, with a heartbeat and a sync
// after each.
func (m *model) serve(is *is.I, vm *modelVM, duration time.Duration) {
	is.Helper()
	const amount, interval = 120, 100 * time.Millisecond
	for range int(duration / interval) {
		is.True(m.reserveAndWait(vm, amount))
		vm.m.endReservation(reservationOf(amount), amount)
		m.spent += amount
		m.now = m.now.Add(interval)
		vm.sendHeartbeat(heartbeatAppended)
		vm.sync(is)
	}
}

// Guards against a successor that counts less as spent than its predecessor has used while the log turned it away in one way
// and then in another (review/12): heartbeats that had no effect must not let the process use more.
func TestSuccessorCountsGapsWithoutHeartbeats(t *testing.T) {
	const attemptInterval = 200 * time.Millisecond
	type phase struct {
		outcome  int
		duration time.Duration
	}
	for name, phases := range map[string][]phase{
		"refused, then no response": {{heartbeatRefused, 2200 * time.Millisecond}, {heartbeatDelayed, 2200 * time.Millisecond}},
		"refused again and again":   {{heartbeatRefused, 4400 * time.Millisecond}},
		"no response":               {{heartbeatDelayed, 4400 * time.Millisecond}},
		"no response, then refused": {{heartbeatDelayed, 2200 * time.Millisecond}, {heartbeatRefused, 2200 * time.Millisecond}},
		"late first attempt": {
			{heartbeatRefused, 2200 * time.Millisecond}, {heartbeatDelayed, 1200 * time.Millisecond}, {heartbeatResponseLost, time.Second},
		},
		"two gaps with a heartbeat between": {
			{heartbeatRefused, 2200 * time.Millisecond}, {heartbeatAppended, attemptInterval}, {heartbeatRefused, time.Second},
			{heartbeatDelayed, 2200 * time.Millisecond},
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(is *is.I, m *model) {
				vm := m.vms[0]
				m.serve(is, vm, 5*time.Second)
				for _, p := range phases {
					for range int(p.duration / attemptInterval) {
						m.now = m.now.Add(attemptInterval)
						m.reserveAvailable(vm)
						vm.sendHeartbeat(p.outcome)
					}
				}
				m.reserveAvailable(vm)
				used, share := vm.account().shareUsed(), vm.account().logged
				is.True(used > share.BaseLimit && used < share.Granted) // or a gap would not matter
				m.crash(vm)
				vm.sync(is)
				counted := vm.account().priorUsage
				t.Logf("%d tokens were used and %d count as spent, of %d granted", used, counted, share.Granted)
				is.True(counted >= used)
			})
		})
	}
}

// Guards against usage that a heartbeat leaves out although a record without a response may have lowered the base limit below it:
// a successor that finds the record counts too little as spent.
func TestHeartbeatReportsUsageAboveUnresolvedBaseLimit(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		vm := m.vms[0]
		m.serve(is, vm, 5*time.Second)
		is.True(m.reserve(vm, 2000))
		before := vm.account().logged.BaseLimit
		vm.m.Release(vm.reservations[0])
		vm.reservations = nil
		vm.log.mode = logLosesResponses
		is.True(vm.partition().sync(context.Background(), false) != nil)
		is.True(vm.account().limits.base < before)
		m.now = m.now.Add(time.Second)
		m.reserveAvailable(vm)
		used := vm.account().shareUsed()
		is.True(used > vm.account().limits.base && used <= before)
		vm.sendHeartbeat(heartbeatAppended)
		m.crash(vm)
		vm.log.mode = logUp
		vm.sync(is)
		t.Logf("%d tokens were used and %d count as spent", used, vm.account().priorUsage)
		is.True(vm.account().priorUsage >= used)
	})
}
