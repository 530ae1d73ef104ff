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

// Guards against a state joined from parts of different writers, from damaged
// parts, or from an unfinished series.
func TestCollectorFindsNewestCompleteState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCollector(nil)
		var stream [][]byte
		var want Snapshot
		for i := range rapid.IntRange(1, 4).Draw(t, "series") {
			s := Snapshot{Next: uint64(i + 1), Data: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "state")}
			parts := mustSplit(t, s, 4)
			whole := true
			for _, p := range parts {
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					whole = false
				case 1:
					whole = false
					p[rapid.IntRange(0, len(p)-1).Draw(t, "at")] ^= 1
					stream = append(stream, p)
				case 2:
					stream = append(stream, p, p)
				default:
					stream = append(stream, p)
				}
			}
			if whole {
				want = s
			}
		}
		for _, p := range rapid.Permutation(stream).Draw(t, "order") {
			c.Add(p)
		}
		got, found := c.Best()
		if found != (want.Next > 0) || got.Next != want.Next || !bytes.Equal(got.Data, want.Data) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against one undecodable state that hides the older good one.
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
	got, found := c.Best()
	is.True(found)
	is.Equal(got.Next, uint64(1))
}

// Guards against a state whose parts are each intact but do not belong together.
func TestCollectorChecksTheWholeState(t *testing.T) {
	is := is.New(t)
	wire, err := cbor.Marshal(wirePart{Version: formatVersion, Next: 5, Count: 1, Sum: make([]byte, sha256.Size), Data: []byte("x")})
	is.NoErr(err)
	c := NewCollector(nil)
	c.Add(binary.BigEndian.AppendUint32(wire, crc32.Checksum(wire, crcTable)))
	_, found := c.Best()
	is.True(!found)
	is.Equal(c.Damaged(), 1)
}

// Guards against a crash of the reader on any bytes in a snapshot stream. Each
// input is tried as it is and with a right checksum, which reaches the decoder.
func FuzzDecodePart(f *testing.F) {
	part := mustSplit(f, Snapshot{Next: 3, Data: []byte("state")}, 2)[1]
	f.Add(part)
	f.Add(part[:len(part)-crcBytes])
	f.Fuzz(func(t *testing.T, data []byte) {
		NewCollector(nil).Add(data)
		sealed := binary.BigEndian.AppendUint32(data[:len(data):len(data)], crc32.Checksum(data, crcTable))
		p, err := DecodePart(sealed)
		if err == nil && p.Number >= p.Series.Count {
			t.Fatal("part number is out of range")
		}
		NewCollector(nil).Add(sealed)
	})
}
