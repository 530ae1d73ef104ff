package httpapi

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// FuzzReadEvent guards against bytes of a stream that end the process, that are lost or changed, or that make an
// incomplete event look complete.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3"))
	f.Add([]byte("\n\n\n"))
	f.Add([]byte("id:" + string(make([]byte, 5000)) + "\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 64)
		var got []byte
		var limiter *membuf.Limiter
		buffer := limiter.NewBuffer("", maxEventBytes)
		for {
			event, _, err := readEvent(r, buffer)
			got = append(got, event...)
			if err != nil {
				break
			}
			if !bytes.HasSuffix(event, []byte("\n")) {
				t.Fatalf("event %q is incomplete", event)
			}
		}
		if !bytes.Equal(got, data) {
			t.Fatalf("read %q of %q", got, data)
		}
	})
}
