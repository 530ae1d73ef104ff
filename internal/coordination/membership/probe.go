package membership

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// maxConfirmers is the number of routers that probe a suspect immediately, so that a suspicion is confirmed
// soon without a call from each router of the fleet.
const maxConfirmers = 3

// Probe is one heartbeat to send.
type Probe struct {
	VM, Incarnation, Address string
	// eventSeq is the StateMachine.eventSeq of the round.
	eventSeq uint64
	sent     time.Time
}

// SelectProbes returns the members to probe in this round. Each pass over the table probes every member once,
// in a new pseudorandom order. At most half of the probes of a round are priority probes, for example of
// suspects. Members that are gone are still probed, because they may only have been unreachable.
func (m *StateMachine) SelectProbes(now time.Time) []Probe {
	m.eventSeq++
	var chosen []string
	for len(m.priorityProbes) > 0 && len(chosen) < max(1, m.cfg.ProbesPerRound/2) {
		chosen = m.addTarget(chosen, m.priorityProbes[0])
		m.priorityProbes = m.priorityProbes[1:]
	}
	for passes := 0; len(chosen) < m.cfg.ProbesPerRound; {
		if len(m.probeOrder) == 0 {
			if passes++; passes > 1 {
				break
			}
			m.probeOrder = slices.Clone(m.sortedVMs())
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		chosen = m.addTarget(chosen, m.probeOrder[0])
		m.probeOrder = m.probeOrder[1:]
	}
	probes := make([]Probe, 0, len(chosen))
	for _, vm := range chosen {
		e := m.table[vm]
		probes = append(probes, Probe{VM: vm, Incarnation: e.incarnation, Address: e.address, eventSeq: m.eventSeq, sent: now})
	}
	return probes
}

func (m *StateMachine) addTarget(chosen []string, vm string) []string {
	e := m.table[vm]
	if e == nil || e == m.self || e.address == "" || slices.Contains(chosen, vm) {
		return chosen
	}
	return append(chosen, vm)
}

func (m *StateMachine) probeSoon(vm string) {
	if !slices.Contains(m.priorityProbes, vm) {
		m.priorityProbes = append(m.priorityProbes, vm)
	}
}

// HandleProbeFailure processes a probe that got no response.
func (m *StateMachine) HandleProbeFailure(now time.Time, p Probe) {
	e := m.table[p.VM]
	if e == nil || e == m.self || e.incarnation != p.Incarnation || e.gone {
		return
	}
	if now.Sub(e.lastContact) < m.cfg.ContactWindow {
		return
	}
	e.failedProbes++
	if e.failedProbes < failuresToSuspect {
		m.probeSoon(p.VM)
		return
	}
	m.addReporter(now, e, m.self.vm, m.self.vm)
}

// HandleProbeResponse processes the response to a probe. from is the authenticated identity of the process
// that responded.
func (m *StateMachine) HandleProbeResponse(now time.Time, p Probe, from peerapi.Identity, response peerapi.Heartbeat) {
	current := false
	if from.VM == p.VM {
		m.proveReplaced(p, from.Incarnation)
		e := m.table[p.VM]
		current = e != nil && e.incarnation == p.Incarnation
	} else {
		// The address now belongs to another VM.
		m.HandleProbeFailure(now, p)
	}
	m.mergeHeartbeat(now, from, response, current)
	if e := m.table[from.VM]; e != nil && e.incarnation == from.Incarnation {
		e.logReadAt = p.sent.Add(-time.Duration(response.Config.LogReadAgeMillis) * time.Millisecond)
		if response.Config.LogUnreachable {
			e.logDownAt = p.sent
		}
	}
	m.mergeLogDown(p.sent, response)
}

// addReporter adds a VM that failed to reach the member, and starts the suspicion if it is the first. sender
// is the VM that told this router, or this router's own VM.
func (m *StateMachine) addReporter(now time.Time, e *tableEntry, reporter, sender string) {
	if len(e.reporters) == 0 {
		e.reporters, e.senders = make(map[string]bool), make(map[string]bool)
		e.suspectSince = now
	}
	if len(e.senders) < maxReporters {
		e.senders[sender] = true
	}
	if e.reporters[reporter] || len(e.reporters) >= maxReporters {
		return
	}
	e.reporters[reporter] = true
	m.queueChange(e)
	if sender != m.self.vm && !e.reporters[m.self.vm] && m.isConfirmer(e.vm) {
		m.probeSoon(e.vm)
	}
}

// isConfirmer reports whether this router is one of the maxConfirmers alive members with the highest
// rendezvous weights for the suspect. Routers with the same view agree on this set.
func (m *StateMachine) isConfirmer(suspect string) bool {
	target := hashString(suspect)
	weight := func(e *tableEntry) uint64 { return mix(e.vmHash ^ target) }
	own, ahead := weight(m.self), 0
	for vm, e := range m.table {
		if vm != suspect && e.state() == StateAlive && weight(e) > own {
			ahead++
		}
	}
	return ahead < maxConfirmers
}
