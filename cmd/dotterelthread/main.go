// Command dotterelthread is the router daemon.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/daemon"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

func main() {
	var cfg settings.Daemon
	if _, err := flags.Parse(&cfg); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(cfg)
	if err := run(ctx, cfg, logger); err != nil {
		obs.EventStartFailed.Log(logger, logrus.Fields{"error": err.Error()})
		os.Exit(1)
	}
}

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
	return daemon.New(cfg, log, logger).Run(ctx, public, admin)
}

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
