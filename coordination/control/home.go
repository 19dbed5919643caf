package control

import (
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/homelease"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// remoteStatusStep is added to the interval between load reports to other regions for each region, so that a home of 38
// regions sends them about once a second.
const remoteStatusStep = 25 * time.Millisecond

// firstCandidates hear their home at each StatusInterval, since they stand for election soon after its last sign. The
// other members, of which the next waits 1.2 s (homelease.HomeSilence and 4 times Stagger), hear it at each second one.
const firstCandidates = 5 // with the home itself

// followLease keeps admission in step with the lease: a home grants only while its lease is valid. It runs before each
// event and before messages are handed out, so that no grant leaves after the lease has ended.
func (c *Core) followLease(now state.Instant) {
	epoch := c.election.Candidate.Home(now)
	if c.home != nil {
		c.home.SetLease(c.election.Candidate.Until())
	}
	if epoch == c.epoch {
		return
	}
	c.epoch, c.changed = epoch, true
	c.home = nil
	if epoch == 0 {
		c.table.Judge(now, false, "")
		return
	}
	previous := c.homes[c.self.Region].Home
	c.claim(now, message.HomeClaim{Region: c.self.Region, Epoch: epoch, Home: c.self.Name})
	// The home waits until all grants of its predecessor are handed over or have lapsed. Naming the instances that may
	// hold some would not be safe: this instance may not know all that were alive a second ago.
	c.home = admission.NewHome(c.self.Region, epoch)
	c.home.SetLease(c.election.Candidate.Until())
	c.home.ApplyConfig(c.config, c.index)
	for _, m := range c.handed {
		c.home.Import(now, m)
	}
	c.handed = nil
	c.table.Judge(now, true, previous)
	c.relays = newRelays() // members may have missed what an earlier home passed on
	c.beats.statusAt, c.beats.remoteAt = now.Add(-time.Hour), now.Add(-time.Hour)
}

// elect runs the election.
func (c *Core) elect(now state.Instant) {
	if c.leaving {
		c.resign(now)
	}
	v := &homelease.View{
		Instances: c.table.Instances(), Complete: c.table.Complete(),
		Gone: func(n state.InstanceName) bool { return c.table.Gone(now, n) },
	}
	c.election.Tick(now, v, c.leaving && c.successor() != "")
	c.followLease(now)
}

// stop begins the planned stop.
func (c *Core) stop(now state.Instant) {
	c.leaving, c.changed = true, true
	c.table.Leave(now)
	c.resign(now)
	c.beats.at = now.Add(-time.Hour) // announce at once
	c.beat(now)
}

// resign hands the region over to the next candidate. A home without successor stays home until it ends.
func (c *Core) resign(now state.Instant) {
	next := c.successor()
	if c.home == nil || next == "" {
		return
	}
	c.collect() // what was granted so far
	for _, m := range c.home.Resign(now) {
		c.post([]admission.Outbound{{To: next, Body: m}})
	}
	c.collect() // refusals of what waited
	c.election.Candidate.Resign(now, next)
	c.followLease(now)
}

// maxHandedParts bounds the parts of a handover that wait for this instance to become home.
const maxHandedParts = 64

// handOver takes a part of the grants of a home that resigned in favour of this instance.
func (c *Core) handOver(now state.Instant, m *message.GrantHandover) {
	switch {
	case c.home != nil:
		c.home.Import(now, m)
	case m.Region == c.self.Region && len(c.handed) < maxHandedParts:
		c.handed = append(c.handed, m)
	}
}

// successor returns the first live candidate of the region other than this instance.
func (c *Core) successor() state.InstanceName {
	for _, n := range c.candidates(c.self.Region, false) {
		if n != c.self.Name {
			return n
		}
	}
	return ""
}

// candidates returns the live members of a region, or all of them, in the order of candidates.
func (c *Core) candidates(region state.RegionName, all bool) []state.InstanceName {
	names := c.table.Members(region, all)
	homelease.Order(region, names)
	return names
}

// claim takes over who is home of a region. The highest epoch wins.
func (c *Core) claim(now state.Instant, h message.HomeClaim) {
	old, ok := c.homes[h.Region]
	if ok && h.Epoch <= old.Epoch || h.Home == "" || !ok && len(c.homes) >= MaxRegions {
		return
	}
	c.homes[h.Region] = h
	c.changed = true
	if h.Region == c.self.Region {
		clear(c.beats.known) // the new home's table may differ
		c.beats.at = now.Add(-time.Hour)
	}
}

// homeOf returns the home of a region and its epoch; the name is empty when none is known.
func (c *Core) homeOf(r state.RegionName) (state.InstanceName, message.Epoch) {
	h := c.homes[r]
	if h.Home == c.self.Name && c.home == nil {
		return "", h.Epoch // it was this instance, and no successor is known yet
	}
	return h.Home, h.Epoch
}

// reportStatus sends the load of the region to its members, with that of other regions that is due, and to the homes of
// other regions, which pass it on.
func (c *Core) reportStatus(now state.Instant) {
	if now.Sub(c.beats.statusAt) < StatusInterval {
		return
	}
	c.beats.statusAt = now
	st := c.home.Summary()
	st.Home = c.self.Name
	c.beats.rounds++
	first := c.candidates(c.self.Region, false)
	first = first[:min(len(first), firstCandidates)]
	if c.beats.rounds%2 == 0 {
		toMembers := *st
		toMembers.Others = c.relays.take()
		c.toMembers(&toMembers)
	} else {
		for _, n := range first {
			c.post([]admission.Outbound{{To: n, Body: st}})
		}
	}
	if now.Sub(c.beats.remoteAt) < time.Duration(len(c.homes))*remoteStatusStep {
		return
	}
	c.beats.remoteAt = now
	for region, h := range c.homes {
		if region != c.self.Region {
			c.post([]admission.Outbound{{To: h.Home, Body: st}})
		}
	}
}

// toMembers sends a message to all members of the region that are not dead, and to this instance itself.
func (c *Core) toMembers(b message.Body) {
	for _, in := range c.table.Instances() {
		if in.Region == c.self.Region && in.Status != state.InstanceDead {
			c.post([]admission.Outbound{{To: in.Name, Body: b}})
		}
	}
}

// regionStatus takes over the load of a region, and what its home passes on of others.
func (c *Core) regionStatus(now state.Instant, from state.InstanceName, m *message.RegionStatus) {
	c.claim(now, message.HomeClaim{Region: m.Region, Epoch: m.Epoch, Home: m.Home})
	if m.Home == from {
		c.homeHeard(now, m.Region, from, m.Epoch)
		if c.home != nil && m.Region != c.self.Region && c.homes[m.Region].Home == from {
			c.relays.offer(now, m)
		}
	}
	c.takeLoad(now, m)
	if m.Home == from && m.Region == c.self.Region {
		for i := range m.Others {
			o := &m.Others[i]
			c.claim(now, message.HomeClaim{Region: o.Region, Epoch: o.Epoch, Home: o.Home})
			c.takeLoad(now, o)
		}
	}
}

// takeLoad takes over the load of a region unless it is that of an earlier home.
func (c *Core) takeLoad(now state.Instant, m *message.RegionStatus) {
	if uint64(m.Epoch) < c.loads[m.Region].Epoch || len(c.loads) >= MaxRegions && c.loads[m.Region].Region == "" {
		return
	}
	c.loads[m.Region] = state.RegionLoad{
		Region: m.Region, Home: m.Home, Epoch: uint64(m.Epoch), Running: m.Running, MaxRunning: m.MaxRunning,
		Services: m.Services, Links: m.Links, Shifts: m.Shifts, ReportedAt: now,
	}
	c.changed = true
}

// homeHeard notes a message that the home of a region sent itself.
func (c *Core) homeHeard(now state.Instant, region state.RegionName, from state.InstanceName, epoch message.Epoch) {
	if h := c.homes[region]; h.Home != from || h.Epoch != epoch {
		return
	}
	c.table.RegionHeard(now, region)
	if region == c.self.Region {
		c.election.Candidate.HomeAlive(now, from, epoch)
	}
}

// IsHome reports whether this instance is home of its region.
func (c *Core) IsHome() bool { return c.home != nil }
