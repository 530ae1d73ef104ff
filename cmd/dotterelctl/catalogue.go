package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/operator"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"catalogue file"`
}

type validateCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	parsed, err := readCatalogue(c.Args.File)
	if err != nil {
		return err
	}
	summary := struct {
		Entries   int `json:"entries"`
		Upstreams int `json:"upstreams"`
	}{len(parsed.Entries), len(parsed.Upstreams)}
	return c.app.print(summary, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d entries, %d upstreams, no findings\n", c.Args.File, summary.Entries, summary.Upstreams)
	})
}

type diffCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	want, err := readCatalogue(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.context()
	defer cancel()
	state, err := c.app.client().Config(ctx)
	if err != nil {
		return err
	}
	result := struct {
		Base    uint64             `json:"base"`
		Changes []catalogue.Change `json:"changes"`
	}{state.Version(), catalogue.Diff(state.Catalogue(), want).Changes}
	return c.app.print(result, func(w io.Writer) {
		printChanges(w, fmt.Sprintf("changes to version %d (publish with --base %d):", result.Base, result.Base), result.Changes)
	})
}

type publishCommand struct {
	app       *app
	Base      uint64        `long:"base" env:"DOTTERELCTL_BASE" required:"yes" description:"version that the file is based on, as printed by diff; 0 for the first version"`
	Wait      time.Duration `long:"wait" env:"DOTTERELCTL_WAIT" description:"time to wait until the version is active on the routers given by --admin-url, within --timeout; 0 (or no --admin-url) means no wait"`
	AdminURLs []string      `long:"admin-url" env:"DOTTERELCTL_ADMIN_URLS" env-delim:"," description:"admin URL of a router; may be repeated"`
	Args      fileArgument  `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	want, err := readCatalogue(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.context()
	defer cancel()
	published, err := c.app.client().Publish(ctx, want, c.Base, c.app.options.Author)
	if err != nil {
		return err
	}
	result := struct {
		operator.PublishResult
		Late []operator.Late `json:"late,omitempty"`
	}{PublishResult: published}
	if c.Wait > 0 {
		result.Late = operator.WaitActive(ctx, c.AdminURLs, published.Version, c.Wait)
	}
	err = c.app.print(result, func(w io.Writer) {
		printChanges(w, fmt.Sprintf("version %d accepted", published.Version), published.Changes)
		for _, late := range result.Late {
			fmt.Fprintf(w, "late: %s: %s\n", late.AdminURL, late.Reason)
		}
	})
	if err == nil && len(result.Late) > 0 {
		return errLate
	}
	return err
}

type hashCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *hashCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return errors.Wrap(err, "read credential")
	}
	hash := catalogue.HashCredential(strings.TrimRight(line, "\r\n"))
	return c.app.print(map[string]string{"sha256": hash}, func(w io.Writer) { fmt.Fprintln(w, hash) })
}
