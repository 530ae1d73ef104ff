// Package snapshot splits an encoded state into log records and joins them again. The snapshots of ledger,
// claims and configuration use the same format.
//
// A series is the set of parts of one state at one offset. It is identified by the offset and the checksum of
// the whole state, so two writers with the same state write the same series, and a reader can join parts of
// both. Parts of different series may be interleaved in a stream; malformed parts are skipped.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports a part that does not decode or fails its checksum.
var ErrMalformed = errors.New("malformed snapshot part")

const (
	formatVersion = 1
	// PartBytes is the usual size of the state in one part. Encoded as base64 in the log's JSON responses, a
	// part stays well under 4 MiB, the maximum size of a record in the log.
	PartBytes = 512 << 10
	// maxParts bounds a series to 2 GiB.
	maxParts      = 4096
	checksumBytes = 4
	// maxPendingSeries bounds the number of incomplete series that a reader keeps.
	maxPendingSeries = 64
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is an encoded state.
type Snapshot struct {
	// Next is the offset of the first record that the state does not contain.
	Next uint64
	Data []byte
}

// Series identifies one state at one offset.
type Series struct {
	Next uint64
	// Count is the number of parts.
	Count uint32
	// Sum is the SHA-256 of the whole encoded state.
	Sum [sha256.Size]byte
}

// Part is the content of one record of a snapshot stream.
type Part struct {
	Series Series
	Number uint32
	Data   []byte
}

// storedPart is the stored form of a part; its CRC-32C is appended to the encoding.
type storedPart struct {
	_       struct{} `cbor:",toarray"`
	Version uint32
	Next    uint64
	Count   uint32
	Sum     []byte
	Number  uint32
	Data    []byte
}

// Split returns the records that contain the state, in order. Writers that share a stream must use the same
// part size.
func Split(s Snapshot, partBytes int) ([][]byte, error) {
	count := max(1, (len(s.Data)+partBytes-1)/partBytes)
	if count > maxParts {
		return nil, errors.Newf("state of %d bytes needs more than %d parts", len(s.Data), maxParts)
	}
	sum := sha256.Sum256(s.Data)
	parts := make([][]byte, count)
	for i := range parts {
		data := s.Data[i*partBytes : min((i+1)*partBytes, len(s.Data))]
		body, err := cbor.Marshal(storedPart{
			Version: formatVersion, Next: s.Next, Count: uint32(count), Sum: sum[:], Number: uint32(i), Data: data,
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot part")
		}
		parts[i] = binary.BigEndian.AppendUint32(body, crc32.Checksum(body, crcTable))
	}
	return parts, nil
}

// DecodePart parses one record of a snapshot stream.
func DecodePart(record []byte) (Part, error) {
	if len(record) < checksumBytes {
		return Part{}, errors.Wrap(ErrMalformed, "record is too short")
	}
	body := record[:len(record)-checksumBytes]
	if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(record[len(body):]) {
		return Part{}, errors.Wrap(ErrMalformed, "checksum mismatch")
	}
	var stored storedPart
	if err := cbor.Unmarshal(body, &stored); err != nil {
		return Part{}, errors.Mark(errors.Wrap(err, "decode snapshot part"), ErrMalformed)
	}
	if stored.Version != formatVersion || stored.Count > maxParts || stored.Number >= stored.Count || len(stored.Sum) != sha256.Size {
		return Part{}, errors.Wrap(ErrMalformed, "header field is out of range")
	}
	p := Part{Series: Series{Next: stored.Next, Count: stored.Count}, Number: stored.Number, Data: stored.Data}
	copy(p.Series.Sum[:], stored.Sum)
	return p, nil
}

// Collector joins the parts of a snapshot stream. It keeps the newest complete state and the parts of newer
// series that are not complete yet.
type Collector struct {
	pending map[Series]map[uint32][]byte
	newest  Snapshot
	found   bool
	// rejected holds series whose joined state failed its checksum or was not accepted by decode.
	rejected map[Series]bool
	// skipped counts malformed parts and rejected states.
	skipped int
	decode  func(Snapshot) error
}

// NewCollector returns an empty collector. A complete state is kept only if decode accepts it; a nil decode
// accepts all.
func NewCollector(decode func(Snapshot) error) *Collector {
	return &Collector{
		pending: make(map[Series]map[uint32][]byte), rejected: make(map[Series]bool), decode: decode,
	}
}

// Add adds one record of the snapshot stream. A malformed record is skipped and counted. A part of a rejected
// series, or of a series that is not newer than the newest complete state, is ignored.
func (c *Collector) Add(record []byte) {
	p, err := DecodePart(record)
	if err != nil {
		c.skipped++
		return
	}
	if c.rejected[p.Series] || c.found && p.Series.Next <= c.newest.Next {
		return
	}
	parts := c.pending[p.Series]
	if parts == nil {
		c.evictOldest()
		parts = make(map[uint32][]byte)
		c.pending[p.Series] = parts
	}
	parts[p.Number] = p.Data
	if len(parts) == int(p.Series.Count) {
		c.joinParts(p.Series, parts)
	}
}

// evictOldest drops the oldest incomplete series if maxPendingSeries are kept.
func (c *Collector) evictOldest() {
	if len(c.pending) < maxPendingSeries {
		return
	}
	var oldest Series
	first := true
	for s := range c.pending {
		if first || s.Next < oldest.Next {
			oldest, first = s, false
		}
	}
	delete(c.pending, oldest)
}

// joinParts joins the parts of a complete series. It keeps the state as the newest one, or rejects it.
func (c *Collector) joinParts(series Series, parts map[uint32][]byte) {
	delete(c.pending, series)
	var data []byte
	for i := range series.Count {
		data = append(data, parts[i]...)
	}
	s := Snapshot{Next: series.Next, Data: data}
	if sha256.Sum256(data) != series.Sum || c.decode != nil && c.decode(s) != nil {
		c.rejected[series] = true
		c.skipped++
		return
	}
	c.newest, c.found = s, true
	for other := range c.pending {
		if other.Next <= s.Next {
			delete(c.pending, other)
		}
	}
}

// Newest returns the newest complete state, if any.
func (c *Collector) Newest() (Snapshot, bool) { return c.newest, c.found }

// Skipped returns the number of malformed parts and rejected states.
func (c *Collector) Skipped() int { return c.skipped }
