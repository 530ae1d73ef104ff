package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxStatusBytes = 1 << 20
	pollInterval   = 100 * time.Millisecond
	// statusTimeout is the time limit of one status request to one router.
	statusTimeout = 2 * time.Second
)

// RouterStatus is the status that one router reports, or the error of the request for it.
type RouterStatus struct {
	AdminURL string          `json:"admin"`
	Status   json.RawMessage `json:"status,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// Late names a router on which a version is not active yet, and the reason.
type Late struct {
	AdminURL string `json:"admin"`
	Reason   string `json:"reason"`
}

// RouterStatuses queries the routers one after another.
func RouterStatuses(ctx context.Context, adminURLs []string) []RouterStatus {
	all := make([]RouterStatus, len(adminURLs))
	for i, adminURL := range adminURLs {
		all[i].AdminURL = adminURL
		status, err := routerStatus(ctx, adminURL)
		if err != nil {
			all[i].Error = err.Error()
			continue
		}
		all[i].Status = status
	}
	return all
}

func routerStatus(ctx context.Context, adminURL string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	body, err := callAdmin(ctx, http.MethodGet, adminURL, "/admin/status")
	return json.RawMessage(body), err
}

// Drain requests a graceful shutdown of a router.
func Drain(ctx context.Context, adminURL string) error {
	_, err := callAdmin(ctx, http.MethodPost, adminURL, "/admin/drain")
	return err
}

// WaitActive waits until a version or a newer one is active on all routers. It returns the routers on which it
// is not active at the timeout.
func WaitActive(ctx context.Context, adminURLs []string, version uint64, timeout time.Duration) []Late {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		late := lateRouters(ctx, adminURLs, version)
		if len(late) == 0 || sleep(ctx, pollInterval) != nil {
			return late
		}
	}
}

func lateRouters(ctx context.Context, adminURLs []string, version uint64) []Late {
	var late []Late
	for _, adminURL := range adminURLs {
		if reason := lateReason(ctx, adminURL, version); reason != "" {
			late = append(late, Late{AdminURL: adminURL, Reason: reason})
		}
	}
	return late
}

// lateReason returns why a version is not active on a router, or "" if it or a newer one is active.
func lateReason(ctx context.Context, adminURL string, version uint64) string {
	body, err := routerStatus(ctx, adminURL)
	if err != nil {
		return err.Error()
	}
	var status struct {
		Version uint64 `json:"config_version"`
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return "status is not readable: " + err.Error()
	}
	if status.Version < version {
		return fmt.Sprintf("version %d is in force", status.Version)
	}
	return ""
}

func callAdmin(ctx context.Context, method, adminURL, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(adminURL, "/")+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Newf("%s responded %s", adminURL, resp.Status)
	}
	return body, nil
}
