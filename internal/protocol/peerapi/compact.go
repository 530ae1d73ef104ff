package peerapi

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Marks in a compact body. Valid JSON never contains these bytes.
const (
	// markKey is followed by the index of an object key in compactKeys and
	// stands for the key with its quotes and colon.
	markKey = 0x01
	// markString is followed by the index of an earlier string of the body and
	// stands for it with its quotes.
	markString = 0x02
)

const (
	// minShared is the size of the shortest string, with quotes, that is worth
	// a back reference.
	minShared = 6
	maxShared = 255
)

// compactKeys are the object keys of the peers' messages. Their indexes are
// part of protocol version 2: a new key needs a new version.
var compactKeys = []string{
	"from", "request_id", "entry", "Name", "Generation", "class", "amount", "share_only", "reserved", "exhausted",
	"bill", "holder", "target", "input_tokens", "output_tokens", "charged", "unix_milli", "outcome", "partition",
	"items", "offset", "counters", "epoch", "seq", "entries", "ops", "kind", "spent", "bills", "code", "message",
}

var (
	compactKeyNumbers = numberKeys()
	compactKeyTexts   = textKeys()
)

func textKeys() [][]byte {
	texts := make([][]byte, len(compactKeys))
	for i, key := range compactKeys {
		texts[i] = []byte(`"` + key + `":`)
	}
	return texts
}

func numberKeys() map[string]byte {
	numbers := make(map[string]byte, len(compactKeys))
	for i, key := range compactKeys {
		numbers[`"`+key+`"`] = byte(i)
	}
	return numbers
}

// sharedStrings are the strings of a body that can be referred to. Both sides
// build the same list, because it follows from the body alone. A body has few
// strings, so a linear search costs less than a map for each message.
type sharedStrings [][]byte

func newSharedStrings(known [][]byte) sharedStrings {
	return append(make(sharedStrings, 0, 16), known...)
}

func (s *sharedStrings) add(literal []byte) {
	if len(literal) >= minShared && len(*s) < maxShared {
		*s = append(*s, literal)
	}
}

func (s sharedStrings) find(literal []byte) int {
	for i, other := range s {
		if bytes.Equal(other, literal) {
			return i
		}
	}
	return -1
}

// literalEnd returns the index after the JSON string that starts at i, or -1.
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

// shorten returns the compact form of a JSON text. The strings in known can be
// referred to from the start.
func shorten(text []byte, known [][]byte) ([]byte, error) {
	if bytes.IndexByte(text, markKey) >= 0 || bytes.IndexByte(text, markString) >= 0 {
		return nil, errors.New("body is not JSON")
	}
	shared := newSharedStrings(known)
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
		if number, isKey := compactKeyNumbers[string(literal)]; isKey && len(text) > 0 && text[0] == ':' {
			out, text = append(out, markKey, number), text[1:]
		} else if index := shared.find(literal); index >= 0 {
			out = append(out, markString, byte(index))
		} else {
			out = append(out, literal...)
			shared.add(literal)
		}
	}
}

// expand reverses shorten. A text above the limit is refused before it is
// built, because a reference of two bytes can stand for a long string.
func expand(short []byte, known [][]byte, limit int) ([]byte, error) {
	if bytes.IndexByte(short, markKey) < 0 && bytes.IndexByte(short, markString) < 0 {
		return short, nil
	}
	shared := newSharedStrings(known)
	out := make([]byte, 0, 2*len(short))
	for i := 0; i < len(short); {
		next, piece, err := shared.piece(short, i)
		if err != nil {
			return nil, err
		}
		if len(out)+len(piece) > limit {
			return nil, errors.Newf("compact body is longer than %d bytes", limit)
		}
		out, i = append(out, piece...), next
	}
	return out, nil
}

// piece returns the text for the bytes at i and the index after them.
func (s *sharedStrings) piece(short []byte, i int) (next int, text []byte, err error) {
	switch short[i] {
	case markKey:
		if i+1 >= len(short) || int(short[i+1]) >= len(compactKeys) {
			return 0, nil, errors.New("unknown key in compact body")
		}
		return i + 2, compactKeyTexts[short[i+1]], nil
	case markString:
		if i+1 >= len(short) || int(short[i+1]) >= len(*s) {
			return 0, nil, errors.New("unknown reference in compact body")
		}
		return i + 2, (*s)[short[i+1]], nil
	case '"':
		end := literalEnd(short, i)
		if end < 0 {
			return 0, nil, errors.New("unfinished string in compact body")
		}
		s.add(short[i:end])
		return end, short[i:end], nil
	}
	end := i + 1
	for end < len(short) && short[end] != '"' && short[end] != markKey && short[end] != markString {
		end++
	}
	return end, short[i:end], nil
}
