// Package gossip decides which instances read the store for others, and whom an instance tells how new its knowledge of the
// store is. A few readers watch the store and relay its changes. A watch may wait on without hearing of changes: the
// readers' watches end at different times, so that one of them soon finds out, lists the store again and tells the others.
// The package does no I/O.
package gossip

import (
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// MaxPeers bounds the readers of the own region that one message goes to. In larger regions they are drawn anew each time,
// and those that list the store again tell others in turn.
const MaxPeers = 8

// Times of watches.
const (
	// checkInterval is the mean time between the ends of watches, over all that watch.
	checkInterval = 350 * time.Millisecond
	shortestWatch = time.Second
	longestWatch  = 28 * time.Second
	// aloneWatch is the mean wait of an instance that watches while its readers are away. Nobody tells it that its watch hears
	// of nothing, so that it has to find out soon.
	aloneWatch = 1500 * time.Millisecond
)

// Message tells the revision up to which an instance knows the store.
type Message struct {
	From     state.InstanceName
	Region   state.RegionName
	Revision catalog.Revision
}

// WatchWait returns how long one of several readers watches the store before it asks again: about checkInterval for each of
// them, spread by draw, a random number from 0 to 1, so that their watches end one after the other.
func WatchWait(watchers int, draw float64) time.Duration {
	mean := float64(checkInterval) * float64(max(1, watchers))
	return min(max(time.Duration(mean*(0.5+draw)), shortestWatch), longestWatch)
}

// Peers returns the instances that get a message: readers of the own region, and one of each other region. The readers
// relay what they find to the others.
func Peers(v *catalog.View, self state.InstanceName, region state.RegionName, draw func(n int) int) []routing.Peer {
	var out []routing.Peer
	for _, r := range regions(v) {
		list := slices.DeleteFunc(allReaders(v, r), func(p routing.Peer) bool { return p.Name == self || p.PeerAddress == "" })
		bound := 1
		if r == region {
			bound = MaxPeers
		}
		out = append(out, sample(list, bound, draw)...)
	}
	return out
}

// sample returns n instances drawn from the list, which it reorders, or all when there are no more.
func sample(list []routing.Peer, n int, draw func(n int) int) []routing.Peer {
	for i := 0; i < n && len(list) > n; i++ {
		j := i + draw(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
