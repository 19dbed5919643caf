package catalog

import (
	"slices"
	"strings"

	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// View returns a new view when something has changed since the last call, and nil otherwise.
func (c *Core) View() *View {
	if !c.dirty {
		return c.viewVerified()
	}
	c.dirty = false
	v := &View{
		Table: c.table, Services: make(map[state.ServiceName]*Service), Instances: c.peakInstances, StoreLost: c.contact.lost,
		Stopping: c.stopping, Evacuated: make(map[state.DomainName]bool), FleetKey: c.fleetKey, Revision: c.revision,
		VerifiedAt: c.verifiedAt,
		Customers:  c.opts.Customers, Owners: c.listed, OwnersSeen: c.listChanged, JoinedMS: c.joinedMS,
		Quarantine: c.ledger.Snapshot(),
	}
	for _, e := range c.evacuated {
		v.Evacuated[e.Domain] = true
	}
	names := make([]state.InstanceName, 0, len(c.peers))
	for _, p := range c.peers {
		names = append(names, p.Name)
	}
	v.Peers = c.sortedPeers()
	for _, m := range c.servers {
		c.addServer(v, m, names)
	}
	for _, s := range v.Services {
		slices.SortFunc(s.Servers, func(a, b *Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
		s.Regions = regionsOf(s.Servers)
	}
	c.lastView = v
	return v
}

// sortedPeers returns the live instances, sorted by name.
func (c *Core) sortedPeers() []routing.Peer {
	var out []routing.Peer
	for _, p := range c.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b routing.Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// regionsOf returns the regions of servers.
func regionsOf(servers []*Server) []Region {
	var out []Region
	for _, m := range servers {
		if !slices.ContainsFunc(out, func(r Region) bool { return r.Name == m.Region }) {
			out = append(out, Region{Name: m.Region, Distance: m.Distance})
		}
	}
	return out
}

// addServer adds a server to the view when it may get requests.
func (c *Core) addServer(v *View, m *trackedServer, names []state.InstanceName) {
	if m.Draining || v.Evacuated[m.Domain] {
		return
	}
	s := v.Services[m.Service]
	if s == nil {
		s = &Service{Counters: c.countersOf(m.Service)}
		v.Services[m.Service] = s
	}
	var rate float64
	if c.table != nil {
		rate = c.table.Services[m.Service].ColdRate
	}
	limitedUntil := max(m.ColdUntil, m.assumedColdUntil)
	s.Servers = append(s.Servers, &Server{
		Backend: m.Backend, LimitedUntil: limitedUntil, EjectedUntil: m.health.ejectedUntil, Gauge: m.gauge,
		Distance:   c.distanceOf(m.Region),
		ColdSender: limitedUntil != 0 && quota.IsSender(c.opts.Self, names, m.Name, c.opts.Cold.ColdSenders(rate)),
		LimitPace:  c.limitPace(m, names),
	})
}

// limitPace returns this instance's part of the limit that a server names, or the zero Pace without one.
func (c *Core) limitPace(m *trackedServer, names []state.InstanceName) quota.Pace {
	rate := m.gauge.Limit.Rate()
	if rate == 0 {
		return quota.Pace{}
	}
	basis := limitBasis{rate, c.peakInstances, c.peersChanged}
	if m.limitBasis != basis {
		m.limitBasis = basis
		m.limitPace = quota.LimitPace(rate, c.peakInstances, func(n int) bool {
			return quota.IsSender(c.opts.Self, names, m.Name, n)
		}, state.RendezvousFraction("interval "+string(m.Name), string(c.opts.Self)))
	}
	return m.limitPace
}

// limitBasis is what this instance's part of a server's limit follows from. The part is computed again only when it changes, since
// that takes a hash for each instance.
type limitBasis struct {
	rate         float64
	instances    int
	peersChanged uint64
}

func (c *Core) distanceOf(region state.RegionName) *Distance {
	d := c.distances[region]
	if d == nil {
		d = &Distance{}
		c.distances[region] = d
	}
	return d
}

func (c *Core) countersOf(name state.ServiceName) *Counters {
	n := c.counters[name]
	if n == nil {
		n = &Counters{}
		c.counters[name] = n
	}
	return n
}

// items returns the known content of the store, without servers that are missing from it.
func (c *Core) items(now state.Instant) []Item {
	var out []Item
	if c.table != nil {
		out = append(out, Item{Key: c.tableKey, Fact: c.table})
	}
	for key, m := range c.servers {
		if _, retained := c.retained[key]; retained || m.missingSince != 0 {
			continue
		}
		b := m.Backend
		b.ColdUntil = state.Instant(max(0, b.ColdUntil.Sub(now)))
		out = append(out, Item{Key: key, Fact: &b})
	}
	for key, e := range c.evacuated {
		out = append(out, Item{Key: key, Fact: e})
	}
	for key, p := range c.peers {
		out = append(out, Item{Key: key, Fact: p})
	}
	if c.fleetKey != nil {
		out = append(out, Item{Key: c.fleetKeyKey, Fact: FleetKey(c.fleetKey)})
	}
	return out
}
