package membership

import (
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Version returns the version of the table; it rises at each change of a status.
func (t *Table) Version() uint64 { return t.version }

// Page returns the instances whose status changed after the version, oldest change first and at most
// message.MaxInstancesPerReply, and the version up to which the page is complete. With a region, only its instances are
// returned: a home answers for its own region towards other homes.
func (t *Table) Page(after uint64, region state.RegionName) ([]state.Instance, uint64) {
	var news []*entry
	for _, e := range t.entries {
		if e.version > after && (region == "" || e.instance.Region == region) {
			news = append(news, e)
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].version < news[j].version })
	upTo := t.version
	if len(news) > message.MaxInstancesPerReply {
		news = news[:message.MaxInstancesPerReply]
		upTo = news[len(news)-1].version
	}
	out := make([]state.Instance, 0, len(news))
	for _, e := range news {
		out = append(out, e.instance)
	}
	return out, upTo
}

// Members returns the instances of a region, in no order: the live ones, or all of them.
func (t *Table) Members(region state.RegionName, all bool) []state.InstanceName {
	var out []state.InstanceName
	for name, e := range t.entries {
		if e.instance.Region == region && (all || e.instance.Status == state.InstanceLive) {
			out = append(out, name)
		}
	}
	return out
}

// View is one instance for dumps.
type View struct {
	Name        state.InstanceName   `json:"name"`
	Region      state.RegionName     `json:"region"`
	Incarnation state.Incarnation    `json:"incarnation"`
	Status      state.InstanceStatus `json:"status"`
	Evidence    Evidence             `json:"evidence"`
	HeardMs     int64                `json:"heard_ms_ago"` // -1 when the instance itself was never heard
	SinceMs     int64                `json:"status_since_ms"`
	Listed      state.InstanceStatus `json:"listed,omitempty"`
}

// Views returns the table for dumps, ordered by name.
func (t *Table) Views(now state.Instant) []View {
	out := make([]View, 0, len(t.entries))
	for name, e := range t.entries {
		v := View{
			Name: name, Region: e.instance.Region, Incarnation: e.instance.Incarnation, Status: e.instance.Status,
			Evidence: e.evidence, HeardMs: -1, SinceMs: now.Sub(e.since).Milliseconds(), Listed: e.listed,
		}
		if e.heard {
			v.HeardMs = now.Sub(e.heardAt).Milliseconds()
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

// Parted reports whether no home of another region has been heard for PartedAfter.
func (t *Table) Parted(now state.Instant, region state.RegionName) bool {
	return now.Sub(t.regions[region]) >= PartedAfter
}
