package gossip

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Sizes and time limits of relays. Readers watch the store and relay its changes to the other instances of their group, which
// then do not watch it themselves.
const (
	// ReadersPerGroup is the number of readers of a group. An instance trusts relays only while it receives data from all readers
	// of its group, so that a reader that has lost the store unnoticed hides no changes.
	ReadersPerGroup = 2
	// groupSize is the max mean number of instances in a group.
	groupSize = 48
	// ReviewInterval is the time between two checks of which instances are the readers.
	ReviewInterval = 800 * time.Millisecond
	// MaxContactAge is the max time since the store's last answer to a reader for the reader to relay. The reader renews its lease
	// within that time, and reports each answer of the store to the instances of its group.
	MaxContactAge = 1500 * time.Millisecond
	// MaxTrustAge is the max time since the store's last answer to a reader for an instance to trust its relay. The difference to
	// MaxContactAge allows for the transfer. After MaxTrustAge the instance watches the store itself, in time for changes that
	// must be in force within 2.5 s.
	MaxTrustAge = 1700 * time.Millisecond
)

// RemainingTrust returns how much longer an instance is trusted to know of all changes, given the time since the store last
// answered it. It returns 0 when age is MaxTrustAge or more.
func RemainingTrust(age time.Duration) time.Duration { return max(0, MaxTrustAge-max(0, age)) }

// Readers returns the readers of the instance's group: those with the highest bandwidth, among equals the first by a hash of
// their names, and in different failure domains if the group has several. Bandwidth matters because a reader sends each relayed
// change once to each other instance of the group. An instance that is not listed has a group, too, but is never a reader.
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

// NextWatchTimeout returns the timeout of the instance's next watch of the store. random is a number from 0 to 1
// that spreads the timeouts.
func NextWatchTimeout(v *catalog.View, self state.InstanceName, region state.RegionName, random float64) time.Duration {
	if IsReader(self, Readers(v, self, region)) {
		return ReaderWatchTimeout(readerCount(v), random)
	}
	return time.Duration(float64(soloWatchTimeout) * (0.5 + random))
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

// readersOf returns the readers of the group with the given index, one of a number of groups of a region.
func readersOf(v *catalog.View, region state.RegionName, index, groups int) []routing.Peer {
	var group []routing.Peer
	for _, p := range v.Peers {
		if p.Region == region && groupOf(p.Name, groups) == index {
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
