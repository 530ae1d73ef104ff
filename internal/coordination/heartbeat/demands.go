package heartbeat

import "time"

// Demand is the demand in the last heartbeat of a live router.
type Demand struct {
	VM string
	// Demand is the value of Record.Demand; nil if there is none.
	Demand []byte
	// Age is the time since the heartbeat was first seen.
	Age time.Duration
}

// Demands returns the demands of the live routers, with this one's if its heartbeat has been read back.
func (m *Monitor) Demands() []Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	out := make([]Demand, 0, len(m.members))
	for vm, member := range m.members {
		out = append(out, Demand{VM: vm, Demand: member.Demand, Age: now.Sub(member.changedAt)})
	}
	return out
}
