package control

import (
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/homelease"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// remoteStatusPerRegion is multiplied by the number of regions to get the interval between load reports to other regions:
// with 38 regions, a home sends them about once a second.
const remoteStatusPerRegion = 25 * time.Millisecond

// firstCandidates is the number of candidates that receive a load report at every StatusInterval, because they start an
// election soon after the home's last message. The other members, the first of which waits 1.2 s (homelease.HomeTimeout plus
// 4 times Stagger), receive one at every second interval.
const firstCandidates = 5 // including the home itself

// syncLease starts or ends the role of home when the lease begins or ends: a home grants only while its lease is valid. It
// runs before each event and before Ready returns messages, so that no grant is sent after the lease has ended.
func (c *Core) syncLease(now state.Instant) {
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
		c.table.SetHome(now, false, "")
		return
	}
	previous := c.homes[c.self.Region].Home
	c.updateHome(now, message.HomeClaim{Region: c.self.Region, Epoch: epoch, Home: c.self.Name})
	// The home waits until all grants of its predecessor are handed over or have expired. Waiting only for the instances
	// that are known to hold grants would not be safe: this instance may not know all that were alive a second ago.
	c.home = admission.NewHome(c.self.Region, epoch)
	c.home.SetLease(c.election.Candidate.Until())
	c.home.ApplyConfig(c.config, c.index)
	for _, m := range c.handoverParts {
		c.home.ImportHandover(now, m)
	}
	c.handoverParts = nil
	c.table.SetHome(now, true, previous)
	c.relays = newRelays() // members may have missed loads that an earlier home relayed
	c.heartbeats.statusAt, c.heartbeats.remoteAt = now.Add(-time.Hour), now.Add(-time.Hour)
}

// tickElection runs the election's due work and applies a changed lease.
func (c *Core) tickElection(now state.Instant) {
	if c.leaving {
		c.resign(now)
	}
	v := &homelease.View{
		Instances: c.table.Instances(), Complete: c.table.Complete(),
		Unlisted: func(n state.InstanceName) bool { return c.table.Absent(now, n) },
	}
	c.election.Tick(now, v, c.leaving && c.successor() != "")
	c.syncLease(now)
}

// beginStop begins the planned stop.
func (c *Core) beginStop(now state.Instant) {
	c.leaving, c.changed = true, true
	c.table.Leave(now)
	c.resign(now)
	c.heartbeats.sentAt = now.Add(-time.Hour) // announce at once
	c.sendHeartbeats(now)
}

// resign hands the region over to the next candidate. A home without a successor stays home until the process ends.
func (c *Core) resign(now state.Instant) {
	next := c.successor()
	if c.home == nil || next == "" {
		return
	}
	c.collect() // grants made so far
	for _, m := range c.home.Resign(now) {
		c.send([]admission.Outbound{{To: next, Body: m}})
	}
	c.collect() // refusals of the queued requests
	c.election.Candidate.Resign(now, next)
	c.syncLease(now)
}

// maxHandoverParts bounds the buffered parts of a handover that arrived before this instance became home.
const maxHandoverParts = 64

