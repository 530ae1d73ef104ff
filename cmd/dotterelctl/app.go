package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/dotterelthread/dotterelthread/internal/operator"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// Exit codes of the tool. Scripts rely on them, so they never change.
const (
	exitOK                = 0
	exitFailed            = 1
	exitUsage             = 2
	exitCatalogueFindings = 3
	exitConflict          = 4
	exitUnavailable       = 5
	exitNotFound          = 6
	// exitLate means that a published version was not active on every router when --wait ended.
	exitLate          = 7
	exitAuditFindings = 8
)

type options struct {
	LogURL     string        `long:"log-url" env:"DOTTERELCTL_LOG_URL" default:"http://127.0.0.1:7000" description:"base URL of the platform's log"`
	Partitions int           `long:"ledger-partitions" env:"DOTTERELCTL_LEDGER_PARTITIONS" default:"8" description:"number of ledger streams; must be the same as in the routers"`
	Output     string        `long:"output" env:"DOTTERELCTL_OUTPUT" default:"text" description:"output format: text or json"`
	Timeout    time.Duration `long:"timeout" env:"DOTTERELCTL_TIMEOUT" default:"30s" description:"time limit of one command, including --wait"`
	Author     string        `long:"author" env:"DOTTERELCTL_AUTHOR" default:"operator" description:"author recorded with each change"`
}

// app holds the global options, which all commands share.
type app struct {
	options options
}

var (
	errCatalogueFindings = errors.New("the catalogue file has findings")
	errAuditFindings     = errors.New("the audit has findings")
	errLate              = errors.New("the version is not in force on every router")
)

// reportError prints an error to standard error and returns its exit code. The help text is not an error.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "dotterelctl:", err)
	var conflict *operator.ConflictError
	var usage *flags.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errCatalogueFindings):
		return exitCatalogueFindings
	case errors.As(err, &conflict):
		printChanges(os.Stderr, "the accepted version differs from the file:", conflict.Changes)
		return exitConflict
	case errors.Is(err, errAuditFindings):
		return exitAuditFindings
	case errors.Is(err, errLate):
		return exitLate
	case errors.IsAny(err, logstream.ErrUnavailable, logstream.ErrOutcomeUnknown):
		return exitUnavailable
	case errors.Is(err, operator.ErrNoEntry):
		return exitNotFound
	}
	return exitFailed
}

func (a *app) client() *operator.Client {
	return &operator.Client{Log: logclient.New(a.options.LogURL), Partitions: a.options.Partitions}
}

// context returns a context that ends after --timeout. A command uses one for all its calls.
func (a *app) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), a.options.Timeout)
}

// print writes v as JSON, or calls text to write it as text, according to --output.
func (a *app) print(v any, text func(io.Writer)) error {
	switch a.options.Output {
	case "json":
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "text":
		text(os.Stdout)
		return nil
	}
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--output must be text or json"}
}

// readCatalogue parses a catalogue file and prints its findings to standard error.
func readCatalogue(file string) (catalogue.Catalogue, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return catalogue.Catalogue{}, errors.Wrap(err, "read catalogue")
	}
	c, findings := catalogue.Parse(file, data)
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(findings) > 0 {
		return catalogue.Catalogue{}, errors.Wrapf(errCatalogueFindings, "%d findings", len(findings))
	}
	return c, nil
}

func printChanges(w io.Writer, title string, changes []catalogue.Change) {
	fmt.Fprintln(w, title)
	for _, c := range changes {
		fmt.Fprintln(w, " ", c)
	}
}
