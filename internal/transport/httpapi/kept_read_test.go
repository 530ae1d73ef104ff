package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is canceled as its connection counts as idle, because the server has read it together with
// the one before and its handler has not begun.
func TestCloseIdleSparesRequestsReadTogether(t *testing.T) {
	const callers, together = 16, 3
	is := is.New(t)
	var k KeptConns
	var handled, canceled atomic.Int64
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		time.Sleep(time.Millisecond)
		if r.Context().Err() != nil {
			canceled.Add(1)
		}
		_, _ = io.WriteString(w, "ok")
	})
	stop := make(chan struct{})
	var closer, work sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				k.CloseIdle(0)
			}
		}
	})
	for range callers {
		work.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", together)) // fails if the connection is closed before
				reader := bufio.NewReader(c)
				for range together {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				_ = c.Close()
			}
		})
	}
	work.Wait()
	close(stop)
	closer.Wait()
	t.Logf("%d of %d requests canceled", canceled.Load(), handled.Load())
	is.True(handled.Load() > 0)
	is.Equal(canceled.Load(), int64(0))
}
