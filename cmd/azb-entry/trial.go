package main

import (
	"time"

	"azurebridge/protocol/settings"
	"azurebridge/state"
)

// trialDelay returns the one-way delay of messages to a peer for trials on one machine, by its region and failure domain,
// or nil without a trial section. The stand-in delays requests to backend servers by itself.
func trialDelay(cfg *settings.Entry, snapshot func() *state.Snapshot) func(state.InstanceName) time.Duration {
	if !cfg.Trial.Enabled {
		return nil
	}
	return func(name state.InstanceName) time.Duration {
		s := snapshot()
		for i := range s.Instances {
			switch in := &s.Instances[i]; {
			case in.Name != name:
			case in.Region != cfg.Region:
				return cfg.Trial.RegionDelay
			case in.Domain != cfg.Domain:
				return cfg.Trial.DomainDelay
			default:
				return 0
			}
		}
		return 0
	}
}
