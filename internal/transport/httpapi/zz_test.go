package httpapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestZZPipelined(t *testing.T) {
	var k KeptConns
	var handled, canceled, answered atomic.Int64
	listener := startKept(t, &k, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		time.Sleep(time.Millisecond)
		if r.Context().Err() != nil {
			canceled.Add(1)
		}
		_, _ = io.WriteString(w, "ok")
	})
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				k.CloseIdle(0)
			}
		}
	})
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				reader := bufio.NewReader(c)
				one := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
				_, _ = io.WriteString(c, one+one+one)
				for range 3 {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_, err = io.Copy(io.Discard, resp.Body)
					if err != nil {
						break
					}
					answered.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	callers.Wait()
	close(stop)
	work.Wait()
	t.Logf("%d handled %d answered %d canceled", handled.Load(), answered.Load(), canceled.Load())
}
