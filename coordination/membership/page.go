package membership

import (
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Version returns the version of the table, which increases with each change of a status.
func (t *Table) Version() uint64 { return t.version }

// Page returns the instances whose status changed after the version, oldest change first and at most
// message.MaxInstancesPerReply, and the version up to which the page is complete. With a region, it returns only the region's
// instances, which is what a home reports to other homes.
func (t *Table) Page(after uint64, region state.RegionName) ([]state.Instance, uint64) {
	var changed []*entry
	for _, e := range t.entries {
		if e.version > after && (region == "" || e.instance.Region == region) {
			changed = append(changed, e)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].version < changed[j].version })
	upTo := t.version
	if len(changed) > message.MaxInstancesPerReply {
		changed = changed[:message.MaxInstancesPerReply]
		upTo = changed[len(changed)-1].version
	}
	out := make([]state.Instance, 0, len(changed))
	for _, e := range changed {
		out = append(out, e.instance)
	}
	return out, upTo
}

// Members returns the names of a region's live instances, or with all of all its instances, in no particular order.
func (t *Table) Members(region state.RegionName, all bool) []state.InstanceName {
	var out []state.InstanceName
	for name, e := range t.entries {
		if e.instance.Region == region && (all || e.instance.Status == state.InstanceLive) {
			out = append(out, name)
		}
	}
	return out
}

// View is the dump of one instance's entry.
type View struct {
	Name        state.InstanceName   `json:"name"`
	Region      state.RegionName     `json:"region"`
	Incarnation state.Incarnation    `json:"incarnation"`
	Status      state.InstanceStatus `json:"status"`
	Evidence    Evidence             `json:"evidence"`
	HeardMs     int64                `json:"heard_ms_ago"`     // time since its last message; -1 if none was received
	SinceMs     int64                `json:"status_since_ms"`  // time since the status began
	Listed      state.InstanceStatus `json:"listed,omitempty"` // status in the platform's list; empty if not listed
}

// Views returns a dump of the table, ordered by name.
func (t *Table) Views(now state.Instant) []View {
	out := make([]View, 0, len(t.entries))
	for name, e := range t.entries {
		v := View{
			Name: name, Region: e.instance.Region, Incarnation: e.instance.Incarnation, Status: e.instance.Status,
			Evidence: e.evidence, HeardMs: -1, SinceMs: now.Sub(e.statusSince).Milliseconds(), Listed: e.listed,
		}
		if e.received {
			v.HeardMs = now.Sub(e.messageAt).Milliseconds()
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Regions returns the regions of all known instances, in order.
func (t *Table) Regions() []state.RegionName {
	out := make([]state.RegionName, 0, len(t.regions))
	for r := range t.regions {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Partitioned reports whether no message from the home of another region was received for PartitionAfter.
func (t *Table) Partitioned(now state.Instant, region state.RegionName) bool {
	return now.Sub(t.regions[region]) >= PartitionAfter
}
