package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// ExpiredGrantLimit is the max time for which a grant is counted after it expired, for services without a deadline.
const ExpiredGrantLimit = 30 * time.Second

// SuspectInterval is the min time between checks whether the process of an instance with expired grants still runs.
const SuspectInterval = 100 * time.Millisecond

// Suspect is an incarnation of an entry instance with expired grants, whose process may have ended.
type Suspect struct {
	Name        state.InstanceName
	Incarnation state.Incarnation
}

// handleExpired handles a grant that has expired. Its holder may be paused: the request then still runs at the backend
// server, because a paused process cannot cancel it. Invariant region-limit: the grant is therefore counted until a
// report of the holder omits it, the holder's process has provably ended, or the backend server has ended the request
// by its deadline. A later incarnation is such a proof, since two processes cannot listen on the instance's addresses.
func (h *Home) handleExpired(now state.Instant, k peerKey, pr *peer, g *grant) {
	if !g.expired {
		g.expired = true
		h.Stats.Lapsed++
	}
	if h.newest[k.name] > k.incarnation || now.Sub(g.expires) > h.maxRunAfterExpiry(g) {
		h.Stats.GivenUp++
		h.freeGrant(pr, g)
		return
	}
	if now.Sub(pr.suspectedAt) >= SuspectInterval {
		pr.suspectedAt = now
		h.suspects = append(h.suspects, Suspect{k.name, k.incarnation})
		// The holder may run without knowing of the grant, because the reply was lost. Its report then omits the grant.
		h.out = append(h.out, Outbound{k.name, &message.HeldGrantsReply{Region: h.region, Epoch: h.epoch, Holder: k.incarnation}})
	}
}

// maxRunAfterExpiry returns the max time that a request can run after its grant expired. The holder may have started it
// at the end of the lease.
func (h *Home) maxRunAfterExpiry(g *grant) time.Duration {
	if s := h.index.Service[g.held.Service]; s != nil && s.Deadline > 0 {
		return s.Deadline
	}
	return ExpiredGrantLimit
}

// TakeSuspects returns the suspects since the last call. The caller checks whether their processes run, and calls
// ProcessEnded for those that have ended.
func (h *Home) TakeSuspects() []Suspect {
	out := h.suspects
	h.suspects = nil
	return out
}

// ProcessEnded frees the grants and drops the waiting requests of an incarnation whose process has provably ended, and of
// earlier incarnations of the same name.
func (h *Home) ProcessEnded(now state.Instant, s Suspect) {
	h.advance(now)
	if h.takeover.resigned {
		return
	}
	for k, pr := range h.peers {
		if k.name != s.Name || k.incarnation > s.Incarnation {
			continue
		}
		for _, g := range pr.grants {
			h.Stats.Freed++
			h.freeGrant(pr, g)
		}
		for _, w := range pr.waiting {
			h.drop(w)
		}
	}
	h.serveAll(now)
}

// extendLease starts a new lease of a grant that its holder uses.
func (g *grant) extendLease(now state.Instant) {
	g.expires, g.expired = now.Add(GrantLease+GrantMargin), false
}
