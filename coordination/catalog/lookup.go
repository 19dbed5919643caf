package catalog

import (
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bounds of a look-up answer.
const (
	// MaxEntries is the max number of instances in one look-up answer.
	MaxEntries = 64
	// minDomainEntries is the min number of instances in the caller's failure domain; with fewer, the answer holds those of
	// the whole region.
	minDomainEntries = 2
)

// Entries returns the instances that a caller should use: those of its failure domain, those of its region if the domain has
// fewer than minDomainEntries, or those of all regions if its own has none.
func (v *View) Entries(domain state.DomainName, region state.RegionName) []routing.Peer {
	entries := v.peers(func(p *routing.Peer) bool { return p.Domain == domain })
	if len(entries) < minDomainEntries {
		entries = v.peers(func(p *routing.Peer) bool { return p.Region == region })
	}
	if len(entries) == 0 {
		entries = v.peers(func(*routing.Peer) bool { return true })
	}
	return entries[:min(len(entries), MaxEntries)]
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
