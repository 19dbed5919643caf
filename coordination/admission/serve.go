package admission

import (
	"container/heap"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// tryGrant grants a request when every limit has room and a server has a free slot.
func (h *Home) tryGrant(now state.Instant, key grantKey, r *message.GrantRequest, a *account, lk laneKey, waited time.Duration) bool {
	if h.takeover.collecting || !h.leads(now) || h.blocked(now, a, lk) != message.RefusedNone {
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
		given: now, expires: now.Add(GrantLease + GrantMargin), probe: s.ejected,
	}
	s.usedAt = now
	h.count(h.record(peerKey{key.holder, key.incarnation}), g)
	h.Stats.Granted++
	if !lk.retry {
		a.pool.budget.Attempt()
	}
	h.reply(key, r.SentAt, message.GrantReply{Backend: s.config.Name, Waited: waited})
}

// count adds a grant to every counter that it is under.
func (h *Home) count(pr *peer, g *grant) {
	pr.grants[g.held.ID] = g
	h.running++
	if g.account != nil {
		g.account.pool.running++
		g.account.started()
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

// free takes a grant off every counter.
func (h *Home) free(pr *peer, g *grant) {
	delete(pr.grants, g.held.ID)
	h.running--
	if g.account != nil {
		g.account.pool.running--
		g.account.ended()
	}
	if g.server != nil {
		g.server.running--
		if g.probe {
			g.server.probing--
		}
		h.forgetServer(g.server)
	}
	if g.link != nil {
		g.link.reserved -= g.held.Rate
	}
	if g.shift != nil {
		g.shift.running--
	}
}

// freeAndServe frees a grant and gives what it used to waiting requests. Only pools that can use it are examined: the
// grant's own, and the others with waiting requests when it held a limit that they share.
func (h *Home) freeAndServe(now state.Instant, pr *peer, g *grant) {
	shared := !h.regionHasRoom() || g.link != nil || g.shift != nil
	h.free(pr, g)
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

// serveAll serves the pools with waiting requests in turn, one request each, so that no service takes all of a limit
// that they share.
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
	h.compact()
}

// serve grants waiting requests of one service while slots and limits allow it.
func (h *Home) serve(now state.Instant, p *pool) {
	for p.queued > 0 && h.serveOne(now, p) {
	}
}

// serveOne grants the waiting request that is next, and reports whether there was one. It examines at most MaxExamined
// customers; customers whose requests are blocked by their own limits go to the end of the parked list, so that the
// following calls reach the others.
func (h *Home) serveOne(now state.Instant, p *pool) bool {
	if h.takeover.collecting || !h.leads(now) || !h.regionHasRoom() || p.pick(now, nil) == nil {
		return false
	}
	p.unpark()
	for n := 0; n < MaxExamined && len(p.ready) > 0; n++ {
		a := p.ready[0]
		if w, s := h.next(now, a); w != nil {
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

// unpark lets the accounts that were parked longest be examined again.
func (p *pool) unpark() {
	n := min(len(p.parked), MaxExamined)
	for _, a := range p.parked[:n] {
		if a.queued > 0 && a.index < 0 {
			heap.Push(&p.ready, a)
		}
	}
	p.parked = append(p.parked[:0], p.parked[n:]...)
}

// next returns the oldest waiting request of the customer that no limit blocks, and the server for it.
func (h *Home) next(now state.Instant, a *account) (*waiter, *server) {
	var best *waiter
	var server *server
	for _, l := range a.lanes {
		if best != nil && best.seq < l.waiters[0].seq || h.blocked(now, a, l.key) != message.RefusedNone {
			continue
		}
		// Requests of a retry lane exclude different servers, so the first ones are tried, not only the oldest.
		for _, w := range l.waiters[:min(len(l.waiters), maxRetryTries)] {
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

// maxRetryTries bounds the requests of a retry lane that are tried for one free slot.
const maxRetryTries = 8

// drop takes a request out of the queue.
func (h *Home) drop(w *waiter) {
	w.account.remove(w)
	heap.Remove(&h.deadlines, w.index)
	delete(h.record(peerKey{w.key.holder, w.key.incarnation}).waiting, w.key.id)
}

func (h *Home) list(p *pool) {
	if !p.listed {
		p.listed = true
		h.waiting = append(h.waiting, p)
	}
}

// compact drops pools without waiting requests from the list.
func (h *Home) compact() {
	kept := h.waiting[:0]
	for _, p := range h.waiting {
		if p.queued > 0 {
			kept = append(kept, p)
		} else {
			p.listed = false
		}
	}
	h.waiting = kept
}
