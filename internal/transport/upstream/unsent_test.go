package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// serveOnce serves an upstream that responds to the first request on a connection and ends the connection without a response
// after it has read the second. It counts the requests that it reads.
func serveOnce(t *testing.T, requests *atomic.Int64) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for n := range 2 {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
			if n == 0 {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", chat.HeaderRequestID,
					req.Header.Get(chat.HeaderRequestID), chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a request that runs twice because the HTTP transport sends it again by itself when a kept connection ends, as
// it does for methods without side effects and with an idempotency key, and against one that then counts as not sent.
func TestRequestIsWrittenOnce(t *testing.T) {
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		for _, body := range []string{"", "b"} {
			t.Run(method+"/"+body, func(t *testing.T) {
				is := is.New(t)
				var requests atomic.Int64
				client, address := New(nil), serveOnce(t, &requests)
				send := func(id string) error {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					_, err := client.Call(ctx, ServiceCall{
						Call:   Call{Address: address, RequestID: id, Attempt: "1@vm/1", Body: []byte(body)},
						Method: method, Path: "/p", Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
					})
					return err
				}
				is.NoErr(send("r1"))
				err := send("r2")
				is.True(err != nil)
				is.True(!errors.IsAny(err, ErrNotSent, ErrRefused))
				is.Equal(requests.Load(), int64(2))
			})
		}
	}
}

// Guards against an attempt that counts as one that may have run, or as a refusal, although no connection was made.
func TestUnconnectedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := "http://" + listener.Addr().String()
	is.NoErr(listener.Close())
	call := Call{Address: address, RequestID: "r1", Attempt: "1@vm/1", Body: []byte("{}")}
	client := New(nil)
	_, err = client.Complete(context.Background(), call)
	is.True(errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused))
	err = client.Stream(context.Background(), call, func(Event) error { return nil })
	is.True(errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused))
	_, err = client.Call(context.Background(), ServiceCall{Call: call, Method: http.MethodPost, Path: "/p"})
	is.True(errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused))
	call.Address = strings.Replace(address, "http://", "http://%zz", 1)
	_, err = client.Complete(context.Background(), call)
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against the copy of the response "not held" to an earlier call that is taken for the response to the call about another
// run: the router then gives up a stream that the engine holds.
func TestCopyOfNotHeldBelongsToItsCall(t *testing.T) {
	for _, status := range []string{"404 Not Found", "409 Conflict"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				reader, last := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if last == "" {
						last = fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 8\r\n\r\nnot held", status,
							chat.HeaderRequestID, req.Header.Get(chat.HeaderRequestID), chat.HeaderAttempt, req.Header.Get(chat.HeaderAttempt))
					}
					_, _ = io.WriteString(c, last)
				}
			}()
			client := New(nil)
			address := "http://" + listener.Addr().String()
			_, err = client.Usage(context.Background(), Call{Address: address, RequestID: "r1", Attempt: "1@vm/1"})
			is.True(errors.Is(err, ErrNotHeld)) // a response of its own is one
			err = client.Resume(context.Background(), Call{Address: address, RequestID: "r2", Attempt: "2@vm/1"}, 1, nil)
			is.True(!errors.Is(err, ErrNotHeld))
			is.True(errors.Is(err, ErrMismatch))
		})
	}
}
