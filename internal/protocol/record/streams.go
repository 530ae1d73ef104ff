package record

import (
	"fmt"
	"hash/fnv"
)

// ConfigStream carries the operators' publishes.
const ConfigStream = "config"

// ConfigSnapshotStream carries the snapshots of the configuration.
const ConfigSnapshotStream = "config-snap"

// MembersStream carries each incarnation's backup peer.
const MembersStream = "members"

// OrdersStream carries the leases of the engine order holder.
const OrdersStream = "orders"

// Partition returns the partition of an entry name among n partitions. It must
// be the same on every node for as long as the streams live.
func Partition(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// LedgerStream names the stream with the budget records of a partition.
func LedgerStream(p int) string { return fmt.Sprintf("ledger-%d", p) }

// LedgerSnapshotStream names the stream with the snapshots of a partition's ledger.
func LedgerSnapshotStream(p int) string { return fmt.Sprintf("ledger-%d-snap", p) }

// BillStream names the stream with the bills of a partition.
func BillStream(p int) string { return fmt.Sprintf("bills-%d", p) }

// ClaimStream names the stream with the claims of a partition.
func ClaimStream(p int) string { return fmt.Sprintf("claims-%d", p) }

// ClaimSnapshotStream names the stream with the snapshots of a partition's claims.
func ClaimSnapshotStream(p int) string { return fmt.Sprintf("claims-%d-snap", p) }
