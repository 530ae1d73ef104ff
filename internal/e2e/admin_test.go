package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

func inputBound(t *testing.T, req chat.Request) int64 {
	t.Helper()
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	return parsed.InputBound()
}

// TestOperatorDrainsRouter guards against a drain that cuts a stream, hands back
// no shares or does not end the process, and against a status that hides it.
func TestOperatorDrainsRouter(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engineURL := startStandin(t, "engine", "--token-interval", "30ms")
	key := publishSample(t, logURL, engineURL)
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := slowRequest(true)
	c := beginAsk(t, first.url, req, "")
	<-c.begun
	var status httpapi.Status
	getJSON(t, first.admin+"/admin/status", &status)
	is.Equal(status.VM, "vm-1")
	is.True(status.Ready && !status.Draining)
	is.Equal(status.OpenRequests, int64(1))
	is.Equal(status.RequestStates["streaming"], 1)
	resp, err := http.Post(first.admin+"/admin/drain", "", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusAccepted)
	resp.Body.Close()
	waitFor(t, func() bool {
		getJSON(t, first.admin+"/admin/status", &status)
		return status.Draining && !status.Ready
	})
	checkWhole(t, c.wait(t), req)
	is.NoErr(first.cmd.Wait())

	// What the first router did not spend is free for the second one.
	all := slowRequest(false)
	all.MaxTokens = testPrepaid - requestCost(req) - inputBound(t, all)
	answer, body := ask(t, second.url, all)
	is.Equal(fmt.Sprint(answer.StatusCode, " ", body[:min(len(body), 7)]), `200 {"id":"`)
	var balance httpapi.EntryBalance
	getJSON(t, second.admin+"/admin/balance?entry=bench", &balance)
	is.Equal(balance.Remaining, testPrepaid-requestCost(req)-requestCost(all))
	second.stop(t)
	is.Equal(billed(t, logURL, key), requestCost(req)+requestCost(all))
}
