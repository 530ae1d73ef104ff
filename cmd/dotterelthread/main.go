// Command dotterelthread is the router daemon. By default it is configured by flags and environment variables
// (package settings), and it uses an HTTP log service (package logclient). With the argument "platform" it runs
// package platform instead, which reads the settings file of the platform that the project's users run and
// keeps the log in that platform's store.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/daemon"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
	"github.com/dotterelthread/dotterelthread/platform"
)

// traceFlushTimeout is the time limit for exporting the remaining spans at shutdown.
const traceFlushTimeout = 5 * time.Second

func main() {
	if len(os.Args) > 1 && os.Args[1] == platformCommand {
		os.Exit(runPlatform())
	}
	cfg, findings, err := settings.Load(os.Args[1:])
	if errors.Is(err, settings.ErrHelpRequested) {
		fmt.Println(err)
		return
	}
	if len(findings) > 0 {
		reportFindings(cfg, findings)
		os.Exit(exitInvalidSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(cfg)
	if err := run(ctx, cfg, logger); err != nil {
		obs.EventStartOrStopFailed.Log(logger, logrus.Fields{"error": err.Error()})
		os.Exit(1)
	}
}

// platformCommand is the argument that selects package platform.
const platformCommand = "platform"

func runPlatform() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines := obs.NewLineWriter(os.Stdout, obs.DefaultLinesPerSecond)
	defer lines.Close()
	logger := logrus.New()
	logger.SetOutput(lines)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if err := platform.Run(ctx, logger); err != nil {
		obs.EventStartOrStopFailed.Log(logger, logrus.Fields{"error": err.Error()})
		return 1
	}
	return 0
}

const exitInvalidSettings = 2

func reportFindings(cfg settings.Daemon, findings []settings.Finding) {
	logger := newLogger(cfg)
	for _, f := range findings {
		obs.EventSettingInvalid.Log(logger, logrus.Fields{"place": f.Location, "finding": f.Message})
	}
}

// newLogger returns a logger for the settings. It ignores an invalid log level, because reportFindings also
// logs with invalid settings.
func newLogger(cfg settings.Daemon) *logrus.Logger {
	logger := logrus.New()
	if cfg.LogFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(cfg.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	return logger
}

func run(ctx context.Context, cfg settings.Daemon, logger *logrus.Logger) error {
	public, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	admin, err := net.Listen("tcp", cfg.AdminListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	log, err := openLog(ctx, cfg, public.Addr())
	if err != nil {
		return err
	}
	stopTraces, err := obs.StartTracing(ctx, obs.TraceConfig{
		Exporter: cfg.TraceExporter, Endpoint: cfg.TraceEndpoint, Output: os.Stdout, VM: cfg.VM, Zone: cfg.Zone,
	})
	if err != nil {
		return err
	}
	router, err := daemon.New(cfg, log, logger)
	if err != nil {
		return err
	}
	err = router.Run(ctx, public, admin)
	flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	// Spans that could not be exported do not make the shutdown fail.
	_ = stopTraces(flush)
	return err
}

// openLog returns a client of the HTTP log service. With --dev it starts a stand-in engine and an in-process log
// with a sample catalogue instead, and prints a command to try.
func openLog(ctx context.Context, cfg settings.Daemon, public net.Addr) (logstream.Log, error) {
	if !cfg.Dev {
		return logclient.New(cfg.LogURL), nil
	}
	dev, err := daemon.StartDev(ctx, cfg.LedgerPartitions)
	if err != nil {
		return nil, err
	}
	fmt.Printf("router on http://%s; try:\n\n%s\n\n", public, dev.CurlLine(public.String()))
	return dev.Log, nil
}
