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
	MaxRegions        = 256                    // regions whose home and load are kept
	ageInterval       = 100 * time.Millisecond // between looks at the age of all evidence
	deputies          = 2                      // candidates beside the home that hear each member
	foreignTries      = 3                      // instances of a region without known home that are asked for it
)

// seen is what this instance has of another one's table.
type seen struct {
	incarnation state.Incarnation
	version     uint64
}

// beats is the state of the exchange with other instances.
type beats struct {
	seq      uint64
	at       state.Instant // last round of heartbeats
	statusAt state.Instant
	rounds   uint64 // of load reports to members
	remoteAt state.Instant
	agedAt   state.Instant
	pushed   uint64                        // version of the table that was pushed as home
	known    map[state.InstanceName]seen   // from replies
	acked    map[state.InstanceName]uint64 // as home: what each instance said that it has
}

func newBeats() beats {
	return beats{
		at:    -state.Instant(time.Hour),
		known: make(map[state.InstanceName]seen), acked: make(map[state.InstanceName]uint64),
	}
}

// beat sends heartbeats when they are due, and a home's news.
func (c *Core) beat(now state.Instant) {
	if c.home != nil && c.table.Version() != c.beats.pushed {
		c.push()
	}
	if now.Sub(c.beats.at) < HeartbeatInterval || !c.table.Complete() {
		return
	}
	c.beats.at = now
	c.beats.seq++
	own := c.self
	own.Status = state.InstanceLive
	if c.leaving {
		own.Status = state.InstanceLeaving
	}
	for _, to := range c.targets(now) {
		k := c.beats.known[to]
		c.post([]admission.Outbound{{To: to, Body: &message.Heartbeat{
			Seq: c.beats.seq, Instance: own, Revision: c.config.Revision, Homes: c.ownClaims(),
			Known: k.version, KnownOf: k.incarnation,
		}}})
	}
}

// targets returns whom this instance sends heartbeats: its home and the deputies, and as home the other homes.
func (c *Core) targets(now state.Instant) []state.InstanceName {
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
		if known && !c.table.Parted(now, region) {
			continue
		}
		all := c.candidates(region, true)
		for i := range min(foreignTries, len(all)) { // the round changes, so that each is asked sooner or later
			out = append(out, all[(int(c.beats.seq)*foreignTries+i)%len(all)])
		}
	}
	return out
}

// ownClaims returns who is home of this region. Homes of other regions are known from their load reports, so that
// heartbeats stay small with many regions.
func (c *Core) ownClaims() []message.HomeClaim {
	if h, _ := c.homeOf(c.self.Region); h == "" {
		return nil
	}
	return []message.HomeClaim{c.homes[c.self.Region]}
}

// push tells members and other homes of changed instances at once.
func (c *Core) push() {
	c.beats.pushed = c.table.Version()
	for _, in := range c.table.Instances() {
		h := c.homes[in.Region]
		if in.Name == c.self.Name || in.Status == state.InstanceDead || in.Region != c.self.Region && h.Home != in.Name {
			continue
		}
		c.post([]admission.Outbound{{To: in.Name, Body: c.reply(0, in.Name, in.Region)}})
	}
}

// reply is the answer to an instance's heartbeat. Only a home tells of instances; other homes get those of its region.
func (c *Core) reply(seq uint64, to state.InstanceName, region state.RegionName) *message.HeartbeatReply {
	r := &message.HeartbeatReply{Seq: seq, Revision: c.config.Revision, Homes: c.ownClaims()}
	if c.home == nil {
		return r
	}
	of := state.RegionName("")
	if region != c.self.Region {
		of = c.self.Region
	} else {
		rec, _ := c.election.Candidate.Record()
		r.Witnesses = message.Witnesses{Region: rec.Region, Number: rec.Number, Names: rec.Witnesses}
	}
	r.Instances, r.Version = c.table.Page(c.beats.acked[to], of)
	return r
}

// heartbeat handles a heartbeat and answers it.
func (c *Core) heartbeat(now state.Instant, from state.InstanceName, m *message.Heartbeat) {
	if m.Instance.Name != from {
		c.Stats.Misaddressed++
		return
	}
	c.table.Announced(now, m.Instance)
	c.takeClaims(now, from, m.Homes)
	if c.home != nil {
		c.beats.acked[from] = 0
		if m.KnownOf == c.self.Incarnation {
			c.beats.acked[from] = m.Known
		}
		if len(c.beats.acked) > 2*len(c.table.Instances())+MaxRegions {
			clear(c.beats.acked) // names of forgotten instances; the next heartbeats fill it again
		}
	}
	c.post([]admission.Outbound{{To: from, Body: c.reply(m.Seq, from, m.Instance.Region)}})
}

// heartbeatReply takes over what a home says of instances.
func (c *Core) heartbeatReply(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.HeartbeatReply) {
	c.takeClaims(now, from, m.Homes)
	region := c.homeRegion(from)
	if region == "" || m.Version == 0 && len(m.Instances) == 0 && m.Witnesses.Number == 0 {
		return
	}
	if region != c.self.Region && c.home == nil {
		return
	}
	c.table.Told(now, region, m.Instances)
	if region == c.self.Region {
		c.election.Told(now, &m.Witnesses)
	}
	c.beats.known[from] = seen{inc, m.Version}
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

// takeClaims takes over claims, and notes that the sender lives if it is itself home.
func (c *Core) takeClaims(now state.Instant, from state.InstanceName, list []message.HomeClaim) {
	for _, h := range list {
		c.claim(now, h)
		if h.Home == from {
			c.homeHeard(now, h.Region, from, h.Epoch)
		}
	}
}
