package main

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"azurebridge/platform"
	"azurebridge/state/routing"
	"azurebridge/transport/callerconn"
	"azurebridge/transport/connlimit"
	"azurebridge/transport/peers"
	"azurebridge/transport/status"
)

// otherLimits are the limits at the addresses other than the callers', at which all requests come from the platform, look-ups,
// other instances and operators, and none has a body.
var otherLimits = routing.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

// address is one at which the process listens, with its server.
type address struct {
	name   string // in metrics
	listen netip.AddrPort
	server *callerconn.Server
}

// otherAddresses returns the addresses other than the callers'. Their servers share the memory budget with the callers' and have the
// same bounds.
func (p *program) otherAddresses() []address {
	directory := platform.Directory(p.loop.View, p.cfg.Callers.String(), func() time.Duration { return p.limits.Load().LookupTTL })
	facts := peers.Handler(p.loop, p.relay)
	descriptors := connlimit.DescriptorLimit(p.cfg.Limits.MaxDescriptors)
	var out []address
	for _, a := range []struct {
		name    string
		listen  netip.AddrPort
		handler http.Handler
		conns   int
	}{
		{"ready", p.cfg.Ready, platform.Ready(p.ready), fewConns},
		{"directory", p.cfg.Directory, directory, connlimit.Fraction(descriptors, directoryFraction)},
		{"peers", p.cfg.Peers, facts, connlimit.Fraction(descriptors, peersFraction)},
		{"control", p.cfg.Control, facts, connlimit.Fraction(descriptors, controlFraction)},
		{"metrics", p.cfg.Metrics, status.Handler(p.metrics, p.dump), fewConns},
	} {
		if !a.listen.IsValid() {
			continue // an optional address
		}
		out = append(out, address{a.name, a.listen, callerconn.NewServer(callerconn.Options{
			Handler: a.handler, Clock: p.loop.Now, Log: p.log.Named(a.name), MaxHeader: maxHeaderBytes, MaxConns: a.conns, Budget: p.memory,
		})})
	}
	return out
}

// listen opens the listeners and starts a server on each. A server that ends sends its error to failed.
func (p *program) listen(ctx context.Context, failed chan<- error) error {
	for _, a := range append([]address{{"callers", p.cfg.Callers, p.callers}}, p.others...) {
		ln, err := callerconn.Listen(ctx, a.listen.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if a.server == p.callers {
			p.listener = ln
		}
		go func() { failed <- errors.Wrapf(a.server.Serve(ln), "serve %s", a.listen) }()
	}
	return nil
}
