package budget

import (
	"slices"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// OtherHolders returns the other processes that the log shows with an open share, in
// order. The caller finds out which of them have stopped.
func (m *Manager) OtherHolders() []record.HolderID {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := make(map[record.HolderID]bool)
	for _, p := range m.node.parts {
		for _, a := range p.ledger.Accounts {
			for holder, s := range a.Shares {
				if holder != m.cfg.Holder && !s.Closed && s.Outstanding() > 0 {
					open[holder] = true
				}
			}
		}
	}
	holders := make([]record.HolderID, 0, len(open))
	for h := range open {
		holders = append(holders, h)
	}
	slices.Sort(holders)
	return holders
}

// Overspend returns by how many tokens the reported spending of all entries
// exceeds what was prepaid. It is 0 unless the fold has a defect.
func (m *Manager) Overspend() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum int64
	for _, p := range m.node.parts {
		for _, a := range p.ledger.Accounts {
			sum += max(0, a.Spent()-a.Prepaid)
		}
	}
	return sum
}

// InFlightRequests returns the requests in flight of a holder that this process knows
// of, for the caller to ask the upstreams about before it reports the holder dead.
func (m *Manager) InFlightRequests(holder record.HolderID) []InFlightRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.InFlightRequests(holder)
}

// LedgerSnapshot returns the fold of a partition for its snapshot stream.
func (m *Manager) LedgerSnapshot(p int) (snapshot.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.node.parts[p].ledger
	data, err := l.Encode()
	return snapshot.Snapshot{Next: l.Next(), Data: data}, err
}

// NextLedgerOffset returns the offset of the next record of a partition to fold.
func (m *Manager) NextLedgerOffset(p int) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.parts[p].ledger.Next()
}

// Backup returns the peer whose copies of this process's reservations are
// complete, or "". Without one the whole outstanding share stays counted as
// spent if this process dies.
func (m *Manager) Backup() record.HolderID {
	c := m.node.copies
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.guarded || c.acked < c.queued {
		return ""
	}
	return c.declared
}
