package control

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Dump is the control state of one instance, for people. All lists are in a stable order.
type Dump struct {
	Self      state.Instance        `json:"self"`
	Revision  state.Revision        `json:"revision"`
	Leaving   bool                  `json:"leaving"`
	Config    ConfigDump            `json:"config"`
	Instances []state.Instance      `json:"instances"`
	Homes     []message.HomeClaim   `json:"homes"`
	Loads     []state.RegionLoad    `json:"loads"`
	Held      map[string]int        `json:"held_grants"`
	Home      *message.RegionStatus `json:"home,omitempty"` // set while this instance is home of its region
	Stats     Stats                 `json:"stats"`
}

func (c *Core) dump(state.Instant) *Dump {
	d := &Dump{Self: c.self, Revision: c.config.Revision, Leaving: c.leaving, Instances: c.instances, Held: make(map[string]int), Stats: c.Stats}
	d.Config = c.dumpConfig()
	d.Stats.Holder = c.holder.Stats
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
