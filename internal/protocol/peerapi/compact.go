package peerapi

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Marker bytes of a compact body. Valid JSON never contains them.
const (
	// keyMarker is followed by an index into compactKeys and replaces the object key with its quotes and
	// colon.
	keyMarker = 0x01
	// referenceMarker is followed by an index into the string table and replaces the string with its quotes.
	referenceMarker = 0x02
)

const (
	// minTableStringBytes is the length, with quotes, of the shortest string that is worth a back reference.
	minTableStringBytes = 6
	// maxTableStrings keeps the indexes of the table within one byte.
	maxTableStrings = 255
)

// compactKeys are the object keys that a compact body can replace. Their indexes are part of protocol version
// 2: a new key needs a new version.
var compactKeys = []string{
	"from", "request_id", "entry", "Name", "Generation", "class", "amount", "share_only", "reserved", "exhausted",
	"bill", "holder", "target", "input_tokens", "output_tokens", "charged", "unix_milli", "outcome", "partition",
	"items", "offset", "counters", "epoch", "seq", "entries", "ops", "kind", "spent", "bills", "code", "message",
}

var (
	compactKeyIndexes  = keyIndexes()
	compactKeyLiterals = keyLiterals()
)

func keyLiterals() [][]byte {
	literals := make([][]byte, len(compactKeys))
	for i, key := range compactKeys {
		literals[i] = []byte(`"` + key + `":`)
	}
	return literals
}

func keyIndexes() map[string]byte {
	indexes := make(map[string]byte, len(compactKeys))
	for i, key := range compactKeys {
		indexes[`"`+key+`"`] = byte(i)
	}
	return indexes
}

// stringTable holds the strings that back references in a body refer to. Both sides build the same table,
// because it depends only on the preset strings and the body. A body has few strings, so a linear search
// costs less than a map for each message.
type stringTable [][]byte

func newStringTable(presetStrings [][]byte) stringTable {
	return append(make(stringTable, 0, 16), presetStrings...)
}

func (s *stringTable) add(literal []byte) {
	if len(literal) >= minTableStringBytes && len(*s) < maxTableStrings {
		*s = append(*s, literal)
	}
}

func (s stringTable) find(literal []byte) int {
	for i, other := range s {
		if bytes.Equal(other, literal) {
			return i
		}
	}
	return -1
}

// literalEnd returns the index after the JSON string literal that starts at i, or -1 if it is not terminated.
func literalEnd(text []byte, i int) int {
	for j := i + 1; j < len(text); j++ {
		switch text[j] {
		case '\\':
			j++
		case '"':
			return j + 1
		}
	}
	return -1
}

// compactBody returns the compact form of a JSON text. The string table initially holds presetStrings.
func compactBody(text []byte, presetStrings [][]byte) ([]byte, error) {
	if bytes.IndexByte(text, keyMarker) >= 0 || bytes.IndexByte(text, referenceMarker) >= 0 {
		return nil, errors.New("body is not JSON")
	}
	table := newStringTable(presetStrings)
	out := make([]byte, 0, len(text))
	for {
		quote := bytes.IndexByte(text, '"')
		if quote < 0 {
			return append(out, text...), nil
		}
		out, text = append(out, text[:quote]...), text[quote:]
		end := literalEnd(text, 0)
		if end < 0 {
			return nil, errors.New("body is not JSON")
		}
		literal := text[:end]
		text = text[end:]
		if keyIndex, isKey := compactKeyIndexes[string(literal)]; isKey && len(text) > 0 && text[0] == ':' {
			out, text = append(out, keyMarker, keyIndex), text[1:]
		} else if index := table.find(literal); index >= 0 {
			out = append(out, referenceMarker, byte(index))
		} else {
			out = append(out, literal...)
			table.add(literal)
		}
	}
}

// expandBody reverses compactBody. A body without markers is returned unchanged, whatever its length.
// Otherwise it fails before the text grows beyond maxBytes, because a reference of two bytes can expand to a
// long string.
func expandBody(compacted []byte, presetStrings [][]byte, maxBytes int) ([]byte, error) {
	if bytes.IndexByte(compacted, keyMarker) < 0 && bytes.IndexByte(compacted, referenceMarker) < 0 {
		return compacted, nil
	}
	table := newStringTable(presetStrings)
	out := make([]byte, 0, 2*len(compacted))
	for i := 0; i < len(compacted); {
		next, piece, err := table.nextPiece(compacted, i)
		if err != nil {
			return nil, err
		}
		if len(out)+len(piece) > maxBytes {
			return nil, errors.Newf("compact body expands to more than %d bytes", maxBytes)
		}
		out, i = append(out, piece...), next
	}
	return out, nil
}

// nextPiece returns the expansion of the piece at i and the index after the piece. A piece is a marker with
// its index, a string literal, or the text up to the next of these. A string literal is added to the table.
func (s *stringTable) nextPiece(compacted []byte, i int) (next int, text []byte, err error) {
	switch compacted[i] {
	case keyMarker:
		if i+1 >= len(compacted) || int(compacted[i+1]) >= len(compactKeys) {
			return 0, nil, errors.New("unknown key index in compact body")
		}
		return i + 2, compactKeyLiterals[compacted[i+1]], nil
	case referenceMarker:
		if i+1 >= len(compacted) || int(compacted[i+1]) >= len(*s) {
			return 0, nil, errors.New("unknown string reference in compact body")
		}
		return i + 2, (*s)[compacted[i+1]], nil
	case '"':
		end := literalEnd(compacted, i)
		if end < 0 {
			return 0, nil, errors.New("unterminated string in compact body")
		}
		s.add(compacted[i:end])
		return end, compacted[i:end], nil
	}
	end := i + 1
	for end < len(compacted) && compacted[end] != '"' && compacted[end] != keyMarker && compacted[end] != referenceMarker {
		end++
	}
	return end, compacted[i:end], nil
}
