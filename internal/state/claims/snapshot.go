package claims

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrInvalidSnapshot reports an encoded table that does not decode.
var ErrInvalidSnapshot = errors.New("invalid claims snapshot")

const snapshotVersion = 1

type (
	storedTable struct {
		_         struct{} `cbor:",toarray"`
		Version   uint64
		Next      uint64
		Clock     int64
		Malformed uint64
		// Claims is sorted by WonAt and ID.
		Claims []storedClaim
	}
	storedClaim struct {
		_      struct{} `cbor:",toarray"`
		ID     []byte
		WonAt  int64
		Packed []byte
	}
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic encoding of the table.
func (t *Table) Encode() ([]byte, error) {
	out := storedTable{Version: snapshotVersion, Next: t.next, Clock: t.clock, Malformed: t.malformed}
	for id, w := range t.winners {
		out.Claims = append(out.Claims, storedClaim{ID: id[:], WonAt: w.wonAt, Packed: []byte(w.packed)})
	}
	slices.SortFunc(out.Claims, func(a, b storedClaim) int {
		return cmp.Or(cmp.Compare(a.WonAt, b.WonAt), bytes.Compare(a.ID, b.ID))
	})
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "encode claims")
}

// Decode parses an encoded table. The retention must be the one of the whole fleet, as in New.
func Decode(data []byte, retention time.Duration) (*Table, error) {
	var in storedTable
	if err := decMode.Unmarshal(data, &in); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode claims"), ErrInvalidSnapshot)
	}
	if in.Version != snapshotVersion || in.Next == 0 {
		return nil, errors.Wrap(ErrInvalidSnapshot, "unsupported version or zero offset")
	}
	t := New(retention)
	t.next, t.clock, t.malformed = in.Next, in.Clock, in.Malformed
	for _, c := range in.Claims {
		_, err := unpack(c.Packed)
		if err != nil || len(c.ID) != len(ID{}) || len(t.expiries) > 0 && c.WonAt < t.expiries[len(t.expiries)-1].wonAt {
			return nil, errors.Wrap(ErrInvalidSnapshot, "claim is malformed or out of order")
		}
		t.winners[ID(c.ID)] = winner{packed: string(c.Packed), wonAt: c.WonAt}
		t.expiries = append(t.expiries, expiry{wonAt: c.WonAt, id: ID(c.ID)})
	}
	if len(t.winners) != len(t.expiries) {
		return nil, errors.Wrap(ErrInvalidSnapshot, "duplicate claim")
	}
	return t, nil
}
