package placement

import (
	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// Parameters of the split of a service's requests between regions.
const (
	// maxLocalShare is the max share of a region's requests that its own servers take while none of them is busy. The rest keeps
	// objects cached in other regions, which take over when the region's requests exceed its servers.
	maxLocalShare = 0.85
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

// newRegionWeights returns the weights for requests of a region. Servers nearby answer sooner and save traffic between regions, but
// a region with few servers must send most of its requests elsewhere, to regions that have slots to spare. What the regions
// request is not known to an instance; they count as equal, and busy servers are passed over in any case.
func newRegionWeights(s *catalog.Service, callerRegions int, own state.RegionName) regionWeights {
	total, local := 0, 0
	for _, r := range s.Regions {
		total += r.Slots
		if r.Region == own {
			local = r.Slots
		}
	}
	w := regionWeights{own: 1, other: make(map[state.RegionName]float64, len(s.Regions))}
	demand := float64(total) / float64(max(callerRegions, len(s.Regions), 1)) // of each region, in slots
	spare := 0.0
	for _, r := range s.Regions {
		if r.Region == own {
			continue
		}
		w.other[r.Region] = max(minRemoteWeight, 1-demand*maxLocalShare/float64(r.Slots))
		spare += w.other[r.Region] * float64(r.Slots)
	}
	if local > 0 {
		share := min(maxLocalShare, fairUse*float64(local)/demand)
		w.own = share / (1 - share) * spare / float64(local)
	}
	return w
}

// of returns the weight of the slots of a server in a region.
func (w *regionWeights) of(region, own state.RegionName) float64 {
	if region == own {
		return w.own
	}
	return w.other[region]
}
