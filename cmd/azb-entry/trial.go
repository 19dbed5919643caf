package main

import (
	"time"

	"azurebridge/protocol/settings"
	"azurebridge/state"
)

// trialDelay returns the function that gives the one-way delay of messages to a peer, by its region and failure domain,
// for trials on one machine. It returns nil without a trial section. The stand-in itself delays requests to backend
// servers.
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
