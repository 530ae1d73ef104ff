package logclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
)

// Guards against reporting that an append did not take effect although it may have: of the 5xx statuses, only
// 503 means that it did not.
func TestAppendOutcomeByResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"unavailable", http.StatusServiceUnavailable, "", logstream.ErrUnavailable},
		{"bad gateway", http.StatusBadGateway, "", logstream.ErrOutcomeUnknown},
		{"internal error", http.StatusInternalServerError, "", logstream.ErrOutcomeUnknown},
		{"truncated response", http.StatusOK, `{"off`, logstream.ErrOutcomeUnknown},
		{"no offset", http.StatusOK, `{}`, logstream.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := New(server.URL).Append(context.Background(), "s", nil)
			is.True(errors.Is(err, c.want))
		})
	}
}

// Guards against reporting a refused connection as an unknown outcome.
func TestAppendWithoutConnection(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	server.Close()
	_, err := New(server.URL).Append(context.Background(), "s", nil)
	is.True(errors.Is(err, logstream.ErrUnavailable))
	is.True(!errors.Is(err, logstream.ErrOutcomeUnknown))
}
