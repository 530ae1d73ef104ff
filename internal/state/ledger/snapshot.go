package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrInvalidSnapshot reports an encoded ledger that does not decode or violates an invariant.
var ErrInvalidSnapshot = errors.New("invalid ledger snapshot")

const snapshotVersion = 1

// The stored form of a ledger. Holders are listed once and referred to by index. Lists are sorted, so that
// equal ledgers have equal encodings.
type (
	storedLedger struct {
		_         struct{} `cbor:",toarray"`
		Version   uint64
		Next      uint64
		Rejected  uint64
		Malformed uint64
		Holders   []record.HolderID
		Accounts  []storedAccount
	}
	storedAccount struct {
		_           struct{} `cbor:",toarray"`
		Key         record.EntryKey
		Prepaid     int64
		Free        int64
		ClosedSpent int64
		Removed     bool
		Adjustments []storedAdjustment
		Shares      []storedShare
	}
	storedAdjustment struct {
		_     struct{} `cbor:",toarray"`
		ID    string
		Delta int64
	}
	storedShare struct {
		_         struct{} `cbor:",toarray"`
		Holder    uint32
		Granted   int64
		Spent     int64
		Returned  int64
		GrantSeq  uint64
		SettleSeq uint64
		// ClosedAt is the offset after the Close record, 0 for an open share.
		ClosedAt uint64
	}
)

// Encode returns the deterministic encoding of the ledger.
func (l *Ledger) Encode() ([]byte, error) {
	holders := slices.Sorted(maps.Keys(l.internedHolders))
	index := make(map[record.HolderID]uint32, len(holders))
	for i, h := range holders {
		index[h] = uint32(i)
	}
	out := storedLedger{
		Version: snapshotVersion, Next: l.next, Rejected: l.rejected, Malformed: l.malformed, Holders: holders,
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.accounts), compareKeys) {
		out.Accounts = append(out.Accounts, encodeAccount(key, l.accounts[key], index))
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "encode ledger")
}

func compareKeys(a, b record.EntryKey) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Generation, b.Generation))
}

func encodeAccount(key record.EntryKey, a *Account, index map[record.HolderID]uint32) storedAccount {
	out := storedAccount{Key: key, Prepaid: a.Prepaid, Free: a.Free, ClosedSpent: a.ClosedSpent, Removed: a.Removed}
	for _, id := range slices.Sorted(maps.Keys(a.Adjustments)) {
		out.Adjustments = append(out.Adjustments, storedAdjustment{ID: id, Delta: a.Adjustments[id]})
	}
	for _, h := range slices.Sorted(maps.Keys(a.Shares)) {
		s := a.Shares[h]
		out.Shares = append(out.Shares, storedShare{
			Holder: index[h], Granted: s.Granted, Spent: s.Spent, Returned: s.Returned,
			GrantSeq: s.GrantSeq, SettleSeq: s.SettleSeq, ClosedAt: s.closedAt,
		})
	}
	return out
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode parses an encoded ledger. It rejects a state in which the amounts of an entry do not add up to its
// prepaid amount.
func Decode(data []byte) (*Ledger, error) {
	var in storedLedger
	if err := decMode.Unmarshal(data, &in); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode ledger"), ErrInvalidSnapshot)
	}
	if in.Version != snapshotVersion || in.Next == 0 {
		return nil, errors.Wrap(ErrInvalidSnapshot, "unsupported version or zero offset")
	}
	l := New()
	l.next, l.rejected, l.malformed = in.Next, in.Rejected, in.Malformed
	for _, stored := range in.Accounts {
		if err := l.loadAccount(stored, in.Holders); err != nil {
			return nil, errors.Wrapf(err, "entry %s", stored.Key)
		}
	}
	slices.SortFunc(l.closed, func(a, b closedShare) int { return cmp.Compare(a.offset, b.offset) })
	return l, nil
}

func (l *Ledger) loadAccount(in storedAccount, holders []record.HolderID) error {
	if l.accounts[in.Key] != nil {
		return errors.Wrap(ErrInvalidSnapshot, "duplicate entry")
	}
	a := l.account(in.Key)
	a.Prepaid, a.Free, a.ClosedSpent, a.Removed = in.Prepaid, in.Free, in.ClosedSpent, in.Removed
	if a.Removed {
		a.Adjustments = nil
	}
	for _, adj := range in.Adjustments {
		if a.Removed {
			return errors.Wrap(ErrInvalidSnapshot, "removed entry has adjustments")
		}
		a.Adjustments[adj.ID] = adj.Delta
	}
	for _, s := range in.Shares {
		if int(s.Holder) >= len(holders) || a.Shares[holders[s.Holder]] != nil {
			return errors.Wrap(ErrInvalidSnapshot, "share has an unknown or duplicate holder")
		}
		l.loadShare(a, in.Key, holders[s.Holder], s)
	}
	return a.verify()
}

func (l *Ledger) loadShare(a *Account, key record.EntryKey, holder record.HolderID, in storedShare) {
	s := l.addShare(a, holder)
	s.Granted, s.Spent, s.Returned = in.Granted, in.Spent, in.Returned
	s.GrantSeq, s.SettleSeq = in.GrantSeq, in.SettleSeq
	s.Closed, s.closedAt = in.ClosedAt > 0, in.ClosedAt
	if s.Closed {
		l.closed = append(l.closed, closedShare{offset: s.closedAt, key: key, holder: l.internedHolders[holder].id})
	}
}

// verify returns an error if an invariant of the account is violated.
func (a *Account) verify() error {
	used := a.ClosedSpent
	for _, amount := range []int64{a.Prepaid, a.Free, a.ClosedSpent} {
		if amount < 0 || amount > record.MaxTokens {
			return errors.Wrap(ErrInvalidSnapshot, "account amount is out of range")
		}
	}
	for _, s := range a.Shares {
		inRange := s.Granted >= 0 && s.Granted <= record.MaxTokens && s.Spent >= 0 && s.Returned >= 0
		if !inRange || s.Spent > s.Granted || s.Returned > s.Granted-s.Spent || s.Closed && s.Outstanding() != 0 {
			return errors.Wrap(ErrInvalidSnapshot, "share amounts are out of range")
		}
		if used += s.Granted - s.Returned; used > record.MaxTokens {
			return errors.Wrap(ErrInvalidSnapshot, "sum of the shares is out of range")
		}
	}
	if a.Free+used != a.Prepaid {
		return errors.Wrap(ErrInvalidSnapshot, "free, spent and outstanding tokens do not add up to the prepaid amount")
	}
	return nil
}
