package control

import (
	"sort"

	"azurebridge/coordination/homelease"
	"azurebridge/coordination/membership"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Dump is the control state of one instance as shown to operators. All lists are in a stable order.
type Dump struct {
	Self      state.Instance        `json:"self"`
	Revision  state.Revision        `json:"revision"`
	Leaving   bool                  `json:"leaving"`
	Config    ConfigDump            `json:"config"`
	Instances []membership.View     `json:"instances"`
	Election  ElectionDump          `json:"election"`
	Homes     []message.HomeClaim   `json:"homes"`
	Loads     []state.RegionLoad    `json:"loads"`
	Held      map[string]int        `json:"held_grants"` // number by region
	Outcomes  int                   `json:"unacknowledged_outcomes"`
	Home      *message.RegionStatus `json:"home,omitempty"` // set while this instance is home of its region
	Stats     Stats                 `json:"stats"`
}

// ElectionDump is the state of the election of the region's home, and the promises that this instance gave as witness.
type ElectionDump struct {
	Candidate homelease.CandidateView `json:"candidate"`
	Promises  []PromiseDump           `json:"promises"`
	Refused   uint64                  `json:"refused_requests"`
}

// PromiseDump is the promise of this instance for one region.
type PromiseDump struct {
	Region      state.RegionName   `json:"region"`
	Epoch       message.Epoch      `json:"epoch"`
	Holder      state.InstanceName `json:"holder"`
	LeftMs      int64              `json:"left_ms"`
	Released    bool               `json:"released"`
	RecordSeen  uint64             `json:"record_seen"`
	RecordKnown bool               `json:"record_read"` // the record was read from the store since the process started
}

func (c *Core) dumpElection(now state.Instant) ElectionDump {
	w := c.election.Witness
	d := ElectionDump{Candidate: c.election.Candidate.View(now), Refused: w.Refused}
	w.Regions(func(r state.RegionName) {
		p, number, read := w.Promise(r)
		d.Promises = append(d.Promises, PromiseDump{
			Region: r, Epoch: p.Epoch, Holder: p.Holder, LeftMs: max(0, p.Until.Sub(now).Milliseconds()),
			Released: p.Released, RecordSeen: number, RecordKnown: read,
		})
	})
	sort.Slice(d.Promises, func(i, j int) bool { return d.Promises[i].Region < d.Promises[j].Region })
	return d
}

func (c *Core) dump(now state.Instant) *Dump {
	d := &Dump{Self: c.self, Revision: c.config.Revision, Leaving: c.leaving, Held: make(map[string]int), Stats: c.Stats}
	d.Instances, d.Election, d.Stats.Members = c.table.Views(now), c.dumpElection(now), c.table.Stats
	d.Config = c.dumpConfig()
	d.Stats.Holder = c.holder.Stats
	d.Outcomes = c.claims.client.Unacknowledged()
	d.Stats.ClaimClient, d.Stats.ClaimWriter = c.claims.client.Stats, c.claims.writer.Stats
	d.Stats.Reporting = c.reporting.Stats
	for _, r := range c.config.Regions {
		if h, ok := c.homes[r.Name]; ok {
			d.Homes = append(d.Homes, h)
		}
		if l, ok := c.loads[r.Name]; ok {
			d.Loads = append(d.Loads, l)
		}
		d.Held[string(r.Name)] = c.holder.Held(r.Name)
	}
	if c.home != nil {
		d.Home = c.home.Status()
	}
	return d
}
