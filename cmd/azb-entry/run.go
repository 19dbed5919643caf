package main

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
	"azurebridge/protocol/settings"
)

// reportLinger is how long the control goroutine runs on after the last request, to send its outcome and its release.
const reportLinger = 500 * time.Millisecond

// outcomeGrace is how long a stopping instance waits for the record of the last submissions' outcomes.
const outcomeGrace = 3 * time.Second

// run starts the entry instance and serves until a signal.
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

// serve runs the HTTP servers until a signal, then stops without cutting requests in flight.
func (in *instance) serve(ctx context.Context) error {
	callersLn, err := net.Listen("tcp", in.cfg.Callers.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminLn, err := net.Listen("tcp", in.cfg.Operators.String())
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

// stop is the planned stop: no new callers, no request cut, and the outcomes of submissions recorded.
func (in *instance) stop(ctx context.Context) error {
	in.log.Info("planned stop begins")
	if err := in.loop.Offer(control.Stopping{}); err != nil {
		in.log.Warn("planned stop not announced", "error", err)
	}
	err := in.edge.Stop(ctx, in.callers, in.cfg.StopGrace)
	flush, cancel := context.WithTimeout(context.Background(), outcomeGrace)
	defer cancel()
	if left := in.loop.AwaitReports(flush); left != nil {
		in.log.Warn("outcomes of submissions not recorded", "error", left)
	}
	time.Sleep(reportLinger)
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
