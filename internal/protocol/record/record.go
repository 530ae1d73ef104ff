// Package record defines the batches of items that routers store in their streams of the platform's log, the
// names of the streams, and the CBOR encoding.
//
// One record of the log contains one Batch. Field numbers are part of the stored format and are never reused.
package record

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the version of the batch encoding.
const formatVersion = 1

// maxBatchItems bounds the memory that a decoder allocates for one batch.
const maxBatchItems = 65536

// ErrMalformed reports a batch that does not decode, or an item that fails Check.
var ErrMalformed = errors.New("malformed record batch")

// EntryKey identifies one generation of a catalogue entry: an entry that is removed and created again under
// the same name gets a new generation. Name and Generation are also JSON keys between routers.
type EntryKey struct {
	_ struct{} `cbor:",toarray"`
	// Name is the entry's name in the catalogue.
	Name string
	// Generation is the configuration version that created the entry.
	Generation uint64
}

// String returns the key as name@generation.
func (k EntryKey) String() string { return fmt.Sprintf("%s@%d", k.Name, k.Generation) }

// HolderID identifies one process incarnation on one VM, as "vm/incarnation".
type HolderID string

// Adjust changes the prepaid amount of an entry. Only the first Adjust with an ID takes effect for an entry.
type Adjust struct {
	Entry EntryKey `cbor:"1,keyasint"`
	ID    string   `cbor:"2,keyasint"`
	// Delta is in tokens. A negative delta is limited to the free budget.
	Delta int64 `cbor:"3,keyasint"`
	// Author is the operator who requested the change.
	Author string `cbor:"4,keyasint,omitempty"`
}

// Grant requests a share of the entry's free budget for a holder.
type Grant struct {
	Entry  EntryKey `cbor:"1,keyasint"`
	Holder HolderID `cbor:"2,keyasint"`
	// Seq increases with each grant of this holder for this entry.
	Seq uint64 `cbor:"3,keyasint"`
	// Amount is in tokens. The ledger grants min(Amount, free budget).
	Amount int64 `cbor:"4,keyasint"`
}

// Settle reports a holder's cumulative counters for an entry.
type Settle struct {
	Entry  EntryKey `cbor:"1,keyasint"`
	Holder HolderID `cbor:"2,keyasint"`
	// Seq increases with each settle of this holder for this entry.
	Seq uint64 `cbor:"3,keyasint"`
	// Spent is the total of all bills charged to the holder's share, in tokens.
	Spent int64 `cbor:"4,keyasint"`
	// Returned is the total that the holder has returned unspent, in tokens.
	Returned int64 `cbor:"5,keyasint"`
}

// Close ends the share of a holder that can no longer send requests. Tokens that it has neither spent nor
// returned become free.
type Close struct {
	Entry  EntryKey `cbor:"1,keyasint"`
	Holder HolderID `cbor:"2,keyasint"`
	// Spent is the final total charged to the holder's share, in tokens.
	Spent int64 `cbor:"3,keyasint"`
}

// Remove marks the entry as removed from the catalogue. Grants after it are rejected.
type Remove struct {
	Entry EntryKey `cbor:"1,keyasint"`
}

// Bill is the charge for one request. Readers count only the first bill of a request ID.
type Bill struct {
	RequestID string   `cbor:"1,keyasint" json:"request_id"`
	Entry     EntryKey `cbor:"2,keyasint" json:"entry"`
	Holder    HolderID `cbor:"3,keyasint" json:"holder"`
	// Target is the model or the service that ran the request.
	Target       string `cbor:"4,keyasint" json:"target"`
	InputTokens  int64  `cbor:"5,keyasint" json:"input_tokens"`
	OutputTokens int64  `cbor:"6,keyasint" json:"output_tokens"`
	// Charged is the amount charged to the budget, in tokens.
	Charged int64 `cbor:"7,keyasint" json:"charged"`
	// UnixMilli is the time at which the router billed the request.
	UnixMilli int64  `cbor:"8,keyasint" json:"unix_milli"`
	Outcome   string `cbor:"9,keyasint" json:"outcome"`
}

