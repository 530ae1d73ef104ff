// Command dotterelload sends a fixed number of requests to routers within a time limit and reports latencies,
// error codes and billed tokens. A response that ends early counts as incomplete. It exits with 1 if a
// request did not get a complete response, and with 2 if the options are invalid.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelthread/dotterelthread/internal/load"
)

type options struct {
	URLs       []string      `long:"url" env:"DOTTERELLOAD_URLS" env-delim:"," default:"http://127.0.0.1:8080" description:"router URL; may be repeated"`
	Credential string        `long:"credential" env:"DOTTERELLOAD_CREDENTIAL" default:"dev-secret" description:"credential of a catalogue entry"`
	Model      string        `long:"model" env:"DOTTERELLOAD_MODEL" default:"demo-model" description:"model of each request"`
	Callers    int           `long:"callers" env:"DOTTERELLOAD_CALLERS" default:"8" description:"number of concurrent callers"`
	Requests   int           `long:"requests" env:"DOTTERELLOAD_REQUESTS" default:"200" description:"number of requests"`
	MaxTokens  int64         `long:"max-tokens" env:"DOTTERELLOAD_MAX_TOKENS" default:"16" description:"max_tokens of each request"`
	Stream     bool          `long:"stream" env:"DOTTERELLOAD_STREAM" description:"request streamed responses"`
	Timeout    time.Duration `long:"timeout" env:"DOTTERELLOAD_TIMEOUT" default:"1m" description:"time limit of the run"`
	Output     string        `long:"output" env:"DOTTERELLOAD_OUTPUT" default:"text" description:"format of the report: text or json"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	plan := load.Plan{
		URLs: o.URLs, Credential: o.Credential, Model: o.Model, Callers: o.Callers, Requests: o.Requests,
		MaxTokens: o.MaxTokens, Stream: o.Stream, Timeout: o.Timeout,
	}
	if err := plan.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelload:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := load.Summarize(load.Run(ctx, plan))
	if o.Output == "json" {
		_ = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		report.WriteText(os.Stdout)
	}
	if report.Codes[load.CodeOK] < report.Requests {
		os.Exit(1)
	}
}
