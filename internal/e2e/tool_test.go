package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// tool runs dotterelctl to its end and returns its output and exit code.
func tool(t *testing.T, logURL string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "dotterelctl"), append([]string{"--log-url", logURL, "--timeout", "10s"}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func catalogueFile(t *testing.T, replace ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	data := strings.NewReplacer(replace...).Replace(`
entries:
  - name: bench
    owner: ops
    team: setters
    class: interactive
    models: [model-1]
    credentials: [` + catalogue.HashCredential(testSecret) + `]
    prepaid: [{id: first, tokens: 1000}]
upstreams:
  - {name: e1, kind: engine, address: "http://127.0.0.1:9", models: [model-1]}
`)
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestToolExitCodes guards against scripts that take a refused change for a done
// one because an exit code has changed.
func TestToolExitCodes(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	good := catalogueFile(t)
	for _, step := range []struct {
		code int
		args []string
	}{
		{0, []string{"validate", good}},
		{2, []string{"publish", good}},
		{2, []string{"no-such-command"}},
		{3, []string{"validate", catalogueFile(t, "interactive", "urgent")}},
		{0, []string{"publish", "--base", "0", good}},
		{0, []string{"publish", "--base", "0", good}},
		{4, []string{"publish", "--base", "0", catalogueFile(t, "setters", "foremen")}},
		{0, []string{"topup", "--id", "t1", "bench", "500"}},
		{6, []string{"topup", "--id", "t1", "nobody", "500"}},
		{6, []string{"balance", "nobody"}},
		{0, []string{"audit"}},
	} {
		out, code := tool(t, logURL, step.args...)
		if code != step.code {
			t.Errorf("%v: exit code %d instead of %d: %s", step.args, code, step.code, out)
		}
	}
	out, code := tool(t, logURL, "balance", "bench", "--output", "json")
	is.Equal(code, 0)
	var balances []struct{ Prepaid int64 }
	is.NoErr(json.Unmarshal([]byte(out), &balances))
	is.Equal(balances[0].Prepaid, int64(1500))
	_, code = tool(t, "http://127.0.0.1:9", "balance")
	is.Equal(code, 5)
}
