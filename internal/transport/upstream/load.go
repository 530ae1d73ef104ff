package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Load reads the load report of an upstream.
func (c *Client) Load(ctx context.Context, address string) (chat.LoadReport, error) {
	target := strings.TrimRight(address, "/") + "/v1/load"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return chat.LoadReport{}, errors.Wrap(err, "build load request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return chat.LoadReport{}, errors.Wrap(err, "read load")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return chat.LoadReport{}, errors.Newf("load request answered %s", resp.Status)
	}
	body, err := readAnswer(resp)
	if err != nil {
		return chat.LoadReport{}, err
	}
	var report chat.LoadReport
	return report, errors.Wrap(json.Unmarshal(body, &report), "decode load")
}
