package record

// OrderLease makes its holder the only process that sends orders to engines. It is accepted if its epoch is
// one above the newest accepted epoch or, for a reader that missed trimmed records, any higher one. A renewal
// is another lease of the same holder.
type OrderLease struct {
	// Epoch is the fencing token of the holder's orders.
	Epoch  uint64   `cbor:"1,keyasint"`
	Holder HolderID `cbor:"2,keyasint"`
}
