package admission

import (
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// held is a grant in use.
type held struct {
	grant message.HeldGrant
	asker Asker
	base  state.Instant // the lease runs from here
	first uint64        // sequence number of the first report to the current home that listed it; 0 before
	known bool          // the current home has its details
}

// holdings is what the instance holds in one region.
type holdings struct {
	grants   map[message.GrantID]*held
	releases []message.Release
	epoch    message.Epoch
	home     state.InstanceName
	joined   bool          // a report to a new home is due
	renewed  state.Instant // when the last report was sent
	seq      uint64        // of the last report
	owed     uint64        // sequence number of the report that must be confirmed after the last release; 0 when none
	unsent   *uint64       // counter of dropped releases
}

// lapsed reports whether a grant must not be used any more.
func lapsed(now, base state.Instant) bool { return now.Sub(base) >= GrantLease-FenceLead }

func (o *Holder) holdings(region state.RegionName) *holdings {
	h := o.regions[region]
	if h == nil {
		h = &holdings{grants: make(map[message.GrantID]*held), unsent: &o.Stats.Unsent}
		o.regions[region] = h
	}
	return h
}

func (o *Holder) regionNames() []state.RegionName {
	names := make([]state.RegionName, 0, len(o.regions))
	for name := range o.regions {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// join makes another home the one to report to. From then on, grants of earlier homes are refused, so that the report
// to the new home is complete.
func (h *holdings) join(home state.InstanceName, epoch message.Epoch) {
	h.home, h.epoch, h.joined = home, epoch, true
	for _, g := range h.grants {
		g.first, g.known = 0, false
	}
}

// release keeps a release for the next flush.
func (h *holdings) release(r message.Release) {
	h.owed = h.seq + 1
	if len(h.releases) >= MaxUnsent {
		*h.unsent++
		return
	}
	h.releases = append(h.releases, r)
}

// Release gives a grant back.
func (o *Holder) Release(region state.RegionName, r message.Release) {
	h := o.holdings(region)
	delete(h.grants, r.ID)
	h.release(r)
}

// Confirm handles the home's answer to a report. It extends the grants that the report listed.
func (o *Holder) Confirm(now state.Instant, from state.InstanceName, m *message.HeldGrantsReply) {
	h := o.holdings(m.Region)
	if m.Holder != o.self.Incarnation || m.Epoch < h.epoch {
		o.Stats.Outdated++
		return
	}
	if m.Epoch > h.epoch {
		h.join(from, m.Epoch)
		return
	}
	if m.Seq == 0 { // the home asks for a report, because grants that it counts have not been renewed
		h.owed = max(h.owed, h.seq+1)
		return
	}
	// A lapsed grant stays lapsed, also when the confirmation was in the queue of a paused process.
	o.fenceLapsed(now, h)
	for _, id := range m.Lost {
		if g := h.grants[id]; g != nil && g.first > 0 && g.first <= m.Seq {
			o.fence(h, id, g)
		}
	}
	for _, g := range h.grants {
		if g.first > 0 && g.first <= m.Seq {
			g.base, g.known = max(g.base, m.SentAt), true
		}
	}
	if h.owed > 0 && h.owed <= m.Seq {
		h.owed = 0
	}
}

// fenceLapsed cancels the requests of grants whose lease has ended.
func (o *Holder) fenceLapsed(now state.Instant, h *holdings) {
	for id, g := range h.grants {
		if lapsed(now, g.base) {
			o.fence(h, id, g)
		}
	}
}

func (o *Holder) fence(h *holdings, id message.GrantID, g *held) {
	o.Stats.Fenced++
	delete(h.grants, id)
	g.asker.Fence()
}

// flushReleases sends releases in messages of at most MaxReleases.
func (o *Holder) flushReleases(region state.RegionName, h *holdings, home state.InstanceName) {
	if home == "" {
		return
	}
	for len(h.releases) > 0 {
		n := min(len(h.releases), message.MaxReleases)
		o.out = append(o.out, Outbound{home, &message.GrantRelease{Region: region, Epoch: h.epoch, Releases: h.releases[:n:n]}})
		h.releases = h.releases[n:]
	}
	h.releases = nil
}

// renew reports the grants in use to the home.
func (o *Holder) renew(now state.Instant, region state.RegionName, h *holdings) {
	h.joined, h.renewed = false, now
	h.seq++
	m := &message.HeldGrants{Region: region, Epoch: h.epoch, Seq: h.seq, SentAt: now, NextID: o.nextID}
	for id := range o.pending {
		m.NextID = min(m.NextID, id)
	}
	for _, g := range h.grants {
		if g.first == 0 {
			g.first = h.seq
		}
		if g.known {
			m.Known = append(m.Known, g.grant.ID)
		} else {
			m.Grants = append(m.Grants, g.grant)
		}
	}
	sort.Slice(m.Grants, func(i, j int) bool { return m.Grants[i].ID < m.Grants[j].ID })
	sort.Slice(m.Known, func(i, j int) bool { return m.Known[i] < m.Known[j] })
	o.out = append(o.out, Outbound{h.home, m})
}
