package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// Guards against a request that waits, or runs, although there is no memory for its body, and against small requests that are
// refused for the large ones.
func TestRequestOverMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	engine, handler := newEngine()
	f := newFixture(t, handler)
	f.api.Limits.MaxBodyBytes = 64 << 10
	f.api.Incoming = membuf.NewIncoming(1<<20, time.Now)
	is.NoErr(f.api.Incoming.NewHold(nil).Grow(1 << 20))
	r := f.chat(false, strings.Repeat("x", 32<<10))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.apiError().Code, CodeOverloaded)
	is.True(r.apiError().NotRun && r.header.Get("Retry-After") != "")
	is.Equal(engine.Runs.Load(), int64(0))
	is.Equal(f.chat(false, "a").status, http.StatusOK)
	is.Equal(f.api.Incoming.Used(), int64(1<<20))
}

// Guards against a body that is read although its announced length is over the limit: the refusal comes before any of it is
// sent, and the connection is closed.
func TestAnnouncedBodyOverLimitIsNotRead(t *testing.T) {
	is := is.New(t)
	_, handler := newEngine()
	f := newFixture(t, handler)
	f.api.Limits.BodyTimeout = time.Minute
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(30 * time.Second)))
	_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+secret+"\r\nContent-Length: 5000000\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
	_, _ = io.Copy(io.Discard, resp.Body)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}
