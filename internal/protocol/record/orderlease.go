package record

// OrderLease makes its holder the one that gives orders to the engines. It is
// accepted if the epoch is one above the newest accepted one; a renewal is
// another lease of the same holder.
type OrderLease struct {
	// Epoch is the fencing number of the holder's orders.
	Epoch  uint64   `cbor:"1,keyasint"`
	Holder HolderID `cbor:"2,keyasint"`
}
