package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func locations(findings []Finding) string {
	var all []string
	for _, f := range findings {
		all = append(all, f.Location)
	}
	return strings.Join(all, "; ")
}

// Guards against a start that reports only the first invalid setting, or that ignores a misspelt environment
// variable.
func TestAllFindingsAreReported(t *testing.T) {
	is := is.New(t)
	t.Setenv("DOTTERELTHREAD_LISTN", "x")
	t.Setenv("DOTTERELTHREAD_LOG_FORMAT", "xml")
	_, findings, err := Load([]string{"--bill-buffer=0", "--idle-timeout", "-1s", "--trace-exporter=otlp", "stray"})
	is.NoErr(err)
	is.Equal(locations(findings), "DOTTERELTHREAD_LISTN; argument stray; --bill-buffer (DOTTERELTHREAD_BILL_BUFFER); "+
		"--idle-timeout (DOTTERELTHREAD_IDLE_TIMEOUT); --log-url (DOTTERELTHREAD_LOG_URL); "+
		"--log-format (DOTTERELTHREAD_LOG_FORMAT); --trace-endpoint (DOTTERELTHREAD_TRACE_ENDPOINT)")
}

// Guards against a report that ends at the first value that cannot be parsed.
func TestAllUnparsableValuesAreReported(t *testing.T) {
	is := is.New(t)
	t.Setenv("DOTTERELTHREAD_GRANT_SIZE", "many")
	_, findings, err := Load([]string{"--dev", "--bill-buffer", "few", "--no-such", "--read-timeout=soon", "--vm"})
	is.NoErr(err)
	is.Equal(locations(findings), "--grant-size (DOTTERELTHREAD_GRANT_SIZE); --bill-buffer (DOTTERELTHREAD_BILL_BUFFER); "+
		"argument --no-such; --read-timeout (DOTTERELTHREAD_READ_TIMEOUT); --vm (DOTTERELTHREAD_VM)")
}

// Guards against default values that the checks reject, and against --help without ErrHelpRequested.
func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	_, findings, err := Load([]string{"--dev"})
	is.NoErr(err)
	is.Equal(locations(findings), "")
	_, _, err = Load([]string{"--help"})
	is.True(errors.Is(err, ErrHelpRequested))
}
