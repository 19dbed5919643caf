package placement

import (
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// Weights of a server of this instance's region, relative to one elsewhere with as many slots, for routes whose target latency is
// long beside the round trip to other regions, and for those whose target is short.
const (
	minLocalWeight = 3
	maxLocalWeight = 6
)

// Round trips, in parts of the target latency, up to which a route has minLocalWeight, and from which on it has maxLocalWeight.
const (
	nearDistance = 0.12
	farDistance  = 0.23
)

// servedIn reports whether the request may be sent to a region: its route and its customer both allow it.
func (r *Request) servedIn(region state.RegionName) bool {
	return r.Route.ServedIn(region) && (r.Customer == nil || r.Customer.ServedIn(region))
}

// localWeight returns the weight of the servers of this instance's region. Servers nearby answer sooner, and traffic between
// regions is expensive, but regions that keep their requests to themselves cache each object once more and use each other's
// free slots less.
func (r *Request) localWeight(s *catalog.Service) float64 {
	target := float64(r.Route.TargetLatency)
	if target <= 0 {
		return minLocalWeight
	}
	distance := (float64(r.nearestRegion(s))/target - nearDistance) / (farDistance - nearDistance)
	return minLocalWeight + (maxLocalWeight-minLocalWeight)*min(1, max(0, distance))
}

// nearestRegion returns the round trip to the nearest other region with servers of the service; 0 when none is known.
func (r *Request) nearestRegion(s *catalog.Service) time.Duration {
	nearest := time.Duration(0)
	for _, region := range s.Regions {
		distance := region.Distance.Estimate()
		if region.Name != r.Region && distance > 0 && (nearest == 0 || distance < nearest) {
			nearest = distance
		}
	}
	return nearest
}
