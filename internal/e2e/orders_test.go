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

// engineState is the part of an engine's state that its orders determine.
type engineState struct {
	Models map[string]struct{ Version string }
	Fence  uint64
}

func readEngineState(t *testing.T, url string) engineState {
	t.Helper()
	var s engineState
	getJSON(t, url+"/v1/engine", &s)
	return s
}

// TestOrderLeaseHolderIsReplaced guards against engine orders that are never sent again after the router that
// sends them is killed, and against a new holder that sends orders with the fencing token of the previous
// one.
func TestOrderLeaseHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--checks-fencing")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, 3, logURL)
	publishEngineOrder(t, logURL, 1, "v1", "e1")
	waitFor(t, func() bool { return readEngineState(t, engineURL).Models[testModel].Version == "v1" })
	firstToken := readEngineState(t, engineURL).Fence
	holder := orderLeaseHolder(t, logURL)
	for i, r := range f.routers {
		if r.holderID(t) == string(holder) {
			is.NoErr(r.cmd.Process.Kill())
			f.removeFromVMList(t, i)
		}
	}
	publishEngineOrder(t, logURL, 2, "v2", "e1")
	waitFor(t, func() bool { return readEngineState(t, engineURL).Models[testModel].Version == "v2" })
	is.True(readEngineState(t, engineURL).Fence > firstToken)
}

// TestModelLoadsKeepWeightStoreRate guards against a fleet that exceeds the weight store's rate limit when
// many engines have to load at once.
func TestModelLoadsKeepWeightStoreRate(t *testing.T) {
	is := is.New(t)
	logURL, storeURL := startStandin(t, "log"), startStandin(t, "weights", "--rate", "0.5")
	var engines, urls []string
	for i := range 4 {
		engines = append(engines, fmt.Sprintf("e%d", i+1))
		urls = append(urls, startStandin(t, "engine", "--weights-url", storeURL))
	}
	publishEngines(t, logURL, urls...)
	startFleet(t, 3, logURL, "--weight-pulls-per-second", "0.4")
	publishEngineOrder(t, logURL, 1, "v1", engines...)
	// A router acquires the lease within 15 s; four loads take 10 s at this rate.
	waitWithin(t, time.Minute, func() bool {
		for _, url := range urls {
			if readEngineState(t, url).Models[testModel].Version != "v1" {
				return false
			}
		}
		return true
	})
	var counts standin.WeightCounts
	getJSON(t, storeURL+"/weights", &counts)
	is.Equal(counts, standin.WeightCounts{Pulls: 4})
}

// publishEngineOrder publishes one order per engine: that it has a version of the test model loaded. base is
// the configuration version that the update is based on.
func publishEngineOrder(t *testing.T, logURL string, base uint64, version string, engines ...string) {
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

// orderLeaseHolder returns the holder of the latest order lease in the log.
func orderLeaseHolder(t *testing.T, logURL string) record.HolderID {
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

func (r *router) holderID(t *testing.T) string {
	t.Helper()
	var status struct {
		Holder string `json:"holder"`
	}
	getJSON(t, r.admin+"/admin/status", &status)
	return status.Holder
}