// handleHandover imports a part of the grants of a home that resigned in favour of this instance, or buffers it until this
// instance is home.
func (c *Core) handleHandover(now state.Instant, m *message.GrantHandover) {
	switch {
	case c.home != nil:
		c.home.ImportHandover(now, m)
	case m.Region == c.self.Region && len(c.handoverParts) < maxHandoverParts:
		c.handoverParts = append(c.handoverParts, m)
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

// candidates returns the members of a region in the order in which they stand for election: the live ones, or all.
func (c *Core) candidates(region state.RegionName, all bool) []state.InstanceName {
	names := c.table.Members(region, all)
	homelease.SortCandidates(region, names)
	return names
}

// updateHome records which instance is home of a region. The claim with the highest epoch applies.
func (c *Core) updateHome(now state.Instant, h message.HomeClaim) {
	old, ok := c.homes[h.Region]
	if ok && h.Epoch <= old.Epoch || h.Home == "" || !ok && len(c.homes) >= MaxRegions {
		return
	}
	c.homes[h.Region] = h
	c.changed = true
	if h.Region == c.self.Region {
		clear(c.heartbeats.known) // the new home's table may differ
		c.heartbeats.sentAt = now.Add(-time.Hour)
	}
}

// homeOf returns the home of a region and its epoch; the name is empty when none is known.
func (c *Core) homeOf(r state.RegionName) (state.InstanceName, message.Epoch) {
	h := c.homes[r]
	if h.Home == c.self.Name && c.home == nil {
		return "", h.Epoch // this instance was home, and no successor is known yet
	}
	return h.Home, h.Epoch
}

// sendStatus sends the load of the region to its members, together with the loads of other regions that are due, and to the
// homes of other regions, which relay it to their members.
func (c *Core) sendStatus(now state.Instant) {
	if now.Sub(c.heartbeats.statusAt) < StatusInterval {
		return
	}
	c.heartbeats.statusAt = now
	st := c.home.Summary()
	st.Home = c.self.Name
	c.heartbeats.statusRounds++
	first := c.candidates(c.self.Region, false)
	first = first[:min(len(first), firstCandidates)]
	if c.heartbeats.statusRounds%2 == 0 {
		toMembers := *st
		toMembers.Others = c.relays.take()
		c.sendToMembers(&toMembers)
	} else {
		for _, n := range first {
			c.send([]admission.Outbound{{To: n, Body: st}})
		}
	}
	if now.Sub(c.heartbeats.remoteAt) < time.Duration(len(c.homes))*remoteStatusPerRegion {
		return
	}
	c.heartbeats.remoteAt = now
	for region, h := range c.homes {
		if region != c.self.Region {
			c.send([]admission.Outbound{{To: h.Home, Body: st}})
		}
	}
}

// sendToMembers sends a message to all members of the region that are not dead, and to this instance itself.
func (c *Core) sendToMembers(b message.Body) {
	for _, in := range c.table.Instances() {
		if in.Region == c.self.Region && in.Status != state.InstanceDead {
			c.send([]admission.Outbound{{To: in.Name, Body: b}})
		}
	}
}

// handleRegionStatus records the load of a region, and the loads of other regions that this region's home relays.
func (c *Core) handleRegionStatus(now state.Instant, from state.InstanceName, m *message.RegionStatus) {
	c.updateHome(now, message.HomeClaim{Region: m.Region, Epoch: m.Epoch, Home: m.Home})
	if m.Home == from {
		c.recordHomeAlive(now, m.Region, from, m.Epoch)
		if c.home != nil && m.Region != c.self.Region && c.homes[m.Region].Home == from {
			c.relays.offer(now, m)
		}
	}
	c.recordLoad(now, m)
	if m.Home == from && m.Region == c.self.Region {
		for i := range m.Others {
			o := &m.Others[i]
			c.updateHome(now, message.HomeClaim{Region: o.Region, Epoch: o.Epoch, Home: o.Home})
			c.recordLoad(now, o)
		}
	}
}

// recordLoad stores the load of a region unless an earlier home sent it.
func (c *Core) recordLoad(now state.Instant, m *message.RegionStatus) {
	if uint64(m.Epoch) < c.loads[m.Region].Epoch || len(c.loads) >= MaxRegions && c.loads[m.Region].Region == "" {
		return
	}
	c.loads[m.Region] = state.RegionLoad{
		Region: m.Region, Home: m.Home, Epoch: uint64(m.Epoch), Running: m.Running, MaxRunning: m.MaxRunning,
		Services: m.Services, Links: m.Links, Shifts: m.Shifts, ReportedAt: now,
	}
	c.changed = true
}

// recordHomeAlive records that the home of a region itself sent a message.
func (c *Core) recordHomeAlive(now state.Instant, region state.RegionName, from state.InstanceName, epoch message.Epoch) {
	if h := c.homes[region]; h.Home != from || h.Epoch != epoch {
		return
	}
	c.table.RecordHomeMessage(now, region)
	if region == c.self.Region {
		c.election.Candidate.HomeAlive(now, from, epoch)
	}
}

// IsHome reports whether this instance is home of its region.
func (c *Core) IsHome() bool { return c.home != nil }
