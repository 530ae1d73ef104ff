package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/orders"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// Control sends orders to engines. It implements orders.Control.
type Control struct{ client *Client }

// NewControl returns a Control that uses the client's connections.
func NewControl(client *Client) *Control { return &Control{client: client} }

// State implements orders.Control.
func (c *Control) State(ctx context.Context, engine *catalogue.Upstream) (orders.EngineState, error) {
	body, err := c.call(ctx, http.MethodGet, engine.Address+"/v1/engine", nil)
	if err != nil {
		return orders.EngineState{}, err
	}
	defer body.Release()
	var state orders.EngineState
	return state, errors.Wrap(json.Unmarshal(body.Bytes(), &state), "decode engine state")
}

// Apply implements orders.Control.
func (c *Control) Apply(ctx context.Context, engine *catalogue.Upstream, o orders.Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	body, err := c.call(ctx, http.MethodPost, engine.Address+"/v1/engine/orders", data)
	body.Release()
	return err
}

func (c *Control) call(ctx context.Context, method, url string, body []byte) (*membuf.Buffer, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build engine request")
	}
	resp, err := c.client.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return nil, orders.ErrStaleFencingToken
	case resp.StatusCode != http.StatusOK:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
		return nil, errors.Newf("engine responded %s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return c.client.readBody(resp)
}
