package admission

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// takeover is the state of a home between the grants of its predecessor and its own, and at its own end.
type takeover struct {
	collecting bool
	begun      bool
	since      state.Instant // when this home began to collect
	expected   map[peerKey]bool
	asked      bool // Expect has been called
	reported   map[peerKey]bool
	parts      map[int]bool // parts of the predecessor's handover that arrived
	handed     bool         // all parts arrived
	resigned   bool
	bounded    bool
	lease      state.Instant // set when bounded: the home grants only before it
}

// Collect makes the home wait for the grants of an unknown predecessor. It must be called before the first request.
func (h *Home) Collect(now state.Instant) {
	h.takeover.collecting = true
	h.advance(now)
}

// Expect names the instances that may hold grants of the predecessor. Once each has reported its grants to this home,
// it grants without waiting for the end of their leases. The list must hold every incarnation that was alive at any
// time in the last GrantLease + GrantMargin; one that cannot report any more makes the home wait that long. An
// incarnation does not report for another one of the same name.
func (h *Home) Expect(now state.Instant, list []state.Instance) {
	t := &h.takeover
	t.asked = true
	t.expected = make(map[peerKey]bool, len(list))
	for i := range list {
		t.expected[peerKey{list[i].Name, list[i].Incarnation}] = true
	}
	h.advance(now)
}

// SetLease lets the home grant and confirm only before until, on its own clock. A home that was paused past its lease
// then does not use a region that has another home by now.
func (h *Home) SetLease(until state.Instant) { h.takeover.bounded, h.takeover.lease = true, until }

// Collecting reports whether the home still waits for the grants of its predecessor.
func (h *Home) Collecting() bool { return h.takeover.collecting }

// leads reports whether the home may grant and confirm.
func (h *Home) leads(now state.Instant) bool {
	return !h.takeover.resigned && (!h.takeover.bounded || now.Before(h.takeover.lease))
}

// accepts reports whether grants of the predecessor may still be in use.
func (h *Home) accepts(now state.Instant) bool {
	t := &h.takeover
	return t.collecting || t.begun && now.Sub(t.since) <= GrantLease+GrantMargin
}

// finishTakeover ends the collection when all grants of the predecessor are known or have lapsed.
func (h *Home) finishTakeover(now state.Instant) {
	t := &h.takeover
	if !t.collecting {
		return
	}
	if !t.begun {
		t.begun, t.since = true, now
	}
	if !t.handed && now.Sub(t.since) <= GrantLease+GrantMargin && !h.allReported() {
		return
	}
	t.collecting = false
	for _, s := range h.shifts {
		// What runs under a shift has been ramped up by the predecessor.
		s.base, s.since, s.started = min(s.running, s.config.MaxRunning), now, true
	}
	h.serveAll(now)
}

func (h *Home) allReported() bool {
	t := &h.takeover
	if !t.asked {
		return false
	}
	for k := range t.expected {
		if !t.reported[k] {
			return false
		}
	}
	return true
}

// Held renews the grants of one holder and frees those that it no longer uses.
//
// A report of an earlier incarnation is ignored, and a report of a later one frees nothing of an earlier one: the
// earlier process may be paused or still stopping, and its requests may still run. Its grants end by its own releases
// or with their lease.
func (h *Home) Held(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.HeldGrants) {
	h.advance(now)
	if !h.leads(now) || m.Region != h.region {
		return
	}
	reply := &message.HeldGrantsReply{Region: h.region, Epoch: h.epoch, SentAt: m.SentAt, Holder: inc}
	if m.Epoch != h.epoch {
		// The sender may still accept grants of another epoch, so its list is not complete for this one.
		h.Stats.Outdated++
		h.out = append(h.out, Outbound{from, reply})
		return
	}
	pr := h.peer(from, inc)
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

// renew extends the listed grants, frees the others, and returns the listed ones that are not counted here. A grant that
// was freed is never counted again: its slot may have been given to somebody else.
func (h *Home) renew(now state.Instant, pr *peer, m *message.HeldGrants) []message.GrantID {
	var lost []message.GrantID
	listed := make(map[message.GrantID]bool, len(m.Grants)+len(m.Known))
	for i := range m.Grants {
		held := m.Grants[i]
		listed[held.ID] = true
		g := pr.grants[held.ID]
		switch {
		case g == nil && h.accepts(now):
			h.take(now, pr, held)
		case g == nil || g.held.Backend != held.Backend:
			lost = append(lost, held.ID)
		default:
			g.confirm(now)
		}
	}
	for _, id := range m.Known {
		listed[id] = true
		if g := pr.grants[id]; g != nil {
			g.confirm(now)
		} else {
			lost = append(lost, id)
		}
	}
	for id, g := range pr.grants {
		if id < m.NextID && !listed[id] {
			h.free(pr, g)
		}
	}
	return lost
}

// take counts a grant of the predecessor.
func (h *Home) take(now state.Instant, pr *peer, held message.HeldGrant) {
	g := &grant{held: held, server: h.servers[held.Backend], expires: now.Add(GrantLease + GrantMargin), taken: true}
	if p := h.pools[held.Service]; p != nil {
		g.account = p.account(held.Customer)
	}
	if held.Entry != h.region && held.Rate > 0 {
		g.link = h.linkTo(held.Entry)
	}
	g.shift, _ = h.shiftFor(held.Entry, held.Shift)
	h.count(pr, g)
}

// Resign ends the home and returns its running grants for the named successor. From then on it grants, confirms and
// frees nothing, so that the list stays true until the successor has it.
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
		return nil // its own list is not complete
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

// Import takes a part of the grants of the home that resigned in favour of this one. When all parts have arrived and no
// epoch lies between the two, no other home can have granted, and this home grants at once.
func (h *Home) Import(now state.Instant, m *message.GrantHandover) {
	h.advance(now)
	t := &h.takeover
	if !t.collecting || m.Region != h.region || m.Epoch >= h.epoch || t.parts[m.Part] {
		return
	}
	for i := range m.Grants {
		hg := &m.Grants[i]
		pr := h.record(peerKey{hg.Holder, hg.Incarnation})
		if pr.grants[hg.Grant.ID] == nil && hg.Grant.ID >= pr.nextID {
			h.take(now, pr, hg.Grant)
		}
	}
	if m.Epoch+1 != h.epoch {
		return
	}
	if t.parts == nil {
		t.parts = make(map[int]bool)
	}
	t.parts[m.Part] = true
	t.handed = len(t.parts) == m.Parts
	h.finishTakeover(now)
}
