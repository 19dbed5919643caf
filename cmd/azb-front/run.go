package main

// #include <stdlib.h>
import "C" // links the C library, which the platform's machines need

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quarantine"
	"azurebridge/coordination/quota"
	"azurebridge/internal/wait"
	"azurebridge/platform"
	"azurebridge/protocol/factwire"
	"azurebridge/protocol/settings"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/backend"
	"azurebridge/transport/backendconn"
	"azurebridge/transport/callerconn"
	"azurebridge/transport/connlimit"
	"azurebridge/transport/eventlog"
	"azurebridge/transport/front"
	"azurebridge/transport/membudget"
	"azurebridge/transport/metastore"
	"azurebridge/transport/peers"
)

// Limits of the HTTP servers, the connections and the memory.
const (
	// sweepInterval is the time between checks for connections that exceed a limit; such a connection is closed with at most
	// this delay.
	sweepInterval = 2 * time.Second
)

// maxServers is the maximum number of HTTP servers of the process.
const maxServers = 6

// maxHeaderBytes is the maximum size of a request's header on all addresses, in bytes. The routing table may set a smaller limit
// for callers' requests.
const maxHeaderBytes = 64 << 10

// tableWait is how long requests wait for the first routing table.
const tableWait = 500 * time.Millisecond

// program holds the components of the process.
type program struct {
	cfg         *settings.Front
	path        string // of the settings file
	limits      atomic.Pointer[settings.FrontLimits]
	log         hclog.Logger
	metrics     metrics.Registry
	logWriter   *eventlog.Writer
	loop        *catalog.Loop
	store       *platform.Store
	follower    *metastore.Follower
	registrar   *metastore.Registrar
	verifier    *metastore.Verifier
	pool        *backendconn.Pool
	front       *front.Manager
	contact     *metastore.Contact // time of the store's last answer
	peers       *peers.Node
	factsClient *peers.FactsClient
	relay       *peers.Relay
	readers     *peers.Subscriber // receives changes from the readers, the instances that watch the store
	callers     *callerconn.Server
	others      []address // at which the process listens besides the callers'
	memory      *membudget.Budget
	listener    net.Listener // of callers
}

// run serves until a signal and then stops without aborting requests. With checkOnly it only checks the settings.
func run(path string, checkOnly bool) error {
	cfg, err := settings.LoadFront(path)
	if err != nil || checkOnly {
		return err
	}
	if cfg.Limits.MemoryMegabyte > 0 {
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMegabyte * (1 << 20) * memoryLimitFraction))
	}
	p, err := newProgram(cfg, path, os.Stdout)
	if err != nil {
		return err
	}
	return p.serve()
}

