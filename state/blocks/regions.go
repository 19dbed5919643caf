package blocks

import (
	"net/netip"

	"azurebridge/state"
)

// Regions maps client addresses to the region that serves their site. It is immutable.
type Regions struct {
	table  *Table
	bySite []state.RegionName // indexed by Site
}

// NewRegions returns a map from the sites of a table to regions: regions[s] serves site s, and regions[NoSite] is not used.
func NewRegions(t *Table, regions []state.RegionName) *Regions { return &Regions{t, regions} }

// Region returns the region of an address, and false when no block holds it or r is nil. It does not allocate.
func (r *Regions) Region(a netip.Addr) (state.RegionName, bool) {
	if r == nil || !a.IsValid() {
		return "", false
	}
	s := r.table.Lookup(a)
	if s == NoSite || int(s) >= len(r.bySite) {
		return "", false
	}
	return r.bySite[s], true
}

// Table returns the table of blocks.
func (r *Regions) Table() *Table { return r.table }
