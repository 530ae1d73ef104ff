package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Guards against a stand-in that ignores the priority: tests could then not detect a router that does not
// send it.
func TestEngineRunsUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	engine := &Engine{Slots: 1, TokenInterval: 20 * time.Millisecond}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	ended := make(chan string, 3)
	var calls conc.WaitGroup
	send := func(id string, priority int) {
		calls.Go(func() {
			body := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"a b"}]}`
			req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
			is.NoErr(err)
			req.Header.Set(chat.HeaderRequestID, id)
			req.Header.Set(chat.HeaderPriority, fmt.Sprint(priority))
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			ended <- id
		})
		// Wait until the engine has started or queued the request, so that the order of arrival is fixed.
		for {
			if running, waiting := engine.slots.counts(); running+waiting >= int(engine.Runs.Load()) && engine.find(id) != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	send("first", 1)
	send("review", 1)
	send("urgent", 0)
	calls.Wait()
	is.Equal([]string{<-ended, <-ended, <-ended}, []string{"first", "urgent", "review"})
}

// Guards against a stand-in whose load reports are always current, unlike those of real engines.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	engine := &Engine{LoadLag: time.Hour}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	started := func() int64 {
		resp, err := http.Get(server.URL + "/v1/load")
		is.NoErr(err)
		defer resp.Body.Close()
		var report chat.LoadReport
		is.NoErr(json.NewDecoder(resp.Body).Decode(&report))
		return report.Started
	}
	is.Equal(started(), int64(0))
	engine.Runs.Add(1)
	is.Equal(started(), int64(0))
	engine.LoadLag = 0
	is.Equal(started(), int64(1))
}
