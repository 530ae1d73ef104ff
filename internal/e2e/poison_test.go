package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// TestPoisonRequestIsStoppedInTheFleet guards against a request that crashes each
// upstream that runs it and that its caller sends again through other routers,
// under a new id each time.
func TestPoisonRequestIsStoppedInTheFleet(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	var upstreams []catalogue.Upstream
	var engines []*process
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		engine, url := startStandinProcess(t, "engine", "--crash-on", "poison")
		engines = append(engines, engine)
		upstreams = append(upstreams, catalogue.Upstream{
			Name: name, Kind: catalogue.KindEngine, Address: url, Models: []string{testModel},
		})
	}
	publishUpstreams(t, logURL, upstreams)
	f := startFleet(t, 3, logURL)
	poison := chat.Request{
		Model: testModel, MaxTokens: 8, Messages: []chat.Message{{Role: "user", Content: "the poison request"}},
	}
	stopped := 0
	for i := range 10 {
		_, body := ask(t, f.routers[i%3].url, poison)
		var e struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		is.NoErr(json.Unmarshal([]byte(body), &e))
		if e.Error.Code == "request_quarantined" {
			stopped++
		}
		// Callers send again after a moment; by then the routers know.
		time.Sleep(500 * time.Millisecond)
	}
	// One crash makes the request a suspect, two more blame it.
	is.Equal(crashed(engines), 3)
	is.Equal(stopped, 7)
	for _, r := range f.routers {
		resp, body := ask(t, r.url, question(1))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("a neighbour was refused: %s %s", resp.Status, strings.TrimSpace(body))
		}
	}
}

// crashed counts the engines whose output has ended.
func crashed(engines []*process) int {
	n := 0
	for _, e := range engines {
		select {
		case _, open := <-e.lines:
			if !open {
				n++
			}
		default:
		}
	}
	return n
}
