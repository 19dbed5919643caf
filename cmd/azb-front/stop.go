package main

import (
	"context"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
)

// Times of the planned stop, within the grace of the settings.
const (
	// stopMargin is left of the grace when requests in flight are given up.
	stopMargin = 300 * time.Millisecond
	// lookupLag is how long after the end of their look-up's time to live callers may still come here.
	lookupLag = 500 * time.Millisecond
	// stopCheck is the time between looks at the connections that are still busy.
	stopCheck = 20 * time.Millisecond
)

// stop leaves the look-ups, goes on to take callers that have not heard of it, and ends when no request is in flight.
func (p *program) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.Load().StopGrace-stopMargin)
	defer cancel()
	start, limits := time.Now(), p.limits.Load()
	p.log.Info("planned stop begins", "requests", p.front.Stats.InService.Load())
	p.loop.Tell(ctx, catalog.Stopping{})
	p.registrar.Leave(ctx)
	wait.For(ctx, min(limits.LookupTTL+lookupLag, limits.StopGrace/2)-time.Since(start))
	if err := p.listener.Close(); err != nil {
		p.log.Warn("listener of callers not closed", "error", err.Error())
	}
	for p.conns.CloseIdle() > 0 && wait.For(ctx, stopCheck) {
	}
	p.log.Info("planned stop ends", "requests", p.front.Stats.InService.Load(), "ms", time.Since(start).Milliseconds())
}
