package admission

import (
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// heldGrant is a grant in use.
type heldGrant struct {
	grant      message.HeldGrant
	requester  Requester
	leaseStart state.Instant // time from which GrantLease counts, on this process's clock
	firstSeq   uint64        // sequence number of the first report to the current home that lists the grant; 0 when none does
	known      bool          // the current home has confirmed it and has its details
}

// holdings are the grants that the instance holds in one region, and the state of its reports to the region's home.
type holdings struct {
	grants     map[message.GrantID]*heldGrant
	releases   []message.Release
	epoch      message.Epoch
	home       state.InstanceName
	reportDue  bool          // a report to a new home is due
	renewedAt  state.Instant // when the last report was sent
	seq        uint64        // of the last report
	awaitedSeq uint64        // after a release or a request of the home: min sequence number of a report that must be confirmed; 0 when none
	unsent     *uint64       // counter of dropped releases
}

// leaseExpired reports whether a grant must no longer be used. It returns true FenceLead before the end of the lease.
func leaseExpired(now, leaseStart state.Instant) bool {
	return now.Sub(leaseStart) >= GrantLease-FenceLead
}

func (o *Holder) holdings(region state.RegionName) *holdings {
	h := o.regions[region]
	if h == nil {
		h = &holdings{grants: make(map[message.GrantID]*heldGrant), unsent: &o.Stats.Unsent}
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

// switchHome sets the home to report to. From then on, new grants of earlier homes are ignored, so that the report to
// the new home is complete.
func (h *holdings) switchHome(home state.InstanceName, epoch message.Epoch) {
	h.home, h.epoch, h.reportDue = home, epoch, true
	for _, g := range h.grants {
		g.firstSeq, g.known = 0, false
	}
}

// queueRelease queues a release for the next flush. When the queue is full, the next renewal frees the grant instead.
func (h *holdings) queueRelease(r message.Release) {
	h.awaitedSeq = h.seq + 1
	if len(h.releases) >= MaxUnsent {
		*h.unsent++
		return
	}
	h.releases = append(h.releases, r)
}

// Release ends the use of a grant and queues its release.
func (o *Holder) Release(region state.RegionName, r message.Release) {
	h := o.holdings(region)
	delete(h.grants, r.ID)
	h.queueRelease(r)
}

// Confirm handles the home's reply to a report. It extends the leases of the grants that the report listed.
func (o *Holder) Confirm(now state.Instant, from state.InstanceName, m *message.HeldGrantsReply) {
	h := o.holdings(m.Region)
	if m.Holder != o.self.Incarnation || m.Epoch < h.epoch {
		o.Stats.Outdated++
		return
	}
	if m.Epoch > h.epoch {
		h.switchHome(from, m.Epoch)
		return
	}
	if m.Seq == 0 { // the home asks for a report, because grants that it counts have not been renewed
		h.awaitedSeq = max(h.awaitedSeq, h.seq+1)
		return
	}
	// A confirmation that a paused process reads too late must not extend an expired lease.
	o.fenceExpired(now, h)
	for _, id := range m.Lost {
		if g := h.grants[id]; g != nil && g.firstSeq > 0 && g.firstSeq <= m.Seq {
			o.fence(h, id, g)
		}
	}
	for _, g := range h.grants {
		if g.firstSeq > 0 && g.firstSeq <= m.Seq {
			g.leaseStart, g.known = max(g.leaseStart, m.SentAt), true
		}
	}
	if h.awaitedSeq > 0 && h.awaitedSeq <= m.Seq {
		h.awaitedSeq = 0
	}
}

// fenceExpired cancels the requests of grants whose lease has expired.
func (o *Holder) fenceExpired(now state.Instant, h *holdings) {
	for id, g := range h.grants {
		if leaseExpired(now, g.leaseStart) {
			o.fence(h, id, g)
		}
	}
}

func (o *Holder) fence(h *holdings, id message.GrantID, g *heldGrant) {
	o.Stats.Fenced++
	delete(h.grants, id)
	g.requester.Fence()
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
	h.reportDue, h.renewedAt = false, now
	h.seq++
	m := &message.HeldGrants{Region: region, Epoch: h.epoch, Seq: h.seq, SentAt: now, NextID: o.nextID}
	for id := range o.pending {
		m.NextID = min(m.NextID, id)
	}
	for _, g := range h.grants {
		if g.firstSeq == 0 {
			g.firstSeq = h.seq
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
