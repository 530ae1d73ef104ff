package httpapi

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// Guards against an event that is split where the read buffer ends: the end of a line counted as an empty line, and
// text within a line as the ID of the event.
func TestEventsWithLongLines(t *testing.T) {
	const bufferBytes = 64
	var limiter *membuf.Limiter
	for length := range 3 * bufferBytes {
		for _, end := range []string{"\n", "\r\n"} {
			is := is.New(t)
			event := fmt.Sprintf("id: 7%sdata: %s%sdata: id: 8%s%s", end, strings.Repeat("x", length)+"id: 9", end, end, end)
			r := bufio.NewReaderSize(strings.NewReader(event+"id: 8"+end+end), bufferBytes)
			buffer := limiter.NewBuffer("", maxEventBytes)
			for i, want := range []string{event, "id: 8" + end + end} {
				got, id, err := readEvent(r, buffer)
				is.NoErr(err)
				is.Equal(string(got), want)
				is.Equal(id, fmt.Sprint(7+i))
			}
		}
	}
}
