package budget

import (
	"context"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Methods between routers.
const (
	MethodReserve = peerapi.MethodReserve
	MethodSettle  = peerapi.MethodSettle
	MethodAcquire = peerapi.MethodAcquire
	MethodJournal = peerapi.MethodJournal
	MethodReturn  = peerapi.MethodReturn
)

// Peers is the budget module's view of the other routers. Calls may fail after
// they took effect; every method is safe to repeat.
type Peers interface {
	// Home returns the home of a partition in this node's region, or "".
	Home(partition int) record.HolderID
	// Backup returns the peer that should keep this node's reservation copies, or "".
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
	// ShareOnly asks for what the peer has at hand, without the log.
	ShareOnly bool `json:"share_only,omitempty"`
}

// ReserveResult is the answer to ReserveParams.
type ReserveResult struct {
	Reserved bool `json:"reserved"`
	// Exhausted means that the peer proved it after the call arrived.
	Exhausted bool `json:"exhausted,omitempty"`
}

// SettleParams ends a reservation at a peer. A nil Bill releases it.
type SettleParams struct {
	From      record.HolderID `json:"from"`
	RequestID string          `json:"request_id"`
	Bill      *record.Bill    `json:"bill,omitempty"`
}

// AcquireParams asks the home to append the caller's own grants and settles
// with its batch.
type AcquireParams struct {
	From      record.HolderID `json:"from"`
	Partition int             `json:"partition"`
	Items     []record.Item   `json:"items"`
}

// AcquireResult holds the offset of the append. The caller reads it back.
type AcquireResult struct {
	Offset uint64 `json:"offset"`
}

// ReturnParams asks a holder to give back what it has not reserved.
type ReturnParams struct {
	Entry record.EntryKey `json:"entry"`
}

// ReturnResult holds the counters of the holder's share after the return.
type ReturnResult struct {
	Counters share.Counters `json:"counters"`
}
