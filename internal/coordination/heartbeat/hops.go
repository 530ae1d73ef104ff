package heartbeat

// SetHopAddress sets Record.HopAddress of the next heartbeats.
func (m *Monitor) SetHopAddress(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Self.HopAddress = address
}

// HopAddresses returns the records of the other live routers that accept requests of others, by VM.
func (m *Monitor) HopAddresses() map[string]Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Record, len(m.members))
	for vm, other := range m.members {
		if vm != m.cfg.VM && other.HopAddress != "" {
			out[vm] = other.Record
		}
	}
	return out
}
