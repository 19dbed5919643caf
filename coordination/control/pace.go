package control

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Intervals between runs of due work. Nothing is due at a shorter interval than the one that applies, but for what an
// event brings, and after each event the interval is asked for again.
const (
	TickInterval = 20 * time.Millisecond  // while requests are carried, a configuration is received, or there is no home
	homeTick     = 50 * time.Millisecond  // of an idle home, which renews its lease every 100 ms
	memberTick   = 100 * time.Millisecond // of an idle member
	minTick      = 5 * time.Millisecond   // before a heartbeat is due
	activeFor    = 5 * time.Second        // after the last request; longer than grants, claims and queues wait
	homeDoubt    = 550 * time.Millisecond // of silence of the home, shortly before the first candidate may try
)

// NextTick returns how long after now Tick must run at the latest.
func (c *Core) NextTick(now state.Instant) time.Duration {
	switch {
	case now.Sub(c.activeAt) < activeFor, c.rollout.core.Receiving() != 0, c.claims.client.Unacknowledged() > 0,
		c.election.Candidate.HomelessFor(now) >= homeDoubt:
		return TickInterval
	case c.home != nil:
		return homeTick
	}
	beat := c.beats.at.Add(HeartbeatInterval).Sub(now)
	return max(minTick, min(memberTick, beat))
}

// traffic reports whether a message belongs to requests or submissions.
func traffic(b message.Body) bool {
	switch b.(type) {
	case *message.GrantRequest, *message.GrantReply, *message.GrantRelease, *message.HeldGrants, *message.HeldGrantsReply,
		*message.ClaimRequest, *message.ClaimReply, *message.OutcomeReport, *message.OutcomeAck:
		return true
	}
	return false
}
