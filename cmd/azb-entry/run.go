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
	"azurebridge/transport/operators"
	"azurebridge/transport/platform"
)

// lookupGrace is how long a stopping instance still accepts new requests: until the look-ups that callers cache name
// it no more.
const lookupGrace = 6 * time.Second

// outcomeGrace is how long a stopping instance waits for the record of the last submissions' outcomes.
const outcomeGrace = 3 * time.Second

// run wires the entry instance and serves until a signal.
func run(path string, checkOnly bool) error {
	cfg, err := settings.LoadEntry(path)
	if err != nil || checkOnly {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: string(cfg.Name), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true})
	id, err := identity.Load(cfg.Fleet, identity.Files(cfg.TLS))
	if err != nil {
		return err
	}
	self := state.Instance{
		Name: cfg.Name, Incarnation: state.NewIncarnation(time.Now()), Region: cfg.Region, Domain: cfg.Domain,
		CallerAddress: cfg.Callers.String(), FleetAddress: cfg.Fleetwork.String(), Status: state.InstanceLive,
	}
	var loop *control.Loop
	fl, err := fleet.New(fleet.Options{
		Identity: id, Listen: cfg.Fleetwork.String(), Log: log.Named("fleet"),
		Resolve: func(n state.InstanceName) (string, bool) { return loop.Snapshot().FleetAddress(n) },
	})
	if err != nil {
		return err
	}
	loop = control.NewLoop(control.NewCore(self), state.MonotonicClock(), fl)
	client := platform.New(cfg.Platform.String())
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
	claimLog.Run(ctx)
	go loop.Run(ctx)
	go fl.Run(ctx, loop.Offer)
	go feed.DecodeConfigs(ctx)
	go feed.WatchConfig(ctx)
	go feed.WatchInstances(ctx)
	ed := edge.New(edge.Options{Control: loop, Backends: backend.New(backend.DialFrom(cfg.Callers.Addr())), MaxBody: cfg.MaxBody, MaxHeader: cfg.MaxHeader, Log: log.Named("edge")})
	return serve(ctx, cfg, ed.Server(), &http.Server{Handler: ops.Handler(), TLSConfig: id.Server(identity.RoleOperator, "http/1.1"), ReadHeaderTimeout: time.Second}, loop, ops, log)
}

// serve runs the HTTP servers until a signal, then stops without cutting requests in flight.
func serve(ctx context.Context, cfg *settings.Entry, callers, admin *http.Server, loop *control.Loop, ops *operators.Manager, log hclog.Logger) error {
	callersLn, err := net.Listen("tcp", cfg.Callers.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminLn, err := net.Listen("tcp", cfg.Operators.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(callers.Serve(callersLn), "serve callers") }()
	go func() { failed <- errors.Wrap(admin.ServeTLS(adminLn, "", ""), "serve operators") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	log.Info("entry instance started", "callers", cfg.Callers, "fleet", cfg.Fleetwork, "operators", cfg.Operators)
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGUSR1 {
				writeDump(ctx, ops, log)
				continue
			}
			return stop(cfg, callers, loop, log)
		}
	}
}

func stop(cfg *settings.Entry, callers *http.Server, loop *control.Loop, log hclog.Logger) error {
	log.Info("planned stop begins")
	if err := loop.Offer(control.Stopping{}); err != nil {
		log.Warn("planned stop not announced", "error", err)
	}
	time.Sleep(lookupGrace)
	ctx := context.Background()
	if cfg.StopGrace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.StopGrace)
		defer cancel()
	}
	err := callers.Shutdown(ctx)
	flush, cancel := context.WithTimeout(context.Background(), outcomeGrace)
	defer cancel()
	if left := loop.AwaitReports(flush); left != nil {
		log.Warn("outcomes of submissions not recorded", "error", left)
	}
	return errors.Wrap(err, "planned stop")
}

func writeDump(ctx context.Context, ops *operators.Manager, log hclog.Logger) {
	d, err := ops.Dump(ctx)
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
