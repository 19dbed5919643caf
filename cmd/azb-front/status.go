package main

import (
	"context"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state/routing"
	"azurebridge/transport/observe"
	"azurebridge/transport/status"
)

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = time.Second

// dump is the state of the process as operators see it.
type dump struct {
	Instance  string
	Table     routing.Version
	Routes    int
	StoreLost bool
	Stopping  bool
	Evacuated []string
	Instances int // number of instances among which shared limits are divided
	Peers     []routing.Peer
	Servers   []dumpServer
	Buckets   []quota.BucketState // of the customers that this instance is an owner of
	Counters  map[string]int64

	Quarantined []dumpQuarantined
}

// dumpQuarantined is a request under which servers have ended. Its target is not known.
type dumpQuarantined struct {
	Fingerprint string
	Route       string
	Servers     int // ended under it, as far as known to this instance
	Level       int // number of quarantines in a row
	LeftMS      int64
}

type dumpServer struct {
	routing.Backend
	Load       float64    // estimated number of requests at the server
	LimitedMS  int64      // time left for which it is treated as cold
	EjectedMS  int64      // time left for which it is not chosen while others are usable
	Leaving    bool       // whether it has said in an answer that it leaves
	PausedMS   int64      // time left for which it has asked for no requests
	LimitPerS  float64    // requests/s that it takes from all instances together; 0 when it names none
	LimitPace  quota.Pace // of this instance under that limit
	ColdSender bool       // whether this instance may send to it while it is treated as cold
	WorkMS     int64      // estimated time of a request of its service
}

func (p *program) dump() any {
	v, now := p.loop.View(), p.loop.Now()
	d := dump{
		Instance: string(p.cfg.Name), StoreLost: v.StoreLost, Stopping: v.Stopping, Instances: v.Instances, Peers: v.Peers,
		Counters: observe.Values(p.metrics),
	}
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	var err error
	if d.Buckets, err = p.loop.Buckets(ctx); err != nil {
		p.log.Warn("dump without buckets of customers", "error", err.Error())
	}
	if v.Table != nil {
		d.Table, d.Routes = v.Table.Version, len(v.Table.Routes)
	}
	for _, r := range v.Quarantine.Quarantined() {
		d.Quarantined = append(d.Quarantined, dumpQuarantined{
			Fingerprint: r.Fingerprint.String(), Route: r.Route, Servers: len(r.Ends), Level: r.Level, LeftMS: max(0, r.Until.Sub(now).Milliseconds()),
		})
	}
	for domain := range v.Evacuated {
		d.Evacuated = append(d.Evacuated, string(domain))
	}
	for _, s := range v.Services {
		for _, m := range s.Servers {
			d.Servers = append(d.Servers, dumpServer{
				Backend: m.Backend, Load: m.Gauge.Load(now), LimitedMS: max(0, m.LimitedUntil.Sub(now).Milliseconds()),
				EjectedMS: max(0, m.EjectedUntil.Sub(now).Milliseconds()), ColdSender: m.ColdSender,
				Leaving: m.Gauge.Leaving(), PausedMS: max(0, m.Gauge.Pause.Until().Sub(now).Milliseconds()),
				LimitPerS: m.Gauge.Limit.Rate(), LimitPace: m.LimitPace,
				WorkMS: s.Time.Estimate().Milliseconds(),
			})
		}
	}
	return d
}

func (p *program) writeDump() {
	if err := status.WriteDump(os.Stderr, p.dump()); err != nil {
		p.log.Warn("dump not written", "error", err.Error())
	}
}

// registerMetrics adds the counters of all components to the registry.
func (p *program) registerMetrics() {
	observe.Register(p.metrics, map[string]any{
		"front": &p.front.Stats, "connections": &p.pool.Stats, "callers": &p.callers.Stats, "memory": &p.memory.Stats, "store": &p.store.Stats, "follower": &p.follower.Stats, "verifier": &p.verifier.Stats,
		"peers": &p.peers.Stats, "permits": &p.peers.Permits, "relay": &p.relay.Stats, "readers": &p.readers.Stats, "control.dropped": &p.loop.Dropped, "log.dropped": &p.logWriter.Dropped,
	})
	for _, a := range p.others {
		observe.Register(p.metrics, map[string]any{"listen." + a.name: &a.server.Stats})
	}
	gauge := func(name string, read func(v *catalog.View) int64) {
		p.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 { return read(p.loop.View()) }))
	}
	gauge("control.table_version", func(v *catalog.View) int64 {
		if v.Table == nil {
			return 0
		}
		return int64(v.Table.Version)
	})
	gauge("control.customers", func(v *catalog.View) int64 {
		if v.Table == nil {
			return 0
		}
		return int64(len(v.Table.Customers))
	})
	gauge("control.knowledge_age_ms", func(v *catalog.View) int64 {
		if v.VerifiedAt == 0 {
			return -1
		}
		return v.Age(p.loop.Now()).Milliseconds()
	})
	gauge("control.unknown_types", func(v *catalog.View) int64 {
		if v.Table == nil {
			return 0
		}
		return int64(v.Table.UnknownTypes())
	})
	gauge("control.revision", func(v *catalog.View) int64 { return int64(v.Revision.Number) })
	p.metrics.GetOrRegister("store.era", metrics.NewFunctionalGauge(func() int64 { return int64(p.store.Era()) }))
	gauge("control.quarantined", func(v *catalog.View) int64 { return int64(len(v.Quarantine.Quarantined())) })
	gauge("control.suspects", func(v *catalog.View) int64 { return int64(v.Quarantine.Suspects()) })
	gauge("control.instances", func(v *catalog.View) int64 { return int64(len(v.Peers)) })
	gauge("control.store_lost", func(v *catalog.View) int64 {
		if v.StoreLost {
			return 1
		}
		return 0
	})
}
