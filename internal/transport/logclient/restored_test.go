package logclient_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// Guards against a process that goes on with a log that was restored from an older copy: the log has grown past the offset
// that is read next, with records of another history.
func TestRestoredLogIsNotRead(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	log := standin.NewLog()
	server := httptest.NewServer(standin.LogHandler(log))
	defer server.Close()
	client := logclient.New(server.URL)
	add := func(c *logclient.Client, text string) error {
		_, err := c.Append(ctx, "s", []byte(text))
		return err
	}
	is.NoErr(add(client, "kept"))
	copied := log.Copy()
	is.NoErr(add(client, "lost"))
	log.Restore(copied)
	other := logclient.New(server.URL)
	for range 3 {
		is.NoErr(add(other, "other"))
	}
	_, err := client.Read(ctx, "s", 3, 10, 0)
	is.True(errors.Is(err, logstream.ErrRestored))
	is.True(errors.Is(err, logstream.ErrUnavailable))
	err = add(client, "late")
	is.True(errors.Is(err, logstream.ErrRestored) && errors.Is(err, logstream.ErrUnavailable))
	page, err := other.Read(ctx, "s", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(page.Records), 4) // one kept, three others, and nothing of the client
}
