package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

type clock struct{ current time.Time }

func (c *clock) now() time.Time { return c.current }

// Guards against a client that does not distinguish the log's failures: each fault must reach the caller over
// HTTP as its own sentinel error.
func TestLogFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &clock{current: time.Unix(1000, 0)}
	log := NewLogWithClock(c.now)
	server := httptest.NewServer(LogHandler(log))
	defer server.Close()
	client := logclient.New(server.URL)
	appendOne := func() error {
		_, err := client.Append(ctx, "s", []byte("x"))
		return err
	}

	is.NoErr(appendOne())
	log.SetFaults(LogFaults{Down: true})
	is.True(errors.Is(appendOne(), logstream.ErrUnavailable))
	log.SetFaults(LogFaults{LoseResponses: 1})
	is.True(errors.Is(appendOne(), logstream.ErrOutcomeUnknown)) // took effect
	log.SetFaults(LogFaults{LateAppends: 1})
	is.True(errors.Is(appendOne(), logstream.ErrOutcomeUnknown)) // takes effect after the next append
	is.NoErr(appendOne())
	page, err := client.Read(ctx, "s", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(page.Records), 4)

	c.current = c.current.Add(time.Hour)
	is.NoErr(appendOne())
	log.SetFaults(LogFaults{RetainAge: time.Minute})
	_, err = client.Read(ctx, "s", 1, 10, 0)
	is.True(errors.Is(err, logstream.ErrTrimmed))
	log.SetFaults(LogFaults{Delay: time.Minute})
	slow, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = client.Append(slow, "s", nil)
	is.True(errors.Is(err, logstream.ErrOutcomeUnknown)) // a response after the timeout is an unknown outcome
}

// Guards against a list without lag, which would hide faults of its readers, and against an error that a
// reader takes for an empty list.
func TestVMListLags(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &clock{current: time.Unix(1000, 0)}
	server := httptest.NewServer(NewVMList(10*time.Second, c.now).Handler())
	defer server.Close()
	client := logclient.New(server.URL)
	vm := vmlist.VM{ID: "vm-1", Address: "127.0.0.1", Zone: "z", Region: "r", State: vmlist.StateLeaving}
	send := func(method string) {
		body, err := json.Marshal(vm)
		is.NoErr(err)
		req, err := http.NewRequest(method, server.URL+"/vms/vm-1", bytes.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	expect := func(want ...vmlist.VM) {
		t.Helper()
		got, err := client.VMs(ctx)
		is.NoErr(err)
		is.Equal(len(got), len(want))
		for i := range want {
			is.Equal(got[i], want[i])
		}
	}

	send(http.MethodPut)
	expect()
	c.current = c.current.Add(10 * time.Second)
	expect(vm)
	send(http.MethodDelete)
	expect(vm)
	c.current = c.current.Add(10 * time.Second)
	expect()

	_, err := logclient.New(server.URL + "/missing").VMs(ctx)
	is.True(errors.Is(err, logstream.ErrUnavailable))
}
