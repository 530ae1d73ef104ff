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

// maxInputTokens returns a router's upper bound on the input tokens of the request.
func maxInputTokens(t *testing.T, req chat.Request) int64 {
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

// TestOperatorDrainsRouter guards against a drain that aborts a stream, does not return the shares or does
// not end the process, and against a status that does not report the drain.
func TestOperatorDrainsRouter(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	engineURL := startStandin(t, "engine", "--token-interval", "30ms")
	key := publishEngines(t, logURL, engineURL)
	first, second := startRouter(t, "vm-1", logURL), startRouter(t, "vm-2", logURL)
	req := longRequest(true)
	pending := startCompletion(t, first.url, req, "")
	<-pending.firstByte
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
	checkCompleteStream(t, pending.wait(t), req)
	is.NoErr(first.cmd.Wait())

	// The second router can spend what the first one returned.
	remaining := longRequest(false)
	remaining.MaxTokens = testPrepaidTokens - requestCost(req) - maxInputTokens(t, remaining)
	completionResp, body := sendCompletion(t, second.url, remaining)
	is.Equal(fmt.Sprint(completionResp.StatusCode, " ", body[:min(len(body), 7)]), `200 {"id":"`)
	var balance httpapi.EntryBalance
	getJSON(t, second.admin+"/admin/balance?entry=bench", &balance)
	is.Equal(balance.Remaining, testPrepaidTokens-requestCost(req)-requestCost(remaining))
	second.shutdown(t)
	is.Equal(billedTokens(t, logURL, key), requestCost(req)+requestCost(remaining))
}
