package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
	"azurebridge/protocol/settings"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/edge"
	"azurebridge/transport/fleet"
	"azurebridge/transport/identity"
	"azurebridge/transport/observe"
	"azurebridge/transport/operators"
	"azurebridge/transport/platform"
)

// reportLinger is how long the control goroutine runs on after the last request, to send its outcome and its release.
const reportLinger = 500 * time.Millisecond

// outcomeGrace is how long a stopping instance waits for the record of the last submissions' outcomes.
const outcomeGrace = 3 * time.Second

// run wires the entry instance and serves until a signal.
func run(path string, checkOnly bool) error {
	cfg, err := settings.LoadEntry(path)
	if err != nil || checkOnly {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: string(cfg.Name), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true})
	known := &clientBlocks{file: cfg.Blocks}
	if err := known.load(); err != nil {
		return err
	}
	id, served, err := loadCertificates(cfg, log)
	if err != nil {
		return err
	}
	self := state.Instance{
		Name: cfg.Name, Incarnation: state.NewIncarnation(time.Now()), Region: cfg.Region, Domain: cfg.Domain,
		CallerAddress: cfg.Callers.String(), FleetAddress: cfg.Fleetwork.String(),
		OperatorsAddress: cfg.Operators.String(), Status: state.InstanceLive,
	}
	var loop *control.Loop
	fl, err := fleet.New(fleet.Options{
		Identity: id, Listen: cfg.Fleetwork.String(), Log: log.Named("fleet"),
		Delay: trialDelay(cfg, func() *state.Snapshot {
			if loop == nil { // a message of the first Ready, within NewLoop
				return &state.Snapshot{}
			}
			return loop.Snapshot()
		}),
		Resolve: func(n state.InstanceName) (string, bool) { return loop.Snapshot().FleetAddress(n) },
	})
	if err != nil {
		return err
	}
	loop = control.NewLoop(control.NewCore(self), state.MonotonicClock(), fl)
	client := platform.New(cfg.Platform.String())
	rec := observe.New(loop.Now, loop.Snapshot)
	loop.SetReportSource(rec)
	ops, err := operators.New(loop, platform.NewConfigStore(client))
	if err != nil {
		return err
	}
	feed := platform.NewFeed(client, loop.Offer, func() state.Revision { return loop.Snapshot().Config.Revision }, log.Named("platform"))
	loop.SetConfigWorker(feed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claimLog := platform.NewClaimLog(client, loop.Offer, log.Named("claims"))
	loop.UseClaimStore(claimLog)
	worker := platform.NewWorker(client, loop.Offer)
	loop.UseStore(worker)
	go worker.Run(ctx)
	prober := fleet.NewProber(loop.Offer)
	loop.UseProber(prober)
	prober.Run(ctx)
	claimLog.Run(ctx)
	go loop.Run(ctx)
	go fl.Run(ctx, loop.Offer)
	go feed.DecodeConfigs(ctx)
	go feed.WatchConfig(ctx)
	go feed.WatchInstances(ctx)
	go rec.Run(ctx)
	backends := backend.New(backend.DialFrom(cfg.Callers.Addr()))
	ed := edge.New(edge.Options{Control: loop, Backends: backends, MaxBody: cfg.MaxBody, MaxHeader: cfg.MaxHeader, Blocks: known.current.Load, Log: log.Named("edge"), Observe: rec})
	ops.Observe(operators.Observed{Recorder: rec, Metrics: observe.Registry(map[string]any{
		"edge": &ed.Stats, "backend": &backends.Counters, "fleet": &fl.Stats, "platform": &client.Calls, "identity.refused": &id.Refused, "observe": &rec.Stats,
		"control.dropped": &loop.Dropped,
	})})
	callers := ed.Server()
	certificates := useServed(callers, served, id)
	reload := func() {
		identity.ReloadAll(log, certificates...)
		known.reload(log)
	}
	return serve(ctx, cfg, ed, callers, operatorServer(ops, id, log), loop, ops, reload, log)
}

// serve runs the HTTP servers until a signal, then stops without cutting requests in flight.
func serve(ctx context.Context, cfg *settings.Entry, ed *edge.Manager, callers, admin *http.Server, loop *control.Loop, ops *operators.Manager, reload func(), log hclog.Logger) error {
	callersLn, err := net.Listen("tcp", cfg.Callers.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminLn, err := net.Listen("tcp", cfg.Operators.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(serveCallers(callers, callersLn), "serve callers") }()
	go func() { failed <- errors.Wrap(admin.ServeTLS(adminLn, "", ""), "serve operators") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	log.Info("entry instance started", "callers", cfg.Callers, "fleet", cfg.Fleetwork, "operators", cfg.Operators)
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				writeDump(ctx, ops, log)
			case syscall.SIGHUP:
				reload()
			default:
				return stop(ctx, cfg, ed, callers, loop, log)
			}
		}
	}
}

func stop(ctx context.Context, cfg *settings.Entry, ed *edge.Manager, callers *http.Server, loop *control.Loop, log hclog.Logger) error {
	log.Info("planned stop begins")
	if err := loop.Offer(control.Stopping{}); err != nil {
		log.Warn("planned stop not announced", "error", err)
	}
	err := ed.Stop(ctx, callers, cfg.StopGrace)
	flush, cancel := context.WithTimeout(context.Background(), outcomeGrace)
	defer cancel()
	if left := loop.AwaitReports(flush); left != nil {
		log.Warn("outcomes of submissions not recorded", "error", left)
	}
	time.Sleep(reportLinger)
	return err
}

func writeDump(ctx context.Context, ops *operators.Manager, log hclog.Logger) {
	d, err := ops.FullDump(ctx, "", "")
	if err != nil {
		log.Warn("dump failed", "error", err)
		return
	}
	enc := json.NewEncoder(os.Stderr)
	enc.SetIndent("", "  ")
	if err := enc.Encode(d); err != nil {
		log.Warn("dump failed", "error", err)
	}
}
