// Package gossip decides whom an instance tells how new its knowledge of the store is. A watch of the store may wait on
// without hearing of changes. The instances' watches end at different times, so that one of them soon finds out, lists the
// store again and tells the others. The package does no I/O.
package gossip

import (
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// MaxPeers bounds the instances of the own region that one message goes to. In larger regions they are drawn anew each
// time, and those that list the store again tell others in turn.
const MaxPeers = 8

// Times of watches.
const (
	// checkInterval is the mean time between the ends of watches, over all instances.
	checkInterval = 350 * time.Millisecond
	shortestWatch = time.Second
	longestWatch  = 28 * time.Second
)

// Message tells the revision up to which an instance knows the store.
type Message struct {
	From     state.InstanceName
	Region   state.RegionName
	Revision uint64
}

// WatchWait returns how long an instance watches the store before it asks again: about checkInterval for each instance,
// spread by draw, a random number from 0 to 1, so that the watches of the fleet end one after the other.
func WatchWait(instances int, draw float64) time.Duration {
	mean := float64(checkInterval) * float64(max(1, instances))
	return min(max(time.Duration(mean*(0.5+draw)), shortestWatch), longestWatch)
}

// Peers returns the instances that get a message: those of the own region, and one of each other region.
func Peers(v *catalog.View, self state.InstanceName, region state.RegionName, draw func(n int) int) []routing.Peer {
	var near []routing.Peer
	far := make(map[state.RegionName][]routing.Peer)
	for _, p := range v.Peers {
		switch {
		case p.Name == self || p.PeerAddress == "":
		case p.Region == region:
			near = append(near, p)
		default:
			far[p.Region] = append(far[p.Region], p)
		}
	}
	for i := 0; i < MaxPeers && len(near) > MaxPeers; i++ {
		j := i + draw(len(near)-i)
		near[i], near[j] = near[j], near[i]
	}
	out := near[:min(len(near), MaxPeers)]
	for _, list := range far {
		out = append(out, list[draw(len(list))])
	}
	return out
}
