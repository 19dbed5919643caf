package main

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/control"
	"azurebridge/internal/hostclock"
	"azurebridge/protocol/settings"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/connlimit"
	"azurebridge/transport/edge"
	"azurebridge/transport/fleet"
	"azurebridge/transport/identity"
	"azurebridge/transport/observe"
	"azurebridge/transport/operators"
	"azurebridge/transport/platform"
)

// instance holds the parts of one entry instance.
type instance struct {
	cfg       *settings.Entry
	log       hclog.Logger
	blocks    *clientBlocks
	identity  *identity.Identity
	fleet     *fleet.Manager
	loop      *control.Loop
	edge      *edge.Manager
	operators *operators.Manager
	callers   *http.Server
	admin     *http.Server

	callersLimit connlimit.Limit
	adminLimit   connlimit.Limit

	reloaders []identity.Reloader         // of certificates, for SIGHUP
	runners   []func(ctx context.Context) // workers; start runs each on its own goroutine
}

// newInstance creates and connects the parts. Nothing runs before start.
func newInstance(cfg *settings.Entry, log hclog.Logger) (*instance, error) {
	in := &instance{cfg: cfg, log: log, blocks: &clientBlocks{file: cfg.Blocks}}
	if err := in.blocks.load(); err != nil {
		return nil, err
	}
	id, serverCertificate, err := loadCertificates(cfg, log)
	if err != nil {
		return nil, err
	}
	in.identity = id
	if err := in.wireControl(); err != nil {
		return nil, err
	}
	client := platform.New(cfg.Platform.String())
	in.wireWorkers(client)
	recorder := observe.New(in.loop.Now, in.loop.Snapshot)
	in.loop.SetReportSource(recorder)
	in.runners = append(in.runners, recorder.Run)
	if in.operators, err = operators.New(in.loop, platform.NewConfigStore(client)); err != nil {
		return nil, err
	}
	in.wireEdge(client, recorder)
	in.callers = in.edge.Server()
	in.callersLimit.Bound(in.callers, callersConns(cfg), in.edge.EvictBody)
	in.reloaders = useCallersCertificate(in.callers, serverCertificate, id)
	in.admin = operatorServer(in.operators, id, log)
	in.adminLimit.Bound(in.admin, maxOperatorConns, nil)
	return in, nil
}

// maxOperatorConns bounds the connections at the operators' address.
const maxOperatorConns = 64

// callersConns returns the max number of callers' connections.
func callersConns(cfg *settings.Entry) int {
	if cfg.MaxConns > 0 {
		return cfg.MaxConns
	}
	return connlimit.ForCallers(connlimit.DescriptorLimit(0))
}

// wireControl creates the control loop and the fleet transport, which depend on each other.
func (in *instance) wireControl() error {
	cfg := in.cfg
	self := state.Instance{
		Name: cfg.Name, Incarnation: state.NewIncarnation(time.Now()), Region: cfg.Region, Domain: cfg.Domain,
		CallerAddress: cfg.Callers.String(), FleetAddress: cfg.FleetListen.String(),
		OperatorsAddress: cfg.Operators.String(), Status: state.InstanceLive,
	}
	snapshot := func() *state.Snapshot {
		if in.loop == nil { // NewLoop is still running and sends the messages of its first Ready
			return &state.Snapshot{}
		}
		return in.loop.Snapshot()
	}
	var err error
	in.fleet, err = fleet.New(fleet.Options{
		Identity: in.identity, Listen: cfg.FleetListen.String(), Log: in.log.Named("fleet"),
		Delay:   trialDelay(cfg, snapshot),
		Resolve: func(n state.InstanceName) (string, bool) { return snapshot().FleetAddress(n) },
	})
	if err != nil {
		return err
	}
	in.loop = control.NewLoop(control.NewCore(self), hostclock.New(), in.fleet)
	in.runners = append(in.runners, in.loop.Run, func(ctx context.Context) { in.fleet.Run(ctx, in.loop.Offer) })
	return nil
}

// wireWorkers creates the transport workers that execute what the control goroutine requests.
func (in *instance) wireWorkers(client *platform.Client) {
	revision := func() state.Revision { return in.loop.Snapshot().Config.Revision }
	feed := platform.NewFeed(client, in.loop.Offer, revision, in.log.Named("platform"))
	in.loop.UseConfigWorker(feed)
	claimLog := platform.NewClaimLog(client, in.loop.Offer, in.log.Named("claims"))
	in.loop.UseClaimStore(claimLog)
	worker := platform.NewWorker(client, in.loop.Offer)
	in.loop.UseStore(worker)
	prober := fleet.NewProber(in.loop.Offer)
	in.loop.UseProber(prober)
	in.runners = append(in.runners, claimLog.Run, worker.Run, prober.Run, feed.DecodeConfigs, feed.WatchConfig, feed.WatchInstances)
}

// wireEdge creates the callers' interface and registers the instance's counters.
func (in *instance) wireEdge(client *platform.Client, recorder *observe.Recorder) {
	cfg := in.cfg
	backends := backend.New(backend.DialFrom(cfg.Callers.Addr()))
	in.edge = edge.New(edge.Options{
		Control: in.loop, Backends: backends, MaxBody: cfg.MaxBody, MaxHeader: cfg.MaxHeader, BodyMemory: cfg.BodyMemory, Blocks: in.blocks.current.Load,
		Log: in.log.Named("edge"), Observe: recorder,
	})
	in.operators.SetTrafficSources(operators.TrafficSources{Recorder: recorder, Metrics: observe.Registry(map[string]any{
		"edge": &in.edge.Stats, "memory": in.edge.Memory(), "callers": &in.callersLimit.Stats, "operators": &in.adminLimit.Stats,
		"backend": &backends.Counters, "fleet": &in.fleet.Stats, "platform": &client.Calls,
		"identity.refused": &in.identity.Refused, "observe": &recorder.Stats, "control.dropped": &in.loop.Dropped,
	})})
}

// start runs the workers until ctx ends.
func (in *instance) start(ctx context.Context) {
	for _, run := range in.runners {
		go run(ctx)
	}
}

// reload reads certificates and client blocks again.
func (in *instance) reload() {
	identity.ReloadAll(in.log, in.reloaders...)
	in.blocks.reload(in.log)
}
