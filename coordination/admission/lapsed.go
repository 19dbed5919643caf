package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// LapsedLimit bounds the time for which a grant is counted after its lease has lapsed, for services without a deadline.
const LapsedLimit = 30 * time.Second

// SuspectInterval is the time between requests for evidence about an instance with lapsed grants.
const SuspectInterval = 100 * time.Millisecond

// Suspect is an incarnation whose grants have lapsed.
type Suspect struct {
	Name        state.InstanceName
	Incarnation state.Incarnation
}

// lapse handles a grant whose lease has ended. Its holder may be paused: the request then still runs at the backend
// server, because a paused process cannot cancel it. Invariant region-limit: the grant is therefore counted until the
// holder reports without it, the holder is proved to be gone, or the backend server has ended the request by its deadline.
// A later incarnation is such a proof, since two processes cannot listen on the instance's addresses.
func (h *Home) lapse(now state.Instant, k peerKey, pr *peer, g *grant) {
	if !g.lapsed {
		g.lapsed = true
		h.Stats.Lapsed++
	}
	if h.newest[k.name] > k.incarnation || now.Sub(g.expires) > h.runsOn(g) {
		h.Stats.GivenUp++
		h.free(pr, g)
		return
	}
	if now.Sub(pr.suspectAt) >= SuspectInterval {
		pr.suspectAt = now
		h.suspects = append(h.suspects, Suspect{k.name, k.incarnation})
		// The holder may run and not know of the grant, when the message that gave it was lost.
		h.out = append(h.out, Outbound{k.name, &message.HeldGrantsReply{Region: h.region, Epoch: h.epoch, Holder: k.incarnation}})
	}
}

// runsOn is the longest time for which a request can run after the lease of its grant has lapsed. The holder may have
// started it at the end of the lease.
func (h *Home) runsOn(g *grant) time.Duration {
	if s := h.index.Service[g.held.Service]; s != nil && s.Deadline > 0 {
		return s.Deadline
	}
	return LapsedLimit
}

// TakeSuspects returns the incarnations about which evidence is wanted since the last call.
func (h *Home) TakeSuspects() []Suspect {
	out := h.suspects
	h.suspects = nil
	return out
}

// Gone frees the grants of an incarnation, and of earlier ones of the same name, that is proved to run no more.
func (h *Home) Gone(now state.Instant, s Suspect) {
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
			h.free(pr, g)
		}
		for _, w := range pr.waiting {
			h.drop(w)
		}
	}
	h.serveAll(now)
}

// confirm extends the lease of a grant that its holder uses.
func (g *grant) confirm(now state.Instant) {
	g.expires, g.lapsed = now.Add(GrantLease+GrantMargin), false
}
