package catalog

import (
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bounds of a look-up's answer.
const (
	// MaxEntries is the most instances that one look-up names.
	MaxEntries = 64
	// leastNear is the number of instances in the caller's failure domain, or region, that make it unnecessary to name
	// instances further away.
	leastNear = 2
)

// Entries returns the instances that a caller is to use: those of its failure domain, or of its region or all regions
// where there are too few.
func (v *View) Entries(domain state.DomainName, region state.RegionName) []routing.Peer {
	near := v.peers(func(p *routing.Peer) bool { return p.Domain == domain })
	if len(near) < leastNear {
		near = v.peers(func(p *routing.Peer) bool { return p.Region == region })
	}
	if len(near) == 0 {
		near = v.peers(func(*routing.Peer) bool { return true })
	}
	return near[:min(len(near), MaxEntries)]
}

func (v *View) peers(match func(*routing.Peer) bool) []routing.Peer {
	var out []routing.Peer
	for i := range v.Peers {
		if match(&v.Peers[i]) {
			out = append(out, v.Peers[i])
		}
	}
	return out
}