// newProgram connects the components. Nothing runs before serve or start.
func newProgram(cfg *settings.Front, path string, logTo io.Writer) (*program, error) {
	p := &program{cfg: cfg, path: path, metrics: metrics.NewRegistry(), logWriter: eventlog.NewWriter(logTo)}
	p.log = hclog.New(&hclog.LoggerOptions{
		Name: string(cfg.Name), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true, Output: p.logWriter,
	})
	p.limits.Store(&cfg.Limits)
	core := catalog.NewCore(catalog.Options{
		Self: cfg.Name, StartedMS: time.Now().UnixMilli(), Cold: coldLimit(cfg.Limits), Customers: customerBound(cfg.Limits),
		OnEvidence: func(now state.Instant, r quarantine.Record) { p.peers.AnnounceEvidence(now, r) },
	})
	p.loop = catalog.NewLoop(core, state.MonotonicClock(), func(n catalog.LogEntry) { p.log.Info(n.Message, n.Fields...) })
	self := routing.Peer{
		Name: cfg.Name, Region: cfg.Region, Domain: cfg.Domain,
		CallersAddress: cfg.Callers.String(), PeerAddress: cfg.Peers.String(), LinkMbps: int(cfg.Limits.LinkMbps),
	}
	p.wireStore(self)
	p.pool = backendconn.NewPool(backend.DialServer)
	p.front = front.New(front.Options{
		Loop: p.loop, Pool: p.pool, Dialect: platform.Headers{}, Region: cfg.Region,
		Retry: retryLimit(cfg.Limits), MaxKeyAge: revocationBound(cfg.Limits), Log: p.log.Named("front"), Metrics: p.metrics, TableWait: tableWait,
		OverloadControl: cfg.OverloadControl,
		OnLimitEnd:      func(ended catalog.LimitEnded) { p.peers.AnnounceLimitEnd(ended) },
		Admit: func(ctx context.Context, customer *routing.Customer, wait time.Duration) quota.Decision {
			return p.peers.Admit(ctx, customer, wait)
		},
		ReturnPermit: func(customer *routing.Customer, until state.Instant) { p.peers.Return(customer, until) },
	})
	p.memory = membudget.New(budgetBytes(cfg.Limits.MemoryMegabyte), p.loop.Now)
	p.callers = callerconn.NewServer(callerconn.Options{
		Handler: p.front, Clock: p.loop.Now, Log: p.log.Named("callers"), MaxHeader: maxHeaderBytes,
		MaxAhead: maxAhead(cfg.Limits.MemoryMegabyte), MaxConns: connlimit.ForCallers(connlimit.DescriptorLimit(cfg.Limits.MaxDescriptors)), Budget: p.memory,
	})
	var err error
	p.peers, err = peers.New(peers.Options{
		Self: cfg.Name, Region: cfg.Region, Listen: cfg.Peers, Loop: p.loop, Log: p.log.Named("peers"),
		OnRevision: p.follower.ReportRevision, Away: p.contact.Age,
	})
	if err != nil {
		return nil, err
	}
	p.others = p.otherAddresses()
	p.registerMetrics()
	return p, nil
}

// wireStore sets up the components that keep the instance's view equal to the store: the store client and its watch, the
// relay of changes between instances, and the registration of the instance itself.
func (p *program) wireStore(self routing.Peer) {
	cfg := p.cfg
	p.store = platform.NewStore(cfg.Store.String(), self, cfg.Regions, func() { p.follower.Relist() }, p.log.Named("store"))
	p.contact = metastore.NewContact(p.loop.Now)
	p.readers = peers.NewSubscriber(peers.SubscriberOptions{
		Self: cfg.Name, Region: cfg.Region, Loop: p.loop, Log: p.log.Named("peers"),
	})
	p.follower = metastore.NewFollower(metastore.FollowerOptions{
		Store: p.store, Sink: p.loop, Log: p.log.Named("store"), Contact: p.contact,
		NextWait: func() time.Duration {
			return gossip.NextWatchTimeout(p.loop.View(), cfg.Name, cfg.Region, rand.Float64())
		},
		Announce: func(revision catalog.Revision) { p.peers.Announce(revision) },
		Ask:      p.askPeers,
		Relays:   p.readers, Publish: func(facts *factwire.Facts) { p.relay.Publish(facts) },
	})
	p.relay = peers.NewRelay(peers.RelayOptions{
		Self: cfg.Name, Region: cfg.Region, Loop: p.loop, Revision: p.follower.Revision, Log: p.log.Named("peers"),
		Contact: p.contact,
	})
	p.factsClient = peers.NewFactsClient(p.loop, cfg.Peers.String(), cfg.Seeds)
	p.verifier = metastore.NewVerifier(metastore.VerifierOptions{
		Bound: func() time.Duration { return revocationBound(*p.limits.Load()) }, Clock: p.loop.Now, Sink: p.loop,
		Store: p.store.CurrentRevision, Peer: p.askPeerForProof, Behind: p.follower.ReportRevision, Log: p.log.Named("store"),
		Age: func() time.Duration { return p.loop.View().Age(p.loop.Now()) },
	})
	p.registrar = metastore.NewRegistrar(p.store, p.loop, p.contact, p.follower.Relist, p.log.Named("store"))
	p.registrar.CheckListed(func() bool {
		v := p.loop.View()
		return v.StoreLost || slices.ContainsFunc(v.Peers, func(other routing.Peer) bool { return other.Name == cfg.Name })
	})
}

