package main

import (
	"fmt"
	"io"

	"github.com/dotterelthread/dotterelthread/internal/operator"
)

type adminOptions struct {
	AdminURLs []string `long:"admin-url" env:"DOTTERELCTL_ADMIN_URLS" env-delim:"," default:"http://127.0.0.1:8081" description:"admin URL of a router; may be repeated"`
}

type statusCommand struct {
	app *app
	adminOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	statuses := operator.RouterStatuses(ctx, c.AdminURLs)
	return c.app.print(statuses, func(w io.Writer) {
		for _, s := range statuses {
			if s.Error != "" {
				fmt.Fprintf(w, "%s: unreachable: %s\n", s.AdminURL, s.Error)
				continue
			}
			fmt.Fprintf(w, "%s: %s\n", s.AdminURL, s.Status)
		}
	})
}

type drainCommand struct {
	app *app
	adminOptions
}

// Execute implements flags.Commander. After an error it does not drain the remaining routers.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	for _, adminURL := range c.AdminURLs {
		if err := operator.Drain(ctx, adminURL); err != nil {
			return err
		}
		fmt.Printf("%s: drain begun\n", adminURL)
	}
	return nil
}
