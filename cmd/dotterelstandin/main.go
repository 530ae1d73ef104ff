// Command dotterelstandin runs a stand-in for one of the systems around the routers (platform log, VM list,
// weight store or model engine) as a separate process. Tests and manual runs use it.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/dotterelthread/dotterelthread/internal/standin"
)

type options struct {
	Listen string `long:"listen" env:"DOTTERELSTANDIN_LISTEN" default:"127.0.0.1:0" description:"listen address"`
}

type logCommand struct{ global *options }

// Execute serves the stand-in for the platform's log.
func (c *logCommand) Execute([]string) error {
	return serve(c.global.Listen, standin.LogHandler(standin.NewLog()))
}

type engineCommand struct {
	global        *options
	FirstToken    time.Duration `long:"first-token" env:"DOTTERELSTANDIN_FIRST_TOKEN" default:"0s" description:"time until the first token"`
	TokenInterval time.Duration `long:"token-interval" env:"DOTTERELSTANDIN_TOKEN_INTERVAL" default:"0s" description:"time between two tokens"`
	ChecksFencing bool          `long:"checks-fencing" env:"DOTTERELSTANDIN_CHECKS_FENCING" description:"refuse orders with a stale fencing token"`
	CacheLag      time.Duration `long:"cache-lag" env:"DOTTERELSTANDIN_CACHE_LAG" default:"0s" description:"delay before a prefix cache event is published"`
	CacheGap      uint64        `long:"cache-gap" env:"DOTTERELSTANDIN_CACHE_GAP" default:"0" description:"omit cache events whose number is a multiple of this; 0 publishes all"`
	Slots         int           `long:"slots" env:"DOTTERELSTANDIN_SLOTS" default:"0" description:"number of requests that run concurrently, others wait by priority; 0 means unlimited"`
	RequestLimit  float64       `long:"request-limit" env:"DOTTERELSTANDIN_REQUEST_LIMIT" default:"0" description:"requests per second that the engine names as its limit in responses; 0 names none"`
	LoadLag       time.Duration `long:"load-lag" env:"DOTTERELSTANDIN_LOAD_LAG" default:"0s" description:"time for which a load report is reused"`
	WeightsURL    string        `long:"weights-url" env:"DOTTERELSTANDIN_WEIGHTS_URL" description:"base URL of the weight store that models are loaded from"`
	CrashOn       string        `long:"crash-on" env:"DOTTERELSTANDIN_CRASH_ON" description:"exit when a request contains this text"`
	ExportTo      string        `long:"export-to" env:"DOTTERELSTANDIN_EXPORT_TO" description:"base URL of another engine that gets a copy of each run and can resume its stream"`
}

// Execute serves the stand-in for a model engine.
func (c *engineCommand) Execute([]string) error {
	engine := &standin.Engine{
		FirstToken: c.FirstToken, TokenInterval: c.TokenInterval, ExportTo: c.ExportTo,
		WeightsURL: c.WeightsURL, Slots: c.Slots, RequestLimit: c.RequestLimit, LoadLag: c.LoadLag, CacheLag: c.CacheLag, CacheGap: c.CacheGap,
		ChecksFencing: c.ChecksFencing, Incarnation: uuid.NewString(), OnRunStart: crashOnText(c.CrashOn),
	}
	return serve(c.global.Listen, engine.Handler())
}

type weightsCommand struct {
	global *options
	Rate   float64 `long:"rate" env:"DOTTERELSTANDIN_RATE" default:"1" description:"allowed pulls per second"`
}

// Execute serves the stand-in for the weight store.
func (c *weightsCommand) Execute([]string) error {
	return serve(c.global.Listen, standin.NewWeightStore(c.Rate).Handler())
}

type vmListCommand struct {
	global *options
	Lag    time.Duration `long:"lag" env:"DOTTERELSTANDIN_LAG" default:"0s" description:"delay before readers see a change of the list"`
}

// Execute serves the stand-in for the platform's VM list.
func (c *vmListCommand) Execute([]string) error {
	return serve(c.global.Listen, standin.NewVMList(c.Lag, nil).Handler())
}

// crashOnText returns a function that exits the process, as a crash would, if the request body contains text.
// It returns nil for an empty text.
func crashOnText(text string) func([]byte) {
	if text == "" {
		return nil
	}
	return func(body []byte) {
		if bytes.Contains(body, []byte(text)) {
			os.Exit(1)
		}
	}
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	addCommand(parser, "log", "platform log", &logCommand{global: &opts})
	addCommand(parser, "vmlist", "platform VM list", &vmListCommand{global: &opts})
	addCommand(parser, "weights", "weight store", &weightsCommand{global: &opts})
	addCommand(parser, "engine", "model engine", &engineCommand{global: &opts})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, short string, data any) {
	if _, err := p.AddCommand(name, short, "Serves a stand-in "+short+".", data); err != nil {
		panic(err)
	}
}

// serve listens on the address and serves requests until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	// Programs that start this process read its address from this line.
	fmt.Printf("listening on %s\n", listener.Addr())
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
