package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Guards against a caller that reads slowly and all the time, and that loses the rest of a large response when one write of it
// takes longer than the write timeout.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	const (
		bodyBytes    = 16 << 20
		duration     = 5 * time.Second
		callerBuffer = 32 << 10
	)
	is := is.New(t)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(chat.HeaderRequestID, r.Header.Get(chat.HeaderRequestID))
		w.Header().Set(chat.HeaderAttempt, r.Header.Get(chat.HeaderAttempt))
		w.Header().Set("Content-Length", fmt.Sprint(bodyBytes))
		_, _ = w.Write(bytes.Repeat([]byte("x"), bodyBytes))
	}))
	t.Cleanup(service.Close)
	logURL := startStandin(t, "log")
	publishCatalogue(t, logURL, []catalogue.Upstream{{
		Name: "s1", Kind: catalogue.KindService, Service: testService, Address: service.URL, RequestTokens: 5,
		IdempotentMethods: []string{http.MethodGet},
	}})
	r := startRouter(t, "vm-1", logURL, "--write-timeout", "1s")
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerBuffer) })
		if err != nil {
			return err
		}
		return optErr
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", strings.TrimPrefix(r.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /v1/services/%s/large HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testService, testCredential)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, callerBuffer), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	start, arrived := time.Now(), int64(0)
	for err == nil && arrived < bodyBytes {
		// Reads at a constant rate, whatever the machine's load.
		time.Sleep(time.Until(start.Add(duration * time.Duration(arrived>>10) / (bodyBytes >> 10))))
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, min(callerBuffer, bodyBytes-arrived))
		arrived += n
	}
	t.Logf("%d of %d bytes arrived in %s, error %v", arrived, bodyBytes, time.Since(start), err)
	is.NoErr(err)
}
