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

// Partition maps an entry name to one of n partitions. The mapping must be the same on every router for as
// long as the streams exist.
func Partition(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// LedgerStream returns the name of the stream with the Adjust, Grant, Settle, Close and Remove items of a
// partition.
func LedgerStream(partition int) string { return fmt.Sprintf("ledger-%d", partition) }

// LedgerSnapshotStream returns the name of the stream with the snapshots of a partition's ledger.
func LedgerSnapshotStream(partition int) string { return fmt.Sprintf("ledger-%d-snap", partition) }

// BillStream returns the name of the stream with the bills of a partition.
func BillStream(partition int) string { return fmt.Sprintf("bills-%d", partition) }

// ClaimStream returns the name of the stream with the Claim and Release items of a partition. Claims have
// their own number of partitions.
func ClaimStream(partition int) string { return fmt.Sprintf("claims-%d", partition) }

// ClaimSnapshotStream returns the name of the stream with the snapshots of a partition's claims.
func ClaimSnapshotStream(partition int) string { return fmt.Sprintf("claims-%d-snap", partition) }
