package rollout

import (
	"sort"

	"azurebridge/state"
)

// members holds the instances of the fleet as the rollout needs them.
type members struct {
	self    state.Instance
	regions []state.RegionName
	live    map[state.RegionName][]state.InstanceName // by rendezvous score, highest first
	peers   []state.InstanceName                      // the others of the own region, whatever their status
}

// newMembers ranks the live instances of each region by rendezvous score. The first ReadersPerRegion are its readers.
func newMembers(self state.Instance, instances []state.Instance) *members {
	m := &members{self: self, live: make(map[state.RegionName][]state.InstanceName)}
	scores := make(map[state.InstanceName]uint64, len(instances))
	for _, in := range instances {
		if in.Region == self.Region && in.Name != self.Name {
			m.peers = append(m.peers, in.Name)
		}
		if in.Status != state.InstanceLive {
			continue
		}
		if _, ok := scores[in.Name]; ok {
			continue
		}
		scores[in.Name] = state.RendezvousScore("config-reader/"+string(in.Region), string(in.Name))
		m.live[in.Region] = append(m.live[in.Region], in.Name)
	}
	for r, names := range m.live {
		m.regions = append(m.regions, r)
		sort.Slice(names, func(i, j int) bool {
			if scores[names[i]] != scores[names[j]] {
				return scores[names[i]] > scores[names[j]]
			}
			return names[i] < names[j]
		})
	}
	sort.Slice(m.regions, func(i, j int) bool { return m.regions[i] < m.regions[j] })
	return m
}

// readers returns the instances of a region that watch the store.
func (m *members) readers(r state.RegionName) []state.InstanceName {
	names := m.live[r]
	return names[:min(len(names), ReadersPerRegion)]
}

// reader reports whether this instance watches the store. An instance that is not in the list of live instances watches
// the store only if the list has no other one of its region, so that a first configuration can arrive.
func (m *members) reader() bool {
	listed := false
	for _, name := range m.live[m.self.Region] {
		listed = listed || name == m.self.Name
	}
	if !listed {
		return len(m.live[m.self.Region]) == 0
	}
	for _, name := range m.readers(m.self.Region) {
		if name == m.self.Name {
			return true
		}
	}
	return false
}

// relayTargets returns the instances of the own region that this reader relays configurations to. The non-readers are
// divided among the readers by rendezvous score, so that each receives a configuration once.
func (m *members) relayTargets() []state.InstanceName {
	var out []state.InstanceName
	readers := m.readers(m.self.Region)
	for _, name := range m.live[m.self.Region][len(readers):] {
		bestScore, bestReader := uint64(0), state.InstanceName("")
		for _, r := range readers {
			if s := state.RendezvousScore(string(name), string(r)); bestReader == "" || s > bestScore {
				bestScore, bestReader = s, r
			}
		}
		if bestReader == m.self.Name {
			out = append(out, name)
		}
	}
	return out
}

// allReaders returns the readers of all regions.
func (m *members) allReaders() []state.InstanceName {
	var out []state.InstanceName
	for _, r := range m.regions {
		out = append(out, m.readers(r)...)
	}
	return out
}