// Claim reserves the right to run a non-idempotent request. The first claim of an entry and key in stream
// order wins.
type Claim struct {
	Entry EntryKey `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// BodyHash covers the entry name, method, URI and body of the request.
	BodyHash  []byte   `cbor:"3,keyasint"`
	RequestID string   `cbor:"4,keyasint"`
	Holder    HolderID `cbor:"5,keyasint"`
	UnixMilli int64    `cbor:"6,keyasint"`
	// Token distinguishes two attempts with the same request ID, so that at most one of them dispatches the
	// request. Package claim sets it.
	Token string `cbor:"7,keyasint,omitempty"`
}

// Release revokes a claim whose request was refused without running, so that the key can be used again. Only
// the router that placed the claim appends it, after it has stopped using the claim's token.
type Release struct {
	Entry EntryKey `cbor:"1,keyasint"`
	Key   string   `cbor:"2,keyasint"`
	Token string   `cbor:"3,keyasint"`
}

// Backup declares, on the members stream, which process keeps the replica of a holder's reservations. An
// empty Backup field means that no process does.
type Backup struct {
	Holder HolderID `cbor:"1,keyasint"`
	Backup HolderID `cbor:"2,keyasint,omitempty"`
	// Epoch increases with each declaration of the holder.
	Epoch uint64 `cbor:"3,keyasint"`
}

// Item is one item of a batch, as a union: exactly one field is set.
type Item struct {
	Adjust  *Adjust  `cbor:"1,keyasint,omitempty"`
	Grant   *Grant   `cbor:"2,keyasint,omitempty"`
	Settle  *Settle  `cbor:"3,keyasint,omitempty"`
	Close   *Close   `cbor:"4,keyasint,omitempty"`
	Remove  *Remove  `cbor:"5,keyasint,omitempty"`
	Bill    *Bill    `cbor:"6,keyasint,omitempty"`
	Claim   *Claim   `cbor:"7,keyasint,omitempty"`
	Release *Release `cbor:"8,keyasint,omitempty"`
	Backup  *Backup  `cbor:"9,keyasint,omitempty"`
	// OrderLease is used only on the orders stream.
	OrderLease *OrderLease `cbor:"10,keyasint,omitempty"`
}

// Batch is the content of one record of the log.
type Batch struct {
	Version uint64 `cbor:"1,keyasint"`
	Items   []Item `cbor:"2,keyasint"`
}

// decMode rejects duplicate map keys, oversized arrays, deep nesting and items of indefinite length.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxBatchItems,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the stored format of a batch of items.
func Encode(items []Item) ([]byte, error) {
	data, err := cbor.Marshal(Batch{Version: formatVersion, Items: items})
	return data, errors.Wrap(err, "encode batch")
}

// rawBatch is a Batch whose items are decoded one by one.
type rawBatch struct {
	Version uint64            `cbor:"1,keyasint"`
	Items   []cbor.RawMessage `cbor:"2,keyasint"`
}

// Decode decodes one record of the log. It skips items that do not decode or that fail Check, and counts them
// in skipped. So a reader continues after an invalid item and after a kind of item that only newer writers
// know. Readers of the same version skip the same items.
func Decode(data []byte) (items []Item, skipped int, err error) {
	var batch Batch
	if err := decMode.Unmarshal(data, &batch); err != nil {
		batch, skipped, err = decodeEach(data)
		if err != nil {
			return nil, 0, errors.Mark(errors.Wrap(err, "decode batch"), ErrMalformed)
		}
	}
	if batch.Version != formatVersion {
		return nil, 0, errors.Mark(errors.Newf("batch version %d is not supported", batch.Version), ErrMalformed)
	}
	items = batch.Items[:0]
	for _, item := range batch.Items {
		if item.Check() != nil {
			skipped++
			continue
		}
		items = append(items, item)
	}
	return items, skipped, nil
}

// decodeEach decodes the items of a batch one by one and skips those that do not decode.
func decodeEach(data []byte) (batch Batch, skipped int, err error) {
	var raw rawBatch
	if err := decMode.Unmarshal(data, &raw); err != nil {
		return Batch{}, 0, err
	}
	batch.Version = raw.Version
	for _, part := range raw.Items {
		var item Item
		if decMode.Unmarshal(part, &item) != nil {
			skipped++
			continue
		}
		batch.Items = append(batch.Items, item)
	}
	return batch, skipped, nil
}

// countSetFields returns the number of fields that are set, which is 1 for a valid item.
func (i Item) countSetFields() int {
	n := 0
	for _, set := range []bool{
		i.Adjust != nil, i.Grant != nil, i.Settle != nil, i.Close != nil,
		i.Remove != nil, i.Bill != nil, i.Claim != nil, i.Release != nil, i.Backup != nil, i.OrderLease != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
