package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// TestEnginesRequestLimitHoldsAcrossRouters guards against routers that together send an engine more requests than the
// limit that it names, and against refusals while another engine has room.
func TestEnginesRequestLimitHoldsAcrossRouters(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	limited := startStandin(t, "engine", "--request-limit", "1")
	var upstreams []catalogue.Upstream
	for i, url := range []string{limited, startStandin(t, "engine"), startStandin(t, "engine")} {
		upstreams = append(upstreams, catalogue.Upstream{
			Name: fmt.Sprint("e", i), Kind: catalogue.KindEngine, Address: url, Models: []string{testModel},
		})
	}
	publishCatalogue(t, logURL, upstreams)
	f := startFleet(t, 3, logURL)
	var before int64
	send := func(total time.Duration) {
		var requests sync.WaitGroup
		for end, i := time.Now().Add(total), 0; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			i++
			for j, r := range f.routers {
				requests.Go(func() {
					resp, body := sendCompletion(t, r.url, chat.Request{
						Model: testModel, MaxTokens: 1, Messages: []chat.Message{{Role: "user", Content: fmt.Sprint(i, j)}},
					})
					if resp.StatusCode != http.StatusOK {
						t.Errorf("request was refused: %s %s", resp.Status, body)
					}
				})
			}
		}
		requests.Wait()
	}
	send(3 * time.Second)
	before = startedRequests(t, limited)
	is.True(before > 0)
	send(4 * time.Second)
	if n := startedRequests(t, limited) - before; n > 11 {
		t.Errorf("the engine names a limit of 1 a second and got %d requests in 4 s", n)
	}
}
