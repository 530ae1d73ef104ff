package budget

import (
	"slices"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// OtherHolders returns the other processes that have an open share in the ledger, sorted. The caller
// determines which of them have terminated.
func (m *Manager) OtherHolders() []record.HolderID {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := make(map[record.HolderID]bool)
	for _, p := range m.node.partitions {
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

// Overspend returns by how many tokens the reported spending of all entries exceeds their prepaid amounts. It
// is 0 unless the ledger has a defect.
func (m *Manager) Overspend() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum int64
	for _, p := range m.node.partitions {
		for _, a := range p.ledger.Accounts {
			sum += max(0, a.Spent()-a.Prepaid)
		}
	}
	return sum
}

// InFlightRequests returns the requests in flight of a holder that this process knows of. The caller asks the
// upstreams about them before it reports the holder as terminated.
func (m *Manager) InFlightRequests(holder record.HolderID) []InFlightRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.InFlightRequests(holder)
}

// LedgerSnapshot returns the ledger of a partition for its snapshot stream.
func (m *Manager) LedgerSnapshot(p int) (snapshot.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.node.partitions[p].ledger
	data, err := l.Encode()
	return snapshot.Snapshot{Next: l.Next(), Data: data}, err
}

// NextLedgerOffset returns the offset of the next record to apply to the ledger of a partition.
func (m *Manager) NextLedgerOffset(p int) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.partitions[p].ledger.Next()
}

// Backup returns the peer whose replica of this process's reservations is complete, or "". Without one, the
// whole outstanding share counts as spent after this process has terminated without a graceful stop.
func (m *Manager) Backup() record.HolderID {
	j := m.node.journal
	j.mu.RLock()
	defer j.mu.RUnlock()
	if !j.replicating || j.ackedOps < j.queuedOps {
		return ""
	}
	return j.declared
}
