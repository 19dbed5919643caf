package main

import (
	"context"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
)

// Times of the planned stop, within the grace period of the settings.
const (
	// stopMargin is how long before the end of the grace period the remaining requests are aborted.
	stopMargin = 300 * time.Millisecond
	// lookupLag is the time for which callers may still connect to this instance after the TTL of their look-up has expired.
	lookupLag = 500 * time.Millisecond
	// stopPollInterval is the time between checks for connections that are still busy.
	stopPollInterval = 20 * time.Millisecond
)

// stop removes the instance from look-ups, keeps accepting callers whose earlier look-up is still valid, and returns when no
// request is in flight and no body is being sent, or the grace period is over.
func (p *program) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.Load().StopGrace-stopMargin)
	defer cancel()
	start, limits := time.Now(), p.limits.Load()
	p.log.Info("planned stop begins", "requests", p.front.Stats.InService.Load())
	p.loop.Send(ctx, catalog.Stopping{})
	p.registrar.Leave(ctx)
	wait.For(ctx, min(limits.LookupTTL+lookupLag, limits.StopGrace/2)-time.Since(start))
	if err := p.listener.Close(); err != nil {
		p.log.Warn("closing the callers' listener failed", "error", err.Error())
	}
	for p.callers.CloseIdle()+p.pool.Trailing() > 0 && wait.For(ctx, stopPollInterval) {
	}
	p.log.Info("planned stop ends", "requests", p.front.Stats.InService.Load(), "ms", time.Since(start).Milliseconds())
}
