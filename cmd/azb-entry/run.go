package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
	"azurebridge/protocol/settings"
	"azurebridge/transport/connlimit"
)

// shutdownDelay is how long the control goroutine keeps running after the last request has ended, so that it can send the
// outcome and the release of that request.
const shutdownDelay = 500 * time.Millisecond

// outcomeTimeout bounds how long a stopping instance waits until the outcomes of its last submissions are recorded.
const outcomeTimeout = 3 * time.Second

// receiveBuffer is the receive buffer of a connection, in bytes. It bounds what waits unread, and carries 6 MB/s over 10 ms.
const receiveBuffer = 64 << 10

// run starts the entry instance and serves until SIGTERM or SIGINT. With checkOnly it only reads the settings.
func run(path string, checkOnly bool) error {
	cfg, err := settings.LoadEntry(path)
	if err != nil || checkOnly {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: string(cfg.Name), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true})
	in, err := newInstance(cfg, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.start(ctx)
	return in.serve(ctx)
}

// serve runs the HTTP servers until SIGTERM or SIGINT, then performs a planned stop. SIGUSR1 writes a dump to stderr,
// SIGHUP reloads certificates and client blocks.
func (in *instance) serve(ctx context.Context) error {
	callersLn, err := connlimit.Listen(ctx, in.cfg.Callers.String(), receiveBuffer)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminLn, err := connlimit.Listen(ctx, in.cfg.Operators.String(), receiveBuffer)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(serveCallers(in.callers, callersLn), "serve callers") }()
	go func() { failed <- errors.Wrap(in.admin.ServeTLS(adminLn, "", ""), "serve operators") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	in.log.Info("entry instance started", "callers", in.cfg.Callers, "fleet", in.cfg.FleetListen, "operators", in.cfg.Operators)
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				in.writeDump(ctx)
			case syscall.SIGHUP:
				in.reload()
			default:
				return in.stop(ctx)
			}
		}
	}
}

// stop performs a planned stop: it announces the stop, shuts down the callers' interface without aborting requests in
// flight (unless they outlast a positive StopGrace), and waits up to outcomeTimeout until the outcomes of submissions are
// recorded.
func (in *instance) stop(ctx context.Context) error {
	in.log.Info("planned stop begins")
	if err := in.loop.Offer(control.Stopping{}); err != nil {
		in.log.Warn("planned stop not announced", "error", err)
	}
	err := in.edge.Stop(ctx, in.callers, in.cfg.StopGrace)
	flush, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	if flushErr := in.loop.AwaitReports(flush); flushErr != nil {
		in.log.Warn("outcomes of submissions not recorded", "error", flushErr)
	}
	time.Sleep(shutdownDelay)
	return err
}

func (in *instance) writeDump(ctx context.Context) {
	d, err := in.operators.FullDump(ctx, "", "")
	if err != nil {
		in.log.Warn("dump failed", "error", err)
		return
	}
	enc := json.NewEncoder(os.Stderr)
	enc.SetIndent("", "  ")
	if err := enc.Encode(d); err != nil {
		in.log.Warn("dump failed", "error", err)
	}
}
