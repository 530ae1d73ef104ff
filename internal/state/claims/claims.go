// Package claims holds the claims of one partition, built by applying the records of its stream. A claim asks
// for the right to run the non-idempotent request with an entry name and idempotency key. The first claim in
// stream order wins and stays the winner until it is released or expires. Every reader of the same records
// reaches the same winners. Package claim uses them to decide which router may run the request.
//
// A Table is not safe for concurrent use; its owner serialises the calls.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ID is a hash of an entry name and an idempotency key. It excludes the generation: of two routers that know
// different generations of an entry, only one may win.
type ID [16]byte

// IDOf returns the ID of the entry name and key of a claim. Claims with the same entry name and key
// have the same ID.
func IDOf(c *record.Claim) ID {
	buf := binary.AppendUvarint(make([]byte, 0, 128), uint64(len(c.Entry.Name)))
	buf = append(buf, c.Entry.Name...)
	sum := sha256.Sum256(append(buf, c.Key...))
	return ID(sum[:len(ID{})])
}

// winner is the packed form of a claim that won. Packing into one string takes one allocation per claim. The
// entry name and key are left out, because callers of Winner supply them.
type winner struct {
	packed string
	// wonAt is Table.clock when the claim won, in Unix milliseconds.
	wonAt int64
}

type packedClaim struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	BodyHash   []byte
	RequestID  string
	Holder     record.HolderID
	UnixMilli  int64
	Token      string
}

// expiry is an element of the queue of winning claims that will expire.
type expiry struct {
	wonAt int64
	id    ID
}

// Table is the state of one partition.
type Table struct {
	retention int64
	next      uint64
	// clock is the newest record time so far, in Unix milliseconds. Claims expire by it and not by a reader's
	// clock, so that all readers agree.
	clock     int64
	malformed uint64
	winners   map[ID]winner
	// expiries is in ascending order of wonAt. It may list released claims.
	expiries []expiry
}

// New returns an empty table. A claim expires when the log's record times have advanced by the retention since
// the claim won. The retention must be the same in the whole fleet.
func New(retention time.Duration) *Table {
	return &Table{retention: retention.Milliseconds(), next: 1, winners: make(map[ID]winner)}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.next }

// Len returns the number of winning claims that are neither released nor expired.
func (t *Table) Len() int { return len(t.winners) }

// Malformed returns the number of items that are neither valid claims nor valid releases. A record that does
// not decode counts as one.
func (t *Table) Malformed() uint64 { return t.malformed }

// ApplyRecord applies one record and returns the IDs of its claims, whether they won or not. Records before
// Next are ignored.
func (t *Table) ApplyRecord(r logstream.Record) []ID {
	if r.Offset < t.next {
		return nil
	}
	t.next = r.Offset + 1
	t.clock = max(t.clock, r.Time.UnixMilli())
	t.expire()
	items, skipped, err := record.Decode(r.Data)
	t.malformed += uint64(skipped)
	if err != nil {
		t.malformed++
		return nil
	}
	ids := make([]ID, 0, len(items))
	for _, item := range items {
		switch {
		case item.Claim != nil:
			ids = append(ids, t.add(item.Claim))
		case item.Release != nil:
			t.release(item.Release)
		default:
			t.malformed++
		}
	}
	return ids
}

func (t *Table) expire() {
	expired := 0
	for _, e := range t.expiries {
		if t.clock-e.wonAt < t.retention {
			break
		}
		// The claim may have been released, and the key won again since.
		if t.winners[e.id].wonAt == e.wonAt {
			delete(t.winners, e.id)
		}
		expired++
	}
	t.expiries = t.expiries[expired:]
}

// add makes a claim the winner unless its ID already has one. It returns the ID in both cases.
func (t *Table) add(c *record.Claim) ID {
	id := IDOf(c)
	if _, exists := t.winners[id]; exists {
		return id
	}
	data, err := cbor.Marshal(packedClaim{
		Generation: c.Entry.Generation, BodyHash: c.BodyHash, RequestID: c.RequestID,
		Holder: c.Holder, UnixMilli: c.UnixMilli, Token: c.Token,
	})
	if err != nil {
		// Encoding of plain fields of fixed types cannot fail.
		panic(err)
	}
	t.winners[id] = winner{packed: string(data), wonAt: t.clock}
	t.expiries = append(t.expiries, expiry{wonAt: t.clock, id: id})
	return id
}

// release removes the winning claim if it has the token of the release. The router that won the claim appends
// the release when it will not use the claim. A claim that another attempt has won since then stays.
func (t *Table) release(r *record.Release) {
	c := record.Claim{Entry: r.Entry, Key: r.Key}
	if w, ok := t.Winner(&c); ok && w.Token == r.Token {
		delete(t.winners, IDOf(&c))
	}
}

// Winner returns the claim that won the entry name and key of c, and whether there is one.
func (t *Table) Winner(c *record.Claim) (record.Claim, bool) {
	w, ok := t.winners[IDOf(c)]
	if !ok {
		return record.Claim{}, false
	}
	p, err := unpack([]byte(w.packed))
	if err != nil {
		// Both add and Decode store only claims that unpack.
		panic(err)
	}
	return record.Claim{
		Entry: record.EntryKey{Name: c.Entry.Name, Generation: p.Generation}, Key: c.Key, BodyHash: p.BodyHash,
		RequestID: p.RequestID, Holder: p.Holder, UnixMilli: p.UnixMilli, Token: p.Token,
	}, true
}

func unpack(data []byte) (packedClaim, error) {
	var p packedClaim
	err := cbor.Unmarshal(data, &p)
	return p, err
}
