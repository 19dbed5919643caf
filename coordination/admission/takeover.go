package admission

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// takeover is the state of a home while it collects the grants of its predecessor, and when it resigns.
type takeover struct {
	collecting       bool
	started          bool
	since            state.Instant // when the collection began
	expected         map[peerKey]bool
	expectCalled     bool // ExpectReports has been called
	reported         map[peerKey]bool
	parts            map[int]bool // received parts of the predecessor's handover
	handoverComplete bool         // all parts are received
	resigned         bool
	leaseSet         bool
	leaseEnd         state.Instant // the home grants only before it; unlimited unless leaseSet
}

// Collect makes the home collect the grants of an unknown predecessor, also in the first epoch. It must be called
// before the first request.
func (h *Home) Collect(now state.Instant) {
	h.takeover.collecting = true
	h.advance(now)
}

// ExpectReports sets the instances that may hold grants of the predecessor. Once all have reported their grants to this
// home, it grants without waiting for the end of their leases. The list must contain every incarnation that ran at any
// time in the last GrantLease + GrantMargin; if one can no longer report, the home waits that long. The report of an
// incarnation does not count for another one of the same name.
func (h *Home) ExpectReports(now state.Instant, list []state.Instance) {
	t := &h.takeover
	t.expectCalled = true
	t.expected = make(map[peerKey]bool, len(list))
	for i := range list {
		t.expected[peerKey{list[i].Name, list[i].Incarnation}] = true
	}
	h.advance(now)
}

// SetLease limits granting and confirming to the time before until, on the home's own clock. A home that was paused
// past its lease then grants nothing in a region that may have another home by now.
func (h *Home) SetLease(until state.Instant) { h.takeover.leaseSet, h.takeover.leaseEnd = true, until }

// Collecting reports whether the home still collects the grants of its predecessor.
func (h *Home) Collecting() bool { return h.takeover.collecting }

// isActive reports whether the home may grant and confirm: it has not resigned and its lease is valid.
func (h *Home) isActive(now state.Instant) bool {
	return !h.takeover.resigned && (!h.takeover.leaseSet || now.Before(h.takeover.leaseEnd))
}

// mayAdopt reports whether grants of the predecessor may still be in use, so that reported unknown grants are counted.
func (h *Home) mayAdopt(now state.Instant) bool {
	t := &h.takeover
	return t.collecting || t.started && now.Sub(t.since) <= GrantLease+GrantMargin
}

// finishTakeover ends the collection when all grants of the predecessor are known or have expired.
func (h *Home) finishTakeover(now state.Instant) {
	t := &h.takeover
	if !t.collecting {
		return
	}
	if !t.started {
		t.started, t.since = true, now
	}
	if !t.handoverComplete && now.Sub(t.since) <= GrantLease+GrantMargin && !h.allReported() {
		return
	}
	t.collecting = false
	for _, s := range h.shifts {
		// The predecessor has ramped the shift up to what runs now; the ramp continues from there.
		s.baseAllowed, s.rampStart, s.rampStarted = min(s.running, s.config.MaxRunning), now, true
	}
	h.serveAll(now)
}

func (h *Home) allReported() bool {
	t := &h.takeover
	if !t.expectCalled {
		return false
	}
	for k := range t.expected {
		if !t.reported[k] {
			return false
		}
	}
	return true
}

// HandleReport handles a report of a holder: it renews the grants that the holder uses and frees those that it no longer uses.
//
// A report of an earlier incarnation is ignored, and a report of a later one frees nothing of an earlier one: the
// earlier process may be paused or still stopping, and its requests may still run. Its grants end by its own releases
// or after they expire.
func (h *Home) HandleReport(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.HeldGrants) {
	h.advance(now)
	if !h.isActive(now) || m.Region != h.region {
		return
	}
	reply := &message.HeldGrantsReply{Region: h.region, Epoch: h.epoch, SentAt: m.SentAt, Holder: inc}
	if m.Epoch != h.epoch {
		// The sender may still accept grants of another epoch, so its list is not complete for this one.
		h.Stats.Outdated++
		h.out = append(h.out, Outbound{from, reply})
		return
	}
	pr := h.activePeer(from, inc)
	if pr == nil || m.Seq <= pr.seq {
		h.Stats.Outdated++
		return
	}
	pr.seq, pr.nextID = m.Seq, max(pr.nextID, m.NextID)
	reply.Seq, reply.Lost = m.Seq, h.renew(now, pr, m)
	h.Stats.Lost += uint64(len(reply.Lost))
	h.out = append(h.out, Outbound{from, reply})
	for id, w := range pr.waiting {
		if id < m.NextID {
			h.drop(w)
		}
	}
	if t := &h.takeover; t.collecting {
		if t.reported == nil {
			t.reported = make(map[peerKey]bool)
		}
		t.reported[peerKey{from, inc}] = true
		h.finishTakeover(now)
	}
	h.serveAll(now)
}

