package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Guards against a connection that is kept after a response to another request, such as the copy of a refusal without a body:
// the response that is still due then answers the next request, and so on, and the outcome of each is lost.
func TestConnectionOutOfStepIsClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCopyOfRefusal(c, first)
		}
	}()
	client := New(nil)
	send := func(n int) error {
		_, err := client.Call(context.Background(), ServiceCall{
			Call:   Call{Address: "http://" + listener.Addr().String(), RequestID: fmt.Sprintf("r%d", n), Attempt: fmt.Sprintf("%d@vm/1", n)},
			Method: http.MethodGet, Path: "/p",
		})
		return err
	}
	is.True(errors.Is(send(1), ErrRefused))
	is.True(errors.Is(send(2), ErrMismatch))
	for n := 3; n < 8; n++ {
		is.NoErr(send(n))
	}
}

// serveCopyOfRefusal responds to each request after a delay. With copies set, it refuses the first one, and writes that refusal
// once more when it has read the second.
func serveCopyOfRefusal(c net.Conn, copies bool) {
	defer c.Close()
	reader, refusal := bufio.NewReader(c), ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head := fmt.Sprintf("%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID),
			chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
		if copies && n == 0 {
			refusal = "HTTP/1.1 429 Too Many Requests\r\n" + head
			_, _ = io.WriteString(c, refusal)
			continue
		}
		if n == 1 {
			_, _ = io.WriteString(c, refusal)
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
	}
}
