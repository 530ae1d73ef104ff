package membership

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// maxConfirmers is the number of nodes that probe a suspect at once, so that a
// suspicion is confirmed soon without a call from each node of the fleet.
const maxConfirmers = 3

// Probe is one heartbeat to send.
type Probe struct {
	VM, Incarnation, Address string
	event                    uint64
	sent                     time.Time
}

// Probes returns the members to probe in this round. Members take turns in a
// pseudorandom order that is drawn again after each turn, so every member is
// probed once in a turn. At most half of a round goes to suspects. Members that
// are gone stay in the order, because they may only have been cut off.
func (m *Machine) Probes(now time.Time) []Probe {
	m.event++
	var chosen []string
	for len(m.urgent) > 0 && len(chosen) < max(1, m.cfg.Probes/2) {
		chosen = m.choose(chosen, m.urgent[0])
		m.urgent = m.urgent[1:]
	}
	for turns := 0; len(chosen) < m.cfg.Probes; {
		if len(m.order) == 0 {
			if turns++; turns > 1 {
				break
			}
			m.order = slices.Clone(m.sortedVMs())
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		chosen = m.choose(chosen, m.order[0])
		m.order = m.order[1:]
	}
	probes := make([]Probe, 0, len(chosen))
	for _, vm := range chosen {
		e := m.table[vm]
		probes = append(probes, Probe{VM: vm, Incarnation: e.id, Address: e.address, event: m.event, sent: now})
	}
	return probes
}

func (m *Machine) choose(chosen []string, vm string) []string {
	e := m.table[vm]
	if e == nil || e == m.self || e.address == "" || slices.Contains(chosen, vm) {
		return chosen
	}
	return append(chosen, vm)
}

func (m *Machine) hurry(vm string) {
	if !slices.Contains(m.urgent, vm) {
		m.urgent = append(m.urgent, vm)
	}
}

// Failed takes a probe that got no answer.
func (m *Machine) Failed(now time.Time, p Probe) {
	e := m.table[p.VM]
	if e == nil || e == m.self || e.id != p.Incarnation || e.gone {
		return
	}
	if now.Sub(e.heard) < m.cfg.HeardWindow {
		return
	}
	e.failures++
	if e.failures < failuresToSuspect {
		m.hurry(p.VM)
		return
	}
	m.report(now, e, m.self.vm, m.self.vm)
}

// Answered takes the answer to a probe and the identity that the connection
// was authenticated with.
func (m *Machine) Answered(now time.Time, p Probe, from peerapi.Identity, answer peerapi.Heartbeat) {
	current := false
	if from.VM == p.VM {
		m.proveReplaced(p, from.Incarnation)
		e := m.table[p.VM]
		current = e != nil && e.id == p.Incarnation
	} else {
		// The address now belongs to another VM.
		m.Failed(now, p)
	}
	m.take(now, from, answer, current)
	if e := m.table[from.VM]; e != nil && e.id == from.Incarnation {
		e.logHeardAt = p.sent.Add(-time.Duration(answer.Config.HeardMillis) * time.Millisecond)
		if answer.Config.LogUnreachable {
			e.logDownAt = p.sent
		}
	}
	m.takeLogDown(p.sent, answer)
}

// report adds a reporter to a suspicion. The sender is who told this node.
func (m *Machine) report(now time.Time, e *entry, reporter, sender string) {
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
	m.announce(e)
	if sender != m.self.vm && !e.reporters[m.self.vm] && m.isConfirmer(e.vm) {
		m.hurry(e.vm)
	}
}

// isConfirmer reports whether this node is among the first by rendezvous weight
// for the suspect, which is the same set on every node.
func (m *Machine) isConfirmer(suspect string) bool {
	target := hashString(suspect)
	weight := func(e *entry) uint64 { return mix(e.vmHash ^ target) }
	own, ahead := weight(m.self), 0
	for vm, e := range m.table {
		if vm != suspect && e.state() == StateAlive && weight(e) > own {
			ahead++
		}
	}
	return ahead < maxConfirmers
}