// serve runs the program until a stop signal or the failure of a server.
func (p *program) serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logged := make(chan struct{})
	go func() { p.logWriter.Run(ctx); close(logged) }()
	failed := make(chan error, maxServers)
	if err := p.start(ctx, failed); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	err := p.waitForStop(ctx, signals, failed)
	if err == nil {
		p.stop(ctx)
	}
	cancel()
	<-logged
	return err
}

// start starts the servers, and the workers until ctx ends. A server that ends sends its error to failed.
func (p *program) start(ctx context.Context, failed chan<- error) error {
	if err := p.listen(ctx, failed); err != nil {
		return err
	}
	for _, work := range []func(context.Context){
		p.loop.Run, p.follower.Run, p.verifier.Run, p.registerWhenReady, p.sweep, p.peers.Run, p.relay.Run,
		p.readers.Run, p.watchSettings,
	} {
		go work(ctx)
	}
	p.log.Info("instance started", "callers", p.cfg.Callers.String(), "region", string(p.cfg.Region), "domain", string(p.cfg.Domain))
	return nil
}

// waitForStop handles signals. It returns nil on a signal for a planned stop, and the error when a server fails.
func (p *program) waitForStop(ctx context.Context, signals <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case err := <-failed:
			p.log.Error("server failed; instance exits", "error", err.Error())
			return err
		case sig := <-signals:
			switch sig {
			case syscall.SIGHUP:
				p.reload(ctx)
			case syscall.SIGUSR1:
				p.writeDump()
			default:
				return nil
			}
		}
	}
}

// askPeers requests the store's items from one other instance, chosen at random. It returns them with their revision, or
// false when the request fails or the other instance has no revision later than after.
func (p *program) askPeers(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
	facts, err := p.factsClient.Fetch(ctx, after)
	if err != nil {
		p.log.Warn("request for the store's items to another instance failed", "error", err.Error())
	}
	if err != nil || facts == nil {
		return nil, catalog.Revision{}, false
	}
	p.log.Info("received the store's items from another instance", "revision", facts.Revision.String(), "items", len(facts.Items))
	return facts.Items, facts.Revision, true
}

// askPeerForProof requests from one other instance, chosen at random, the revision and the age of its knowledge of the store.
func (p *program) askPeerForProof(ctx context.Context) (catalog.Revision, time.Duration, bool) {
	revision, age, ok, err := p.factsClient.FetchProof(ctx)
	if err != nil {
		p.log.Debug("request for a proof to another instance failed", "error", err.Error())
	}
	return revision, age, ok && err == nil
}

// ready reports whether the instance accepts new callers.
func (p *program) ready() bool {
	v := p.loop.View()
	return v.Table != nil && !v.Stopping
}

// registerWhenReady waits for a routing table and then registers the instance, so that no caller is directed to an instance
// without a table.
func (p *program) registerWhenReady(ctx context.Context) {
	select {
	case <-p.loop.TableReady():
	case <-ctx.Done():
		return
	}
	if !p.ready() {
		return // the planned stop has begun
	}
	go metastore.EnsureFleetKey(ctx, p.store, func() bool { return p.loop.View().FleetKey != nil }, p.log.Named("store"))
	p.store.SetJoined(p.loop.View().JoinedMS)
	p.registrar.Run(ctx)
}

func (p *program) sweep(ctx context.Context) {
	wait.Every(ctx, sweepInterval, func() {
		p.pool.Sweep()
		if table := p.loop.View().Table; table != nil {
			p.callers.Expire(table.Limits)
		}
		for _, a := range p.others {
			a.server.Expire(otherLimits)
		}
	})
}
