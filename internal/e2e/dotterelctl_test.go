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

// runDotterelctl runs dotterelctl and returns its output and exit code.
func runDotterelctl(t *testing.T, logURL string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "dotterelctl"), append([]string{"--log-url", logURL, "--timeout", "10s"}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func writeCatalogueFile(t *testing.T, replacements ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	data := strings.NewReplacer(replacements...).Replace(`
entries:
  - name: bench
    owner: ops
    team: setters
    class: interactive
    models: [model-1]
    credentials: [` + catalogue.HashCredential(testCredential) + `]
    prepaid: [{id: first, tokens: 1000}]
upstreams:
  - {name: e1, kind: engine, address: "http://127.0.0.1:9", models: [model-1]}
`)
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestDotterelctlExitCodes guards against a changed exit code, which would make scripts mistake a refused
// change for an applied one.
func TestDotterelctlExitCodes(t *testing.T) {
	is := is.New(t)
	logURL := startStandin(t, "log")
	valid := writeCatalogueFile(t)
	for _, step := range []struct {
		code int
		args []string
	}{
		{0, []string{"validate", valid}},
		{2, []string{"publish", valid}},
		{2, []string{"no-such-command"}},
		{3, []string{"validate", writeCatalogueFile(t, "interactive", "urgent")}},
		{0, []string{"publish", "--base", "0", valid}},
		{0, []string{"publish", "--base", "0", valid}},
		{4, []string{"publish", "--base", "0", writeCatalogueFile(t, "setters", "foremen")}},
		{0, []string{"topup", "--id", "t1", "bench", "500"}},
		{6, []string{"topup", "--id", "t1", "nobody", "500"}},
		{6, []string{"balance", "nobody"}},
		{0, []string{"audit"}},
	} {
		out, code := runDotterelctl(t, logURL, step.args...)
		if code != step.code {
			t.Errorf("%v: exit code %d instead of %d: %s", step.args, code, step.code, out)
		}
	}
	out, code := runDotterelctl(t, logURL, "balance", "bench", "--output", "json")
	is.Equal(code, 0)
	var balances []struct{ Prepaid int64 }
	is.NoErr(json.Unmarshal([]byte(out), &balances))
	is.Equal(balances[0].Prepaid, int64(1500))
	_, code = runDotterelctl(t, "http://127.0.0.1:9", "balance")
	is.Equal(code, 5)
}
