package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Load returns the load report of an upstream.
func (c *Client) Load(ctx context.Context, address string) (chat.LoadReport, error) {
	var report chat.LoadReport
	err := c.getJSON(ctx, address, "/v1/load", &report)
	return report, err
}

// CacheEvents returns the changes of an engine's prefix cache after event number after.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (chat.CacheEvents, error) {
	var events chat.CacheEvents
	err := c.getJSON(ctx, address, "/v1/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, address, path string, v any) error {
	target := strings.TrimRight(address, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s responded %s", path, resp.Status)
	}
	body, err := c.readBody(resp)
	if err != nil {
		return err
	}
	defer body.Release()
	return errors.Wrapf(json.Unmarshal(body.Bytes(), v), "decode %s", path)
}
