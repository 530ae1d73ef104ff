package logclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
)

// VMs returns the platform's VM list. An error says nothing about any VM: a VM counts as stopped only if a
// successful response no longer lists it.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/vms", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build VM list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read VM list"), logstream.ErrUnavailable)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Mark(statusError(resp), logstream.ErrUnavailable)
	}
	// The pointer distinguishes a body without the field from an empty list.
	var out struct {
		VMs *[]vmlist.VM `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode VM list"), logstream.ErrUnavailable)
	}
	if out.VMs == nil {
		return nil, errors.Mark(errors.New("VM list response has no list"), logstream.ErrUnavailable)
	}
	return *out.VMs, nil
}
