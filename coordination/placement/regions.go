package placement

import (
	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// Parameters of the split of a service's requests between regions.
const (
	// minLocalShare and maxLocalShare bound the share of a region's requests that its own servers take while it has slots for
	// them and none of them is busy. The rest shares the objects that servers of other regions have cached.
	minLocalShare = 0.65
	maxLocalShare = 0.85
	// distanceCost is by how much that share grows with the round trip to other regions, in parts of the target latency.
	distanceCost = 0.8
	// fairUse is the part of a region's slots that its own requests fill when all regions send equally many.
	fairUse = 0.75
	// minRemoteWeight is the weight for other regions of the servers of a region that has no slots to spare.
	minRemoteWeight = 0.05
)

// regionWeights are the factors by which the slots of servers count for requests of one region.
type regionWeights struct {
	own   float64
	other map[state.RegionName]float64
}

// newRegionWeights returns the weights for a request. Servers nearby answer sooner and save traffic between regions, the more so
// the longer the way is beside the target latency. But a region with few servers must send most of its requests elsewhere, to
// regions that have slots to spare. What the regions request is not known to an instance; they count as equal, and busy servers
// are passed over in any case.
func newRegionWeights(s *catalog.Service, callerRegions int, r *Request) regionWeights {
	total, local := 0, 0
	for _, region := range s.Regions {
		total += region.Slots
		if region.Region == r.Region {
			local = region.Slots
		}
	}
	w := regionWeights{own: 1, other: make(map[state.RegionName]float64, len(s.Regions))}
	demand := float64(total) / float64(max(callerRegions, len(s.Regions), 1)) // of each region, in slots
	spare := 0.0
	for _, region := range s.Regions {
		if region.Region == r.Region {
			continue
		}
		w.other[region.Region] = max(minRemoteWeight, 1-demand*minLocalShare/float64(region.Slots))
		spare += w.other[region.Region] * float64(region.Slots)
	}
	if local > 0 {
		share := min(r.localShare(s), fairUse*float64(local)/demand)
		w.own = share / (1 - share) * spare / float64(local)
	}
	return w
}

// localShare returns the share of the requests that stay in their region while it has slots for them.
func (r *Request) localShare(s *catalog.Service) float64 {
	target := r.Route.TargetLatency
	if target <= 0 {
		return minLocalShare
	}
	nearest := 0.0 // of the other regions, in parts of the target latency
	for _, region := range s.Regions {
		distance := float64(region.Distance.Estimate()) / float64(target)
		if region.Region != r.Region && distance > 0 && (nearest == 0 || distance < nearest) {
			nearest = distance
		}
	}
	return min(maxLocalShare, minLocalShare+distanceCost*nearest)
}

// of returns the weight of the slots of a server in a region.
func (w *regionWeights) of(region, own state.RegionName) float64 {
	if region == own {
		return w.own
	}
	return w.other[region]
}
