// Package steering holds the pure decisions of traffic goroutines: which regions a request may use, in which order, and
// which entry instance a caller should use. They read a snapshot, and allocate memory only when the passed slice is too small.
package steering

import (
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxTargets is the max number of regions that one request may try.
const MaxTargets = 8

// Regions appends to dst the regions that may run a request of the customer, best first: the entry instance's own region, then
// the others by rising load, as their homes last reported it. It returns RefusedUnknown for an unknown customer or service,
// RefusedPlan if the plan does not include the service, and RefusedNoBackend if all regions of the plan are drained.
func Regions(s *state.Snapshot, customer state.CustomerName, service state.ServiceName, dst []admission.Target) ([]admission.Target, message.Refusal) {
	plan := s.Index.Customer[customer]
	svc := s.Index.Service[service]
	if plan == nil || svc == nil {
		return dst, message.RefusedUnknown
	}
	if !offers(plan, service) {
		return dst, message.RefusedPlan
	}
	own := s.Self.Region
	ownDrained := s.Config.RegionDrained(own)
	for _, r := range plan.Regions {
		if s.Config.RegionDrained(r) {
			continue
		}
		t := admission.Target{Region: r}
		if r != own {
			t.Rate = svc.BytesPerSecond
			t.Shift = shiftFor(s.Config, own, r, ownDrained)
		}
		dst = insertByRank(s, dst, t, service)
	}
	if len(dst) == 0 {
		return dst, message.RefusedNoBackend
	}
	return dst, message.RefusedNone
}

func offers(p *state.Plan, service state.ServiceName) bool {
	for i := range p.Services {
		if p.Services[i].Service == service {
			return true
		}
	}
	return false
}

// shiftFor returns the name of the operators' shift that covers traffic from one region to another, or "" if there is none
// or the first region is not drained.
func shiftFor(c *state.Config, from, to state.RegionName, drained bool) state.ShiftName {
	if !drained {
		return ""
	}
	for i := range c.Shifts {
		if c.Shifts[i].From == from && c.Shifts[i].To == to {
			return c.Shifts[i].Name
		}
	}
	return ""
}

// insertByRank adds a target to dst, which stays ordered by rank. It does nothing when dst holds MaxTargets.
func insertByRank(s *state.Snapshot, dst []admission.Target, t admission.Target, service state.ServiceName) []admission.Target {
	if len(dst) == MaxTargets {
		return dst
	}
	dst = append(dst, t)
	for i := len(dst) - 1; i > 0 && rank(s, dst[i].Region, service) < rank(s, dst[i-1].Region, service); i-- {
		dst[i], dst[i-1] = dst[i-1], dst[i]
	}
	return dst
}

// rank is lower for a better region: -1 for the own region, otherwise running and queued requests per slot, or 3 without slots
// for the service.
func rank(s *state.Snapshot, r state.RegionName, service state.ServiceName) float64 {
	if r == s.Self.Region {
		return -1
	}
	load, ok := s.Loads[r]
	if !ok {
		return 2 // not reported: ranks like two requests per slot, so that the region is not excluded
	}
	for i := range load.Services {
		if sl := &load.Services[i]; sl.Service == service && sl.Slots > 0 {
			return float64(sl.Running+sl.Queued) / float64(sl.Slots)
		}
	}
	return 3
}

// LookupTTL is how long callers may cache the answer to a look-up.
const LookupTTL = 5 * time.Second

// MaxEntries is the max number of entry instances in one look-up answer.
const MaxEntries = state.LookupEntries

// Entries appends to dst the indexes into s.Instances of the entry instances that a caller of the region should use,
// best first. Instances of the caller's region come first. Within a region, callers are distributed by rendezvous hashing, so
// that a change of the fleet moves only the callers of the instance that changed.
func Entries(s *state.Snapshot, region state.RegionName, caller uint64, dst []int) []int {
	if out, ok := s.Live.Entries(region, caller, dst); ok {
		return out
	}
	const near = 1 << 63 // instances of the region rank before all others
	var b state.TopScores
	for i := range s.Instances {
		in := &s.Instances[i]
		if in.Status != state.InstanceLive || s.Leaving && in.Name == s.Self.Name {
			continue
		}
		score := state.LookupScore(in.Hash(), caller)
		if in.Region == region {
			score |= near
		}
		b.Add(score, i)
	}
	return append(dst, b.Index[:b.N]...)
}
