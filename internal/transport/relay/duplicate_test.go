package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

func chunkedResponseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", idHeader, id, len(body), body)
}

// refusalOf is a refusal of a request, with or without its ID.
func refusalOf(id string, named bool) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n"
	if named {
		head += idHeader + ": " + id + "\r\n"
	}
	return head + "\r\nfull"
}

// Guards against a second copy of an answer, or an earlier refusal that is written once more, that is taken for the answer
// to the next request on the connection: in one packet with the first, before or while the next request is sent, or ahead
// of its answer, with a length and in chunks.
func TestSecondCopiesBelongToNoRequest(t *testing.T) {
	framings := map[string]func(id, body string) string{"length": responseTo, "chunked": chunkedResponseTo}
	// A timing returns what is written at once for a request, and what is written later, given the earlier request.
	timings := map[string]func(own, copyOfEarlier string) (now, later string){
		"same packet":       func(own, _ string) (string, string) { return own + own, "" },
		"before the next":   func(own, _ string) (string, string) { return own, own },
		"ahead of the next": func(own, earlier string) (string, string) { return earlier + own, "" },
		"twice ahead":       func(own, earlier string) (string, string) { return earlier + earlier + own, "" },
	}
	for framing, respond := range framings {
		for timing, write := range timings {
			for _, copied := range []string{"answer", "refusal", "refusal without ID"} {
				t.Run(framing+", "+timing+", "+copied, func(t *testing.T) {
					is := is.New(t)
					var mu sync.Mutex
					earlier := ""
					address, _ := startServer(t, func(c net.Conn, request string) {
						mu.Lock()
						defer mu.Unlock()
						id := requestIDOf(request)
						now, later := write(respond(id, "for "+id), earlier)
						_, _ = io.WriteString(c, now)
						if later != "" {
							time.AfterFunc(2*time.Millisecond, func() { _, _ = io.WriteString(c, later) })
						}
						switch copied {
						case "answer":
							earlier = respond(id, "late "+id)
						default:
							earlier = refusalOf(id, copied == "refusal")
						}
					})
					p := newPool(t)
					for i := range 12 {
						id := fmt.Sprint("r", i)
						got, err := send(p, address, id)
						is.NoErr(err)
						is.Equal(got, "for "+id)
						time.Sleep(time.Duration(i%4) * time.Millisecond)
					}
				})
			}
		}
	}
}

// Guards against an answer that is taken apart wrongly when it arrives in two packets, and against a copy that is taken
// for its continuation, at each byte boundary.
func TestAnswersSplitAtEachByte(t *testing.T) {
	is := is.New(t)
	for _, respond := range []func(id, body string) string{responseTo, chunkedResponseTo} {
		whole := refusalOf("r0", true) + respond("r1", "body")
		for split := range len(whole) {
			address, _ := startServer(t, func(c net.Conn, _ string) {
				_, _ = io.WriteString(c, whole[:split])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, whole[split:])
			})
			got, err := send(newPool(t), address, "r1")
			is.NoErr(err)
			is.Equal(got, "body")
		}
	}
}

// Guards against a refusal that is written between the head and the body of the answer, or in place of its end, and is
// taken for a complete body where the framing shows that it is none.
func TestRefusalInsideAnswerIsNoSuccess(t *testing.T) {
	is := is.New(t)
	answer := chunkedResponseTo("r1", "body")
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	for _, raw := range []string{
		head + "\r\n\r\n" + refusalOf("r0", true) + body,
		strings.TrimSuffix(answer, "0\r\n\r\n") + refusalOf("r0", true),
	} {
		address, _ := startServer(t, func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		})
		_, err := send(newPool(t), address, "r1")
		is.True(errors.Is(err, upstream.ErrIncomplete))
		is.True(!errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRefused))
	}
}
