package record

import (
	"fmt"
	"hash/fnv"
)

// ConfigStream contains the operators' configuration updates.
const ConfigStream = "config"

// ConfigSnapshotStream contains the snapshots of the configuration.
const ConfigSnapshotStream = "config-snap"

// MembersStream contains the backup declarations of each incarnation.
const MembersStream = "members"

// OrdersStream contains the leases of the process that sends orders to engines.
const OrdersStream = "orders"

// Partition maps an entry name to one of n partitions. The mapping must be the same on every node for as long
// as the streams exist.
func Partition(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// LedgerStream returns the name of the stream with the budget records of a partition.
func LedgerStream(p int) string { return fmt.Sprintf("ledger-%d", p) }

// LedgerSnapshotStream returns the name of the stream with the snapshots of a partition's ledger.
func LedgerSnapshotStream(p int) string { return fmt.Sprintf("ledger-%d-snap", p) }

// BillStream returns the name of the stream with the bills of a partition.
func BillStream(p int) string { return fmt.Sprintf("bills-%d", p) }

// ClaimStream returns the name of the stream with the claims of a partition.
func ClaimStream(p int) string { return fmt.Sprintf("claims-%d", p) }

// ClaimSnapshotStream returns the name of the stream with the snapshots of a partition's claims.
func ClaimSnapshotStream(p int) string { return fmt.Sprintf("claims-%d-snap", p) }
