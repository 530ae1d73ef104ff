package budget

import (
	"context"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Methods of the peer API.
const (
	MethodReserve = peerapi.MethodReserve
	MethodSettle  = peerapi.MethodSettle
	MethodAcquire = peerapi.MethodAcquire
	MethodJournal = peerapi.MethodJournal
	MethodReturn  = peerapi.MethodReturn
)

// Peers calls the other routers. A call may fail after it took effect; every method is safe to repeat.
type Peers interface {
	// Home returns the home of a partition in this node's region, or "".
	Home(partition int) record.HolderID
	// Backup returns the peer that should keep the replica of this node's reservations, or "".
	Backup() record.HolderID
	Reserve(ctx context.Context, to record.HolderID, p ReserveParams) (ReserveResult, error)
	Settle(ctx context.Context, to record.HolderID, p SettleParams) error
	Acquire(ctx context.Context, to record.HolderID, p AcquireParams) (AcquireResult, error)
	Journal(ctx context.Context, to record.HolderID, p JournalBatch) error
	Return(ctx context.Context, to record.HolderID, p ReturnParams) (ReturnResult, error)
}

// ReserveParams asks a peer to reserve from its own share.
type ReserveParams struct {
	From      record.HolderID `json:"from"`
	RequestID string          `json:"request_id"`
	Entry     record.EntryKey `json:"entry"`
	Class     catalogue.Class `json:"class"`
	Amount    int64           `json:"amount"`
	// ShareOnly allows only the peer's current share, without the log.
	ShareOnly bool `json:"share_only,omitempty"`
}

// ReserveResult is the response to ReserveParams.
type ReserveResult struct {
	Reserved bool `json:"reserved"`
	// Exhausted means that the peer proved the budget to be exhausted after the call arrived.
	Exhausted bool `json:"exhausted,omitempty"`
}

// SettleParams ends a reservation at a peer. A nil Bill releases it.
type SettleParams struct {
	From      record.HolderID `json:"from"`
	RequestID string          `json:"request_id"`
	Bill      *record.Bill    `json:"bill,omitempty"`
}

// AcquireParams asks the home to append the calling router's own grants and settles with its batch.
type AcquireParams struct {
	From      record.HolderID `json:"from"`
	Partition int             `json:"partition"`
	Items     []record.Item   `json:"items"`
}

// AcquireResult holds the offset of the append. The calling router learns the result when it reads the stream.
type AcquireResult struct {
	Offset uint64 `json:"offset"`
}

// ReturnParams asks a holder to return what it has not reserved.
type ReturnParams struct {
	Entry record.EntryKey `json:"entry"`
}

// ReturnResult holds the counters of the holder's share after the return.
type ReturnResult struct {
	Counters share.Counters `json:"counters"`
}
