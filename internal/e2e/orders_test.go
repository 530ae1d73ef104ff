package e2e

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// engineState is what an engine tells of its orders.
type engineState struct {
	Models map[string]struct{ Version string }
	Fence  uint64
}

func stateOf(t *testing.T, url string) engineState {
	t.Helper()
	var s engineState
	getJSON(t, url+"/v1/engine", &s)
	return s
}

// TestOrderHolderIsReplaced guards against engine orders that stop for good when
// the router that gives them is killed, and against an old holder's fencing
// number on the new one's orders.
func TestOrderHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--checks-fencing")
	publishSample(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	publishOrder(t, logURL, 1, "v1", "e1")
	waitFor(t, func() bool { return stateOf(t, engineURL).Models[testModel].Version == "v1" })
	first := stateOf(t, engineURL).Fence
	holder := orderHolder(t, logURL)
	for i, r := range f.routers {
		if r.holder(t) == string(holder) {
			is.NoErr(r.cmd.Process.Kill())
			f.unlist(t, i)
		}
	}
	publishOrder(t, logURL, 2, "v2", "e1")
	waitFor(t, func() bool { return stateOf(t, engineURL).Models[testModel].Version == "v2" })
	is.True(stateOf(t, engineURL).Fence > first)
}

// TestLoadsKeepTheStoresRate guards against a fleet that asks the weight store for
// more than its rate when many engines have to load at once.
func TestLoadsKeepTheStoresRate(t *testing.T) {
	is := is.New(t)
	logURL, store := startStandin(t, "log"), startStandin(t, "weights", "--rate", "0.5")
	var engines, urls []string
	for i := range 4 {
		engines = append(engines, fmt.Sprintf("e%d", i+1))
		urls = append(urls, startStandin(t, "engine", "--weights-url", store))
	}
	publishSample(t, logURL, urls...)
	startFleet(t, 3, logURL, "--weight-pulls-per-second", "0.4")
	publishOrder(t, logURL, 1, "v1", engines...)
	// A lease is taken after 15 s at most; four loads take 10 s at this rate.
	waitWithin(t, time.Minute, func() bool {
		for _, url := range urls {
			if stateOf(t, url).Models[testModel].Version != "v1" {
				return false
			}
		}
		return true
	})
	var counts standin.WeightCounts
	getJSON(t, store+"/weights", &counts)
	is.Equal(counts, standin.WeightCounts{Pulls: 4})
}

// publishOrder declares that engines have a version of the test model loaded.
func publishOrder(t *testing.T, logURL string, base uint64, version string, engines ...string) {
	t.Helper()
	var desired []catalogue.EngineOrder
	for _, engine := range engines {
		desired = append(desired, catalogue.EngineOrder{
			Name: "load-" + engine, Upstream: engine, Models: []catalogue.EngineModel{{Model: testModel, Version: version}},
		})
	}
	data, err := json.Marshal(configsync.Update{
		ID: "order-" + version, Base: base, Upserts: catalogue.Catalogue{EngineOrders: desired},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := logclient.New(logURL).Append(t.Context(), record.ConfigStream, data); err != nil {
		t.Fatal(err)
	}
}

// orderHolder returns the holder of the newest order lease in the log.
func orderHolder(t *testing.T, logURL string) record.HolderID {
	t.Helper()
	page, err := logclient.New(logURL).Read(t.Context(), record.OrdersStream, 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	var holder record.HolderID
	for _, r := range page.Records {
		items, _, err := record.Decode(r.Data)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range items {
			if item.OrderLease != nil {
				holder = item.OrderLease.Holder
			}
		}
	}
	return holder
}

func (r *router) holder(t *testing.T) string {
	t.Helper()
	var status struct {
		Holder string `json:"holder"`
	}
	getJSON(t, r.admin+"/admin/status", &status)
	return status.Holder
}
