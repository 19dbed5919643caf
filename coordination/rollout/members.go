package rollout

import (
	"sort"

	"azurebridge/state"
)

// members is the view of the fleet that the rollout works with.
type members struct {
	self    state.Instance
	regions []state.RegionName
	live    map[state.RegionName][]state.InstanceName // by rendezvous score, highest first
	all     []state.InstanceName                      // of the own region, whatever their status
}

// newMembers ranks the live instances of each region. The first ReadersPerRegion of a region are its readers.
func newMembers(self state.Instance, instances []state.Instance) *members {
	m := &members{self: self, live: make(map[state.RegionName][]state.InstanceName)}
	scores := make(map[state.InstanceName]uint64, len(instances))
	for _, in := range instances {
		if in.Region == self.Region && in.Name != self.Name {
			m.all = append(m.all, in.Name)
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

// reader reports whether this instance watches the store. An instance that the list does not know yet, or that is alone
// in it, watches too, so that a first configuration can arrive.
func (m *members) reader() bool {
	known := false
	for _, name := range m.live[m.self.Region] {
		known = known || name == m.self.Name
	}
	if !known {
		return len(m.live[m.self.Region]) == 0
	}
	for _, name := range m.readers(m.self.Region) {
		if name == m.self.Name {
			return true
		}
	}
	return false
}

// relayed returns the instances of the own region that this reader passes configurations on to. The instances that are
// not readers are divided among the readers by rendezvous score, so that each gets a configuration once.
func (m *members) relayed() []state.InstanceName {
	var out []state.InstanceName
	readers := m.readers(m.self.Region)
	for _, name := range m.live[m.self.Region][len(readers):] {
		best, by := uint64(0), state.InstanceName("")
		for _, r := range readers {
			if s := state.RendezvousScore(string(name), string(r)); by == "" || s > best {
				best, by = s, r
			}
		}
		if by == m.self.Name {
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
