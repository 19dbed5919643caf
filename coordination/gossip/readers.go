package gossip

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Sizes and times of relays. Readers watch the store and relay its changes to the other instances of their group, which
// make no calls of their own for that.
const (
	// ReadersPerGroup is the number of readers of a group. An instance trusts relays only while it hears all readers of its
	// group, so that one which has lost the store unnoticed hides nothing.
	ReadersPerGroup = 2
	// groupSize bounds the instances that a reader relays to, in the mean.
	groupSize = 48
	// ReviewInterval is the time between two looks at who the readers are.
	ReviewInterval = 800 * time.Millisecond
	// ContactAge is how long ago the store must have answered a reader for it to relay. The renewal of its lease is due before
	// that, and each answer of the store is passed on.
	ContactAge = 1500 * time.Millisecond
	// TrustAge is how long ago the store must have answered a reader for an instance to trust its relay; beyond ContactAge it
	// leaves time for the way. The instance then watches the store, which is in time for changes that must be in force within
	// 2.5 s.
	TrustAge = 1700 * time.Millisecond
)

// TrustFor returns how much longer an instance is trusted to know of all changes when the store answered it the given time ago: not
// at all when that is too long.
func TrustFor(age time.Duration) time.Duration { return max(0, TrustAge-max(0, age)) }

// Readers returns the readers of the instance's group: those with the widest links, and among these the first by a hash of their
// names, in different failure domains where the group has several. What one of them relays goes over its link once for each
// other instance of the group. An instance that is not listed is in a group, too, and never a reader.
func Readers(v *catalog.View, self state.InstanceName, region state.RegionName) []routing.Peer {
	groups := groupCount(v, region)
	return readersOf(v, region, groupOf(self, groups), groups)
}

// IsReader reports whether the instance is among the readers.
func IsReader(self state.InstanceName, readers []routing.Peer) bool {
	return slices.ContainsFunc(readers, func(p routing.Peer) bool { return p.Name == self })
}

// allReaders returns the readers of all groups of a region.
func allReaders(v *catalog.View, region state.RegionName) []routing.Peer {
	var out []routing.Peer
	groups := groupCount(v, region)
	for g := range groups {
		out = append(out, readersOf(v, region, g, groups)...)
	}
	return out
}

// NextWatch returns how long the instance's next watch of the store is to wait, spread by draw, a random number from 0 to 1.
func NextWatch(v *catalog.View, self state.InstanceName, region state.RegionName, draw float64) time.Duration {
	if IsReader(self, Readers(v, self, region)) {
		return WatchWait(readerCount(v), draw)
	}
	return time.Duration(float64(aloneWatch) * (0.5 + draw))
}

// readerCount returns the number of readers of the fleet.
func readerCount(v *catalog.View) int {
	n := 0
	for _, region := range regions(v) {
		n += len(allReaders(v, region))
	}
	return n
}

func groupCount(v *catalog.View, region state.RegionName) int {
	n := 0
	for _, p := range v.Peers {
		if p.Region == region {
			n++
		}
	}
	return max(1, (n+groupSize-1)/groupSize)
}

func groupOf(name state.InstanceName, groups int) int {
	return int(state.RendezvousScore("relay group", string(name)) % uint64(groups))
}

// readersOf returns the readers of one of a region's groups.
func readersOf(v *catalog.View, region state.RegionName, number, groups int) []routing.Peer {
	var group []routing.Peer
	for _, p := range v.Peers {
		if p.Region == region && groupOf(p.Name, groups) == number {
			group = append(group, p)
		}
	}
	slices.SortFunc(group, func(a, b routing.Peer) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(state.RendezvousScore("relay reader", string(a.Name)), state.RendezvousScore("relay reader", string(b.Name))),
		)
	})
	if len(group) > ReadersPerGroup {
		other := slices.IndexFunc(group, func(p routing.Peer) bool { return p.Domain != group[0].Domain })
		if other > 1 {
			group[1], group[other] = group[other], group[1]
		}
	}
	return group[:min(ReadersPerGroup, len(group))]
}

func regions(v *catalog.View) []state.RegionName {
	var out []state.RegionName
	for _, p := range v.Peers {
		if !slices.Contains(out, p.Region) {
			out = append(out, p.Region)
		}
	}
	return out
}
