package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrBadSnapshot reports an encoded ledger that does not decode or breaks an
// invariant of the fold.
var ErrBadSnapshot = errors.New("bad ledger snapshot")

const snapshotVersion = 1

// The stored form of a ledger. Holders are listed once and referred to by
// index. Lists are sorted, so that equal ledgers have equal encodings.
type (
	storedLedger struct {
		_         struct{} `cbor:",toarray"`
		Version   uint64
		Next      uint64
		Ignored   uint64
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
		Adjustments []storedAdjust
		Shares      []storedShare
	}
	storedAdjust struct {
		_     struct{} `cbor:",toarray"`
		ID    string
		Taken int64
	}
	storedShare struct {
		_         struct{} `cbor:",toarray"`
		Holder    uint32
		Granted   int64
		Spent     int64
		Returned  int64
		GrantSeq  uint64
		SettleSeq uint64
		// ClosedAt is the offset after the Close, 0 for an open share.
		ClosedAt uint64
	}
)

// Encode returns the deterministic encoding of the ledger.
func (l *Ledger) Encode() ([]byte, error) {
	holders := slices.Sorted(maps.Keys(l.holders))
	index := make(map[record.HolderID]uint32, len(holders))
	for i, h := range holders {
		index[h] = uint32(i)
	}
	out := storedLedger{
		Version: snapshotVersion, Next: l.next, Ignored: l.ignored, Malformed: l.malformed, Holders: holders,
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.accounts), compareKeys) {
		out.Accounts = append(out.Accounts, storeAccount(key, l.accounts[key], index))
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "encode ledger")
}

func compareKeys(a, b record.EntryKey) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Generation, b.Generation))
}

func storeAccount(key record.EntryKey, a *Account, index map[record.HolderID]uint32) storedAccount {
	out := storedAccount{Key: key, Prepaid: a.Prepaid, Free: a.Free, ClosedSpent: a.ClosedSpent, Removed: a.Removed}
	for _, id := range slices.Sorted(maps.Keys(a.Adjustments)) {
		out.Adjustments = append(out.Adjustments, storedAdjust{ID: id, Taken: a.Adjustments[id]})
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

var snapshotDecMode = mustSnapshotDecMode()

func mustSnapshotDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode returns the ledger of an encoding. It refuses a state in which the
// figures of an entry do not add up to its prepaid amount.
func Decode(data []byte) (*Ledger, error) {
	var in storedLedger
	if err := snapshotDecMode.Unmarshal(data, &in); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode ledger"), ErrBadSnapshot)
	}
	if in.Version != snapshotVersion || in.Next == 0 {
		return nil, errors.Wrap(ErrBadSnapshot, "header is out of range")
	}
	l := New()
	l.next, l.ignored, l.malformed = in.Next, in.Ignored, in.Malformed
	for _, stored := range in.Accounts {
		if err := l.load(stored, in.Holders); err != nil {
			return nil, errors.Wrapf(err, "entry %s", stored.Key)
		}
	}
	slices.SortFunc(l.closed, func(a, b closedShare) int { return cmp.Compare(a.offset, b.offset) })
	return l, nil
}

func (l *Ledger) load(in storedAccount, holders []record.HolderID) error {
	if l.accounts[in.Key] != nil {
		return errors.Wrap(ErrBadSnapshot, "entry is listed twice")
	}
	a := l.account(in.Key)
	a.Prepaid, a.Free, a.ClosedSpent, a.Removed = in.Prepaid, in.Free, in.ClosedSpent, in.Removed
	if a.Removed {
		a.Adjustments = nil
	}
	for _, adj := range in.Adjustments {
		if a.Removed {
			return errors.Wrap(ErrBadSnapshot, "removed entry lists adjustments")
		}
		a.Adjustments[adj.ID] = adj.Taken
	}
	for _, s := range in.Shares {
		if int(s.Holder) >= len(holders) || a.Shares[holders[s.Holder]] != nil {
			return errors.Wrap(ErrBadSnapshot, "share has no holder of its own")
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
		l.closed = append(l.closed, closedShare{offset: s.closedAt, key: key, holder: l.holders[holder].name})
	}
}

// verify reports a broken invariant of the account.
func (a *Account) verify() error {
	used := a.ClosedSpent
	for _, amount := range []int64{a.Prepaid, a.Free, a.ClosedSpent} {
		if amount < 0 || amount > record.MaxTokens {
			return errors.Wrap(ErrBadSnapshot, "amount is out of range")
		}
	}
	for _, s := range a.Shares {
		inRange := s.Granted >= 0 && s.Granted <= record.MaxTokens && s.Spent >= 0 && s.Returned >= 0
		if !inRange || s.Spent > s.Granted || s.Returned > s.Granted-s.Spent || s.Closed && s.Outstanding() != 0 {
			return errors.Wrap(ErrBadSnapshot, "share is out of range")
		}
		if used += s.Granted - s.Returned; used > record.MaxTokens {
			return errors.Wrap(ErrBadSnapshot, "shares exceed the largest amount")
		}
	}
	if a.Free+used != a.Prepaid {
		return errors.Wrap(ErrBadSnapshot, "free, spent and outstanding do not add up to prepaid")
	}
	return nil
}
