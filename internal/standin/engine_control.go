package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// engineOrder is the body of POST /v1/engine/orders.
type engineOrder struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

// loadedModel is one model in the response to GET /v1/engine.
type loadedModel struct {
	Version  string
	Adapters []string
	Loading  bool
}

// engineControl is the part of an engine's state that engine orders change. In its zero value no model is loaded.
type engineControl struct {
	mu                  sync.Mutex
	models              map[string]loadedModel
	role                string
	highestFencingToken uint64
	// applied counts the orders that were not refused.
	applied int
}

// engineStateResponse is the response to GET /v1/engine.
type engineStateResponse struct {
	Models  map[string]loadedModel
	Role    string
	Fence   uint64
	Applied int
}

func (e *Engine) handleEngineState(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c := &e.control
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(engineStateResponse{Models: c.models, Role: c.role, Fence: c.highestFencingToken, Applied: c.applied})
}

func (e *Engine) handleOrder(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	var o engineOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Kind == "load" && !e.pullWeights(req.Context(), o) {
		http.Error(w, "weights are not available", http.StatusServiceUnavailable)
		return
	}
	if !e.control.apply(o, e.ChecksFencing) {
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

// pullWeights fetches the weights of a model from the weight store unless its version is loaded. It reports
// whether the model can be loaded.
func (e *Engine) pullWeights(ctx context.Context, o engineOrder) bool {
	if e.WeightsURL == "" || e.control.isLoaded(o.Model, o.Version) {
		return true
	}
	url := fmt.Sprintf("%s/weights/%s/%s", e.WeightsURL, o.Model, o.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *engineControl) isLoaded(model, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.models[model].Version == version
}

// apply applies an order and reports whether it was accepted. Repeated orders leave the models and the role
// unchanged.
func (c *engineControl) apply(o engineOrder, checksFencing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if checksFencing && o.Fence < c.highestFencingToken {
		return false
	}
	c.highestFencingToken = max(c.highestFencingToken, o.Fence)
	c.applied++
	models := maps.Clone(c.models)
	if models == nil {
		models = make(map[string]loadedModel)
	}
	switch o.Kind {
	case "load":
		models[o.Model] = loadedModel{Version: o.Version}
	case "unload":
		delete(models, o.Model)
	case "adapter":
		m := models[o.Model]
		if !slices.Contains(m.Adapters, o.Adapter) {
			m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
		}
		models[o.Model] = m
	case "role":
		c.role = o.Role
	}
	c.models = models
	return true
}
