// Package gossip decides which instances are readers (they watch the store and relay its changes to the others), and to which
// instances an instance announces its store revision. A watch may keep waiting without reporting changes. The readers' watches
// therefore end at different times, so that one of them soon detects the missed changes, lists the store again and announces
// the new revision to the others. The package does no I/O.
package gossip

import (
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quarantine"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// MaxPeers bounds the readers of the sender's own region that get one message. In regions with more readers they are drawn
// anew for each message, and those that list the store again send messages in turn.
const MaxPeers = 8

// Timeouts of store watches.
const (
	// watchEndInterval is the mean time between the ends of two watches, over the watches of all readers.
	watchEndInterval = 350 * time.Millisecond
	minWatchTimeout  = time.Second
	maxWatchTimeout  = 28 * time.Second
	// soloWatchTimeout is the mean watch timeout of an instance that watches the store because its readers are unavailable. No
	// other instance announces changes to it that its watch fails to report, so it must ask again soon.
	soloWatchTimeout = 1500 * time.Millisecond
)

// Message announces the revision up to which an instance knows the store, and limits of backend servers that it knows to have ended.
type Message struct {
	From        state.InstanceName
	Region      state.RegionName
	Revision    catalog.Revision
	EndedLimits []catalog.LimitEnded
	Evidence    []quarantine.Record // its instants count from the time of sending
	// Permits is set in messages about permits of customers; Revision and EndedLimits are then empty.
	Permits *PermitMessage
}

// PermitMessage is a request for permits, an answer to one, or, without both, a sign of life of an instance that the store does not
// answer.
type PermitMessage struct {
	Apart   bool // whether the store does not answer the sender
	Ask     *quota.Ask
	Granted *quota.Granted
}

// limitAnnouncers is the number of instances that announce the end of a server's limit to all others: more than one, since a message
// may be lost.
const limitAnnouncers = 2

// LimitPeers returns the instances that get a message with the end of a server's limit: all others, when this instance is one of
// those that announce it. They would otherwise find out with their next request to the server, which may be minutes away.
func LimitPeers(v *catalog.View, self state.InstanceName, server state.BackendName) []routing.Peer {
	names := make([]state.InstanceName, 0, len(v.Peers))
	for _, p := range v.Peers {
		names = append(names, p.Name)
	}
	if !quota.IsSender(self, names, server, limitAnnouncers) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(v.Peers), func(p routing.Peer) bool { return p.Name == self || p.PeerAddress == "" })
}

// ReaderWatchTimeout returns the timeout of a watch by one of several readers: about watchEndInterval times their number, so
// that the watches end one after the other. random is a number from 0 to 1 that spreads the timeouts.
func ReaderWatchTimeout(readers int, random float64) time.Duration {
	mean := float64(watchEndInterval) * float64(max(1, readers))
	return min(max(time.Duration(mean*(0.5+random)), minWatchTimeout), maxWatchTimeout)
}

// Peers returns the instances that get a message: up to MaxPeers readers of the own region, and one reader of each other region.
// The readers relay the changes that they then read to the other instances.
func Peers(v *catalog.View, self state.InstanceName, region state.RegionName, randomInt func(n int) int) []routing.Peer {
	var out []routing.Peer
	for _, r := range regions(v) {
		list := slices.DeleteFunc(allReaders(v, r), func(p routing.Peer) bool { return p.Name == self || p.PeerAddress == "" })
		bound := 1
		if r == region {
			bound = MaxPeers
		}
		out = append(out, sample(list, bound, randomInt)...)
	}
	return out
}

// sample returns n random instances of the list, or all if it has no more than n. It reorders the list.
func sample(list []routing.Peer, n int, randomInt func(n int) int) []routing.Peer {
	for i := 0; i < n && len(list) > n; i++ {
		j := i + randomInt(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
