package main

import (
	"context"
	"time"

	"azurebridge/coordination/catalog"
)

// Times of the planned stop, within the grace of the settings.
const (
	// stopMargin is left of the grace when requests in flight are given up.
	stopMargin = 300 * time.Millisecond
	// lookupLag is how long callers go on to come here after the instance has left the look-ups.
	lookupLag = 500 * time.Millisecond
)

// stop leaves the look-ups, goes on to take callers that have not heard of it, and ends when no request is in flight.
func (p *program) stop(ctx context.Context) {
	start := time.Now()
	p.log.Info("planned stop begins", "requests", p.front.Stats.InService.Load())
	p.loop.Tell(ctx, catalog.Stopping{})
	p.registrar.Leave(ctx)
	p.callers.SetKeepAlivesEnabled(false)
	grace := p.cfg.Limits.StopGrace - stopMargin
	time.Sleep(min(p.cfg.Limits.LookupTTL+lookupLag, grace/2))
	ctx, cancel := context.WithTimeout(ctx, grace-time.Since(start))
	defer cancel()
	err := p.callers.Shutdown(ctx)
	p.log.Info("planned stop ends", "requests", p.front.Stats.InService.Load(), "whole", err == nil, "ms", time.Since(start).Milliseconds())
}
