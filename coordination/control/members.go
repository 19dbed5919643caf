package control

import (
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of the exchange with other instances.
const (
	HeartbeatInterval = time.Second
	MaxRegions        = 256                    // regions whose home and load are retained
	tableTickInterval = 100 * time.Millisecond // between ticks of the membership table
	deputies          = 2                      // next candidates for home; they also receive the heartbeats of all members
	homeQueries       = 3                      // instances asked per round in a region whose home is unknown or unresponsive
)

// tableVersion is the version of another instance's membership table that this instance has received.
type tableVersion struct {
	incarnation state.Incarnation
	version     uint64
}

// heartbeatState is the state of the exchange with other instances.
type heartbeatState struct {
	seq           uint64
	sentAt        state.Instant                       // last round of heartbeats
	statusAt      state.Instant                       // last load report to members
	statusRounds  uint64                              // number of load reports to members
	remoteAt      state.Instant                       // last load report to other regions
	tableTickAt   state.Instant                       // last tick of the membership table
	pushedVersion uint64                              // as home: version of the table that was last pushed
	known         map[state.InstanceName]tableVersion // by home, from its heartbeat replies
	acked         map[state.InstanceName]uint64       // as home: version of this table that each instance has
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{
		sentAt: -state.Instant(time.Hour),
		known:  make(map[state.InstanceName]tableVersion), acked: make(map[state.InstanceName]uint64),
	}
}

// sendHeartbeats sends heartbeats when they are due, and a home's changes of its table at once.
func (c *Core) sendHeartbeats(now state.Instant) {
	if c.home != nil && c.table.Version() != c.heartbeats.pushedVersion {
		c.pushChanges()
	}
	if now.Sub(c.heartbeats.sentAt) < HeartbeatInterval || !c.table.Complete() {
		return
	}
	c.heartbeats.sentAt = now
	c.heartbeats.seq++
	own := c.self
	own.Status = state.InstanceLive
	if c.leaving {
		own.Status = state.InstanceLeaving
	}
	for _, to := range c.heartbeatTargets(now) {
		k := c.heartbeats.known[to]
		c.send([]admission.Outbound{{To: to, Body: &message.Heartbeat{
			Seq: c.heartbeats.seq, Instance: own, Revision: c.config.Revision, Homes: c.ownClaims(),
			Known: k.version, KnownOf: k.incarnation,
		}}})
	}
}

// heartbeatTargets returns the instances to send heartbeats to: the home and the deputies of this region. A home also sends
// them to the other homes and, in a region whose home is unknown or unresponsive, to some instances that may know it.
func (c *Core) heartbeatTargets(now state.Instant) []state.InstanceName {
	home, _ := c.homeOf(c.self.Region)
	var out []state.InstanceName
	if home != "" && home != c.self.Name {
		out = append(out, home)
	}
	want := len(out) + deputies
	for _, n := range c.candidates(c.self.Region, false) {
		if n != c.self.Name && n != home && len(out) < want {
			out = append(out, n)
		}
	}
	if c.home == nil {
		return out
	}
	for _, region := range c.table.Regions() {
		if region == c.self.Region {
			continue
		}
		h, known := c.homes[region]
		if known {
			out = append(out, h.Home)
		}
		if known && !c.table.Partitioned(now, region) {
			continue
		}
		all := c.candidates(region, true)
		for i := range min(homeQueries, len(all)) { // rotates with each round, so that all are asked in turn
			out = append(out, all[(int(c.heartbeats.seq)*homeQueries+i)%len(all)])
		}
	}
	return out
}

// ownClaims returns the claim of this region's home, if known. Claims of other regions are left out, so that heartbeats stay
// small with many regions: load reports carry them.
func (c *Core) ownClaims() []message.HomeClaim {
	if h, _ := c.homeOf(c.self.Region); h == "" {
		return nil
	}
	return []message.HomeClaim{c.homes[c.self.Region]}
}

// pushChanges sends changed instances to the members of the region and to other homes at once.
func (c *Core) pushChanges() {
	c.heartbeats.pushedVersion = c.table.Version()
	for _, in := range c.table.Instances() {
		h := c.homes[in.Region]
		if in.Name == c.self.Name || in.Status == state.InstanceDead || in.Region != c.self.Region && h.Home != in.Name {
			continue
		}
		c.send([]admission.Outbound{{To: in.Name, Body: c.newReply(0, in.Name, in.Region)}})
	}
}

// newReply returns the reply to an instance's heartbeat. Only a home includes instances; to another region it sends only
// those of its own region.
func (c *Core) newReply(seq uint64, to state.InstanceName, region state.RegionName) *message.HeartbeatReply {
	r := &message.HeartbeatReply{Seq: seq, Revision: c.config.Revision, Homes: c.ownClaims()}
	if c.home == nil {
		return r
	}
	onlyRegion := state.RegionName("")
	if region != c.self.Region {
		onlyRegion = c.self.Region
	} else {
		rec, _ := c.election.Candidate.Record()
		r.Witnesses = message.Witnesses{Region: rec.Region, Number: rec.Number, Names: rec.Witnesses}
	}
	r.Instances, r.Version = c.table.Page(c.heartbeats.acked[to], onlyRegion)
	return r
}

// handleHeartbeat handles a heartbeat and answers it.
func (c *Core) handleHeartbeat(now state.Instant, from state.InstanceName, m *message.Heartbeat) {
	if m.Instance.Name != from {
		c.Stats.Misaddressed++
		return
	}
	c.table.ApplyHeartbeat(now, m.Instance)
	c.updateHomes(now, from, m.Homes)
	if c.home != nil {
		c.heartbeats.acked[from] = 0
		if m.KnownOf == c.self.Incarnation {
			c.heartbeats.acked[from] = m.Known
		}
		if len(c.heartbeats.acked) > 2*len(c.table.Instances())+MaxRegions {
			clear(c.heartbeats.acked) // it holds names of removed instances; the next heartbeats refill it
		}
	}
	c.send([]admission.Outbound{{To: from, Body: c.newReply(m.Seq, from, m.Instance.Region)}})
}

// handleHeartbeatReply applies the instances and witnesses that a home sent.
func (c *Core) handleHeartbeatReply(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.HeartbeatReply) {
	c.updateHomes(now, from, m.Homes)
	region := c.homeRegion(from)
	if region == "" || m.Version == 0 && len(m.Instances) == 0 && m.Witnesses.Number == 0 {
		return
	}
	if region != c.self.Region && c.home == nil {
		return
	}
	c.table.ApplyHomeReport(now, region, m.Instances)
	if region == c.self.Region {
		c.election.SetRecord(now, &m.Witnesses)
	}
	c.heartbeats.known[from] = tableVersion{inc, m.Version}
}

// homeRegion returns the region whose home the instance is, or "".
func (c *Core) homeRegion(name state.InstanceName) state.RegionName {
	for r, h := range c.homes {
		if h.Home == name {
			return r
		}
	}
	return ""
}

// updateHomes records claims, and that the sender is alive if it is itself home.
func (c *Core) updateHomes(now state.Instant, from state.InstanceName, list []message.HomeClaim) {
	for _, h := range list {
		c.updateHome(now, h)
		if h.Home == from {
			c.recordHomeAlive(now, h.Region, from, h.Epoch)
		}
	}
}
