package main

import (
	"context"
	"os"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/internal/wait"
	"azurebridge/protocol/settings"
)

// reloadCheck is the time between looks at the settings file, which may change without a signal.
const reloadCheck = 5 * time.Second

// watchSettings reads the settings again when the file changes, until ctx ends.
func (p *program) watchSettings(ctx context.Context) {
	last := modified(p.path)
	wait.Each(ctx, reloadCheck, func() {
		if at := modified(p.path); at != last {
			last = at
			p.reload(ctx)
		}
	})
}

// modified returns when a file was last changed, or the zero time when it cannot be read; reload tells why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the limits of the settings file into force. Addresses and names change only with the process. A file with a
// fault leaves everything as it is.
func (p *program) reload(ctx context.Context) {
	cfg, err := settings.LoadFront(p.path)
	if err != nil {
		p.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	p.applyLimits(ctx, cfg.Limits)
	p.log.Info("settings reloaded", "retry_ratio", cfg.Limits.RetryRatio, "retry_extra", cfg.Limits.RetryExtra,
		"cold_factor", cfg.Limits.ColdFactor, "cold_tolerance", cfg.Limits.ColdTolerance, "stop_grace_ms", cfg.Limits.StopGrace.Milliseconds())
}

func (p *program) applyLimits(ctx context.Context, l settings.FrontLimits) {
	p.limits.Store(&l)
	p.front.ApplyRetryLimit(retryLimit(l))
	p.loop.Tell(ctx, catalog.Limits{Cold: coldLimit(l)})
}

func retryLimit(l settings.FrontLimits) quota.RetryLimit {
	return quota.RetryLimit{Ratio: l.RetryRatio, Extra: l.RetryExtra, Window: l.RetryWindow}
}

func coldLimit(l settings.FrontLimits) quota.ColdLimit {
	return quota.ColdLimit{Factor: l.ColdFactor, Tolerance: l.ColdTolerance}
}