// renew extends the leases of the listed grants, frees the others, and returns the listed ones that are not counted
// here. A freed grant is not counted again, since its slot may have been granted to another request.
func (h *Home) renew(now state.Instant, pr *peer, m *message.HeldGrants) []message.GrantID {
	var lost []message.GrantID
	listed := make(map[message.GrantID]bool, len(m.Grants)+len(m.Known))
	for i := range m.Grants {
		held := m.Grants[i]
		listed[held.ID] = true
		g := pr.grants[held.ID]
		switch {
		case g == nil && h.mayAdopt(now):
			h.adopt(now, pr, held)
		case g == nil || g.held.Backend != held.Backend:
			lost = append(lost, held.ID)
		default:
			g.extendLease(now)
		}
	}
	for _, id := range m.Known {
		listed[id] = true
		if g := pr.grants[id]; g != nil {
			g.extendLease(now)
		} else {
			lost = append(lost, id)
		}
	}
	for id, g := range pr.grants {
		if id < m.NextID && !listed[id] {
			h.freeGrant(pr, g)
		}
	}
	return lost
}

// adopt counts a grant of the predecessor.
func (h *Home) adopt(now state.Instant, pr *peer, held message.HeldGrant) {
	g := &grant{held: held, server: h.servers[held.Backend], expires: now.Add(GrantLease + GrantMargin), adopted: true}
	if p := h.pools[held.Service]; p != nil {
		g.account = p.account(held.Customer)
	}
	if held.Entry != h.region && held.Rate > 0 {
		g.link = h.linkTo(held.Entry)
	}
	g.shift, _ = h.shiftFor(held.Entry, held.Shift)
	h.addGrant(pr, g)
}

// Resign refuses all waiting requests and returns the running grants for the successor. From then on the home grants,
// confirms and frees nothing, so that the list remains correct until the successor has received it.
func (h *Home) Resign(now state.Instant) []*message.GrantHandover {
	h.advance(now)
	t := &h.takeover
	if t.resigned {
		return nil
	}
	t.resigned = true
	for len(h.deadlines) > 0 {
		w := h.deadlines[0]
		h.refuse(now, w.key, w.request.SentAt, message.RefusedNotHome, w.account, w.lane.key)
		h.drop(w)
	}
	if t.collecting {
		return nil // the list is not complete
	}
	parts := []*message.GrantHandover{{Region: h.region, Epoch: h.epoch}}
	for k, pr := range h.peers {
		for _, g := range pr.grants {
			last := parts[len(parts)-1]
			if len(last.Grants) == message.MaxHandover {
				last = &message.GrantHandover{Region: h.region, Epoch: h.epoch, Part: len(parts)}
				parts = append(parts, last)
			}
			last.Grants = append(last.Grants, message.HandedGrant{Holder: k.name, Incarnation: k.incarnation, Grant: g.held})
		}
	}
	for _, m := range parts {
		m.Parts = len(parts)
	}
	return parts
}

// ImportHandover adopts a part of the grants of a home that resigned in favour of this one. When all parts have arrived and no
// epoch lies between the two, no other home can have granted, and this home grants at once.
func (h *Home) ImportHandover(now state.Instant, m *message.GrantHandover) {
	h.advance(now)
	t := &h.takeover
	if !t.collecting || m.Region != h.region || m.Epoch >= h.epoch || t.parts[m.Part] {
		return
	}
	for i := range m.Grants {
		hg := &m.Grants[i]
		pr := h.peerRecord(peerKey{hg.Holder, hg.Incarnation})
		if pr.grants[hg.Grant.ID] == nil && hg.Grant.ID >= pr.nextID {
			h.adopt(now, pr, hg.Grant)
		}
	}
	if m.Epoch+1 != h.epoch {
		return
	}
	if t.parts == nil {
		t.parts = make(map[int]bool)
	}
	t.parts[m.Part] = true
	t.handoverComplete = len(t.parts) == m.Parts
	h.finishTakeover(now)
}
