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
	// statusTimeout bounds one question to one router.
	statusTimeout = 2 * time.Second
)

// RouterStatus is what one router says of itself.
type RouterStatus struct {
	Admin  string          `json:"admin"`
	Status json.RawMessage `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Late is a router on which a version is not in force, and why.
type Late struct {
	Admin  string `json:"admin"`
	Reason string `json:"reason"`
}

// Statuses asks each router in turn.
func Statuses(ctx context.Context, admins []string) []RouterStatus {
	all := make([]RouterStatus, len(admins))
	for i, admin := range admins {
		all[i].Admin = admin
		status, err := routerStatus(ctx, admin)
		if err != nil {
			all[i].Error = err.Error()
			continue
		}
		all[i].Status = status
	}
	return all
}

func routerStatus(ctx context.Context, admin string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	body, err := call(ctx, http.MethodGet, admin, "/admin/status")
	return json.RawMessage(body), err
}

// Drain asks a router to stop gracefully.
func Drain(ctx context.Context, admin string) error {
	_, err := call(ctx, http.MethodPost, admin, "/admin/drain")
	return err
}

// WaitInForce waits until a version is in force on all routers, and returns
// those on which it is not when the wait ends.
func WaitInForce(ctx context.Context, admins []string, version uint64, wait time.Duration) []Late {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		late := lateRouters(ctx, admins, version)
		if len(late) == 0 || sleep(ctx, pollInterval) != nil {
			return late
		}
	}
}

func lateRouters(ctx context.Context, admins []string, version uint64) []Late {
	var late []Late
	for _, admin := range admins {
		if reason := lateReason(ctx, admin, version); reason != "" {
			late = append(late, Late{Admin: admin, Reason: reason})
		}
	}
	return late
}

func lateReason(ctx context.Context, admin string, version uint64) string {
	body, err := routerStatus(ctx, admin)
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

func call(ctx context.Context, method, admin, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(admin, "/")+path, nil)
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
		return nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Newf("%s answered %s", admin, resp.Status)
	}
	return body, nil
}
