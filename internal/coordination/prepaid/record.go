package prepaid

import "time"

// shareRecord is a VM's record of its share of one budget. All amounts are in tokens and cover the
// whole life of the budget.
type shareRecord struct {
	// Process is the process that wrote the record.
	Process string `cbor:"1,keyasint"`
	Granted int64  `cbor:"2,keyasint"`
	// Spent includes Stranded.
	Spent int64 `cbor:"3,keyasint"`
	// InFlight is the sum of the upper bounds of the running requests.
	InFlight int64 `cbor:"4,keyasint,omitempty"`
	// Stranded is what earlier processes of the VM were granted and did not report as spent.
	Stranded int64 `cbor:"5,keyasint,omitempty"`
	// Demand is in tokens per second.
	Demand int64 `cbor:"6,keyasint,omitempty"`
	// BaseLimit is how much of Granted may be used without a heartbeat gap, and RampRate the tokens
	// per second that a gap adds to it.
	BaseLimit int64 `cbor:"7,keyasint"`
	RampRate  int64 `cbor:"10,keyasint,omitempty"`
	// Lent is the part of Spent that was lent to other VMs, and BorrowedSpent what requests at this VM have spent
	// of its loans from others. Both include the loans of earlier processes of the VM.
	Lent          int64 `cbor:"8,keyasint,omitempty"`
	BorrowedSpent int64 `cbor:"9,keyasint,omitempty"`
	// Era is one more than the era of the log in which the record was written, and 0 in records of routers that did
	// not state it. Revision numbers the records of the process.
	Era      uint64 `cbor:"11,keyasint,omitempty"`
	Revision uint64 `cbor:"12,keyasint,omitempty"`
	// Releasable is true while part of Stranded may still turn out not to be spent.
	Releasable bool `cbor:"13,keyasint,omitempty"`
	// Held is what the process has borrowed and neither spent nor reserved.
	Held int64 `cbor:"14,keyasint,omitempty"`
}

// outdated reports whether the log was restored from an older copy after the record was written. The copy may lack later
// records of its VM.
func (r shareRecord) outdated(era uint64) bool { return r.Era != 0 && r.Era <= era }

// MaxRecordTokens bounds the amounts of a record, so that sums over the records of a fleet do not overflow. A budget must not
// be larger.
const MaxRecordTokens = 1 << 50

// valid reports whether a router can have written the record. A negative share would make room for others that exceed the
// budget.
func (r shareRecord) valid() bool {
	for _, n := range [...]int64{
		r.Granted, r.Spent, r.InFlight, r.Stranded, r.Demand, r.BaseLimit, r.RampRate, r.Lent, r.BorrowedSpent, r.Held,
	} {
		if n < 0 || n > MaxRecordTokens {
			return false
		}
	}
	return true
}

// before reports whether another record of the VM was written later. The IDs of a VM's processes are in the order of
// their starts.
func (r shareRecord) before(other shareRecord) bool {
	return r.Process < other.Process || r.Process == other.Process && r.Revision < other.Revision
}

// spentByRequests is what requests at the VM of the record have spent of the budget, as reported. Loans count at the
// borrower.
func (r shareRecord) spentByRequests() int64 { return r.Spent - r.Stranded - r.Lent + r.BorrowedSpent }

// headroom is the part of the share that was neither spent nor reserved when the record was made.
func (r shareRecord) headroom() int64 { return r.Granted - r.Spent - r.InFlight }

// peerRecord is a record of another VM and when it was read.
type peerRecord struct {
	shareRecord
	readAt time.Time
	// offset is where it was read.
	offset uint64
}
