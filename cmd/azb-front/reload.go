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

// settingsPollInterval is the time between checks of the settings file's modification time; the file may change without a
// signal to the process.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings whenever the file's modification time changes, until ctx ends.
func (p *program) watchSettings(ctx context.Context) {
	last := modTime(p.path)
	wait.Every(ctx, settingsPollInterval, func() {
		if at := modTime(p.path); at != last {
			last = at
			p.reload(ctx)
		}
	})
}

// modTime returns a file's modification time, or the zero time on error; reload then logs the cause.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the limits of the settings file. Addresses and names change only with a restart. An invalid file changes
// nothing.
func (p *program) reload(ctx context.Context) {
	cfg, err := settings.LoadFront(p.path)
	if err != nil {
		p.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	p.applyLimits(ctx, cfg.Limits)
	p.front.ApplyOverloadControl(cfg.OverloadControl)
	p.log.Info("settings reloaded", "retry_ratio", cfg.Limits.RetryRatio, "retry_extra", cfg.Limits.RetryExtra,
		"overload_control", cfg.OverloadControl,
		"cold_factor", cfg.Limits.ColdFactor, "cold_tolerance", cfg.Limits.ColdTolerance, "stop_grace_ms", cfg.Limits.StopGrace.Milliseconds(),
		"strict_revocation", cfg.Limits.StrictRevocation, "revoke_after_ms", cfg.Limits.RevokeAfter.Milliseconds())
}

func (p *program) applyLimits(ctx context.Context, l settings.FrontLimits) {
	p.limits.Store(&l)
	p.front.ApplyRetryLimit(retryLimit(l))
	p.front.ApplyMaxKeyAge(revocationBound(l))
	p.loop.Send(ctx, catalog.Limits{Cold: coldLimit(l), Customers: customerBound(l)})
}

func retryLimit(l settings.FrontLimits) quota.RetryLimit {
	return quota.RetryLimit{Ratio: l.RetryRatio, Extra: l.RetryExtra, Window: l.RetryWindow}
}

// revocationBound returns the age of the instance's knowledge above which requests with a key are refused; 0 for none.
func revocationBound(l settings.FrontLimits) time.Duration {
	if !l.StrictRevocation {
		return 0
	}
	return max(1, l.RevokeAfter) // 0 means no bound
}

func coldLimit(l settings.FrontLimits) quota.ColdLimit {
	return quota.ColdLimit{Factor: l.ColdFactor, Tolerance: l.ColdTolerance}
}

func customerBound(l settings.FrontLimits) quota.CustomerBound {
	return quota.CustomerBound{Window: l.QuotaWindow, Overage: l.QuotaOverage, Tolerance: l.QuotaTolerance}
}
