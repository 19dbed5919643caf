package admission

import (
	"container/heap"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// tryGrant grants a request if all limits allow it and a server has a free slot.
func (h *Home) tryGrant(now state.Instant, key grantKey, r *message.GrantRequest, a *account, lk laneKey, waited time.Duration) bool {
	if h.takeover.collecting || !h.isActive(now) || h.blocked(now, a, lk) != message.RefusedNone {
		return false
	}
	s := a.pool.pick(now, r.Exclude)
	if s == nil {
		return false
	}
	h.grantTo(now, key, r, a, lk, s, waited)
	return true
}

func (h *Home) grantTo(now state.Instant, key grantKey, r *message.GrantRequest, a *account, lk laneKey, s *server, waited time.Duration) {
	g := &grant{
		held: message.HeldGrant{
			ID: r.ID, Service: r.Service, Customer: r.Customer, Backend: s.config.Name,
			Entry: r.EntryRegion, Shift: r.Shift, Rate: r.Rate,
		},
		server: s, account: a, link: lk.link, shift: lk.shift,
		grantedAt: now, expires: now.Add(GrantLease + GrantMargin), probe: s.ejected,
	}
	s.usedAt = now
	h.addGrant(h.peerRecord(peerKey{key.holder, key.incarnation}), g)
	h.Stats.Granted++
	if !lk.retry {
		a.pool.budget.Attempt()
	}
	h.reply(key, r.SentAt, message.GrantReply{Backend: s.config.Name, Waited: waited})
}

// addGrant records a grant and adds it to all counters that it counts under.
func (h *Home) addGrant(pr *peer, g *grant) {
	pr.grants[g.held.ID] = g
	h.running++
	if g.account != nil {
		g.account.pool.running++
		g.account.addRunning()
	}
	if g.server != nil {
		g.server.running++
		if g.probe {
			g.server.probing++
		}
	}
	if g.link != nil {
		g.link.reserved += g.held.Rate
	}
	if g.shift != nil {
		g.shift.running++
	}
}

// freeGrant removes a grant and subtracts it from all counters that it counts under.
func (h *Home) freeGrant(pr *peer, g *grant) {
	delete(pr.grants, g.held.ID)
	h.running--
	if g.account != nil {
		g.account.pool.running--
		g.account.removeRunning()
	}
	if g.server != nil {
		g.server.running--
		if g.probe {
			g.server.probing--
		}
		h.removeUnconfigured(g.server)
	}
	if g.link != nil {
		g.link.reserved -= g.held.Rate
	}
	if g.shift != nil {
		g.shift.running--
	}
}

// freeAndServe frees a grant and serves waiting requests with what it used. Only pools that can use it are examined:
// the grant's own, and all with waiting requests if the grant counted under a limit that they share.
func (h *Home) freeAndServe(now state.Instant, pr *peer, g *grant) {
	shared := !h.regionHasCapacity() || g.link != nil || g.shift != nil
	h.freeGrant(pr, g)
	if g.account != nil {
		g.account.pool.releases.add(now)
	}
	if shared {
		h.serveAll(now)
		return
	}
	if g.account != nil {
		h.serve(now, g.account.pool)
	}
}

// serveAll serves the pools with waiting requests round-robin, one request each, so that no service takes all of a
// limit that they share.
func (h *Home) serveAll(now state.Instant) {
	for idle := 0; idle < len(h.waiting); {
		h.cursor++
		if h.cursor >= len(h.waiting) {
			h.cursor = 0
		}
		p := h.waiting[h.cursor]
		if p.queued == 0 || !h.serveOne(now, p) {
			idle++
		} else {
			idle = 0
		}
	}
	h.pruneWaiting()
}

// serve grants waiting requests of one service while slots and limits allow it.
func (h *Home) serve(now state.Instant, p *pool) {
	for p.queued > 0 && h.serveOne(now, p) {
	}
}

// serveOne grants the next waiting request of a service, and reports whether there was one. It examines at most
// MaxExamined customers; those whose requests are blocked by their own limits move to the end of the parked list, so
// that the following calls reach the others.
func (h *Home) serveOne(now state.Instant, p *pool) bool {
	if h.takeover.collecting || !h.isActive(now) || !h.regionHasCapacity() || p.pick(now, nil) == nil {
		return false
	}
	p.unpark()
	for n := 0; n < MaxExamined && len(p.ready) > 0; n++ {
		a := p.ready[0]
		if w, s := h.nextWaiter(now, a); w != nil {
			key, r, lk := w.key, w.request, w.lane.key
			h.drop(w)
			h.grantTo(now, key, r, a, lk, s, now.Sub(w.since))
			return true
		}
		heap.Pop(&p.ready)
		p.parked = append(p.parked, a)
	}
	return false
}

// unpark moves up to MaxExamined accounts, those parked longest, back to ready. Accounts without requests are removed.
func (p *pool) unpark() {
	n := min(len(p.parked), MaxExamined)
	for _, a := range p.parked[:n] {
		if a.queued > 0 && a.index < 0 {
			heap.Push(&p.ready, a)
		}
	}
	p.parked = append(p.parked[:0], p.parked[n:]...)
}

// nextWaiter returns the oldest waiting request of the customer that no limit blocks, and the server for it.
func (h *Home) nextWaiter(now state.Instant, a *account) (*waiter, *server) {
	var best *waiter
	var server *server
	for _, l := range a.lanes {
		if best != nil && best.seq < l.waiters[0].seq || h.blocked(now, a, l.key) != message.RefusedNone {
			continue
		}
		// Requests of a retry lane exclude different servers, so the first ones are tried, not only the oldest.
		for _, w := range l.waiters[:min(len(l.waiters), maxRetryCandidates)] {
			if s := a.pool.pick(now, w.request.Exclude); s != nil {
				if best == nil || w.seq < best.seq {
					best, server = w, s
				}
				break
			}
			if !l.key.retry {
				break
			}
		}
	}
	return best, server
}

// maxRetryCandidates is the max number of requests of a retry lane that are tried for one free slot.
const maxRetryCandidates = 8

// drop removes a waiting request.
func (h *Home) drop(w *waiter) {
	w.account.remove(w)
	heap.Remove(&h.deadlines, w.index)
	delete(h.peerRecord(peerKey{w.key.holder, w.key.incarnation}).waiting, w.key.id)
}

func (h *Home) addWaiting(p *pool) {
	if !p.inWaiting {
		p.inWaiting = true
		h.waiting = append(h.waiting, p)
	}
}

// pruneWaiting removes pools without waiting requests from the list.
func (h *Home) pruneWaiting() {
	remaining := h.waiting[:0]
	for _, p := range h.waiting {
		if p.queued > 0 {
			remaining = append(remaining, p)
		} else {
			p.inWaiting = false
		}
	}
	h.waiting = remaining
}
