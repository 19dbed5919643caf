package control

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Intervals between ticks. No periodic work is due more often than the interval that applies. An event may make work due
// earlier, so the interval is computed again after each event.
const (
	TickInterval = 20 * time.Millisecond  // while requests are forwarded, a configuration is received, or there is no home
	homeTick     = 50 * time.Millisecond  // of an idle home, which renews its lease every 100 ms
	memberTick   = 100 * time.Millisecond // of an idle member
	minTick      = 5 * time.Millisecond   // lower bound when a heartbeat is due
	activeFor    = 5 * time.Second        // after the last request; longer than requests wait for grants, claims and queues
	homeOverdue  = 550 * time.Millisecond // without a message from the home; shortly before homelease.HomeTimeout
)

// NextTick returns the time from now within which Tick must run.
func (c *Core) NextTick(now state.Instant) time.Duration {
	switch {
	case now.Sub(c.trafficAt) < activeFor, c.rollout.core.Receiving() != 0, c.claims.client.Unacknowledged() > 0,
		c.election.Candidate.TimeWithoutHome(now) >= homeOverdue:
		return TickInterval
	case c.home != nil:
		return homeTick
	}
	untilHeartbeat := c.heartbeats.sentAt.Add(HeartbeatInterval).Sub(now)
	return max(minTick, min(memberTick, untilHeartbeat))
}

// isTraffic reports whether a message belongs to requests or submissions.
func isTraffic(b message.Body) bool {
	switch b.(type) {
	case *message.GrantRequest, *message.GrantReply, *message.GrantRelease, *message.HeldGrants, *message.HeldGrantsReply,
		*message.ClaimRequest, *message.ClaimReply, *message.OutcomeReport, *message.OutcomeAck:
		return true
	}
	return false
}
