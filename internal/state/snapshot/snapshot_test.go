package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

func mustSplit(t interface{ Fatal(...any) }, s Snapshot, partBytes int) [][]byte {
	parts, err := Split(s, partBytes)
	if err != nil {
		t.Fatal(err)
	}
	return parts
}

// Guards against a state that is joined from parts of different series, from damaged parts, or from an
// incomplete series.
func TestCollectorFindsNewestCompleteState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCollector(nil)
		var stream [][]byte
		var want Snapshot
		for i := range rapid.IntRange(1, 4).Draw(t, "series") {
			s := Snapshot{Next: uint64(i + 1), Data: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "state")}
			parts := mustSplit(t, s, 4)
			complete := true
			for _, p := range parts {
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					complete = false
				case 1:
					complete = false
					p[rapid.IntRange(0, len(p)-1).Draw(t, "at")] ^= 1
					stream = append(stream, p)
				case 2:
					stream = append(stream, p, p)
				default:
					stream = append(stream, p)
				}
			}
			if complete {
				want = s
			}
		}
		for _, p := range rapid.Permutation(stream).Draw(t, "order") {
			c.Add(p)
		}
		got, found := c.Newest()
		if found != (want.Next > 0) || got.Next != want.Next || !bytes.Equal(got.Data, want.Data) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against a state that does not decode and hides an older valid one.
func TestCollectorFallsBackToOlderState(t *testing.T) {
	is := is.New(t)
	c := NewCollector(func(s Snapshot) error {
		if s.Next == 2 {
			return errors.New("refused")
		}
		return nil
	})
	for next := range uint64(2) {
		for _, p := range mustSplit(t, Snapshot{Next: next + 1, Data: []byte("state")}, 2) {
			c.Add(p)
		}
	}
	got, found := c.Newest()
	is.True(found)
	is.Equal(got.Next, uint64(1))
}

// Guards against a state that is accepted although its SHA-256 does not match, because the CRC of each part
// does.
func TestCollectorChecksTheWholeState(t *testing.T) {
	is := is.New(t)
	body, err := cbor.Marshal(storedPart{Version: formatVersion, Next: 5, Count: 1, Sum: make([]byte, sha256.Size), Data: []byte("x")})
	is.NoErr(err)
	c := NewCollector(nil)
	c.Add(binary.BigEndian.AppendUint32(body, crc32.Checksum(body, crcTable)))
	_, found := c.Newest()
	is.True(!found)
	is.Equal(c.Skipped(), 1)
}

// Guards against a panic of the reader on arbitrary bytes in a snapshot stream. Each input is tried
// unchanged, and with a valid checksum, so that it reaches the decoder.
func FuzzDecodePart(f *testing.F) {
	part := mustSplit(f, Snapshot{Next: 3, Data: []byte("state")}, 2)[1]
	f.Add(part)
	f.Add(part[:len(part)-checksumBytes])
	f.Fuzz(func(t *testing.T, data []byte) {
		NewCollector(nil).Add(data)
		withChecksum := binary.BigEndian.AppendUint32(data[:len(data):len(data)], crc32.Checksum(data, crcTable))
		p, err := DecodePart(withChecksum)
		if err == nil && p.Number >= p.Series.Count {
			t.Fatal("part number is out of range")
		}
		NewCollector(nil).Add(withChecksum)
	})
}
